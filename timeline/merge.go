package timeline

import (
	"cmp"
	"slices"
)

// Merge returns the events of several daemons sorted by time, then daemon, then
// sequence. The order does not depend on which daemon responds first.
func Merge(lists ...[]Event) []Event {
	merged := slices.Concat(lists...)
	slices.SortStableFunc(merged, func(x, y Event) int {
		return cmp.Or(x.Time.Compare(y.Time), cmp.Compare(x.Daemon, y.Daemon), cmp.Compare(x.Sequence, y.Sequence))
	})
	return merged
}
