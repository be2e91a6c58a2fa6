package mirror

import (
	"context"
	"fmt"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"rattanline.example/rattanline/clock"
	"rattanline.example/rattanline/port"
)

// replace applies a complete set of entries, read at the revision or later.
func (m *Mirror) replace(entries []port.Entry, revision int64) {
	m.applyUpdate(m.replacement(entries, at(revision)), false)
}

// Guards against a change that daemons never receive, because the daemon that they adopt the content
// from read an older page before the change and a newer one after it: a revoked key stays in force.
func TestSnapshotMissesChangeBetweenPages(t *testing.T) {
	hub, other := newMirror(newStore()), newMirror(newStore())
	before := []port.Entry{entry("config", "1", 3), entry("target/a", "x", 4)}
	hub.replace(before, 5)
	other.replace(before, 5)
	hub.replace([]port.Entry{entry("config", "1", 3), entry("target/a", "y", 9)}, 7) // "config" was written at 8

	other.adoptFrom(hub)
	qt.Assert(t, other.View().Targets["a"].Service, qt.Equals, "y")
	for _, e := range []port.Event{put("config", "12", 8), put("target/a", "y", 9)} {
		hub.change(e)
	}
	other.adoptFrom(hub)
	qt.Assert(t, other.View().Index.Version(), qt.Equals, uint64(2))
	qt.Assert(t, other.View().Position, qt.Equals, at(9))
}

// overtaken is a port.Poller whose calls end after the mirror has adopted the content of a peer.
type overtaken struct {
	*store
	adopt func()
}

func (o overtaken) Snapshot(ctx context.Context) ([]port.Entry, port.Position, error) {
	defer o.adopt()
	return o.store.Snapshot(ctx)
}

func (o overtaken) Poll(ctx context.Context, after port.Position, wait time.Duration) ([]port.Event, port.Position, error) {
	defer o.adopt()
	return o.store.Poll(ctx, after, wait)
}

// Guards against an entry that is brought back under the revision of its removal, because a slow read
// of the service ended after the content of a peer was adopted.
func TestReadOvertakenByAdoption(t *testing.T) {
	for name, test := range map[string]struct {
		after *port.Position
		reply reply
	}{
		"snapshot": {reply: reply{entries: []port.Entry{entry("target/b", "x", 5)}, at: 6}},
		"poll":     {after: &port.Position{Revision: 4}, reply: reply{events: []port.Event{put("target/b", "x", 5)}, at: 5}},
	} {
		t.Run(name, func(t *testing.T) {
			m := newMirror(nil)
			m.replace([]port.Entry{entry("target/a", "x", 4)}, 4)
			m.Poller = overtaken{newStore(test.reply), func() {
				m.Adopt(entriesAt(8, entry("target/a", "x", 4)), clock.Now()) // "target/b" was removed at 7
			}}
			next, err := m.poll(t.Context(), test.after)
			qt.Assert(t, err, qt.IsNil)
			qt.Assert(t, next, qt.Equals, at(8))
			qt.Assert(t, m.View().Targets, qt.HasLen, 1)
		})
	}
	t.Run("service that went back", func(t *testing.T) {
		m := newMirror(newStore(reply{entries: []port.Entry{entry("target/b", "x", 6)}, at: 6}))
		m.replace([]port.Entry{entry("target/a", "x", 8)}, 8)
		next, err := m.poll(t.Context(), nil)
		qt.Assert(t, err, qt.IsNil)
		qt.Assert(t, next, qt.Equals, at(6))
		qt.Assert(t, m.View().Targets["b"].Service, qt.Equals, "x")
	})
}

// history is a model of the service: the changes of a few keys, one for each revision from 1 on.
type history []port.Event

// last returns the last change of the key up to the revision, nil if there is none.
func (h history) last(key string, revision int64) *port.Event {
	for i := min(revision, int64(len(h))) - 1; i >= 0; i-- {
		if h[i].Entry.Key == key {
			return &h[i]
		}
	}
	return nil
}

// checkComplete fails if the view lacks a change up to its revision.
func (h history) checkComplete(t *rapid.T, v *View, keys []string) {
	for _, key := range keys {
		last := h.last(key, v.Position.Revision)
		got, held := v.entries[key]
		switch {
		case last == nil:
		case held && got.Revision < last.Entry.Revision:
			t.Fatalf("revision %d holds %q of revision %d, changed at %d", v.Position.Revision, key, got.Revision, last.Entry.Revision)
		case !held && !last.Deleted && h.last(key, int64(len(h))) == last:
			t.Fatalf("revision %d lacks %q of revision %d", v.Position.Revision, key, last.Entry.Revision)
		}
	}
}

// reader is a mirror whose snapshots are read page by page, between other steps of the test.
type reader struct {
	*Mirror
	page    int // next page of the snapshot
	at      int64
	known   int64
	entries []port.Entry
	after   int64
}

// readPage reads one of the pages, which hold one key each, and applies the snapshot after the last one.
func (r *reader) readPage(h history, keys []string) {
	now := int64(len(h))
	if r.page == 0 {
		r.at, r.known, r.entries = now, r.View().Position.Revision, nil
	}
	if e := h.last(keys[r.page], now); e != nil && !e.Deleted {
		r.entries = append(r.entries, e.Entry)
	}
	r.page = (r.page + 1) % len(keys)
	if r.page == 0 {
		r.applyUpdate(r.snapshotUpdate(r.entries, at(r.at), at(r.known)), false)
		r.after = max(r.at, r.View().Position.Revision)
	}
}

// readChanges applies the changes after the last read.
func (r *reader) readChanges(h history) {
	if r.after > 0 && r.after < int64(len(h)) {
		r.applyUpdate(r.pollUpdate(slices.Clone(h[r.after:]), r.View().Position), false)
		r.after = int64(len(h))
	}
}

// Guards against a mirror that counts as complete at a revision whose changes it lacks, whatever the
// order of writes, reads in pages, polls and exchanges between daemons.
func TestViewsAreCompleteAtTheirRevision(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		keys := []string{"target/a", "target/b", "target/c"}
		var h history
		readers := []*reader{{Mirror: newMirror(nil)}, {Mirror: newMirror(nil)}, {Mirror: newMirror(nil)}}
		pick := func() *reader { return rapid.SampledFrom(readers).Draw(t, "reader") }
		t.Repeat(map[string]func(*rapid.T){
			"write": func(t *rapid.T) {
				e := put(rapid.SampledFrom(keys).Draw(t, "key"), fmt.Sprint(len(h)), int64(len(h)+1))
				e.Deleted = rapid.Bool().Draw(t, "removed")
				h = append(h, e)
			},
			"page":    func(*rapid.T) { pick().readPage(h, keys) },
			"changes": func(*rapid.T) { pick().readChanges(h) },
			"exchange": func(*rapid.T) {
				to, from := pick(), pick()
				if from.View().Position.After(to.View().Position) {
					to.adoptFrom(from.Mirror)
				}
			},
			"": func(t *rapid.T) {
				for _, r := range readers {
					h.checkComplete(t, r.View(), keys)
				}
			},
		})
	})
}
