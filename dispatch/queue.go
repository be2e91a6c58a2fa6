package dispatch

import (
	"context"
	"slices"
	"time"

	"github.com/pkg/errors"

	"rattanline.example/rattanline/fairqueue"
	"rattanline.example/rattanline/port"
	"rattanline.example/rattanline/request"
	"rattanline.example/rattanline/slot"
	"rattanline.example/rattanline/usage"
)

// waiter is a request in the queue. Its result channel has a buffer for one value,
// so that the dispatcher never blocks on the caller.
type waiter struct {
	job     port.Job
	arrived time.Time
	result  chan result
}

type result struct {
	assignment *assignment
	refusal    *request.Refusal
}

type item = fairqueue.Item[*waiter]

// Acquire implements port.Scheduler.
func (d *Dispatcher) Acquire(ctx context.Context, job port.Job) (port.Assignment, error) {
	now := d.lock()
	w := &waiter{job: job, arrived: now, result: make(chan result, 1)}
	i := &item{
		Account: job.Account, Service: job.Service, Urgent: job.Urgent,
		Deadline: job.Deadline, Bytes: job.Bytes, Value: w,
	}
	if err := d.enqueue(now, i); err != nil {
		d.mu.Unlock()
		return nil, err
	}
	d.assign(now, job.Service)
	d.sendChanges(now)
	d.mu.Unlock()
	select {
	case r := <-w.result:
		if r.refusal != nil {
			return nil, r.refusal
		}
		return r.assignment, nil
	case <-ctx.Done():
		return nil, d.abandon(ctx, i)
	}
}

func (d *Dispatcher) enqueue(now time.Time, i *item) error {
	if d.stopping {
		return &request.Refusal{Reason: request.Stopping, Detail: "this daemon stops", RetryAfter: time.Second}
	}
	if i.Expired(now) {
		return &request.Refusal{Reason: request.DeadlinePassed, Detail: "before it was queued"}
	}
	if refusal := d.index.refusal(i.Service); refusal != nil {
		return refusal
	}
	limits, ok := d.index.accounts[i.Account]
	if !ok {
		return &request.Refusal{Reason: request.Forbidden, Detail: "unknown account " + i.Account}
	}
	if err := d.queues.Push(i, limits); err != nil {
		d.metric.refused.Inc()
		return err
	}
	d.reportQueueGrowth(i)
	return nil
}

// reportQueueGrowth updates the ledger if the account starts to wait for the
// service, and schedules renewals if its demand grows. Demand doesn't grow beyond
// slot.MaxDemandCount.
func (d *Dispatcher) reportQueueGrowth(i *item) {
	n := d.queues.Waiting(i.Service, i.Account)
	if n == 1 {
		d.Ledger.SetWaiting(i.Service, i.Account, true)
	}
	if n <= slot.MaxDemandCount {
		d.renewalDue = true
	}
}

// reportQueueShrink updates the ledger and schedules renewals if the account no
// longer waits for the service.
func (d *Dispatcher) reportQueueShrink(i *item) {
	if d.queues.Waiting(i.Service, i.Account) == 0 {
		d.Ledger.SetWaiting(i.Service, i.Account, false)
		d.renewalDue = true
	}
}

// abandon removes a request whose caller is gone. If a slot was assigned to the
// request in the meantime, the slot is released.
func (d *Dispatcher) abandon(ctx context.Context, i *item) error {
	refusal := &request.Refusal{Reason: request.CallerGone, Detail: "while queued"}
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		refusal = &request.Refusal{Reason: request.DeadlinePassed, Detail: "while queued"}
	}
	now := d.lock()
	if d.queues.Remove(i) {
		d.reportQueueShrink(i)
		d.sendChanges(now)
		d.mu.Unlock()
		return refusal
	}
	d.mu.Unlock()
	if r := <-i.Value.result; r.assignment != nil {
		r.assignment.Finish(port.Attempt{Result: port.NotSent})
	}
	return refusal
}

// expireQueue refuses queued requests whose deadline has passed.
func (d *Dispatcher) expireQueue(now time.Time) {
	for _, i := range d.queues.Expire(now) {
		d.reportQueueShrink(i)
		d.refuse(i, &request.Refusal{Reason: request.DeadlinePassed, Detail: "while queued"})
	}
}

// refuseUnservable refuses queued requests of services without open targets.
func (d *Dispatcher) refuseUnservable() {
	for _, name := range d.queues.Services() {
		refusal := d.index.refusal(name)
		for refusal != nil {
			i := d.queues.Next(name, func(*item) bool { return true })
			if i == nil {
				break
			}
			d.queues.Remove(i)
			d.reportQueueShrink(i)
			d.refuse(i, refusal)
		}
	}
}

func (d *Dispatcher) refuse(i *item, refusal *request.Refusal) {
	d.metric.refused.Inc()
	d.record("request-refused", i.Value.job.RequestID, i.Account, "", string(refusal.Reason))
	i.Value.result <- result{refusal: refusal}
}

func (d *Dispatcher) assignAll(now time.Time) {
	for _, name := range d.queues.Services() {
		d.assign(now, name)
	}
}

// assign starts waiting requests of the service while slots are free.
func (d *Dispatcher) assign(now time.Time, name string) {
	for {
		candidates := d.candidates(now, name)
		if len(candidates) == 0 {
			return
		}
		i := d.queues.Next(name, func(i *item) bool {
			return !i.Expired(now) && len(d.withoutAvoided(candidates, i)) > 0
		})
		if i == nil {
			return
		}
		chosen, ok := d.Choose(d.withoutAvoided(candidates, i))
		if !ok {
			return
		}
		s, free := d.holder.Free(now, chosen.Target)
		if free == 0 {
			return
		}
		d.start(now, i, s)
	}
}

// withoutAvoided returns the candidates without the targets that the request should
// avoid, or all if the service has no other open target.
func (d *Dispatcher) withoutAvoided(candidates []Candidate, i *item) []Candidate {
	if len(i.Value.job.Avoid) == 0 {
		return candidates
	}
	avoid := d.index.targetsToAvoid(i.Service, i.Value.job.Avoid)
	return slices.DeleteFunc(slices.Clone(candidates), func(c Candidate) bool {
		return slices.Contains(avoid, c.Target)
	})
}

// start assigns the slot to the request and charges the estimated cost to its
// account.
func (d *Dispatcher) start(now time.Time, i *item, s slot.Slot) {
	d.queues.Take(now, i)
	d.reportQueueShrink(i)
	d.holder.Start(s)
	d.running++
	job := i.Value.job
	q := usage.Queue{Service: job.Service, Account: job.Account}
	a := &assignment{d: d, job: job, slot: s, target: d.index.targets[s.Target], chargedCost: d.costs.estimate(q, job.Cost)}
	d.Ledger.Charge(job.Account, a.chargedCost)
	d.observeSaturation(s.Target)
	d.metric.wait.UpdateDuration(i.Value.arrived)
	d.record("request-assigned", job.RequestID, job.Account, s.Target, "")
	i.Value.result <- result{assignment: a}
}
