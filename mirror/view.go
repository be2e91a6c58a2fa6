package mirror

import (
	"bytes"
	"maps"
	"runtime/debug"
	"strings"
	"time"

	"github.com/pkg/errors"

	"rattanline.example/rattanline/clock"
	"rattanline.example/rattanline/config"
	"rattanline.example/rattanline/port"
	"rattanline.example/rattanline/quarantine"
)

// View is an immutable state of the mirror.
type View struct {
	// Position is the position up to which the view contains all changes. Single entries may be
	// newer, since a read of all entries takes time.
	Position port.Position
	// Index holds the configuration, nil while none is known.
	Index *config.Index
	// Evacuated holds the names of the evacuated failure domains.
	Evacuated map[string]bool
	// Restored holds when the evacuation of each failure domain last ended, by its
	// name.
	Restored map[string]clock.Instant
	Targets  map[string]Target
	Members  map[string]Member
	// Rollouts holds the operators' orders and RolloutStates how far they are, by service.
	Rollouts      map[string]Rollout
	RolloutStates map[string]RolloutState
	// Suspects and PoisonSegments hold what is stored of crashes, by key.
	Suspects       map[string]quarantine.Suspect
	PoisonSegments map[string]quarantine.PoisonSegment

	// entries holds the entries as the service shows them, all of the era of Position.
	entries map[string]port.Entry
	// configuration is the entry of Index. The service may show a lower version after it came
	// back from a copy.
	configuration port.Entry
	// carried holds what the view acts by instead of entries of the service that may be older, and
	// removals the last removals, both by key.
	carried, removals map[string]Carried
	// settlesAt is when the service shows all that its writers have written again.
	settlesAt clock.Instant
	log       changeLog
}

// WithoutConfiguration returns the view without its configuration.
func (v *View) WithoutConfiguration() *View {
	n := *v
	n.Index = nil
	return &n
}

// Since returns the changes after the position, without values that later ones replace. It returns
// false if the log does not hold all of them, or the view is still empty.
func (v *View) Since(after port.Position, now clock.Instant) ([]Change, bool) {
	if v.Position.Revision == 0 || after.Era != v.Position.Era {
		return nil, false
	}
	return v.log.since(after.Revision, now)
}

// restartLog empties the log of a view that was read as a whole, up to the revision of its newest
// entry: changes up to that are not in the log, and entries that were added and removed before
// are not in the view either.
func (v *View) restartLog(newest int64) { v.log = changeLog{from: newest} }

// removedRetention is how long a target stays in the view after its entry was
// removed.
const removedRetention = 10 * time.Second

func newView() *View {
	return &View{
		Evacuated: map[string]bool{}, Restored: map[string]clock.Instant{}, Targets: map[string]Target{},
		Members: map[string]Member{}, entries: map[string]port.Entry{},
		Rollouts: map[string]Rollout{}, RolloutStates: map[string]RolloutState{},
		Suspects: map[string]quarantine.Suspect{}, PoisonSegments: map[string]quarantine.PoisonSegment{},
		carried: map[string]Carried{}, removals: map[string]Carried{},
	}
}

func (v *View) clone() *View {
	n := *v
	n.Evacuated, n.Restored = maps.Clone(v.Evacuated), maps.Clone(v.Restored)
	n.Targets, n.Members, n.entries = maps.Clone(v.Targets), maps.Clone(v.Members), maps.Clone(v.entries)
	n.Rollouts, n.RolloutStates = maps.Clone(v.Rollouts), maps.Clone(v.RolloutStates)
	n.Suspects, n.PoisonSegments = maps.Clone(v.Suspects), maps.Clone(v.PoisonSegments)
	n.carried, n.removals = maps.Clone(v.carried), maps.Clone(v.removals)
	return &n
}

// Entries returns the entries from which the view was decoded.
func (v *View) Entries() []port.Entry {
	entries := make([]port.Entry, 0, len(v.entries))
	for _, e := range v.entries {
		entries = append(entries, e)
	}
	return entries
}

// Version returns the version of the configuration, zero while none is known.
func (v *View) Version() uint64 {
	if v.Index == nil {
		return 0
	}
	return v.Index.Version()
}

// Configuration returns the entry of the configuration, and whether the service shows another one, as
// it does after its return from an older copy.
func (v *View) Configuration() (e port.Entry, isAhead bool) {
	return v.configuration, v.Index != nil && !bytes.Equal(v.entries[v.configuration.Key].Value, v.configuration.Value)
}

