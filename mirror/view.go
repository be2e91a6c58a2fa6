package mirror

import (
	"maps"
	"strings"
	"time"

	"rattanline.example/rattanline/clock"
	"rattanline.example/rattanline/config"
	"rattanline.example/rattanline/port"
)

// View is one state of the copy. It is immutable.
type View struct {
	// Revision is that of the last change that the view contains.
	Revision int64
	// Index is nil while no configuration is known.
	Index     *config.Index
	Evacuated map[string]bool
	// Restored holds when the evacuation of a failure domain ended.
	Restored map[string]clock.Instant
	Targets  map[string]Target
	Members  map[string]Member

	entries map[string]port.Entry
	// log holds the newest changes, those after the revision logFrom.
	log     []Change
	logFrom int64
}

// Change is a change of an entry as daemons pass it on.
type Change struct {
	port.Event
	// Age is how long ago the daemon that passes it on learned it. It counts where
	// the time since a removal matters.
	Age time.Duration

	learned clock.Instant
}

// logLength is the number of changes that are kept for daemons that lack them.
const logLength = 512

// Since returns the changes after the revision, false if they are no longer
// known.
func (v *View) Since(revision int64, now clock.Instant) ([]Change, bool) {
	if revision < v.logFrom || v.Revision == 0 {
		return nil, false
	}
	var changes []Change
	for _, c := range v.log {
		if c.Entry.Revision > revision {
			c.Age = now.Sub(c.learned)
			changes = append(changes, c)
		}
	}
	return changes, true
}

// record keeps a change. Views share the backing array of their logs: only the
// newest view is appended to.
func (v *View) record(c Change) {
	if len(v.log) >= 2*logLength {
		for _, dropped := range v.log[:len(v.log)-logLength] {
			v.logFrom = max(v.logFrom, dropped.Entry.Revision)
		}
		v.log = append([]Change(nil), v.log[len(v.log)-logLength:]...)
	}
	v.log = append(v.log, c)
}

// removedMemory is how long a target stays in the view after its entry was
// removed.
const removedMemory = 10 * time.Second

func newView() *View {
	return &View{
		Evacuated: map[string]bool{}, Restored: map[string]clock.Instant{}, Targets: map[string]Target{},
		Members: map[string]Member{}, entries: map[string]port.Entry{},
	}
}

func (v *View) clone() *View {
	n := *v
	n.Evacuated, n.Restored = maps.Clone(v.Evacuated), maps.Clone(v.Restored)
	n.Targets, n.Members, n.entries = maps.Clone(v.Targets), maps.Clone(v.Members), maps.Clone(v.entries)
	return &n
}

// Entries returns the entries that the view was read from.
func (v *View) Entries() []port.Entry {
	entries := make([]port.Entry, 0, len(v.entries))
	for _, e := range v.entries {
		entries = append(entries, e)
	}
	return entries
}

// apply takes one change into a view that isn't shared yet, and tells what it
// said. Learned is when the first daemon learned it. Changes that the view contains already are passed over.
func (m *Mirror) apply(v *View, e port.Event, learned clock.Instant) Record {
	known, ok := v.entries[e.Entry.Key]
	if ok && known.Revision >= e.Entry.Revision || e.Deleted && !ok {
		return nil
	}
	v.Revision = max(v.Revision, e.Entry.Revision)
	v.record(Change{Event: e, learned: learned})
	if e.Deleted {
		delete(v.entries, e.Entry.Key)
		f := m.gone(e.Entry.Key)
		v.remove(f, learned)
		return f
	}
	f, err := m.decode(e.Entry)
	if err != nil {
		m.Logger.Warn().Err(err).Str("key", e.Entry.Key).Int64("revision", e.Entry.Revision).Msg("entry unreadable")
		v.entries[e.Entry.Key] = e.Entry
		t, isTarget := m.DecodeRemoval(e.Entry.Key).(Target)
		if !isTarget {
			return nil
		}
		delete(v.Targets, t.Name)
		return t
	}
	if f == nil {
		return nil
	}
	v.entries[e.Entry.Key] = e.Entry
	v.add(f, learned)
	return f
}

func (v *View) add(f Record, now clock.Instant) {
	switch f := f.(type) {
	case Configuration:
		if v.Index == nil || f.Document.Version >= v.Index.Version() {
			v.Index = config.NewIndex(f.Document)
		}
	case Evacuation:
		v.Evacuated[f.Domain] = true
	case Target:
		f.Changed = now
		v.Targets[f.Name] = f
	case Member:
		v.Members[f.Name] = f
	}
}

func (v *View) remove(f Record, now clock.Instant) {
	switch f := f.(type) {
	case Evacuation:
		delete(v.Evacuated, f.Domain)
		v.Restored[f.Domain] = now
	case Target:
		if t, ok := v.Targets[f.Name]; ok && t.Removed == 0 {
			t.Removed = now
			v.Targets[f.Name] = t
		}
	case Member:
		delete(v.Members, f.Name)
	}
}

// prune drops targets whose entries were removed some time ago.
func (v *View) prune(now clock.Instant) {
	for name, t := range v.Targets {
		if t.Removed != 0 && now.Sub(t.Removed) > removedMemory {
			delete(v.Targets, name)
		}
	}
}

func (m *Mirror) decode(e port.Entry) (Record, error) {
	if strings.HasPrefix(e.Key, MemberPrefix) {
		return decodeMember(e)
	}
	return m.Decode(e)
}

func (m *Mirror) gone(key string) Record {
	if name, ok := strings.CutPrefix(key, MemberPrefix); ok {
		return Member{Name: name}
	}
	return m.DecodeRemoval(key)
}
