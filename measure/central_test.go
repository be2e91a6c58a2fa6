package measure

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// TestCentralQueueWork guards against a reference that counts more work than the slots
// can do, which would make the utilisation of the fleet appear too low.
func TestCentralQueueWork(t *testing.T) {
	trace := []arrival{{at: 0, cost: 4}, {at: 0, cost: 2}, {at: timePerCost, cost: 8}, {at: timePerCost, cost: 1}, {at: timePerCost, cost: 1}}
	qt.Assert(t, centralQueueWork(trace, 2, 3*timePerCost), qt.Equals, 3.0+2+1)
	qt.Assert(t, centralQueueWork(trace, 2, 100*timePerCost), qt.Equals, 16.0)
	qt.Assert(t, centralQueueWork(trace[:1], 2, time.Hour), qt.Equals, 4.0)
}
