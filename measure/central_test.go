package measure

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// TestCentralWork guards against a reference that does more work than the slots
// can, which would make the fleet look worse than it is.
func TestCentralWork(t *testing.T) {
	trace := []arrival{{at: 0, cost: 4}, {at: 0, cost: 2}, {at: unit, cost: 8}, {at: unit, cost: 1}, {at: unit, cost: 1}}
	qt.Assert(t, centralWork(trace, 2, 3*unit), qt.Equals, 3.0+2+1)
	qt.Assert(t, centralWork(trace, 2, 100*unit), qt.Equals, 16.0)
	qt.Assert(t, centralWork(trace[:1], 2, time.Hour), qt.Equals, 4.0)
}
