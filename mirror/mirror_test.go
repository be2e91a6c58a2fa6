package mirror

import (
	"context"
	"fmt"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/pkg/errors"

	"rattanline.example/rattanline/clock"
	"rattanline.example/rattanline/config"
	"rattanline.example/rattanline/port"
)

// reply is what a store says to one call.
type reply struct {
	entries []port.Entry
	events  []port.Event
	at      int64
	err     error
}

// store replies to calls in turn, and holds the calls after that.
type store struct {
	mu      sync.Mutex
	replies []reply
	calls   []string
	idle    chan struct{} // closed when the replies are used up
}

func newStore(replies ...reply) *store { return &store{replies: replies, idle: make(chan struct{})} }

func (s *store) next(ctx context.Context, call string) (reply, error) {
	s.mu.Lock()
	s.calls = append(s.calls, call)
	if len(s.replies) == 0 {
		close(s.idle)
		s.mu.Unlock()
		<-ctx.Done()
		return reply{}, ctx.Err()
	}
	r := s.replies[0]
	s.replies = s.replies[1:]
	s.mu.Unlock()
	return r, r.err
}

func (s *store) Snapshot(ctx context.Context) ([]port.Entry, int64, error) {
	r, err := s.next(ctx, "snapshot")
	return r.entries, r.at, err
}

func (s *store) Poll(ctx context.Context, after int64, _ time.Duration) ([]port.Event, int64, error) {
	r, err := s.next(ctx, fmt.Sprint("poll ", after))
	return r.events, r.at, err
}

func entry(key, value string, revision int64) port.Entry {
	return port.Entry{Key: key, Value: []byte(value), Revision: revision}
}

func put(key, value string, revision int64) port.Event {
	return port.Event{Entry: entry(key, value, revision)}
}

func removed(key string, revision int64) port.Event {
	return port.Event{Entry: entry(key, "", revision), Deleted: true}
}

// newMirror returns a mirror that reads keys "target/NAME" and "config".
func newMirror(s *store) *Mirror {
	return &Mirror{
		Poller: s,
		Decode: func(e port.Entry) (Record, error) {
			name, isTarget := strings.CutPrefix(e.Key, "target/")
			switch {
			case string(e.Value) == "spoiled":
				return nil, errors.New("spoiled")
			case isTarget:
				return Target{Name: name, Service: string(e.Value)}, nil
			case e.Key == "config":
				return Configuration{Document: config.Document{Version: uint64(len(e.Value))}}, nil
			}
			return nil, nil
		},
		DecodeRemoval: func(key string) Record {
			if name, ok := strings.CutPrefix(key, "target/"); ok {
				return Target{Name: name}
			}
			return nil
		},
	}
}

// copied runs the mirror until the store has used its replies.
func copied(t *testing.T, replies ...reply) (*Mirror, *store) {
	t.Helper()
	s := newStore(replies...)
	m := newMirror(s)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = m.Run(ctx)
	}()
	<-s.idle
	cancel()
	<-done
	return m, s
}

// present returns the targets that are listed, and those whose entry is gone.
func present(v *View) (listed, gone []string) {
	for name, t := range v.Targets {
		if t.Removed != 0 {
			gone = append(gone, name)
		} else {
			listed = append(listed, name)
		}
	}
	return listed, gone
}

// Guards against changes that are missed: between the pages of a snapshot, when
// history was compacted, and when entries are unreadable.
func TestCopy(t *testing.T) {
	t.Run("changes", func(t *testing.T) {
		m, s := copied(t,
			reply{entries: []port.Entry{entry("target/a", "x", 5), entry("target/b", "x", 7)}, at: 6},
			reply{events: []port.Event{put("target/b", "x", 7), removed("target/a", 8)}, at: 9},
		)
		listed, gone := present(m.View())
		qt.Assert(t, listed, qt.DeepEquals, []string{"b"})
		qt.Assert(t, gone, qt.DeepEquals, []string{"a"})
		qt.Assert(t, s.calls, qt.DeepEquals, []string{"snapshot", "poll 6", "poll 9"})
	})
	t.Run("older event after a newer entry", func(t *testing.T) {
		m, _ := copied(t,
			reply{entries: []port.Entry{entry("target/a", "new", 9)}, at: 6},
			reply{events: []port.Event{put("target/a", "old", 7), removed("target/a", 8)}, at: 9},
		)
		qt.Assert(t, m.View().Targets["a"].Service, qt.Equals, "new")
	})
	t.Run("compacted", func(t *testing.T) {
		m, s := copied(t,
			reply{entries: []port.Entry{entry("target/a", "x", 5)}, at: 5},
			reply{err: port.ErrCompacted},
			reply{entries: []port.Entry{entry("target/b", "x", 8)}, at: 9},
		)
		listed, gone := present(m.View())
		qt.Assert(t, listed, qt.DeepEquals, []string{"b"})
		qt.Assert(t, gone, qt.DeepEquals, []string{"a"})
		qt.Assert(t, s.calls[2], qt.Equals, "snapshot")
	})
	t.Run("unreadable", func(t *testing.T) {
		m, _ := copied(t,
			reply{entries: []port.Entry{entry("target/a", "x", 5), entry("target/b", "x", 5)}, at: 5},
			reply{events: []port.Event{put("target/a", "spoiled", 6)}, at: 6},
		)
		listed, gone := present(m.View())
		qt.Assert(t, listed, qt.DeepEquals, []string{"b"})
		qt.Assert(t, gone, qt.HasLen, 0)
	})
	t.Run("lower configuration version", func(t *testing.T) {
		m, _ := copied(t,
			reply{entries: []port.Entry{entry("config", "1234", 5)}, at: 5},
			reply{events: []port.Event{put("config", "12", 6)}, at: 6},
		)
		qt.Assert(t, m.View().Index.Version(), qt.Equals, uint64(4))
	})
}

