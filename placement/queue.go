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
	// queueDivisor bounds the wait for a target: a request waits at most
	// 1/queueDivisor of its latency aim and of its remaining time.
	queueDivisor = 4
	// defaultQueueTime bounds the wait of requests that have no latency aim.
	defaultQueueTime = 100 * time.Millisecond
	// queuePollInterval is the interval at which targets are checked while requests
	// wait.
	queuePollInterval = 5 * time.Millisecond
)

// queueBounds limits the waiting requests of one account in this daemon.
var queueBounds = fairqueue.Bounds{Requests: 64, Bytes: 4 << 20}

// queue holds the requests that wait for a target. The account that received the
// least work is served first.
type queue struct {
	mu      sync.Mutex
	queues  *fairqueue.Queues[*waitingRequest]
	serving bool
}

// waitingRequest is a request in the queue. Its result channel is buffered, so that
// the queue never blocks on the caller.
type waitingRequest struct {
	job port.Job
	// since is when it began to wait; it is set only for targets that have no room.
	since  time.Time
	result chan result
}

type result struct {
	assignment port.Assignment
	err        error
}

type item = fairqueue.Item[*waitingRequest]

// errNoTarget reports that currently no target can be used.
var errNoTarget = errors.New("no target can be used")

// wait queues a request until a target can be used, but not longer than a fraction
// of its latency aim and of its remaining time, or until a target that asked for time may
// be used again. It returns refusal if none becomes usable.
func (s *Scheduler) wait(ctx context.Context, job port.Job, refusal error) (port.Assignment, error) {
	span := waitBound(job)
	if until, ok := s.Table.paused(job.Service); ok {
		span = max(span, until.Sub(clock.Now())+2*queuePollInterval)
	}
	waiting := &waitingRequest{job: job, result: make(chan result, 1)}
	i := &item{
		Account: job.Account, Service: job.Service, Urgent: job.Urgent, Bytes: job.Bytes, Value: waiting,
		Deadline: time.Now().Add(min(span, time.Until(job.Deadline)/queueDivisor)),
	}
	if err := s.push(i); err != nil {
		return nil, err
	}
	select {
	case r := <-waiting.result:
		if errors.Is(r.err, errNoTarget) {
			return nil, refusal
		}
		return r.assignment, r.err
	case <-ctx.Done():
		if s.withdraw(i) {
			return nil, endedWaiting(ctx)
		}
		r := <-waiting.result // it left the queue before it could be withdrawn
		if r.err != nil {
			return nil, r.err
		}
		return r.assignment, nil
	}
}

// endedWaiting returns the refusal of a request whose context ended while it waited. A caller whose
// time is over still awaits an answer.
func endedWaiting(ctx context.Context) *request.Refusal {
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return &request.Refusal{Reason: request.DeadlinePassed, Detail: "its time was over while it waited for a target"}
	}
	return &request.Refusal{Reason: request.CallerGone, Detail: "left while it waited for a target"}
}

// waitBound returns how long a request may wait for a target by its latency aim.
func waitBound(job port.Job) time.Duration {
	if job.LatencyAim > 0 {
		return job.LatencyAim / queueDivisor
	}
	return defaultQueueTime
}

func (s *Scheduler) push(i *item) error {
	q := &s.queue
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.queues == nil {
		q.queues = fairqueue.New[*waitingRequest](func(_, account string) float64 { return s.Admission.Served(clock.Now(), account) })
	}
	if err := q.queues.Push(i, queueBounds); err != nil {
		return err
	}
	if !q.serving {
		q.serving = true
		go s.serveQueue()
	}
	return nil
}

func (s *Scheduler) withdraw(i *item) bool {
	s.queue.mu.Lock()
	defer s.queue.mu.Unlock()
	return s.queue.queues.Remove(i)
}

// serveQueue assigns waiting requests until the queue is empty.
func (s *Scheduler) serveQueue() {
	for s.serveOnce(time.Now()) {
		time.Sleep(queuePollInterval)
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
			a, err := s.assign(clock.Now(), i.Value.job)
			if errors.Is(err, errNoTarget) {
				break
			}
			q.queues.Take(now, i)
			if err != nil {
				i.Value.result <- result{err: err}
				continue
			}
			i.Value.result <- result{assignment: a}
		}
	}
	q.serving = q.queues.Len() > 0
	return q.serving
}
