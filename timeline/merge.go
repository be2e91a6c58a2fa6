package timeline

import (
	"cmp"
	"slices"
)

// Merge returns the events of several daemons in one order: by time, then
// daemon, then sequence. The order is the same whichever daemon answers first.
func Merge(lists ...[]Event) []Event {
	merged := slices.Concat(lists...)
	slices.SortStableFunc(merged, func(x, y Event) int {
		return cmp.Or(x.Time.Compare(y.Time), cmp.Compare(x.Daemon, y.Daemon), cmp.Compare(x.Sequence, y.Sequence))
	})
	return merged
}
