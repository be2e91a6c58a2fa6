package placement

import (
	"fmt"
	"math/rand/v2"
	"time"

	"rattanline.example/rattanline/clock"
	"rattanline.example/rattanline/fairqueue"
	"rattanline.example/rattanline/mirror"
	"rattanline.example/rattanline/port"
	"rattanline.example/rattanline/request"
)

const (
	// targetTimeDivisor bounds the time that a request is expected to take at its target: 1/2 of
	// its latency aim, so that one that arrives later still has its full value.
	targetTimeDivisor = 2
	// aimMarginDivisor is the part of the latency aim that is kept for what is not expected.
	aimMarginDivisor = 10
	// lateAims bounds the time for which a request waits, in latency aims; after the first one
	// it is served only by targets with a free slot.
	lateAims = 2
	// lateDivisor bounds the wait of a request that is late to 1/lateDivisor of its time.
	lateDivisor = 2
	// maxWaiting bounds the requests that wait in this daemon.
	maxWaiting = 512
	// minRoomRetryAfter is the shortest Retry-After hint of a refusal while no target has room.
	minRoomRetryAfter = 200 * time.Millisecond
)

// roomQueue holds the requests of one daemon that wait for room at targets that are no engines. It
// answers more requests than the targets can serve in time: those that can still be answered within
// their latency aim are served first, in the order of what their accounts were served, then by their
// aim. The others follow when a target has a free slot, and are refused when that takes too long. The
// methods must be called with a lock held.
type roomQueue struct {
	table  *Table
	served func(account string) float64
	queues *fairqueue.Queues[*waitingRequest]
}

// assigned is what becomes of a waiting request: it has a choice or a refusal.
type assigned struct {
	item    *item
	choice  Choice
	refusal *request.Refusal
}

func newRoomQueue(t *Table, served func(account string) float64) *roomQueue {
	l := &roomQueue{table: t, served: served}
	l.queues = fairqueue.New[*waitingRequest](func(_, account string) float64 { return l.served(account) })
	return l
}

// push adds a request. Its error is a refusal.
func (l *roomQueue) push(job port.Job, now time.Time) (*item, error) {
	if l.queues.Len() >= maxWaiting {
		return nil, l.refusal(job.Service, fmt.Sprintf("%d requests wait for targets", maxWaiting))
	}
	i := &item{
		Account: job.Account, Service: job.Service, Urgent: true, Bytes: job.Bytes,
		Value: &waitingRequest{job: job, since: now, result: make(chan result, 1)},
	}
	i.Deadline = l.aimDeadline(job)
	if !now.Before(i.Deadline) {
		i.Urgent, i.Deadline = false, lateDeadline(job)
	}
	if !now.Before(i.Deadline) {
		return nil, l.refusal(job.Service, "no time is left to wait for a target")
	}
	if err := l.queues.Push(i, queueBounds); err != nil {
		return nil, err
	}
	return i, nil
}

// aimDeadline returns when the request has to be sent to be answered within its latency aim.
func (l *roomQueue) aimDeadline(job port.Job) time.Time {
	aim := aimOf(job)
	return job.Arrived.Add(aim - aim/aimMarginDivisor - l.table.plainWork(job.Service))
}

// lateDeadline returns until when a request waits that is late.
func lateDeadline(job port.Job) time.Time {
	wait := min(job.Deadline.Sub(job.Arrived)/lateDivisor, lateAims*aimOf(job))
	return job.Arrived.Add(wait)
}

func aimOf(job port.Job) time.Duration {
	if job.LatencyAim > 0 {
		return job.LatencyAim
	}
	return queueDivisor * defaultQueueTime
}

// limit returns how long the request may be expected to take at its target. It is zero for a request
// that is late, which is sent only to a target with a free slot.
func limit(job port.Job, now time.Time) time.Duration {
	aim := aimOf(job)
	left := job.Arrived.Add(aim - aim/aimMarginDivisor).Sub(now)
	return max(min(aim/targetTimeDivisor, left), 0)
}

// serve returns the requests that leave the queue now, and the targets to ask for their load.
func (l *roomQueue) serve(now time.Time, at clock.Instant, decide func(job port.Job, limit time.Duration) Verdict) ([]assigned, []mirror.Target) {
	left := l.expire(now)
	var ask []mirror.Target
	for _, service := range l.queues.Services() {
		for _, inTime := range []bool{true, false} {
			sent, asked := l.serveClass(service, inTime, now, at, decide)
			left, ask = append(left, sent...), append(ask, asked...)
		}
	}
	return left, ask
}

// serveClass serves the requests to the service that are in time, or those that are late. One that
// no target has room for doesn't hold up those that may take longer there.
func (l *roomQueue) serveClass(service string, inTime bool, now time.Time, at clock.Instant, decide func(job port.Job, limit time.Duration) Verdict) (sent []assigned, ask []mirror.Target) {
	tried := time.Duration(-1)
	for {
		i := l.queues.Next(service, func(i *item) bool { return i.Urgent == inTime && limit(i.Value.job, now) > tried })
		if i == nil {
			return sent, ask
		}
		bound := limit(i.Value.job, now)
		switch v := decide(i.Value.job, bound).(type) {
		case Send:
			l.queues.Take(now, i)
			l.table.started(v.Choice.Target.Name, 0, nil, at)
			sent = append(sent, assigned{item: i, choice: v.Choice})
			continue
		case Ask:
			ask = append(ask, v.Targets...)
		case Hold, Unusable:
		}
		tried = bound
	}
}

// expire removes the requests that are too late, and lets those wait on that have just missed their
// latency aim.
func (l *roomQueue) expire(now time.Time) []assigned {
	var left []assigned
	for _, i := range l.queues.Expire(now) {
		if late := lateDeadline(i.Value.job); i.Urgent && now.Before(late) {
			i.Urgent, i.Deadline = false, late
			if l.queues.Push(i, queueBounds) == nil {
				continue
			}
		}
		left = append(left, assigned{item: i, refusal: l.refusal(i.Service, "no target had room in time")})
	}
	return left
}

// refusal returns a refusal that states when room is expected: as soon as the requests at the targets
// and those that wait are served, with a random part that spreads the callers.
func (l *roomQueue) refusal(service, detail string) *request.Refusal {
	after := max(l.table.plainBacklog(service, l.queues.Len()), minRoomRetryAfter)
	return &request.Refusal{
		Reason: request.NoTarget, Detail: detail, RetryAfter: after + time.Duration(rand.Float64()*float64(after)),
	}
}

// plainWork returns the mean duration of a request to the service.
func (t *Table) plainWork(service string) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.plain(service).work
}

// plainBacklog returns the time in which the targets of the service serve what they have and the
// waiting requests.
func (t *Table) plainBacklog(service string, waiting int) time.Duration {
	now, others := clock.Now(), t.PeerWork()
	t.mu.Lock()
	defer t.mu.Unlock()
	slots := 0
	for _, target := range t.services[service] {
		if !t.listed(target, now) {
			continue
		}
		slots += max(target.Slots, 1)
		requests, _ := target.requests(now, others[target.Name])
		waiting += requests
	}
	return t.plain(service).work * time.Duration(waiting) / time.Duration(max(slots, 1))
}
