package mirror

import (
	"context"
	"slices"

	"rattanline.example/rattanline/clock"
	"rattanline.example/rattanline/port"
)

// poll reads the service once and returns the position from which the next poll continues. A nil
// position asks for all entries. Content of a peer that was adopted during the call may be newer
// than its result. It returns port.ErrCompacted if all entries have to be read.
func (m *Mirror) poll(ctx context.Context, after *port.Position) (port.Position, error) {
	known := m.View().Position
	at, err := m.read(ctx, after, known)
	if err != nil {
		return at, err
	}
	if adopted := m.View().Position; adopted.After(known) && adopted.After(at) {
		at = adopted
	}
	return at, nil
}

// read applies a snapshot, or the changes after a position. The parameter known is the position of
// the view before the call.
func (m *Mirror) read(ctx context.Context, after *port.Position, known port.Position) (port.Position, error) {
	era := m.KnownEra()
	if after == nil {
		entries, at, err := m.Poller.Snapshot(ctx)
		if err != nil {
			return at, err
		}
		if at, err = m.checkEra(at, era); err == nil {
			m.applyUpdate(m.snapshotUpdate(entries, at, known), false)
		}
		return at, err
	}
	if after.Era < era {
		return *after, port.ErrCompacted
	}
	events, at, err := m.Poller.Poll(ctx, *after, m.View().settlesIn(clock.Now(), pollWait))
	if err != nil {
		return at, err
	}
	if at, err = m.checkEra(at, era); err != nil {
		return at, err
	}
	if at.Era != after.Era {
		return at, port.ErrCompacted // the service answers, but changes of the lost history are undone
	}
	m.applyUpdate(m.pollUpdate(events, known), len(events) == 0)
	return at, nil
}

// snapshotUpdate returns the update of a view by a snapshot of the service. A view that was newer
// than the snapshot when it arrived, but not when it was requested, is left as it is: the
// snapshot may hold entries whose removal the view already contains.
func (m *Mirror) snapshotUpdate(entries []port.Entry, at, known port.Position) func(*View, clock.Instant) []Record {
	replace := m.replacement(entries, at)
	return func(v *View, now clock.Instant) []Record {
		if v.Position.After(known) && v.Position.After(at) {
			return nil
		}
		return replace(v, now)
	}
}

// pollUpdate returns the update of a view by the changes of a poll, without those that content
// adopted during the call already contains. It does nothing to a view of another era than known.
func (m *Mirror) pollUpdate(events []port.Event, known port.Position) func(*View, clock.Instant) []Record {
	return func(v *View, now clock.Instant) []Record {
		if v.Position.Era != known.Era {
			return nil
		}
		if v.Position.After(known) {
			events = slices.DeleteFunc(events, func(e port.Event) bool { return e.Entry.Revision <= v.Position.Revision })
		}
		return m.applyAll(v, events, now)
	}
}

// replacement returns the update of a view by a complete set of entries, read at the position or
// later. It removes the entries of the view that are missing in the set, unless they are newer than
// the position. Some entries of the set may be newer too, although changes between the position and
// theirs are missing, so they don't raise the position of the view.
func (m *Mirror) replacement(entries []port.Entry, at port.Position) func(*View, clock.Instant) []Record {
	return func(v *View, now clock.Instant) []Record {
		storeEraGauge.Set(float64(at.Era))
		if at.Era != v.Position.Era && v.Position.Revision != 0 {
			return m.enterEra(v, entries, at, now)
		}
		if v.Position.Revision == 0 {
			v.settlesAt = now.Add(settleTime)
		}
		var records []Record
		present := map[string]bool{}
		newest := at.Revision
		for _, e := range entries {
			present[e.Key] = true
			newest = max(newest, e.Revision)
			if r := m.apply(v, port.Event{Entry: e}, now); r != nil {
				records = append(records, r)
			}
		}
		for key, e := range v.entries {
			if !present[key] && e.Revision <= at.Revision {
				if r := m.apply(v, port.Event{Entry: port.Entry{Key: key, Revision: max(at.Revision, e.Revision+1)}, Deleted: true}, now); r != nil {
					records = append(records, r)
				}
			}
		}
		if m.offered != nil {
			records = append(records, m.takeConfiguration(v, *m.offered, now)...)
			m.offered = nil
		}
		v.Position.Era = at.Era
		v.Position.Revision = max(v.Position.Revision, at.Revision)
		v.restartLog(max(v.Position.Revision, newest))
		return records
	}
}
