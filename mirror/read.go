package mirror

import (
	"context"
	"slices"

	"rattanline.example/rattanline/clock"
	"rattanline.example/rattanline/port"
)

// poll reads the service once and returns the revision from which the next poll continues.
// Content of a peer that was adopted during the call may be newer than its result.
func (m *Mirror) poll(ctx context.Context, after int64) (int64, error) {
	known := m.View().Revision
	at, err := m.read(ctx, after, known)
	if err != nil {
		return after, err
	}
	if adopted := m.View().Revision; adopted > known {
		at = max(at, adopted)
	}
	return at, nil
}

// read applies a snapshot, or the changes after a revision. The parameter known is the revision of
// the view before the call.
func (m *Mirror) read(ctx context.Context, after, known int64) (int64, error) {
	if after < 0 {
		entries, at, err := m.Poller.Snapshot(ctx)
		if err == nil {
			m.applyUpdate(m.snapshotUpdate(entries, at, known), false)
		}
		return at, err
	}
	events, at, err := m.Poller.Poll(ctx, after, pollWait)
	if err == nil {
		m.applyUpdate(m.pollUpdate(events, known), len(events) == 0)
	}
	return at, err
}

// snapshotUpdate returns the update of a view by a snapshot of the service. A view that was newer
// than the snapshot when it arrived, but not when it was requested, is left as it is: the
// snapshot may hold entries whose removal the view already contains.
func (m *Mirror) snapshotUpdate(entries []port.Entry, revision, known int64) func(*View, clock.Instant) []Record {
	replace := m.replacement(entries, revision)
	return func(v *View, now clock.Instant) []Record {
		if v.Revision > max(known, revision) {
			return nil
		}
		return replace(v, now)
	}
}

// pollUpdate returns the update of a view by the changes of a poll, without those that content
// adopted during the call already contains.
func (m *Mirror) pollUpdate(events []port.Event, known int64) func(*View, clock.Instant) []Record {
	return func(v *View, now clock.Instant) []Record {
		if v.Revision > known {
			events = slices.DeleteFunc(events, func(e port.Event) bool { return e.Entry.Revision <= v.Revision })
		}
		return m.applyAll(v, events, now)
	}
}

// replacement returns the update of a view by a complete set of entries, read at the revision or
// later. It removes the entries of the view that are missing in the set, unless they are newer than
// the revision. Some entries of the set may be newer too, although changes between the revision and
// theirs are missing, so they don't raise the revision of the view.
func (m *Mirror) replacement(entries []port.Entry, revision int64) func(*View, clock.Instant) []Record {
	return func(v *View, now clock.Instant) []Record {
		var records []Record
		present := map[string]bool{}
		newest := revision
		for _, e := range entries {
			present[e.Key] = true
			newest = max(newest, e.Revision)
			if r := m.apply(v, port.Event{Entry: e}, now); r != nil {
				records = append(records, r)
			}
		}
		for key, e := range v.entries {
			if !present[key] && e.Revision <= revision {
				if r := m.apply(v, port.Event{Entry: port.Entry{Key: key, Revision: max(revision, e.Revision+1)}, Deleted: true}, now); r != nil {
					records = append(records, r)
				}
			}
		}
		v.Revision = max(v.Revision, revision)
		v.restartLog(max(v.Revision, newest))
		return records
	}
}
