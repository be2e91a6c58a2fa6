package routing

import (
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"rattanline.example/rattanline/clock"
)

func assertRetries(c *qt.C, b *Budget, at clock.Instant, n int) {
	c.Helper()
	for range n {
		c.Assert(b.TryRetry("s", at), qt.IsTrue)
	}
	c.Assert(b.TryRetry("s", at), qt.IsFalse)
}

func newBudget(ratio, slack float64) *Budget {
	return &Budget{Window: 10 * time.Second, Ratio: ratio, Slack: func() float64 { return slack }}
}

// Guards against retries beyond the budget, and against an idle period that
// accumulates retries for a burst.
func TestBudget(t *testing.T) {
	c := qt.New(t)
	b := newBudget(0.1, 3)
	at := clock.Instant(time.Hour)
	assertRetries(c, b, at, 3)
	var done sync.WaitGroup
	for range 10 {
		done.Go(func() {
			for range 10 {
				b.RecordRequest("s", at)
			}
		})
	}
	done.Wait()
	assertRetries(c, b, at, 10)
	c.Assert(b.TryRetry("other", at), qt.IsTrue)
	assertRetries(c, b, at.Add(12*time.Second), 3)
}

// Guards against more retries in any window than its requests and the slack allow.
// The window is counted in buckets, so requests up to one bucket before the window
// count too.
func TestBudgetProperty(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		b := newBudget(0.2, 4)
		at := clock.Instant(time.Hour)
		var requests, retries []clock.Instant
		for range rapid.IntRange(1, 300).Draw(t, "steps") {
			at = at.Add(time.Duration(rapid.IntRange(0, 900).Draw(t, "pause")) * time.Millisecond)
			if rapid.Bool().Draw(t, "request") {
				b.RecordRequest("s", at)
				requests = append(requests, at)
			} else if b.TryRetry("s", at) {
				retries = append(retries, at)
			}
		}
		within := func(list []clock.Instant, end clock.Instant, span time.Duration) int {
			n := 0
			for _, i := range list {
				if i <= end && end.Sub(i) < span {
					n++
				}
			}
			return n
		}
		for _, end := range retries {
			made := within(retries, end, b.Window)
			allowed := b.Ratio*float64(within(requests, end, b.Window+b.Window/windowBuckets)) + 4
			if float64(made) > allowed {
				t.Fatalf("%d retries in a window that allows %g", made, allowed)
			}
		}
	})
}

func TestChoose(t *testing.T) {
	ms := time.Millisecond
	local := Candidate{Target: "local", Local: true, Free: 1, InFlight: 3, Latency: 100 * ms}
	// near and quick are in other failure domains.
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
		{"another domain beyond the slack", []Candidate{local, quick}, "quick"},
		{"the shorter wait of two", []Candidate{quick, near}, "quick"},
		{"no target without a free slot", []Candidate{full, near}, "near"},
		{"a failing target last", []Candidate{failing, near}, "near"},
		{"a failing target rather than none", []Candidate{failing, full}, "failing"},
		{"no free target", []Candidate{full}, ""},
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
