package measure

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// Guards against a simulation in which the rules don't do what they say: fixed
// parts stay within the limit, shared views use all slots.
func TestLocalRules(t *testing.T) {
	for _, d := range deployments {
		fixed := simulateLocal(fixedParts, d, 1, 1, 2*time.Second)
		qt.Check(t, fixed.Peak <= slotsPerTarget, qt.IsTrue, qt.Commentf("%d in flight", fixed.Peak))
		shared := simulateLocal(sharedViews, d, 1, 1, 2*time.Second)
		qt.Check(t, shared.Use > 0.9, qt.IsTrue, qt.Commentf("%.3f in use", shared.Use))
	}
}
