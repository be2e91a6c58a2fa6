package placement

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"rattanline.example/rattanline/clock"
	"rattanline.example/rattanline/port"
)

// stream records a stream whose events came at the interval.
func stream(t *Table, target string, interval time.Duration) {
	t.Ended(target, port.Attempt{Result: port.Succeeded, EventInterval: interval}, Choice{})
}

// Guards against an engine that gets as many streams as faster ones although its streams get
// their events slowly.
func TestSlowStreamsRepelRequests(t *testing.T) {
	table := newTable("d0", []string{"d0"}, 3)
	for range 30 {
		stream(table, "t0", 90*time.Millisecond)
		stream(table, "t1", 40*time.Millisecond)
		stream(table, "t2", 40*time.Millisecond)
	}
	chosen := map[string]int{}
	for range 300 {
		c, ok := table.Choose(Query{Service: "engine", Engine: true})
		qt.Assert(t, ok, qt.IsTrue)
		chosen[c.Target.Name]++
	}
	qt.Check(t, chosen["t0"] < 30, qt.IsTrue, qt.Commentf("%v", chosen))
	qt.Check(t, chosen["t1"] > 60 && chosen["t2"] > 60, qt.IsTrue, qt.Commentf("%v", chosen))
}

// Guards against an engine that is never tried again after its streams were slow, and one
// whose pace is unknown that is avoided or preferred.
func TestPaceIsForgotten(t *testing.T) {
	now := clock.Now()
	var p eventPace
	qt.Check(t, p.relative(now, 40*time.Millisecond), qt.Equals, 1.0)
	p.add(now, 100*time.Millisecond)
	qt.Check(t, p.relative(now, 0), qt.Equals, 1.0)
	qt.Check(t, p.relative(now, 40*time.Millisecond), qt.Equals, 2.5)
	qt.Check(t, p.relative(now, 10*time.Millisecond), qt.Equals, maxPace)
	qt.Check(t, p.relative(now.Add(3*paceDecayTime), 40*time.Millisecond) < 1.1, qt.IsTrue)
}
