package limit

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"
)

var begin = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// at returns the time that is the given number of seconds after begin.
func at(seconds float64) time.Time {
	return begin.Add(time.Duration(seconds * float64(time.Second)))
}

// round returns an observation of n successes of incarnation "a" with a normal
// latency, while all slots were busy.
func round(n int) Observation {
	return Observation{Successes: n, FirstByte: 100 * time.Millisecond, Saturated: true, Incarnation: "a"}
}

// warm returns a controller for a warm target of incarnation "a" with the limit.
func warm(limit int) *Controller {
	c := New(2, 16)
	c.Adopt("a", limit, false)
	c.Observe(at(0), Observation{Successes: 1, FirstByte: 100 * time.Millisecond, Incarnation: "a"})
	return c
}

func assertLimit(c *qt.C, l *Controller, limit int, ramping bool) {
	c.Helper()
	c.Assert(l.Limit(), qt.Equals, limit)
	c.Assert(l.Ramping(), qt.Equals, ramping)
}

func TestLimitChanges(t *testing.T) {
	slow := round(8)
	slow.FirstByte = 250 * time.Millisecond
	sudden := round(8)
	sudden.FirstByte = time.Second
	restarted := round(1)
	restarted.Incarnation = "b"
	idle := round(8)
	idle.Saturated = false
	tests := []struct {
		name    string
		do      func(l *Controller)
		limit   int
		ramping bool
	}{
		{"a full round raises by one", func(l *Controller) { l.Observe(at(1), round(8)) }, 9, false},
		{"a partial round doesn't raise", func(l *Controller) { l.Observe(at(1), round(7)) }, 8, false},
		{"unsaturated successes don't raise", func(l *Controller) { l.Observe(at(1), idle) }, 8, false},
		{"a slow round doesn't raise", func(l *Controller) { l.Observe(at(1), slow) }, 8, false},
		{"many rounds raise by at most a quarter", func(l *Controller) { l.Observe(at(1), round(1000)) }, 10, false},
		{"a queue stops the increase", func(l *Controller) {
			l.Report(at(1), Load{Queued: 1, Incarnation: "a"})
			l.Observe(at(1.1), round(8))
		}, 8, false},
		{"an empty queue allows the increase again", func(l *Controller) {
			l.Report(at(1), Load{Queued: 1, Incarnation: "a"})
			l.Report(at(2), Load{Incarnation: "a"})
			l.Observe(at(2.1), round(8))
		}, 9, false},
		{"a report older than the decrease raises nothing", func(l *Controller) {
			l.Report(at(1), Load{Queued: 1, Incarnation: "a"})
			l.Observe(at(2), Observation{Overloads: 1})
			l.Report(at(2.1), Load{Incarnation: "a", Age: 500 * time.Millisecond})
			l.Observe(at(3), round(4))
		}, 4, false},
		{"a failure halves", func(l *Controller) { l.Observe(at(1), Observation{Failures: 1}) }, 4, false},
		{"an overload halves", func(l *Controller) { l.Observe(at(1), Observation{Overloads: 3}) }, 4, false},
		{"overloads halve at most once per round trip", func(l *Controller) {
			l.Observe(at(1), Observation{Overloads: 1})
			l.Observe(at(1.05), Observation{Overloads: 1})
		}, 4, false},
		{"an overload halves again after a round trip", func(l *Controller) {
			l.Observe(at(1), Observation{Overloads: 1})
			l.Observe(at(1.2), Observation{Overloads: 1})
		}, 2, false},
		{"a new incarnation in a response is cold", func(l *Controller) { l.Observe(at(1), restarted) }, 2, true},
		{"a new incarnation in a report is cold", func(l *Controller) {
			l.Report(at(1), Load{Incarnation: "b"})
		}, 2, true},
		{"a late report of the former incarnation changes nothing", func(l *Controller) {
			l.Observe(at(1), restarted)
			l.Report(at(1.1), Load{Incarnation: "a", Age: 10 * time.Millisecond})
		}, 2, true},
		{"sudden slowness is cold", func(l *Controller) { l.Observe(at(1), sudden) }, 2, true},
		{"one slow success is not cold", func(l *Controller) {
			o := sudden
			o.Successes = 1
			l.Observe(at(1), o)
		}, 8, false},
		{"adopting the same incarnation takes the lower limit", func(l *Controller) { l.Adopt("a", 5, true) }, 5, true},
		{"adopting a higher limit changes nothing", func(l *Controller) { l.Adopt("a", 12, false) }, 8, false},
		{"adopting another incarnation is cold", func(l *Controller) { l.Adopt("b", 12, false) }, 2, true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			l := warm(8)
			tt.do(l)
			assertLimit(qt.New(t), l, tt.limit, tt.ramping)
		})
	}
}

func TestRampUp(t *testing.T) {
	c := qt.New(t)
	// Guards against short requests that raise the limit of a cold target before a
	// load report can show that it is full.
	c.Run("waits for a report after each increase", func(c *qt.C) {
		l := New(2, 16)
		l.Report(at(0), Load{Incarnation: "a"})
		for i := range 100 {
			l.Observe(at(0.1+float64(i)/1000), round(2))
		}
		assertLimit(c, l, 2, true)
		l.Report(at(1), Load{Incarnation: "a", Age: 100 * time.Millisecond})
		l.Observe(at(1.1), round(100))
		l.Observe(at(1.2), round(100))
		assertLimit(c, l, 3, true)
	})
	c.Run("without reports one increase per second", func(c *qt.C) {
		l := New(2, 16)
		for i := range 100 {
			l.Observe(at(float64(i)/25), round(4))
		}
		assertLimit(c, l, 5, true)
	})
	c.Run("ends at the maximum", func(c *qt.C) {
		l := New(2, 4)
		for i := range 4 {
			l.Report(at(float64(i)), Load{Incarnation: "a"})
			l.Observe(at(float64(i)+0.5), round(8))
		}
		assertLimit(c, l, 4, false)
	})
	c.Run("continues after a change of owner", func(c *qt.C) {
		l := New(2, 16)
		l.Adopt("a", 7, true)
		assertLimit(c, l, 7, true)
		l.Observe(at(0), round(1))
		assertLimit(c, l, 7, true)
	})
}

