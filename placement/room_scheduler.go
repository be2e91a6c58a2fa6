package placement

import (
	"context"
	"sync"
	"time"

	"github.com/pkg/errors"

	"rattanline.example/rattanline/admission"
	"rattanline.example/rattanline/clock"
	"rattanline.example/rattanline/mirror"
	"rattanline.example/rattanline/port"
	"rattanline.example/rattanline/request"
)

// roomQueueInterval is the interval at which the queue is served while requests wait and nothing is
// learned about targets.
const roomQueueInterval = 10 * time.Millisecond

// ErrUnreachable reports that a target could not be asked for its load, because no connection to it
// could be made.
var ErrUnreachable = errors.New("target unreachable")

// roomScheduler assigns requests to targets that are no engines, and lets them wait while none has
// room.
type roomScheduler struct {
	scheduler *Scheduler
	mu        sync.Mutex
	queue     *roomQueue
	// served counts the requests of each account that were sent by this daemon.
	served  admission.Controller
	serving bool
	// wake is sent to when something was learned about a target.
	wake chan struct{}
}

func newRoomScheduler(s *Scheduler) *roomScheduler {
	r := &roomScheduler{scheduler: s, wake: make(chan struct{}, 1)}
	r.served.PeerRates = func() map[string]admission.Rate { return nil }
	r.queue = newRoomQueue(s.Table, func(account string) float64 { return r.served.Served(clock.Now(), account) })
	return r
}

// room returns the scheduler of a service whose targets are no engines and state their load, nil for
// other services, and if targets can't be asked for it.
func (s *Scheduler) room(service string) *roomScheduler {
	if s.AskLoad == nil || s.Engine(service) || !s.Table.statesLoad(service) {
		return nil
	}
	s.roomOnce.Do(func() { s.roomScheduler = newRoomScheduler(s) })
	return s.roomScheduler
}

// statesLoad reports whether requests wait for room by the load that targets of the service state.
func (t *Table) statesLoad(service string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.plainServices[service]
	return s != nil && s.statesLoad
}

// acquire assigns the request to a target, or lets it wait for one.
func (r *roomScheduler) acquire(ctx context.Context, job port.Job) (port.Assignment, error) {
	if refusal := r.futile(job); refusal != nil {
		refusedWaiting.Inc()
		return nil, refusal
	}
	i, err := r.enter(job)
	if err != nil {
		refusedWaiting.Inc()
		return nil, err
	}
	select {
	case result := <-i.Value.result:
		return result.assignment, result.err
	case <-ctx.Done():
		if r.withdraw(i) {
			return nil, endedWaiting(ctx)
		}
		result := <-i.Value.result // it left the queue before it could be withdrawn
		return result.assignment, result.err
	}
}

// futile returns a refusal if no target will be usable in the time for which the request may wait.
func (r *roomScheduler) futile(job port.Job) *request.Refusal {
	table := r.scheduler.Table
	if table.Listed(job.Service) == 0 {
		return &request.Refusal{Reason: request.NoTarget, Detail: "no target is listed", RetryAfter: noTargetRetryAfter}
	}
	until, ok := table.paused(job.Service)
	pause := until.Sub(clock.Now())
	if !ok || pause <= time.Until(lateDeadline(job)) {
		return nil
	}
	return &request.Refusal{
		Reason: request.NoTarget, Detail: "all targets that are listed asked for time", RetryAfter: max(pause, minPauseRetryAfter),
	}
}

// enter adds the request to the queue and serves the queue.
func (r *roomScheduler) enter(job port.Job) (*item, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	i, err := r.queue.push(job, time.Now())
	if err != nil {
		return nil, err
	}
	waitingRequests.Inc()
	if r.serveLocked(); !r.serving && r.queue.queues.Len() > 0 {
		r.serving = true
		go r.run()
	}
	return i, nil
}

func (r *roomScheduler) withdraw(i *item) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.queue.queues.Remove(i) {
		return false
	}
	waitingRequests.Dec()
	return true
}

// run serves the queue until nothing waits.
func (r *roomScheduler) run() {
	timer := time.NewTimer(roomQueueInterval)
	defer timer.Stop()
	for r.serve() {
		timer.Reset(roomQueueInterval)
		select {
		case <-timer.C:
		case <-r.wake:
		}
	}
}

func (r *roomScheduler) serve() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.serveLocked()
	r.serving = r.queue.queues.Len() > 0
	return r.serving
}

func (r *roomScheduler) serveLocked() {
	now, at := time.Now(), clock.Now()
	left, ask := r.queue.serve(now, at, r.scheduler.decideVersion)
	for _, a := range left {
		waitingRequests.Dec()
		waitingTime.Update(now.Sub(a.item.Value.since).Seconds())
		a.item.Value.result <- r.result(a, at)
	}
	for _, target := range ask {
		go r.ask(target)
	}
}

func (r *roomScheduler) result(a assigned, at clock.Instant) result {
	if a.refusal != nil {
		refusedWaiting.Inc()
		return result{err: a.refusal}
	}
	job := a.item.Value.job
	r.served.Count(at, job.Account, 1)
	assignment := &assignment{scheduler: r.scheduler, job: job, decidedAt: at}
	assignment.choose(a.choice)
	if v := r.scheduler.Table.Versions; v != nil {
		v.Assigned(job, a.choice.Target)
	}
	return result{assignment: assignment}
}

// ask asks a target for its load, and serves the queue when it is known.
func (r *roomScheduler) ask(target mirror.Target) {
	askedLoads.Inc()
	load, err := r.scheduler.AskLoad(target)
	if err == nil {
		r.scheduler.Table.RecordLoadAnswer(target.Name, &load, false)
	} else {
		unansweredLoads.Inc()
		r.scheduler.Table.RecordLoadAnswer(target.Name, nil, errors.Is(err, ErrUnreachable))
	}
	r.wakeUp()
}

// wakeUp serves the queue at once, because something was learned about a target.
func (r *roomScheduler) wakeUp() {
	select {
	case r.wake <- struct{}{}:
	default:
	}
}
