package placement

import (
	"context"
	"sync"
	"time"

	"github.com/pkg/errors"

	"rattanline.example/rattanline/clock"
	"rattanline.example/rattanline/fairqueue"
	"rattanline.example/rattanline/port"
	"rattanline.example/rattanline/request"
)

const (
	// queuePart is the part of the latency aim that a request waits for a target
	// at most, queueTime the same for requests without an aim.
	queuePart = 4
	queueTime = 100 * time.Millisecond
	// queueInterval is the pause between two looks for targets while requests wait.
	queueInterval = 5 * time.Millisecond
)

// queueBounds is what one account may have waiting in this daemon.
var queueBounds = fairqueue.Bounds{Requests: 64, Bytes: 4 << 20}

// queue holds the requests that wait for a target, those of the account that is
// served least first.
type queue struct {
	mu     sync.Mutex
	queues *fairqueue.Queues[*waiter]
	runs   bool
}

// waiter is a request in the queue. Its result has room for one value, so that
// the queue never waits for the caller.
type waiter struct {
	job    port.Job
	result chan result
}

type result struct {
	assignment port.Assignment
	err        error
}

type item = fairqueue.Item[*waiter]

// errNoTarget tells that no target can be used at the moment.
var errNoTarget = errors.New("no target can be used")

// wait queues a request until a target can be used, for a part of its time.
func (s *Scheduler) wait(ctx context.Context, job port.Job, refusal error) (port.Assignment, error) {
	span := queueTime
	if job.LatencyAim > 0 {
		span = job.LatencyAim / queuePart
	}
	w := &waiter{job: job, result: make(chan result, 1)}
	i := &item{
		Account: job.Account, Service: job.Service, Urgent: job.Urgent, Bytes: job.Bytes, Value: w,
		Deadline: time.Now().Add(min(span, time.Until(job.Deadline)/queuePart)),
	}
	if err := s.push(i); err != nil {
		return nil, err
	}
	select {
	case r := <-w.result:
		if errors.Is(r.err, errNoTarget) {
			return nil, refusal
		}
		return r.assignment, r.err
	case <-ctx.Done():
		if s.withdraw(i) {
			return nil, &request.Refusal{Reason: request.CallerGone, Detail: "left while it waited for a target"}
		}
		r := <-w.result // it was assigned meanwhile
		if r.err != nil {
			return nil, r.err
		}
		return r.assignment, nil
	}
}

func (s *Scheduler) push(i *item) error {
	q := &s.queue
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.queues == nil {
		q.queues = fairqueue.New[*waiter](func(_, account string) float64 { return s.Admission.Served(clock.Now(), account) })
	}
	if err := q.queues.Push(i, queueBounds); err != nil {
		return err
	}
	if !q.runs {
		q.runs = true
		go s.serveQueue()
	}
	return nil
}

func (s *Scheduler) withdraw(i *item) bool {
	s.queue.mu.Lock()
	defer s.queue.mu.Unlock()
	return s.queue.queues.Remove(i)
}

// serveQueue assigns waiting requests until there are none.
func (s *Scheduler) serveQueue() {
	for s.serveOnce(time.Now()) {
		time.Sleep(queueInterval)
	}
}

func (s *Scheduler) serveOnce(now time.Time) bool {
	q := &s.queue
	q.mu.Lock()
	defer q.mu.Unlock()
	for _, i := range q.queues.Expire(now) {
		i.Value.result <- result{err: errNoTarget}
	}
	for _, service := range q.queues.Services() {
		for {
			i := q.queues.Next(service, func(*item) bool { return true })
			if i == nil {
				break
			}
			a, err := s.assign(i.Value.job)
			if errors.Is(err, errNoTarget) {
				break
			}
			q.queues.Take(now, i)
			i.Value.result <- result{assignment: a, err: err}
		}
	}
	q.runs = q.queues.Len() > 0
	return q.runs
}
