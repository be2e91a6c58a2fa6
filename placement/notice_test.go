package placement

import (
	"context"
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"rattanline.example/rattanline/clock"
	"rattanline.example/rattanline/mirror"
	"rattanline.example/rattanline/port"
	"rattanline.example/rattanline/request"
)

// assertChosen checks which targets are chosen over many queries.
func assertChosen(t *testing.T, table *Table, q Query, want ...string) {
	t.Helper()
	seen := map[string]bool{}
	for range 60 {
		if c, ok := table.Choose(q); ok {
			seen[c.Target.Name] = true
		}
	}
	for _, name := range want {
		qt.Assert(t, seen[name], qt.IsTrue, qt.Commentf("%s is not chosen: %v", name, seen))
	}
	qt.Assert(t, seen, qt.HasLen, len(want), qt.Commentf("%v", seen))
}

// Guards against requests to a target that said that it is leaving, whatever its entry says
// and whether or not other targets are left, until it restarts.
func TestLeavingTargetIsNotChosen(t *testing.T) {
	engines := Query{Service: "engine", Engine: true, Demand: prompt(request.PromptSegment{ID: "own", Tokens: 100})}
	table := newTable("d0", []string{"d0"}, 2)
	qt.Assert(t, table.SetNotice("t0", Notice{Leaving: true}), qt.IsTrue)
	qt.Assert(t, table.SetNotice("t0", Notice{Leaving: true}), qt.IsFalse)
	qt.Assert(t, table.SetNotice("unknown", Notice{Leaving: true}), qt.IsFalse)
	assertChosen(t, table, engines, "t1")
	retry := engines
	retry.Avoid = []string{"t1"} // a retry prefers targets that it was not sent to
	assertChosen(t, table, retry, "t1")
	table.Update(viewOf(2, func(e *mirror.Target) { e.Slots++ }))
	assertChosen(t, table, engines, "t1")
	table.SetNotice("t1", Notice{Leaving: true})
	assertChosen(t, table, engines)
	qt.Assert(t, table.Listed("engine"), qt.Equals, 0)
	table.Update(viewOf(2, func(e *mirror.Target) { e.StartTime = 7 }))
	qt.Assert(t, table.Listed("engine"), qt.Equals, 2)
	assertChosen(t, table, engines, "t0", "t1")
}

// Guards against a report of a peer that takes out another start of the target.
func TestPeersReportLeavingTargets(t *testing.T) {
	table := newTable("d0", []string{"d0"}, 2)
	table.PeerLeaving = func() map[string]int64 { return map[string]int64{"t0": 0, "t1": 5} }
	assertChosen(t, table, Query{Service: "engine"}, "t1")
	qt.Assert(t, table.Leaving(), qt.HasLen, 0) // only statements to this daemon
	table.SetNotice("t1", Notice{Leaving: true})
	qt.Assert(t, table.Leaving(), qt.DeepEquals, map[string]int64{"t1": 0})
}

// Guards against requests to a target in the time for which it asked to receive nothing, and
// against a shorter time that replaces a longer one.
func TestPausedTargetIsNotChosen(t *testing.T) {
	table := newTable("d0", []string{"d0"}, 2)
	plain := Query{Service: "engine"}
	began := time.Now()
	table.SetNotice("t0", Notice{Pause: 300 * time.Millisecond})
	table.SetNotice("t0", Notice{Pause: 100 * time.Millisecond})
	for time.Since(began) < 250*time.Millisecond {
		assertChosen(t, table, plain, "t1")
		time.Sleep(20 * time.Millisecond)
	}
	time.Sleep(time.Until(began.Add(310 * time.Millisecond)))
	assertChosen(t, table, plain, "t0", "t1")
}

// Guards against requests that wait, or are refused without the time after which a target is
// free, while all targets have asked for time.
func TestAllTargetsPaused(t *testing.T) {
	for name, c := range map[string]struct {
		pause  time.Duration
		refuse bool
	}{
		"longer than the aim":  {3 * time.Second, true},
		"shorter than the aim": {300 * time.Millisecond, false},
	} {
		t.Run(name, func(t *testing.T) {
			s := newEngineScheduler(2)
			s.Table.SetNotice("t0", Notice{Pause: c.pause})
			s.Table.SetNotice("t1", Notice{Pause: c.pause + time.Second})
			began := time.Now()
			a, err := s.Acquire(context.Background(), engineJob())
			took := time.Since(began)
			if !c.refuse {
				qt.Assert(t, err, qt.IsNil)
				qt.Assert(t, a.Target().Name, qt.Equals, "t0")
				qt.Assert(t, took >= c.pause, qt.IsTrue)
				return
			}
			var refusal *request.Refusal
			qt.Assert(t, err, qt.ErrorAs, &refusal)
			qt.Assert(t, took < 50*time.Millisecond, qt.IsTrue)
			qt.Assert(t, refusal.RetryAfter > c.pause-100*time.Millisecond && refusal.RetryAfter <= c.pause, qt.IsTrue, qt.Commentf("%s", refusal.RetryAfter))
		})
	}
}

