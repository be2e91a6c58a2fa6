package routing

import (
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

func assertRetries(c *qt.C, b *Budget, n int) {
	c.Helper()
	for range n {
		c.Assert(b.TryRetry(), qt.IsTrue)
	}
	c.Assert(b.TryRetry(), qt.IsFalse)
}

func TestBudget(t *testing.T) {
	c := qt.New(t)
	b := NewBudget(0.1, 3)
	assertRetries(c, b, 3)
	var done sync.WaitGroup
	for range 10 {
		done.Go(func() {
			for range 10 {
				b.Request()
			}
		})
	}
	done.Wait()
	assertRetries(c, b, 10)
	for range 100_000 {
		b.Request()
	}
	assertRetries(c, b, 103)
}

func TestChoose(t *testing.T) {
	ms := time.Millisecond
	local := Candidate{Target: "local", Local: true, Free: 1, InFlight: 3, Latency: 100 * ms}
	near := Candidate{Target: "near", Free: 3, InFlight: 1, Latency: 180 * ms}   // waits 90 ms
	quick := Candidate{Target: "quick", Free: 3, InFlight: 1, Latency: 120 * ms} // waits 60 ms
	full := Candidate{Target: "full", Local: true, InFlight: 4}
	failing := Candidate{Target: "failing", Local: true, Free: 4, Failing: true}
	tests := []struct {
		name       string
		candidates []Candidate
		want       string
	}{
		{"own failure domain within the slack", []Candidate{near, local}, "local"},
		{"another one beyond the slack", []Candidate{local, quick}, "quick"},
		{"the shorter wait of two", []Candidate{quick, near}, "quick"},
		{"no target without a free slot", []Candidate{full, near}, "near"},
		{"failing last", []Candidate{failing, near}, "near"},
		{"failing rather than none", []Candidate{failing, full}, "failing"},
		{"none", []Candidate{full}, ""},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			c := qt.New(t)
			r := rand.New(rand.NewPCG(1, 2))
			for range 20 {
				got, ok := Choose(tt.candidates, 20*ms, r)
				c.Assert(got.Target, qt.Equals, tt.want)
				c.Assert(ok, qt.Equals, tt.want != "")
			}
		})
	}
	t.Run("many daemons don't all choose the best", func(t *testing.T) {
		c := qt.New(t)
		r := rand.New(rand.NewPCG(1, 2))
		got := map[string]int{}
		for range 300 {
			x, _ := Choose([]Candidate{near, quick, {Target: "slow", Free: 1, Latency: 200 * ms}}, 0, r)
			got[x.Target]++
		}
		c.Assert(got["quick"] > 150 && got["near"] > 50 && got["slow"] == 0, qt.IsTrue, qt.Commentf("%v", got))
	})
}
