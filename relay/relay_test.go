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

// rig is a scheduler with as many targets as are asked for, and a listener whose
// attempts end as the test says.
type rig struct {
	*Forwarder
	call    Call
	results []Result
	barred  *request.Refusal
	jobs    []port.Job
	ended   []port.Attempt
	answer  string
	budget  int
	// none is the number of the attempt for which there is no target.
	none int
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

type slot struct {
	*rig
	name string
}

func (s slot) Target() config.Target { return config.Target{Name: s.name} }
func (slot) Basis() port.Basis       { return port.Basis{} }
func (slot) Began()                  {}
func (slot) Charge(float64)          {}
func (s slot) Finish(a port.Attempt) { s.ended = append(s.ended, a) }

func (r *rig) Acquire(_ context.Context, j port.Job) (port.Assignment, error) {
	if r.jobs = append(r.jobs, j); len(r.jobs) == r.none {
		return nil, &request.Refusal{Reason: request.NoTarget}
	}
	return slot{r, fmt.Sprint("t", len(r.jobs))}, nil
}

func (r *rig) Job() port.Job                                { return port.Job{RequestID: r.call.ID} }
func (r *rig) SendRefusal(context.Context) *request.Refusal { return r.barred }
func (r *rig) Deliver()                                     { r.answer = "delivered" }
func (r *rig) Refused(f *request.Refusal)                   { r.answer = "refused " + string(f.Reason) }
func (r *rig) Lost(string)                                  { r.answer = "lost" }
func (*rig) AddLogFields(*zerolog.Event)                    {}
func (*rig) Status() int                                    { return 0 }

func (r *rig) Send(context.Context, port.Assignment) Result {
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
	errBroke  = errors.New("connection broke")
	good      = Result{Attempt: port.Attempt{Result: port.Succeeded}, Written: true, Complete: true, Final: true}
	unsent    = Result{Attempt: port.Attempt{Result: port.Unreachable}, Err: errBroke}
	notRun    = Result{Attempt: port.Attempt{Result: port.Overloaded}, Err: errors.New("full")}
	crashed   = Result{Attempt: port.Attempt{Result: port.Crashed}, Written: true, Err: errBroke}
	cutStream = Result{Attempt: port.Attempt{Result: port.Crashed}, Written: true, Committed: true, Err: errBroke}
	failure   = Result{Attempt: port.Attempt{Result: port.Failed}, Written: true, Complete: true}
)

// Guards against requests that run twice, refusals that aren't true, and
// requests that are given up though another attempt is allowed.
func TestAttempts(t *testing.T) {
	for name, c := range map[string]struct {
		repeat  config.Repeat
		results []Result
		answer  string
		sends   int
		change  func(*rig)
	}{
		"once":                          {config.RepeatNever, []Result{good}, "delivered", 1, nil},
		"not written, then served":      {config.RepeatNever, []Result{unsent, good}, "delivered", 2, nil},
		"not run, then served":          {config.RepeatNever, []Result{notRun, good}, "delivered", 2, nil},
		"never run after all":           {config.RepeatNever, []Result{unsent, notRun, unsent, notRun}, "refused no-target", 4, nil},
		"may have run once":             {config.RepeatNever, []Result{crashed}, "lost", 1, nil},
		"not run, then may have run":    {config.RepeatNever, []Result{notRun, crashed}, "lost", 2, nil},
		"error of a target is final":    {config.RepeatNever, []Result{failure}, "delivered", 1, nil},
		"any after crash":               {config.RepeatAny, []Result{crashed, good}, "delivered", 2, nil},
		"any after error":               {config.RepeatAny, []Result{failure, good}, "delivered", 2, nil},
		"any after a part was seen":     {config.RepeatAny, []Result{cutStream}, "lost", 1, nil},
		"any, then no target":           {config.RepeatAny, []Result{crashed}, "lost", 1, func(r *rig) { r.none = 2 }},
		"stream goes on":                {config.RepeatFrom, []Result{cutStream, good}, "delivered", 2, nil},
		"no more runs than allowed":     {config.RepeatAny, []Result{crashed, crashed}, "lost", 2, func(r *rig) { r.call.MaxRuns = 2 }},
		"refusals are no runs":          {config.RepeatAny, []Result{notRun, notRun, crashed, good}, "delivered", 4, func(r *rig) { r.call.MaxRuns = 2 }},
		"without budget, not run":       {config.RepeatAny, []Result{unsent}, "refused retry-budget", 1, func(r *rig) { r.budget = 0 }},
		"without budget, may have run":  {config.RepeatAny, []Result{crashed}, "lost", 1, func(r *rig) { r.budget = 0 }},
		"barred":                        {config.RepeatAny, nil, "refused no-target", 0, func(r *rig) { r.barred = &request.Refusal{Reason: request.NoTarget} }},
		"no target at all":              {config.RepeatAny, nil, "refused no-target", 0, func(r *rig) { r.none = 1 }},
		"the time is over":              {config.RepeatAny, nil, "refused deadline-passed", 0, func(r *rig) { r.call.Deadline = time.Now().Add(-time.Second) }},
		"a target's own bad last words": {config.RepeatAny, []Result{failure, failure, failure, failure}, "delivered", 4, nil},
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

// Guards against another attempt at the target of the last one.
func TestAvoid(t *testing.T) {
	r := newRig(config.RepeatAny, unsent, crashed, good)
	r.run()
	qt.Assert(t, r.jobs[2].Avoid, qt.DeepEquals, []string{"t1", "t2"})
}

// Guards against marks of requests whose target runs on, and against crashes
// that leave no marks.
func TestCrashIsConfirmed(t *testing.T) {
	for _, gone := range []bool{true, false} {
		t.Run(fmt.Sprint(gone), func(t *testing.T) {
			r := newRig(config.RepeatNever, crashed)
			registry, asked := &quarantine.Registry{}, make(chan bool)
			r.Quarantine = registry
			r.ConfirmCrash = func(config.Target) bool { defer close(asked); return gone }
			marked := make(chan bool, 1)
			r.OnMarked = func() { marked <- true }
			r.call.Fingerprint = 7
			r.run()
			<-asked
			if gone {
				<-marked
			}
			qt.Assert(t, registry.Marked(time.Now(), 7), qt.Equals, gone)
		})
	}
}