// Guards against a copy that counts as fresh though nobody proved it: after
// failed calls, and by another daemon's older proof or other revision.
func TestProof(t *testing.T) {
	m, _ := copied(t, reply{entries: []port.Entry{entry("target/a", "x", 5)}, at: 5})
	at := clock.Now()
	age := m.Age(at)
	qt.Assert(t, age < time.Second, qt.IsTrue)
	later := at.Add(10 * time.Second)

	m.Adopt(4, nil, nil, false, later)
	qt.Assert(t, m.Age(later) >= 10*time.Second, qt.IsTrue) // another revision proves nothing
	m.Adopt(5, nil, nil, false, at.Add(time.Second))
	qt.Assert(t, m.Age(later), qt.Equals, 9*time.Second)
	m.Adopt(5, nil, nil, false, at) // an older proof takes nothing away
	qt.Assert(t, m.Age(later), qt.Equals, 9*time.Second)

	m.Adopt(8, []port.Entry{entry("target/b", "x", 8)}, nil, false, at.Add(2*time.Second))
	listed, gone := present(m.View())
	qt.Assert(t, listed, qt.DeepEquals, []string{"b"})
	qt.Assert(t, gone, qt.DeepEquals, []string{"a"})
	qt.Assert(t, m.Age(later), qt.Equals, 8*time.Second)
	m.Adopt(7, []port.Entry{entry("target/a", "x", 5)}, nil, false, at.Add(3*time.Second))
	listed, _ = present(m.View())
	qt.Assert(t, listed, qt.DeepEquals, []string{"b"})

	_, s := copied(t, reply{err: port.ErrUnavailable}, reply{entries: nil, at: 3})
	qt.Assert(t, s.calls, qt.DeepEquals, []string{"snapshot", "snapshot", "poll 3"})
}

// Guards against changes that a daemon that doesn't poll never gets: those after
// its revision, or all entries if they are no longer known.
func TestSince(t *testing.T) {
	reader, _ := copied(t, reply{entries: []port.Entry{entry("target/a", "x", 5)}, at: 5},
		reply{events: []port.Event{put("target/b", "x", 6), removed("target/a", 7)}, at: 7})
	other := newMirror(newStore())
	now := clock.Now()
	take := func() {
		v := reader.View()
		changes, complete := v.Since(other.View().Revision, now)
		var entries []port.Entry
		if !complete {
			entries = v.Entries()
		}
		other.Adopt(v.Revision, entries, changes, complete, now)
	}
	take()
	listed, _ := present(other.View())
	qt.Assert(t, listed, qt.DeepEquals, []string{"b"})

	for i := range 3 * logLength {
		name := fmt.Sprint("target/n", i%7)
		e := put(name, "x", int64(8+i))
		if i%3 == 0 {
			e = removed(name, int64(8+i))
		}
		reader.change(func(v *View, at clock.Instant) []Record { return reader.applyAll(v, []port.Event{e}, at) }, false)
		if i%100 == 0 || i > 2*logLength {
			take()
		}
	}
	take()
	want, _ := present(reader.View())
	got, _ := present(other.View())
	slices.Sort(want)
	slices.Sort(got)
	qt.Assert(t, got, qt.DeepEquals, want)
	qt.Assert(t, other.View().Revision, qt.Equals, reader.View().Revision)
	_, complete := reader.View().Since(6, clock.Now())
	qt.Assert(t, complete, qt.IsFalse)
}

// Guards against a target that was removed long ago and counts as removed just
// now at a daemon that hears of it late.
func TestAgeOfChanges(t *testing.T) {
	now := clock.Now()
	reader, late := newMirror(newStore()), newMirror(newStore())
	reader.replace([]port.Entry{entry("target/a", "x", 5)}, 5)
	late.replace([]port.Entry{entry("target/a", "x", 5)}, 5)
	reader.change(func(v *View, _ clock.Instant) []Record {
		return []Record{reader.apply(v, removed("target/a", 6), now.Add(-2*time.Second))}
	}, false)
	changes, complete := reader.View().Since(5, now)
	qt.Assert(t, complete, qt.IsTrue)
	qt.Assert(t, changes, qt.HasLen, 1)
	late.Adopt(6, nil, changes, complete, now)
	since := clock.Now().Sub(late.View().Targets["a"].Removed)
	qt.Assert(t, since >= 2*time.Second && since < 3*time.Second, qt.IsTrue, qt.Commentf("%s", since))
}