// Guards against requests that are sent to a target that was withdrawn since it was chosen.
func TestChosenTargetWithdrawn(t *testing.T) {
	for name, withdraw := range map[string]func(*Table){
		"says that it leaves": func(x *Table) { x.SetNotice("t0", Notice{Leaving: true}) },
		"asked for time":      func(x *Table) { x.SetNotice("t0", Notice{Pause: time.Minute}) },
		"draining":            func(x *Table) { x.Update(viewOf(1, func(e *mirror.Target) { e.Leaving = true })) },
		"restarted":           func(x *Table) { x.Update(viewOf(1, func(e *mirror.Target) { e.StartTime = 7 })) },
		"another address":     func(x *Table) { x.Update(viewOf(1, func(e *mirror.Target) { e.Address = "10.9.9.9:80" })) },
		"gone":                func(x *Table) { x.Update(viewOf(0, nil)) },
		"evacuated": func(x *Table) {
			v := viewOf(1, nil)
			v.Evacuated["a"] = true
			x.Update(v)
		},
		"stated to a peer": func(x *Table) { x.PeerLeaving = func() map[string]int64 { return map[string]int64{"t0": 0} } },
	} {
		t.Run(name, func(t *testing.T) {
			s := newEngineScheduler(1)
			a, err := s.Acquire(context.Background(), engineJob())
			qt.Assert(t, err, qt.IsNil)
			s.Table.Update(viewOf(1, func(e *mirror.Target) { e.Slots++ }))
			qt.Assert(t, a.Usable(), qt.IsTrue)
			withdraw(s.Table)
			qt.Assert(t, a.Usable(), qt.IsFalse)
		})
	}
}

// Guards against any order of responses, notices and restarts after which a request goes to
// a target that it must not go to.
func TestNoticesProperty(t *testing.T) {
	const targets = 4
	chosenOften := 0
	rapid.Check(t, func(rt *rapid.T) {
		table := newTable("d0", []string{"d0"}, targets)
		starts := [targets]int64{}
		leaving, until := [targets]bool{}, [targets]clock.Instant{}
		for range rapid.IntRange(1, 20).Draw(rt, "steps") {
			i := rapid.IntRange(0, targets-1).Draw(rt, "target")
			name := fmt.Sprint("t", i)
			switch rapid.SampledFrom([]string{"leave", "pause", "restart", "entry", "wait", "end"}).Draw(rt, "step") {
			case "leave":
				table.SetNotice(name, Notice{Leaving: true})
				leaving[i] = true
			case "pause":
				pause := time.Duration(rapid.IntRange(1, 12).Draw(rt, "pause")) * time.Millisecond
				until[i] = max(until[i], clock.Now().Add(pause))
				table.SetNotice(name, Notice{Pause: pause})
			case "restart":
				starts[i]++
				leaving[i], until[i] = false, 0
				fallthrough
			case "entry":
				n := 0
				table.Update(viewOf(targets, func(e *mirror.Target) { e.StartTime = starts[n]; n++ }))
			case "wait":
				time.Sleep(time.Duration(rapid.IntRange(1, 6).Draw(rt, "wait")) * time.Millisecond)
			case "end":
				table.Started(name, 100, nil)
				table.Ended(name, port.Attempt{Result: rapid.SampledFrom([]port.AttemptResult{port.Succeeded, port.Overloaded, port.Failed}).Draw(rt, "result")}, Choice{Wait: time.Millisecond})
			}
			for range 8 {
				chosen, ok := table.Choose(Query{Service: "engine", Engine: true, Avoid: []string{name}})
				if !ok {
					continue
				}
				after := clock.Now() // the pause may have ended during the choice
				chosenOften++
				var j int
				_, _ = fmt.Sscanf(chosen.Target.Name, "t%d", &j)
				if leaving[j] || after < until[j].Add(-time.Millisecond) {
					rt.Fatalf("%s is chosen: leaving %t, asked for %s more", chosen.Target.Name, leaving[j], until[j].Sub(after))
				}
			}
		}
	})
	qt.Assert(t, chosenOften > 100, qt.IsTrue, qt.Commentf("only %d targets were chosen", chosenOften))
}
