package request

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"
)

// Guards against the outcome not-run after an attempt that may have run.
func TestNotRunImpliesNoExecution(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		idempotent := rapid.Bool().Draw(t, "idempotent")
		var s State = Queued{}
		writes, pending := 0, false // attempts that may have run; whether one is in progress
		for range 12 {
			e := rapid.SampledFrom([]Event{
				Claim{Attempt: "a"},
				Write{},
				Answer{Status: 503},
				Answer{Status: 200},
				Complete{NotRunStatus: true},
				Complete{},
				Retry{Idempotent: idempotent},
				Refuse{Refusal: &Refusal{}},
				Lose{},
			}).Draw(t, "event")
			next, err := Next(s, e)
			if err != nil {
				continue
			}
			switch e := e.(type) {
			case Write:
				if !pending {
					writes++
				}
				pending = true
			case Retry:
				if pending && !idempotent {
					t.Fatalf("retry of a written request that isn't idempotent: %T to %T", s, next)
				}
				pending = false
			case Complete:
				if e.NotRunStatus {
					writes--
				}
			}
			s = next
			outcome, ended := OutcomeOf(s)
			if ended && outcome == OutcomeNotRun && writes > 0 {
				t.Fatalf("not-run after %d attempts that may have run", writes)
			}
		}
	})
}

// Guards against states that cannot end, and against changes of state after the
// end.
func TestTransitions(t *testing.T) {
	refusal := &Refusal{Reason: Stopping, Detail: "stops"}
	for name, c := range map[string]struct {
		from State
		by   Event
		to   State // nil if the transition isn't allowed
	}{
		"refused while queued":                {Queued{}, Refuse{refusal}, Refused{refusal}},
		"refused while claimed":               {Claimed{"a"}, Refuse{refusal}, Refused{refusal}},
		"refused after a lost attempt":        {Queued{MayHaveRun: true}, Refuse{refusal}, Unknown{"stops"}},
		"refused after a write":               {Sent{}, Refuse{refusal}, Unknown{"stops"}},
		"not-run status":                      {Streaming{Status: 503}, Complete{NotRunStatus: true}, Done{503, OutcomeNotRun}},
		"not-run status after a lost attempt": {Streaming{503, true}, Complete{NotRunStatus: true}, Done{503, OutcomeUnknown}},
		"overload without not-run status":     {Streaming{Status: 429}, Complete{}, Done{429, OutcomeUnknown}},
		"complete response":                   {Streaming{Status: 201}, Complete{}, Done{201, OutcomeRan}},
		"cut response":                        {Streaming{Status: 200}, Lose{"cut"}, Unknown{"cut"}},
		"lost before a write":                 {Queued{}, Lose{"cut"}, nil},
		"retry of a write":                    {Sent{}, Retry{}, nil},
		"claim after a lost attempt":          {Queued{MayHaveRun: true}, Claim{"a"}, nil},
		"refused after the end":               {Done{200, OutcomeRan}, Refuse{refusal}, nil},
		"retry after an unknown outcome":      {Unknown{}, Retry{Idempotent: true}, nil},
		"written after a refusal":             {Refused{refusal}, Write{}, nil},
		"response to a request not sent":      {Queued{}, Answer{200}, nil},
		"retry of an idempotent response":     {Streaming{Status: 503}, Retry{Idempotent: true}, Queued{MayHaveRun: true}},
	} {
		t.Run(name, func(t *testing.T) {
			to, err := Next(c.from, c.by)
			if c.to == nil {
				qt.Assert(t, err, qt.IsNotNil)
				return
			}
			qt.Assert(t, err, qt.IsNil)
			qt.Assert(t, to, qt.DeepEquals, c.to)
		})
	}
}

// Guards against a Retry-After header that is rounded down, so that callers retry
// too early.
func TestProblem(t *testing.T) {
	p := ProblemOfRefusal("id", &Refusal{Reason: QueueFull, RetryAfter: 1200 * time.Millisecond})
	qt.Assert(t, p.Status, qt.Equals, 429)
	qt.Assert(t, p.RetryAfter(), qt.Equals, "2")
	read, err := ParseProblem(p.Encode())
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, read, qt.Equals, p)
	u := ProblemOfUnknown("id", Unknown{Cause: "deadline"}, true)
	qt.Assert(t, []any{u.Status, u.Outcome, u.RetryAfter()}, qt.DeepEquals, []any{504, OutcomeUnknown, ""})
}

// Guards against a problem document that changes when it is parsed, encoded and
// parsed again.
func FuzzProblem(f *testing.F) {
	f.Add(ProblemOfRefusal("id", &Refusal{Reason: Drained, Detail: "\x00\"\u2028"}).Encode())
	f.Add([]byte(`{"status":503,"outcome":"maybe"}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		p, err := ParseProblem(data)
		if err != nil {
			return
		}
		again, err := ParseProblem(p.Encode())
		qt.Assert(t, err, qt.IsNil)
		qt.Assert(t, again, qt.Equals, p)
	})
}
