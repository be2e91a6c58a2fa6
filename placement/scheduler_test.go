package placement

import (
	"context"
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"rattanline.example/rattanline/admission"
	"rattanline.example/rattanline/clock"
	"rattanline.example/rattanline/port"
	"rattanline.example/rattanline/request"
)

// promptTokens is the size of the prompts in these tests.
const promptTokens = 4000

// newEngineScheduler returns a scheduler for engines.
func newEngineScheduler(engines int) *Scheduler {
	return &Scheduler{
		Table:     newTable("d0", []string{"d0"}, engines),
		Admission: &admission.Controller{PeerRates: func() map[string]admission.Rate { return nil }},
		Engine:    func(string) bool { return true },
	}
}

func engineJob() port.Job {
	return port.Job{
		Service: "engine", Account: "shop", Deadline: time.Now().Add(time.Minute), LatencyAim: 400 * time.Millisecond,
		Demand: request.Demand{Prompt: promptTokens},
	}
}

// servedWork returns the work per second that counts as served to the account of engineJob.
func servedWork(s *Scheduler) float64 { return s.Admission.Rates(clock.Now())["shop"].Served }

// Guards against work that doesn't count towards an account's share because it was sent
// to another target before.
func TestRetriesCountAsServed(t *testing.T) {
	s := newEngineScheduler(2)
	job := engineJob()
	first, err := s.Acquire(context.Background(), job)
	qt.Assert(t, err, qt.IsNil)
	once := servedWork(s)
	qt.Assert(t, once > 0, qt.IsTrue)
	first.Finish(port.Attempt{Result: port.Unreachable})
	qt.Assert(t, servedWork(s) < once/10, qt.IsTrue, qt.Commentf("%.0f after an attempt that ran nothing", servedWork(s)))

	job.Avoid, job.Retry = []string{first.Target().Name}, true
	second, err := s.Acquire(context.Background(), job)
	qt.Assert(t, err, qt.IsNil)
	second.Finish(port.Attempt{Result: port.Succeeded})
	qt.Assert(t, servedWork(s) > 0.9*once, qt.IsTrue, qt.Commentf("%.0f of %.0f", servedWork(s), once))
}

// Guards against requests that bypass admission because they avoid a target, although
// they were not admitted before.
func TestFirstAttemptIsDecided(t *testing.T) {
	s := newEngineScheduler(2)
	for range 40 { // fills the queues of both engines
		s.Table.Started("t0", promptTokens, nil)
		s.Table.Started("t1", promptTokens, nil)
	}
	job := engineJob()
	job.Avoid = []string{"t0"}
	_, err := s.Acquire(context.Background(), job)
	var refusal *request.Refusal
	qt.Assert(t, err, qt.ErrorAs, &refusal)
	qt.Assert(t, refusal.Reason, qt.Equals, request.QueueFull)
	job.Retry = true
	_, err = s.Acquire(context.Background(), job)
	qt.Assert(t, err, qt.IsNil)
}

// Guards against an account below its share that is refused because the few engines that are
// compared for its request have long queues, while others have none.
func TestAccountBelowItsShareIsServedElsewhere(t *testing.T) {
	const busy, free = 40, 10
	work := map[string]Work{}
	for i := range busy {
		work[fmt.Sprint("t", i)] = Work{Prompt: 2 * defaultSpeed}
	}
	rates := map[string]admission.Rate{"small": {Asked: 90_000, Served: 30_000}, "large": {Asked: 900_000, Served: 300_000}}
	s := newEngineScheduler(busy + free)
	s.Table.PeerWork = func() map[string]Work { return work }
	s.Admission.PeerRates = func() map[string]admission.Rate { return rates }
	admitted := map[string]int{}
	for i := range 100 {
		for name := range rates {
			job := engineJob()
			job.Account = name
			job.Demand = prompt(request.PromptSegment{ID: fmt.Sprint("shared", i), Tokens: 100}, request.PromptSegment{ID: fmt.Sprint(name, i), Tokens: 10})
			if a, err := s.Acquire(context.Background(), job); err == nil {
				a.Finish(port.Attempt{Result: port.Succeeded})
				admitted[name]++
			}
		}
	}
	qt.Check(t, admitted["small"], qt.Equals, 100)
	qt.Check(t, admitted["large"] < 5, qt.IsTrue, qt.Commentf("%d", admitted["large"]))
}
