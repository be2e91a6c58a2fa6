package relay

import (
	"context"
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/pkg/errors"
	"github.com/rs/zerolog"

	"rattanline.example/rattanline/clock"
	"rattanline.example/rattanline/config"
	"rattanline.example/rattanline/port"
	"rattanline.example/rattanline/quarantine"
	"rattanline.example/rattanline/request"
)

// rig implements a scheduler with an unlimited number of targets, a retry budget,
// and a handler whose attempts have the given results.
type rig struct {
	*Forwarder
	call    Call
	results []Result
	refusal *request.Refusal
	jobs    []port.Job
	ended   []port.Attempt
	answer  string
	budget  int
	// noTargetAt is the number of the call of Acquire, counted from one, that finds no
	// target; zero means none.
	noTargetAt int
	// acquired and sending are called when a target was found, and by each attempt.
	acquired, sending func()
	// withdrawn makes all targets unusable once they were assigned.
	withdrawn bool
	// endsWithContext lets attempts break off when their context ends.
	endsWithContext bool
}

func newRig(repeat config.Repeat, results ...Result) *rig {
	r := &rig{results: results, budget: 10}
	r.Forwarder = &Forwarder{Scheduler: r, Retries: r, Logger: zerolog.Nop()}
	r.call = Call{ID: "r", Service: "s", Arrived: time.Now(), Deadline: time.Now().Add(time.Minute), Repeat: repeat, Handler: r}
	return r
}

func (r *rig) run() string {
	r.Begin(&r.call)
	r.Run(context.Background(), &r.call)
	r.End(&r.call)
	return r.answer
}

func (*rig) RecordRequest(string, clock.Instant) {}

func (r *rig) TryRetry(string, clock.Instant) bool {
	r.budget--
	return r.budget >= 0
}

type fakeAssignment struct {
	*rig
	name string
}

func (a fakeAssignment) Target() config.Target       { return config.Target{Name: a.name} }
func (fakeAssignment) Basis() port.Basis             { return port.Basis{} }
func (fakeAssignment) ResponseStarted()              {}
func (a fakeAssignment) Usable() bool                { return !a.withdrawn }
func (fakeAssignment) Charge(float64)                {}
func (a fakeAssignment) Finish(attempt port.Attempt) { a.ended = append(a.ended, attempt) }

func (r *rig) Acquire(_ context.Context, j port.Job) (port.Assignment, error) {
	if r.jobs = append(r.jobs, j); len(r.jobs) == r.noTargetAt {
		return nil, &request.Refusal{Reason: request.NoTarget}
	}
	if r.acquired != nil {
		r.acquired()
	}
	return fakeAssignment{r, fmt.Sprint("t", len(r.jobs))}, nil
}

func (r *rig) Job() port.Job                                { return port.Job{RequestID: r.call.ID} }
func (r *rig) SendRefusal(context.Context) *request.Refusal { return r.refusal }
func (r *rig) Deliver()                                     { r.answer = "delivered" }
func (r *rig) Refused(f *request.Refusal)                   { r.answer = "refused " + string(f.Reason) }
func (r *rig) Lost(string)                                  { r.answer = "lost" }
func (*rig) AddLogFields(*zerolog.Event)                    {}
func (*rig) Status() int                                    { return 0 }

func (r *rig) Send(ctx context.Context, _ port.Assignment) Result {
	if r.sending != nil {
		r.sending()
	}
	if r.endsWithContext && ctx.Err() != nil {
		r.call.Wrote()
		return Result{Attempt: port.Attempt{Result: port.Canceled}, Written: true, Err: ctx.Err()}
	}
	result := r.results[0]
	r.results = r.results[1:]
	if result.Written {
		r.call.Wrote()
	}
	if result.Complete {
		r.call.Apply(request.Answer{Status: 200})
	}
	return result
}

var (
	errConnectionBroken = errors.New("connection broke")
	succeeded           = Result{Attempt: port.Attempt{Result: port.Succeeded}, Written: true, Complete: true, Final: true}
	notSent             = Result{Attempt: port.Attempt{Result: port.Unreachable}, Err: errConnectionBroken}
	notRun              = Result{Attempt: port.Attempt{Result: port.Overloaded}, Err: errors.New("full")}
	crashed             = Result{Attempt: port.Attempt{Result: port.Crashed}, Written: true, Err: errConnectionBroken}
	cutStream           = Result{Attempt: port.Attempt{Result: port.Crashed}, Written: true, Committed: true, Err: errConnectionBroken}
	failure             = Result{Attempt: port.Attempt{Result: port.Failed}, Written: true, Complete: true}
)