func TestEjection(t *testing.T) {
	c := qt.New(t)
	assertEjected := func(c *qt.C, l *Controller, now time.Time, ejected bool, limit int) {
		c.Helper()
		c.Assert(l.Ejected(now), qt.Equals, ejected)
		c.Assert(l.Limit(), qt.Equals, limit)
	}
	c.Run("after consecutive failures only", func(c *qt.C) {
		l := warm(8)
		l.Observe(at(1), Observation{Failures: 4})
		l.Observe(at(1), round(1))
		l.Observe(at(1), Observation{Failures: 4})
		c.Assert(l.Ejected(at(1)), qt.IsFalse)
		l.Observe(at(1), Observation{Failures: 1})
		assertEjected(c, l, at(1.5), true, 0)
		assertEjected(c, l, at(2), true, 1)
	})
	c.Run("after a crash, and cold when a probe succeeds", func(c *qt.C) {
		l := warm(8)
		l.Observe(at(1), Observation{Crashes: 1})
		l.Observe(at(1.5), round(3)) // these were in flight at the crash
		assertEjected(c, l, at(1.5), true, 0)
		c.Assert(l.ProbeDue(at(2)), qt.IsTrue)
		l.Observe(at(2.1), round(1))
		assertEjected(c, l, at(2.1), false, 2)
		c.Assert(l.Ramping(), qt.IsTrue)
	})
	c.Run("the interval doubles up to 30 s", func(c *qt.C) {
		l := warm(8)
		now := at(1)
		l.Observe(now, Observation{Crashes: 1})
		for _, seconds := range []int{1, 2, 4, 8, 16, 30, 30} {
			interval := time.Duration(seconds) * time.Second
			c.Assert(l.ProbeDue(now.Add(interval-time.Millisecond)), qt.IsFalse)
			now = now.Add(interval)
			c.Assert(l.ProbeDue(now), qt.IsTrue)
			l.Observe(now, Observation{Crashes: 1})
		}
	})
}

// TestLimitProperties runs random histories. It guards against limits out of bounds,
// limits above the cold limit for a new incarnation, and limits that don't recover
// under steady success. TestMain fixes the seed.
func TestLimitProperties(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		cold := rapid.IntRange(1, 8).Draw(t, "cold")
		top := rapid.IntRange(cold, 64).Draw(t, "max")
		l := New(cold, top)
		now := at(0)
		incarnations := rapid.SampledFrom([]string{"", "a", "b", "c"})
		for range rapid.IntRange(1, 200).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 3000).Draw(t, "ms")) * time.Millisecond)
			before := l.Incarnation()
			switch rapid.IntRange(0, 3).Draw(t, "step") {
			case 0:
				l.Report(now, Load{
					Queued: rapid.IntRange(0, 1).Draw(t, "queued"), Incarnation: incarnations.Draw(t, "incarnation"),
					Age: time.Duration(rapid.IntRange(0, 1000).Draw(t, "age")) * time.Millisecond,
				})
			case 1:
				l.Adopt(incarnations.Draw(t, "incarnation"), rapid.IntRange(-1, 100).Draw(t, "limit"), false)
				before = l.Incarnation()
			default:
				l.Observe(now, Observation{
					Successes: rapid.IntRange(0, 100).Draw(t, "successes"),
					Failures:  rapid.IntRange(0, 2).Draw(t, "failures"),
					Crashes:   rapid.IntRange(0, 10).Draw(t, "crashes") / 10,
					FirstByte: time.Duration(rapid.IntRange(1, 500).Draw(t, "latency")) * time.Millisecond,
					Saturated: true, Incarnation: incarnations.Draw(t, "incarnation"),
				})
			}
			if l.Limit() > top || l.limit < 1 {
				t.Fatalf("limit %d outside 1..%d", l.limit, top)
			}
			if before != "" && l.Incarnation() != before && l.Limit() > cold {
				t.Fatalf("limit %d above the cold limit %d at a new incarnation", l.Limit(), cold)
			}
		}
		for range 1000 {
			now = now.Add(time.Second)
			l.Report(now, Load{Incarnation: l.Incarnation()})
			now = now.Add(time.Millisecond)
			l.Observe(now, Observation{
				Successes: 2 * top, FirstByte: 100 * time.Millisecond, Saturated: true, Incarnation: l.Incarnation(),
			})
		}
		if l.Limit() != top || l.Ramping() {
			t.Fatalf("limit %d did not recover to %d under steady success", l.Limit(), top)
		}
	})
}

// TestRampOfSmallObservations guards against a ramp-up that stalls when successes
// are observed one at a time, more often than load reports arrive.
func TestRampOfSmallObservations(t *testing.T) {
	c := qt.New(t)
	l := New(2, 8)
	for i := range 200 { // 20 per second
		now := at(float64(i) / 20)
		if i%20 == 0 {
			l.Report(now, Load{Incarnation: "a"})
		}
		l.Observe(now, round(1))
	}
	assertLimit(c, l, 8, false)
}
