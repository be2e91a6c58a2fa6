package mirror

import (
	"slices"
	"time"

	"rattanline.example/rattanline/clock"
	"rattanline.example/rattanline/port"
)

const (
	// logLength is the number of changes that are left in a log after its oldest ones were
	// dropped. It then grows to twice as many.
	logLength = 512
	// logBytes is the size of the changes that are left, which also doubles. It holds two of
	// the largest values that the key-value service takes.
	logBytes = 2 << 20
	// changeBytes is the size of a change in addition to its key and value.
	changeBytes = 100
)

// Change is a change of an entry as it is sent to other daemons.
type Change struct {
	port.Event
	// Age is the time since the first daemon received the change. The receiver needs
	// it where the time since a removal matters.
	Age time.Duration

	received clock.Instant
	// effective reports whether the view took over the value. An unreadable value or a lower
	// version of the configuration doesn't replace an earlier one.
	effective bool
}

func (c Change) size() int { return changeBytes + len(c.Entry.Key) + len(c.Entry.Value) }

// changeLog holds the last changes of a view, for daemons that lack them. Logs of several views
// share their backing array, so only the newest one may be appended to.
type changeLog struct {
	changes []Change
	bytes   int
	// from is the revision after which the log holds all changes but superseded ones.
	from int64
}

// add appends a change, and drops superseded and old ones if the log is too large.
func (l *changeLog) add(c Change) {
	l.changes, l.bytes = append(l.changes, c), l.bytes+c.size()
	if len(l.changes) > 2*logLength || l.bytes > 2*logBytes {
		l.compact()
	}
}

func (l *changeLog) compact() {
	kept := withoutSuperseded(l.changes)
	l.bytes = 0
	for _, c := range kept {
		l.bytes += c.size()
	}
	oldest := 0
	for oldest < len(kept) && (len(kept)-oldest > logLength || l.bytes > logBytes) {
		l.from = max(l.from, kept[oldest].Entry.Revision)
		l.bytes -= kept[oldest].size()
		oldest++
	}
	l.changes = slices.Clone(kept[oldest:]) // the old backing array is released
}

// since returns the changes after the revision that are not superseded. It returns false if the
// log doesn't hold all of them.
func (l *changeLog) since(revision int64, now clock.Instant) ([]Change, bool) {
	if revision < l.from {
		return nil, false
	}
	var changes []Change
	for _, c := range l.changes {
		if c.Entry.Revision > revision {
			c.Age = now.Sub(c.received)
			changes = append(changes, c)
		}
	}
	return withoutSuperseded(changes), true
}

// withoutSuperseded returns the changes without the values that a later value of their key
// replaces, in the same order. Removals are kept, since their time matters, and so are the values
// before them.
func withoutSuperseded(changes []Change) []Change {
	type later struct{ any, effective bool } // values of the key
	values := map[string]later{}
	kept := make([]Change, 0, len(changes))
	for _, c := range slices.Backward(changes) {
		value := values[c.Entry.Key]
		switch {
		case c.Deleted:
			value = later{}
		case value.effective || value.any && !c.effective:
			continue
		default:
			value = later{any: true, effective: c.effective}
		}
		values[c.Entry.Key] = value
		kept = append(kept, c)
	}
	slices.Reverse(kept)
	return kept
}
