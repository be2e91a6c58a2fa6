package measure

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// Guards against a simulation that doesn't follow its rules: fixed quotas must stay
// within the limit, and shared counts must use nearly all slots.
func TestLocalSimulation(t *testing.T) {
	for _, d := range deployments {
		fixed := simulateLocal(fixedQuotas, d, 1, 1, 2*time.Second)
		qt.Check(t, fixed.PeakInFlight <= slotsPerTarget, qt.IsTrue, qt.Commentf("%d in flight", fixed.PeakInFlight))
		shared := simulateLocal(sharedCounts, d, 1, 1, 2*time.Second)
		qt.Check(t, shared.Utilisation > 0.9, qt.IsTrue, qt.Commentf("%.3f in use", shared.Utilisation))
	}
}
