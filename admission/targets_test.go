package admission

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// engines simulates daemons that send requests to many engines. The engine is given by
// the prompt of a request, and the expected wait there is a rough estimate.
type engines struct {
	*fleet
	backlogs []float64
	// reports holds the backlogs of earlier steps, oldest first. If it isn't empty, requests
	// choose the best of a few engines by the oldest.
	reports [][]float64
}

// run simulates the span during which the accounts request work at the given rates. It
// returns the work per second that each account was served, and that it really requested.
func (e *engines) run(asked map[string]float64, span time.Duration) (served, requested map[string]float64) {
	const step = 5 * time.Millisecond
	random := rand.New(rand.NewPCG(3, 4))
	rate := e.rate / float64(len(e.backlogs))
	served, requested = map[string]float64{}, map[string]float64{}
	for passed := time.Duration(0); passed < span; passed += step {
		at = at.Add(step)
		for i := range e.backlogs {
			e.backlogs[i] = max(e.backlogs[i]-rate*step.Seconds(), 0)
		}
		median := e.report()
		for name, want := range asked {
			for due := want * step.Seconds(); due > 0; {
				work := min(1700*math.Exp(1.2*random.NormFloat64()), 39_000) // most prompts are short
				due -= work
				if random.Float64() > (due+work)/work { // the last one of a step is due in part
					continue
				}
				requested[name] += work / span.Seconds()
				i, queued := e.choose(random)
				d := e.daemons[random.IntN(len(e.daemons))].Decide(at, Request{
					Account: name, Work: work, MedianQueueWait: median, QueueWait: queued, Wait: queued + time.Duration(work/rate*float64(time.Second)),
					StartDelay: startDelay, Aim: 600 * time.Millisecond, Timeout: 5 * time.Second,
				})
				if d.Admitted {
					e.backlogs[i] += work
					served[name] += work / span.Seconds()
				}
			}
		}
	}
	return served, requested
}

// report returns the median wait at all engines, and replaces the oldest report.
func (e *engines) report() time.Duration {
	known := e.backlogs
	if len(e.reports) > 0 {
		known = e.reports[0]
		e.reports = append(e.reports[1:], slices.Clone(e.backlogs))
	}
	sorted := slices.Sorted(slices.Values(known))
	median := sorted[len(sorted)/2]
	return time.Duration(median * float64(len(known)) / e.rate * float64(time.Second))
}

// choose returns an engine and the expected wait in its queue.
func (e *engines) choose(random *rand.Rand) (int, time.Duration) {
	const compared = 4
	wait := func(backlogs []float64, i int) time.Duration {
		return time.Duration(backlogs[i] / e.rate * float64(len(backlogs)) * float64(time.Second))
	}
	best := random.IntN(len(e.backlogs))
	if len(e.reports) == 0 {
		return best, time.Duration(float64(wait(e.backlogs, best)) * math.Exp(random.NormFloat64()))
	}
	for range compared - 1 {
		if i := random.IntN(len(e.backlogs)); e.reports[0][i] < e.reports[0][best] {
			best = i
		}
	}
	return best, wait(e.reports[0], best)
}

// Guards against an account that asks for much and gets far more than its share, because
// some engines seem to be idle in old reports.
func TestSharesWithOldReports(t *testing.T) {
	at = at.Add(time.Hour)
	e := &engines{fleet: newFleet(9, 1_900_000), backlogs: make([]float64, 50)}
	for range 40 { // 0.2 s
		e.reports = append(e.reports, make([]float64, len(e.backlogs)))
	}
	asked := map[string]float64{"flood": 6_000_000, "large": 900_000, "other": 900_000}
	for i := range 8 {
		asked[fmt.Sprint("small-", i)] = 40_000
	}
	e.run(asked, 4*time.Second) // reach a steady state
	served, requested := e.run(asked, 6*time.Second)
	total := 0.0
	for _, s := range served {
		total += s
	}
	qt.Check(t, total > 0.9*e.rate, qt.IsTrue, qt.Commentf("%.0f of %.0f used", total, e.rate))
	for name, got := range served {
		due := min(requested[name], served["flood"])
		qt.Check(t, got >= 0.8*due, qt.IsTrue, qt.Commentf("%s got %.0f of %.0f", name, got, due))
	}
}

// Guards against an account that gets less than half of what it asks for and less than
// half of what another one gets, because the other one asks for more.
func TestSharesAcrossEngines(t *testing.T) {
	at = at.Add(time.Hour)
	e := &engines{fleet: newFleet(9, 1_900_000), backlogs: make([]float64, 50)}
	asked := map[string]float64{"flood": 16_000_000, "large": 700_000}
	for i := range 8 {
		asked[fmt.Sprint("small-", i)] = 80_000
	}
	e.run(asked, 4*time.Second) // reach a steady state
	served, _ := e.run(asked, 6*time.Second)
	total := 0.0
	for _, s := range served {
		total += s
	}
	qt.Check(t, total > 0.95*e.rate, qt.IsTrue, qt.Commentf("%.0f of %.0f used", total, e.rate))
	for name, got := range served {
		bound := min(asked[name], served["flood"]) / 2
		qt.Check(t, got >= bound, qt.IsTrue, qt.Commentf("%s got %.0f, at least %.0f", name, got, bound))
	}
}
