package placement

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"rattanline.example/rattanline/request"
)

// Guards against a long prompt that makes many streams of an engine late although another
// engine runs few.
func TestLongPromptAvoidsStreams(t *testing.T) {
	for _, c := range []struct {
		name   string
		tokens int
		aim    time.Duration
		few    bool // whether the engine with few streams has to be chosen
	}{
		{"long", 30_000, 500 * time.Millisecond, true},
		{"short", 300, 500 * time.Millisecond, false},
		{"no aim", 30_000, 0, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			table := newTable("d0", []string{"d0"}, 12)
			// The engine with few streams has a little more to read first.
			table.PeerWork = func() map[string]Work {
				work := map[string]Work{"t0": {Requests: 2, Prompt: 4000}}
				for _, name := range []string{"t1", "t2", "t3", "t4", "t5", "t6", "t7", "t8", "t9", "t10", "t11"} {
					work[name] = Work{Requests: 30}
				}
				return work
			}
			few := 0
			for range 20 {
				choice, ok := table.Choose(Query{
					Service: "engine", Engine: true, PauseAim: c.aim, Demand: prompt(request.PromptSegment{ID: "own", Tokens: c.tokens}),
				})
				qt.Assert(t, ok, qt.IsTrue)
				if choice.Target.Name == "t0" {
					few++
				}
			}
			if c.few {
				qt.Check(t, few, qt.Equals, 20)
			} else {
				qt.Check(t, few < 20, qt.IsTrue)
			}
		})
	}
}

// Guards against a cost of a prompt at an idle engine, or one that falls as the prompt grows.
func TestPauseCost(t *testing.T) {
	const aim = 500 * time.Millisecond
	cost := func(queue, own time.Duration, requests int) time.Duration {
		return Choice{QueueWait: queue, Wait: queue + own}.pauseCost(aim, requests)
	}
	qt.Check(t, cost(0, time.Second, 0), qt.Equals, time.Duration(0))
	qt.Check(t, cost(0, aim, 1), qt.Equals, pausePenalty)
	for own := time.Duration(0); own < 2*time.Second; own += 100 * time.Millisecond {
		qt.Check(t, cost(0, own+100*time.Millisecond, 10) >= cost(0, own, 10), qt.IsTrue)
		qt.Check(t, cost(200*time.Millisecond, own, 10) >= 0, qt.IsTrue)
	}
}