// apply applies one change to a view that is not shared yet and returns its
// record, nil if there is none. The parameter received is when the first daemon
// received the change. Changes that the view already contains are ignored. An
// unreadable entry of a target removes the target from the view at once.
func (m *Mirror) apply(v *View, e port.Event, received clock.Instant) Record {
	known, ok := v.entries[e.Entry.Key]
	if ok && known.Revision >= e.Entry.Revision || e.Deleted && !ok {
		return nil
	}
	change := Change{Event: e, received: received}
	if m.outdated(v, e) {
		v.log.add(change)
		v.entries[e.Entry.Key] = e.Entry
		return nil
	}
	delete(v.carried, e.Entry.Key)
	if e.Deleted {
		v.log.add(change)
		delete(v.entries, e.Entry.Key)
		known.Revision = e.Entry.Revision
		v.removals[e.Entry.Key] = Carried{Entry: known, Removed: true, until: received.Add(removalRetention)}
		r := m.decodeRemoval(e.Entry.Key)
		v.remove(r, received)
		return r
	}
	r, effective := m.take(v, e.Entry, received)
	change.effective = effective
	v.log.add(change)
	return r
}

// take decodes an entry into the view. It returns the record that changed, nil if there is none,
// and whether the view took over its value.
func (m *Mirror) take(v *View, e port.Entry, received clock.Instant) (Record, bool) {
	r, err := m.decode(e)
	if err == nil && r == nil {
		return nil, false
	}
	v.entries[e.Key] = e
	delete(v.removals, e.Key)
	if err == nil {
		effective := v.add(r, received)
		if _, ok := r.(Configuration); ok && effective {
			v.configuration = e
		}
		return r, effective
	}
	m.Logger.Warn().Err(err).Str("key", e.Key).Int64("revision", e.Revision).Msg("entry unreadable")
	t, isTarget := m.DecodeRemoval(e.Key).(Target)
	if !isTarget {
		return nil, false
	}
	delete(v.Targets, t.Name)
	return t, false
}

// add adds a record, and reports whether it replaces what was known.
func (v *View) add(r Record, now clock.Instant) bool {
	switch r := r.(type) {
	case Configuration:
		if v.Index != nil && r.Document.Version < v.Index.Version() {
			return false
		}
		v.Index = config.NewIndex(r.Document)
	case Evacuation:
		v.Evacuated[r.Domain] = true
	case Target:
		r.Changed = now
		v.Targets[r.Name] = r
	case Member:
		v.Members[r.Name] = r
	case Rollout:
		r.Received = now
		v.Rollouts[r.Service] = r
	case RolloutState:
		r.Received = now
		v.RolloutStates[r.Service] = r
	case Suspect:
		v.Suspects[r.Key] = r.Suspect
	case PoisonSegment:
		v.PoisonSegments[r.Key] = r.PoisonSegment
	}
	return true
}

func (v *View) remove(r Record, now clock.Instant) {
	switch r := r.(type) {
	case Evacuation:
		delete(v.Evacuated, r.Domain)
		v.Restored[r.Domain] = now
	case Target:
		if t, ok := v.Targets[r.Name]; ok && t.Removed == 0 {
			t.Removed = now
			v.Targets[r.Name] = t
		}
	case Member:
		delete(v.Members, r.Name)
	case Rollout:
		delete(v.Rollouts, r.Service)
	case RolloutState:
		delete(v.RolloutStates, r.Service)
	case Suspect:
		delete(v.Suspects, r.Key)
	case PoisonSegment:
		delete(v.PoisonSegments, r.Key)
	}
}

// prune drops targets whose entries were removed more than removedRetention ago, and old removals.
func (v *View) prune(now clock.Instant) {
	for name, t := range v.Targets {
		if t.Removed != 0 && now.Sub(t.Removed) > removedRetention {
			delete(v.Targets, name)
		}
	}
	maps.DeleteFunc(v.removals, func(_ string, r Carried) bool { return now >= r.until })
}

// decode decodes an entry. Other writers may have written it, so a panic of the decoder is an
// error of this entry.
func (m *Mirror) decode(e port.Entry) (r Record, err error) {
	defer func() {
		if p := recover(); p != nil {
			r, err = nil, errors.Errorf("decode %s: panic: %v\n%s", e.Key, p, debug.Stack())
		}
	}()
	if strings.HasPrefix(e.Key, MemberPrefix) {
		return decodeMember(e)
	}
	if strings.HasPrefix(e.Key, RolloutPrefix) {
		return decodeRolloutState(e)
	}
	if strings.HasPrefix(e.Key, quarantine.SuspectPrefix) {
		return decodeSuspect(e)
	}
	if strings.HasPrefix(e.Key, quarantine.SegmentPrefix) {
		return decodePoisonSegment(e)
	}
	return m.Decode(e)
}

func (m *Mirror) decodeRemoval(key string) Record {
	if name, ok := strings.CutPrefix(key, MemberPrefix); ok {
		return Member{Name: name}
	}
	if service, ok := strings.CutPrefix(key, RolloutPrefix); ok {
		return RolloutState{Service: service}
	}
	if r := removedCrashes(key); r != nil {
		return r
	}
	return m.DecodeRemoval(key)
}
