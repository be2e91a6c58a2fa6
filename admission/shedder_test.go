package admission

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"rattanline.example/rattanline/clock"
)

// shed sends requests of the accounts, in requests per second, for ten seconds to a
// daemon that has to refuse the fraction. It returns the admitted fraction by account.
func shed(rates map[string]int, fraction float64) map[string]float64 {
	const seconds = 10
	s := &Shedder{}
	now := clock.Instant(time.Hour)
	admitted := map[string]float64{}
	for range seconds * 1000 {
		now = now.Add(time.Millisecond)
		for name, rate := range rates {
			for n := range rate {
				// Spreads the requests of a second evenly over its milliseconds.
				if n*1000/rate == int(now/clock.Instant(time.Millisecond))%1000 && !s.Refuse(now, name, fraction) {
					admitted[name] += 1 / float64(rate*seconds)
				}
			}
		}
	}
	return admitted
}

// Guards against refusals of accounts with few requests because another one sends many.
func TestShedderFairness(t *testing.T) {
	rates := map[string]int{"flood": 900, "large": 70}
	for i := range 3 {
		rates[fmt.Sprint("small-", i)] = 10
	}
	admitted := shed(rates, 0.8) // 200 of 1,000 requests per second
	for i := range 3 {
		qt.Check(t, admitted[fmt.Sprint("small-", i)] > 0.95, qt.IsTrue, qt.Commentf("%v", admitted))
	}
	qt.Check(t, admitted["large"] > 0.95, qt.IsTrue, qt.Commentf("%v", admitted))
	qt.Check(t, admitted["flood"] > 0.08 && admitted["flood"] < 0.15, qt.IsTrue, qt.Commentf("%v", admitted))
}

// Guards against refusals that are more or fewer than the fraction.
func TestShedderFraction(t *testing.T) {
	for _, fraction := range []float64{0, 0.3, 0.9, 1} {
		t.Run(fmt.Sprint(fraction), func(t *testing.T) {
			admitted := shed(map[string]int{"only": 500}, fraction)["only"]
			qt.Check(t, admitted > 1-fraction-0.05 && admitted < 1-fraction+0.05, qt.IsTrue, qt.Commentf("%g", admitted))
		})
	}
}
