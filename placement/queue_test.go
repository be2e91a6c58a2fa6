package placement

import (
	"context"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/pkg/errors"

	"rattanline.example/rattanline/admission"
	"rattanline.example/rattanline/clock"
	"rattanline.example/rattanline/port"
	"rattanline.example/rattanline/request"
)

// newScheduler returns a scheduler for plain targets that take one request each.
func newScheduler(targets int) *Scheduler {
	table := newTable("d0", []string{"d0"}, targets)
	table.MaxConnections = func(string) int { return 1 }
	return &Scheduler{
		Table: table, Admission: &admission.Controller{PeerRates: func() map[string]admission.Rate { return nil }},
		Engine: func(string) bool { return false },
	}
}

func plainJob(account string) port.Job {
	return port.Job{Service: "engine", Account: account, Deadline: time.Now().Add(time.Minute), LatencyAim: 400 * time.Millisecond}
}

// Guards against refused requests for which a target becomes free shortly after.
func TestWaitsForTarget(t *testing.T) {
	s := newScheduler(1)
	first, err := s.Acquire(context.Background(), plainJob("shop"))
	qt.Assert(t, err, qt.IsNil)
	time.AfterFunc(30*time.Millisecond, func() { first.Finish(port.Attempt{Result: port.Succeeded}) })
	second, err := s.Acquire(context.Background(), plainJob("shop"))
	qt.Assert(t, err, qt.IsNil)
	second.Finish(port.Attempt{Result: port.Succeeded})
	qt.Assert(t, s.Table.InFlight(), qt.HasLen, 0)
}

// Guards against requests that wait too long before they are refused, or that wait
// at all when there is no target that could become free.
func TestWaitIsBounded(t *testing.T) {
	for name, c := range map[string]struct {
		targets      int
		least, limit time.Duration
	}{
		"all targets busy": {1, 80 * time.Millisecond, 300 * time.Millisecond},
		"no targets":       {0, 0, 20 * time.Millisecond},
	} {
		t.Run(name, func(t *testing.T) {
			s := newScheduler(c.targets)
			if c.targets > 0 {
				_, err := s.Acquire(context.Background(), plainJob("shop"))
				qt.Assert(t, err, qt.IsNil)
			}
			began := time.Now()
			_, err := s.Acquire(context.Background(), plainJob("shop"))
			took := time.Since(began)
			var refusal *request.Refusal
			qt.Assert(t, errors.As(err, &refusal), qt.IsTrue)
			qt.Assert(t, refusal.RetryAfter > 0, qt.IsTrue)
			qt.Assert(t, took >= c.least && took < c.limit, qt.IsTrue, qt.Commentf("%s", took))
		})
	}
}

// Guards against an account that fills the queue and starves other accounts of the
// targets that become free.
func TestWaitIsFair(t *testing.T) {
	s := newScheduler(1)
	// The account "flood" recently received much work.
	s.Admission.Decide(clock.Now(), admission.Request{Account: "flood", Work: 1e6, Aim: time.Second, Timeout: time.Minute})
	held, err := s.Acquire(context.Background(), plainJob("flood"))
	qt.Assert(t, err, qt.IsNil)
	var mu sync.Mutex
	var order []string
	var done sync.WaitGroup
	acquire := func(account string) {
		done.Go(func() {
			a, err := s.Acquire(context.Background(), plainJob(account))
			if err != nil {
				return
			}
			mu.Lock()
			order = append(order, account)
			mu.Unlock()
			a.Finish(port.Attempt{Result: port.Succeeded})
		})
	}
	for range 3 {
		acquire("flood")
	}
	time.Sleep(10 * time.Millisecond)
	acquire("small")
	time.Sleep(10 * time.Millisecond)
	held.Finish(port.Attempt{Result: port.Succeeded})
	done.Wait()
	qt.Assert(t, len(order) > 0 && order[0] == "small", qt.IsTrue, qt.Commentf("%v", order))
}

// Guards against queued requests that are assigned to a target after their caller
// disconnected.
func TestCallerLeavesQueue(t *testing.T) {
	s := newScheduler(1)
	held, err := s.Acquire(context.Background(), plainJob("shop"))
	qt.Assert(t, err, qt.IsNil)
	ctx, cancel := context.WithCancel(context.Background())
	time.AfterFunc(20*time.Millisecond, cancel)
	_, err = s.Acquire(ctx, plainJob("shop"))
	qt.Assert(t, err, qt.IsNotNil)
	held.Finish(port.Attempt{Result: port.Succeeded})
	qt.Assert(t, s.Table.InFlight(), qt.HasLen, 0)
}

// Guards against memory use that grows without bound with the waiting requests of
// one account.
func TestQueueIsBounded(t *testing.T) {
	s := newScheduler(1)
	_, err := s.Acquire(context.Background(), plainJob("shop"))
	qt.Assert(t, err, qt.IsNil)
	full := 0
	var mu sync.Mutex
	var done sync.WaitGroup
	for range queueBounds.Requests + 10 {
		done.Go(func() {
			_, err := s.Acquire(context.Background(), plainJob("shop"))
			var refusal *request.Refusal
			if errors.As(err, &refusal) && refusal.Reason == request.QueueFull {
				mu.Lock()
				full++
				mu.Unlock()
			}
		})
	}
	done.Wait()
	qt.Assert(t, full >= 10, qt.IsTrue, qt.Commentf("%d", full))
}
