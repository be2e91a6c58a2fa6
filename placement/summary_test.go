package placement

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"rattanline.example/rattanline/request"
)

// Guards against a mean that leaves out what other daemons have in flight, or counts engines
// that can't be used and so have nothing in flight.
func TestMedianQueueWait(t *testing.T) {
	table := newTable("d0", []string{"d0"}, 4)
	table.PeerWork = func() map[string]Work { return map[string]Work{"t1": {Prompt: defaultSpeed}} }
	table.Started("t0", defaultSpeed, nil)
	table.SetNotice("t2", Notice{Leaving: true})
	table.SetNotice("t3", Notice{Pause: time.Minute})
	engines := Query{Service: "engine", Engine: true, Demand: prompt(request.PromptSegment{ID: "own", Tokens: 100})}
	c, ok := table.Choose(engines)
	qt.Assert(t, ok, qt.IsTrue)
	qt.Assert(t, c.MedianQueueWait, qt.Equals, table.speed("engine").duration(defaultSpeed+tokensPerRequest/2))
}

// Guards against requests that are refused because of a few engines with very long prompts,
// while the others are idle.
func TestLongPromptsAreNoQueueElsewhere(t *testing.T) {
	table := newTable("d0", []string{"d0"}, 9)
	table.PeerWork = func() map[string]Work { return map[string]Work{"t1": {Prompt: 50_000}, "t2": {Prompt: 50_000}} }
	c, ok := table.Choose(Query{Service: "engine", Engine: true, Demand: prompt(request.PromptSegment{ID: "own", Tokens: 100})})
	qt.Assert(t, ok, qt.IsTrue)
	qt.Assert(t, c.MedianQueueWait, qt.Equals, time.Duration(0))
}
