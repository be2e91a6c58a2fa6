package mirror

import (
	"bytes"
	"time"

	"rattanline.example/rattanline/clock"
	"rattanline.example/rattanline/port"
)

const (
	// settleTime is how long after its return from a copy the service may show older content than
	// before. Its writers write again within about two seconds.
	settleTime = 2500 * time.Millisecond
	// removalRetention is how long removals are known, and how long a target that left stays so
	// whatever the service shows. It exceeds the age of a copy.
	removalRetention = 30 * time.Second
)

// Carried is what was known of a key before the service came back from a copy, which may be newer
// than what the service shows. The view acts by it until a change of the key arrives, or for some
// time.
type Carried struct {
	// Entry is the last known one. If it was removed, its revision is that of the removal.
	Entry   port.Entry
	Removed bool
	// Shown is the revision of the entry that the service shows, zero if it shows none.
	Shown int64
	// Left is how long it counts from now on.
	Left time.Duration

	until clock.Instant
}

// Settling reports whether the service may not yet show all that its writers have written again since
// it came back from a copy, or since this daemon started.
func (v *View) Settling(now clock.Instant) bool { return now < v.settlesAt }

// Carries reports whether the view acts by something else than the service shows under the key, since
// that came back from a copy.
func (v *View) Carries(key string) bool {
	_, ok := v.carried[key]
	return ok
}

// Carried returns what the view carries.
func (v *View) Carried(now clock.Instant) []Carried {
	var list []Carried
	for _, c := range v.carried {
		c.Left = c.until.Sub(now)
		list = append(list, c)
	}
	return list
}

// isCarried reports whether the entries under the key are carried into a later era. The
// configuration isn't, as its versions increase; of crashes the daemons keep their own records.
func (m *Mirror) isCarried(key string) bool {
	switch m.decodeRemoval(key).(type) {
	case Target, Evacuation, Member, Rollout, RolloutState:
		return true
	}
	return false
}

// known returns what the view acts by, by key: entries, those carried from earlier eras, and removals.
func (v *View) known(now clock.Instant) map[string]Carried {
	known := make(map[string]Carried, len(v.entries))
	for key, r := range v.removals {
		if now < r.until {
			known[key] = r
		}
	}
	for key, e := range v.entries {
		known[key] = Carried{Entry: e}
	}
	for key, c := range v.carried {
		known[key] = c
	}
	return known
}

// carry keeps what was known of a key, while the service shows an entry of the given revision.
func (m *Mirror) carry(v *View, c Carried, shown int64, now clock.Instant) {
	c.Shown, c.until = shown, now.Add(settleTime)
	if t, ok := m.target(c.Entry); ok && t.Leaving {
		c.until = now.Add(removalRetention)
	}
	v.carried[c.Entry.Key] = c
}

// supersedes reports whether an entry that the service shows after its return isn't older than what
// was known. A lower revision may be older, or have been given out again.
func (m *Mirror) supersedes(e port.Entry, known Carried) bool {
	switch m.compareTargets(e, known) {
	case -1:
		return false
	case 1:
		return true
	}
	return e.Revision >= known.Entry.Revision
}

// compareTargets returns 1 if the entry of a target is newer than what was known, -1 if it is older,
// and 0 if their content doesn't show that. A target that leaves doesn't come back without a restart.
func (m *Mirror) compareTargets(e port.Entry, known Carried) int {
	shown, ok := m.target(e)
	before, wasTarget := m.target(known.Entry)
	switch {
	case !ok || !wasTarget:
		return 0
	case shown.StartTime != before.StartTime && shown.StartTime != 0 && before.StartTime != 0:
		if shown.StartTime > before.StartTime {
			return 1
		}
		return -1
	case before.Leaving && (known.Removed || !shown.Leaving):
		return -1
	case shown.Leaving && !before.Leaving && !known.Removed:
		return 1
	}
	return 0
}

// target decodes the entry of a target.
func (m *Mirror) target(e port.Entry) (Target, bool) {
	r, err := m.decode(e)
	t, ok := r.(Target)
	return t, ok && err == nil
}

// unchanged reports whether an entry shows what was known. The revision matters where it is part of
// the record.
func (m *Mirror) unchanged(e port.Entry, known Carried) bool {
	if known.Removed || !bytes.Equal(e.Value, known.Entry.Value) {
		return false
	}
	switch m.decodeRemoval(e.Key).(type) {
	case Target, Evacuation, Member:
		return true
	}
	return e.Revision == known.Entry.Revision
}

// outdated reports whether a change after the return repeats what was older than what is carried. If
// so, it goes on being carried.
func (m *Mirror) outdated(v *View, e port.Event) bool {
	c, ok := v.carried[e.Entry.Key]
	if !ok || e.Deleted || m.compareTargets(e.Entry, c) >= 0 {
		return false
	}
	c.Shown = e.Entry.Revision
	v.carried[e.Entry.Key] = c
	return true
}

// settle ends what the view has carried for long enough, and returns the records that change
// thereby: the view then follows what the service shows.
func (m *Mirror) settle(v *View, now clock.Instant) []Record {
	var records []Record
	for key, c := range v.carried {
		if now < c.until {
			continue
		}
		delete(v.carried, key)
		var r Record
		if shown, ok := v.entries[key]; ok {
			r, _ = m.take(v, shown, now)
		} else {
			r = m.decodeRemoval(key)
			v.remove(r, now)
		}
		m.Logger.Info().Str("key", key).Int64("shown", c.Shown).Msg("not written again after the return, following the key-value service")
		if r != nil {
			records = append(records, r)
		}
	}
	return records
}

// settlesIn returns the time until the view ends to carry the first key, at most the given time.
func (v *View) settlesIn(now clock.Instant, most time.Duration) time.Duration {
	for _, c := range v.carried {
		most = min(most, c.until.Sub(now))
	}
	return max(most, 0)
}