// Guards against requests that run twice, refusals of requests that may have run,
// and requests that fail although another attempt is allowed.
func TestAttempts(t *testing.T) {
	for name, c := range map[string]struct {
		repeat  config.Repeat
		results []Result
		answer  string
		sends   int
		change  func(*rig)
	}{
		"first attempt succeeds":                          {config.RepeatNever, []Result{succeeded}, "delivered", 1, nil},
		"not written, then served":                        {config.RepeatNever, []Result{notSent, succeeded}, "delivered", 2, nil},
		"not run, then served":                            {config.RepeatNever, []Result{notRun, succeeded}, "delivered", 2, nil},
		"never run":                                       {config.RepeatNever, []Result{notSent, notRun, notSent, notRun}, "refused no-target", 4, nil},
		"may have run once":                               {config.RepeatNever, []Result{crashed}, "lost", 1, nil},
		"not run, then may have run":                      {config.RepeatNever, []Result{notRun, crashed}, "lost", 2, nil},
		"error of a target is final":                      {config.RepeatNever, []Result{failure}, "delivered", 1, nil},
		"repeat any after crash":                          {config.RepeatAny, []Result{crashed, succeeded}, "delivered", 2, nil},
		"repeat any after error":                          {config.RepeatAny, []Result{failure, succeeded}, "delivered", 2, nil},
		"repeat any after a partial response":             {config.RepeatAny, []Result{cutStream}, "lost", 1, nil},
		"repeat any without another target":               {config.RepeatAny, []Result{crashed}, "lost", 1, func(r *rig) { r.noTargetAt = 2 }},
		"stream resumes":                                  {config.RepeatResume, []Result{cutStream, succeeded}, "delivered", 2, nil},
		"no more runs than allowed":                       {config.RepeatAny, []Result{crashed, crashed}, "lost", 2, func(r *rig) { r.call.MaxRuns = 2 }},
		"attempts that were not run do not count as runs": {config.RepeatAny, []Result{notRun, notRun, crashed, succeeded}, "delivered", 4, func(r *rig) { r.call.MaxRuns = 2 }},
		"without budget, not run":                         {config.RepeatAny, []Result{notRun}, "refused retry-budget", 1, func(r *rig) { r.budget = 0 }},
		"without budget, no connection":                   {config.RepeatAny, []Result{notSent, succeeded}, "delivered", 2, func(r *rig) { r.budget = 0 }},
		"without budget, not run, then no connection":     {config.RepeatAny, []Result{notRun, notSent, succeeded}, "delivered", 3, func(r *rig) { r.budget = 1 }},
		"without budget, may have run":                    {config.RepeatAny, []Result{crashed}, "lost", 1, func(r *rig) { r.budget = 0 }},
		"refused by the handler":                          {config.RepeatAny, nil, "refused no-target", 0, func(r *rig) { r.refusal = &request.Refusal{Reason: request.NoTarget} }},
		"no target at all":                                {config.RepeatAny, nil, "refused no-target", 0, func(r *rig) { r.noTargetAt = 1 }},
		"the deadline has passed":                         {config.RepeatAny, nil, "refused deadline-passed", 0, func(r *rig) { r.call.Deadline = time.Now().Add(-time.Second) }},
		"the last error of a target is delivered":         {config.RepeatAny, []Result{failure, failure, failure, failure}, "delivered", 4, nil},
	} {
		t.Run(name, func(t *testing.T) {
			r := newRig(c.repeat, c.results...)
			if c.change != nil {
				c.change(r)
			}
			qt.Assert(t, r.run(), qt.Equals, c.answer)
			qt.Assert(t, r.call.Sends, qt.Equals, c.sends)
			qt.Assert(t, r.results, qt.HasLen, 0)
			_, ended := request.OutcomeOf(r.call.State)
			qt.Assert(t, ended, qt.IsTrue, qt.Commentf("%T", r.call.State))
			qt.Assert(t, r.InFlight(), qt.HasLen, 0)
		})
	}
}

// Guards against a retry at a target that the request was already sent to.
func TestRetryAvoidsTriedTargets(t *testing.T) {
	r := newRig(config.RepeatAny, notSent, crashed, succeeded)
	r.run()
	qt.Assert(t, r.jobs[2].Avoid, qt.DeepEquals, []string{"t1", "t2"})
}

