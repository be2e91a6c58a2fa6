package dispatch

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"rattanline.example/rattanline/usage"
)

// TestExtremeCostHints guards against cost hints that make a request free, that cancel
// earlier charges of the account, or that raise its counter, and so the counters of
// accounts that start to wait, far above the actual costs.
func TestExtremeCostHints(t *testing.T) {
	c := qt.New(t)
	l := usage.NewLedger(usage.Source{Daemon: "d"}, func(string) float64 { return 1 })
	s, q := newCosts(), usage.Queue{Service: "s", Account: "a"}
	l.Charge("a", 1000)
	spent := 1000.0
	for _, hint := range []float64{1, 1e-300, 1e-300, 1e-300, 1, 1.7e308, 1e300, 1e20, 1} {
		estimate := s.estimate(q, hint)
		c.Check(estimate >= 0 && estimate <= 3, qt.IsTrue, qt.Commentf("%g for the hint %g", estimate, hint))
		l.Charge("a", estimate)
		l.Charge("a", 3-estimate)
		s.add(q, hint, 3)
		spent += 3
		c.Check(l.Total("a"), qt.Equals, spent)
	}
}
