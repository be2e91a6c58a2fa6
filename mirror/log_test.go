package mirror

import (
	"fmt"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"rattanline.example/rattanline/clock"
	"rattanline.example/rattanline/port"
)

// change applies an event to the mirror as a poll does.
func (m *Mirror) change(e port.Event) {
	m.applyUpdate(func(v *View, at clock.Instant) []Record { return m.applyAll(v, []port.Event{e}, at) }, false)
}

// adoptFrom adopts what the other mirror holds, as a reply in the exchange does. It returns the size
// of the changed values, and whether the changes were complete, so that no copy of all was needed.
func (m *Mirror) adoptFrom(o *Mirror) (bytes int, complete bool) {
	now := clock.Now()
	v := o.View()
	changes, complete := v.Since(m.View().Position, now)
	var entries []port.Entry
	if !complete {
		entries = v.Entries()
	}
	for _, c := range changes {
		bytes += len(c.Entry.Value)
	}
	m.Adopt(Content{Position: v.Position, Entries: entries, Changes: changes, Complete: complete}, now)
	return bytes, complete
}

// Guards against a process that exceeds its memory because the values of many versions of a large
// configuration are kept for daemons that may lack them.
func TestLogIsBoundedInBytes(t *testing.T) {
	const versions, size = 200, 900_000
	m, behind, far := newMirror(newStore()), newMirror(newStore()), newMirror(newStore())
	m.replace([]port.Entry{entry("target/a", "x", 1), entry("config", "1", 2)}, 2)
	far.adoptFrom(m)
	for i := range versions {
		m.change(put("config", strings.Repeat("x", size+i), int64(3+i)))
		m.change(put(fmt.Sprint("other/", i), strings.Repeat("x", size/10), int64(3+i)))
		if i%3 == 0 {
			sent, _ := behind.adoptFrom(m)
			qt.Assert(t, sent <= 2*logBytes, qt.IsTrue, qt.Commentf("%d bytes sent", sent))
		}
		held := m.View().log
		sum := 0
		for _, c := range held.changes[:cap(held.changes)] {
			sum += len(c.Entry.Value)
		}
		qt.Assert(t, sum <= 2*logBytes, qt.IsTrue, qt.Commentf("%d bytes of %d versions", sum, i))
	}
	_, complete := m.View().Since(at(2), 0)
	qt.Assert(t, complete, qt.IsFalse) // it takes a copy of all entries
	for _, o := range []*Mirror{behind, far} {
		o.adoptFrom(m)
		qt.Assert(t, o.View().Index.Version(), qt.Equals, uint64(size+versions-1))
	}
}

// Guards against a daemon that gets other content from the changes of its peer than the peer has: a
// removal is lost, or a value that a later unreadable or lower one doesn't replace.
func TestChangesWithoutSupersededValues(t *testing.T) {
	values := []string{"x", "yy", "zzz", "spoiled", strings.Repeat("w", logBytes/3)}
	rapid.Check(t, func(t *rapid.T) {
		m, follower := newMirror(newStore()), newMirror(newStore())
		complete := true
		m.replace([]port.Entry{entry("config", "x", 1)}, 1)
		follower.adoptFrom(m)
		for i := range rapid.IntRange(0, 40).Draw(t, "changes") {
			key, revision := rapid.SampledFrom([]string{"target/a", "target/b", "config"}).Draw(t, "key"), int64(2+i)
			switch {
			case key != "config" && rapid.Bool().Draw(t, "removed"):
				m.change(removed(key, revision))
			default:
				m.change(put(key, values[rapid.IntRange(0, len(values)-1).Draw(t, "value")], revision))
			}
			if rapid.IntRange(0, 9).Draw(t, "adopts") == 0 {
				_, all := follower.adoptFrom(m)
				complete = complete && all
			}
		}
		_, all := follower.adoptFrom(m)
		complete = complete && all
		want, got := m.View(), follower.View()
		if len(want.entries) != len(got.entries) || want.Position != got.Position {
			t.Fatalf("%d entries at %v, %d at %v", len(want.entries), want.Position, len(got.entries), got.Position)
		}
		for key, e := range want.entries {
			if string(got.entries[key].Value) != string(e.Value) {
				t.Fatalf("%s: %d bytes, not %d", key, len(got.entries[key].Value), len(e.Value))
			}
		}
		if complete && got.Index.Version() != want.Index.Version() {
			t.Fatalf("version %d, not %d", got.Index.Version(), want.Index.Version())
		}
		for name, target := range want.Targets {
			if o, ok := got.Targets[name]; complete && (!ok || (o.Removed == 0) != (target.Removed == 0)) {
				t.Fatalf("target %s: removed %v, not %v", name, o.Removed, target.Removed)
			}
		}
	})
}