// Guards against a request that crashes one target after the other some time after they began to
// answer it, and against the quarantine of one whose answer had gone on at two crashes only.
func TestCrashesAfterEventsAreCounted(t *testing.T) {
	for events, needed := range map[int]int{0: 2, 1: 2, 2: 3, 40: 3} {
		t.Run(fmt.Sprint(events, " events"), func(t *testing.T) {
			registry := &quarantine.Registry{}
			for n := 1; n <= 3; n++ {
				r := newRig(config.RepeatNever, cutStream)
				marked := make(chan bool, 1)
				r.Quarantine, r.ConfirmCrash, r.OnMarked = registry, func(config.Target) bool { return true }, func() { marked <- true }
				r.call.Fingerprint = 7
				for range n {
					r.jobs = append(r.jobs, port.Job{}) // each attempt gets another target
				}
				r.sending = func() {
					for range events {
						r.call.RecordEvent()
					}
				}
				if n > needed {
					qt.Assert(t, r.run(), qt.Equals, "refused quarantined")
					continue
				}
				qt.Assert(t, r.run(), qt.Equals, "lost")
				<-marked
				qt.Assert(t, registry.Marked(time.Now(), 7), qt.IsTrue)
				qt.Assert(t, registry.Quarantined(time.Now(), 7), qt.Equals, n == needed)
			}
		})
	}
}

// Guards against the quarantine of a sound request that was interrupted by crashes while its answer
// went on, although it was answered in between.
func TestCompleteAnswerRefutesLateCrashes(t *testing.T) {
	r := newRig(config.RepeatNever, succeeded)
	registry := &quarantine.Registry{}
	r.Quarantine, r.call.Fingerprint = registry, 7
	now := time.Now()
	registry.RecordLateCrash(now.Add(-2*time.Minute), "t1", []uint64{7})
	registry.RecordLateCrash(now.Add(-time.Minute), "t2", []uint64{7})
	qt.Assert(t, r.run(), qt.Equals, "delivered")
	registry.RecordLateCrash(now, "t3", []uint64{7})
	qt.Assert(t, registry.Quarantined(now, 7), qt.IsFalse)
}

// Guards against a stream that its daemon resumes at one target after the other and crashes them all,
// because only the first of these crashes is counted.
func TestResumedStreamIsMarkedAtEachTarget(t *testing.T) {
	r := newRig(config.RepeatResume, cutStream, cutStream, cutStream, cutStream)
	registry, marked := &quarantine.Registry{}, make(chan bool, maxSends)
	r.Quarantine, r.ConfirmCrash, r.OnMarked = registry, func(config.Target) bool { return true }, func() { marked <- true }
	r.call.Fingerprint = 7
	r.sending = func() {
		for range continuingEvents {
			r.call.RecordEvent()
		}
	}
	r.run()
	for range 3 {
		<-marked
	}
	qt.Assert(t, registry.Quarantined(time.Now(), 7), qt.IsTrue)
}

// Guards against crash marks for requests whose target did not crash, and against
// crashes without marks.
func TestCrashIsConfirmed(t *testing.T) {
	for _, hasCrashed := range []bool{true, false} {
		t.Run(fmt.Sprint("crashed ", hasCrashed), func(t *testing.T) {
			r := newRig(config.RepeatNever, crashed)
			registry, checked := &quarantine.Registry{}, make(chan bool)
			r.Quarantine = registry
			r.ConfirmCrash = func(config.Target) bool { defer close(checked); return hasCrashed }
			marked := make(chan bool, 1)
			r.OnMarked = func() { marked <- true }
			r.call.Fingerprint = 7
			r.run()
			<-checked
			if hasCrashed {
				<-marked
			}
			qt.Assert(t, registry.Marked(time.Now(), 7), qt.Equals, hasCrashed)
		})
	}
}

// Guards against the quarantine of a request that its daemon sent on from one target to another,
// when both crash for another reason.
func TestRequestSentOnBetweenCrashesIsMarkedOnce(t *testing.T) {
	r := newRig(config.RepeatAny, crashed, crashed, succeeded)
	registry, marked := &quarantine.Registry{}, make(chan bool, 2)
	r.Quarantine, r.ConfirmCrash, r.OnMarked = registry, func(config.Target) bool { return true }, func() { marked <- true }
	r.call.Fingerprint = 7
	r.run()
	for range 2 {
		<-marked
	}
	qt.Assert(t, registry.Marks(time.Now()), qt.HasLen, 1)
	qt.Assert(t, registry.Quarantined(time.Now(), 7), qt.IsFalse)
}
