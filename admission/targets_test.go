package admission

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// engines simulates daemons that send requests to many engines. The engine is given by
// the prompt of a request, and the expected wait there is a rough estimate.
type engines struct {
	*fleet
	backlogs []float64
}

// run simulates the span during which the accounts request work at the given rates. It
// returns the work per second that each account was served.
func (e *engines) run(asked map[string]float64, span time.Duration) map[string]float64 {
	const step = 5 * time.Millisecond
	random := rand.New(rand.NewPCG(3, 4))
	rate := e.rate / float64(len(e.backlogs))
	served := map[string]float64{}
	for passed := time.Duration(0); passed < span; passed += step {
		at = at.Add(step)
		for i := range e.backlogs {
			e.backlogs[i] = max(e.backlogs[i]-rate*step.Seconds(), 0)
		}
		for name, want := range asked {
			for due := want * step.Seconds(); due > 0; {
				work := min(1700*math.Exp(1.2*random.NormFloat64()), 39_000) // most prompts are short
				due -= work
				if random.Float64() > (due+work)/work { // the last one of a step is due in part
					continue
				}
				i := random.IntN(len(e.backlogs))
				queued := time.Duration(e.backlogs[i] / rate * math.Exp(random.NormFloat64()) * float64(time.Second))
				d := e.daemons[random.IntN(len(e.daemons))].Decide(at, Request{
					Account: name, Work: work, QueueWait: queued, Wait: queued + time.Duration(work/rate*float64(time.Second)),
					Aim: 600 * time.Millisecond, Timeout: 5 * time.Second,
				})
				if d.Admitted {
					e.backlogs[i] += work
					served[name] += work / span.Seconds()
				}
			}
		}
	}
	return served
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
	served := e.run(asked, 6*time.Second)
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
