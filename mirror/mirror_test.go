package mirror

import (
	"context"
	"fmt"
	"slices"
	"strconv"
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

// reply is the result of one Snapshot or Poll of a store.
type reply struct {
	entries []port.Entry
	events  []port.Event
	at      int64
	era     port.Era
	err     error
}

func (r reply) position() port.Position { return port.Position{Era: r.era, Revision: r.at} }

// store is a port.Poller that returns its replies in order and blocks the calls
// after that.
type store struct {
	mu      sync.Mutex
	replies []reply
	calls   []string
	era     port.Era
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
	s.replies, s.era = s.replies[1:], max(s.era, r.era)
	s.mu.Unlock()
	return r, r.err
}

func (s *store) Snapshot(ctx context.Context) ([]port.Entry, port.Position, error) {
	r, err := s.next(ctx, "snapshot")
	return r.entries, r.position(), err
}

func (s *store) Poll(ctx context.Context, after port.Position, _ time.Duration) ([]port.Event, port.Position, error) {
	r, err := s.next(ctx, fmt.Sprint("poll ", after.Revision))
	return r.events, r.position(), err
}

func (s *store) Era() port.Era {
	if s == nil {
		return 0
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.era
}

// at returns the position of a service that states no era.
func at(revision int64) port.Position { return port.Position{Revision: revision} }

// entriesAt returns the content of a mirror that holds the entries at the revision.
func entriesAt(revision int64, entries ...port.Entry) Content {
	return Content{Position: at(revision), Entries: append([]port.Entry{}, entries...)}
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

// decodeTarget decodes the service of a target, and optionally its start time and "leaving".
func decodeTarget(name, value string) Target {
	value, leaving := strings.CutSuffix(value, " leaving")
	service, started, _ := strings.Cut(value, " ")
	startTime, _ := strconv.ParseInt(started, 10, 64) // zero if there is none
	return Target{Name: name, Service: service, StartTime: startTime, Leaving: leaving}
}

// newMirror returns a mirror that decodes the keys "target/NAME", "evacuated/NAME" and "config".
func newMirror(s *store) *Mirror {
	return &Mirror{
		Poller: s,
		Decode: func(e port.Entry) (Record, error) {
			name, isTarget := strings.CutPrefix(e.Key, "target/")
			switch {
			case string(e.Value) == "spoiled":
				return nil, errors.New("spoiled")
			case isTarget:
				return decodeTarget(name, string(e.Value)), nil
			case strings.HasPrefix(e.Key, "evacuated/"):
				return Evacuation{Domain: e.Key[len("evacuated/"):]}, nil
			case e.Key == "config":
				return Configuration{Document: config.Document{Version: uint64(len(e.Value))}}, nil
			}
			return nil, nil
		},
		DecodeRemoval: func(key string) Record {
			if name, ok := strings.CutPrefix(key, "target/"); ok {
				return Target{Name: name}
			}
			if domain, ok := strings.CutPrefix(key, "evacuated/"); ok {
				return Evacuation{Domain: domain}
			}
			return nil
		},
	}
}

// runMirror runs a mirror until the store has returned all replies.
func runMirror(t *testing.T, replies ...reply) (*Mirror, *store) {
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

// targetNames returns the names of the targets in the view: listed those that have
// an entry, gone those whose entry was removed.
func targetNames(v *View) (listed, gone []string) {
	for name, t := range v.Targets {
		if t.Removed != 0 {
			gone = append(gone, name)
		} else {
			listed = append(listed, name)
		}
	}
	return listed, gone
}

// Guards against missed changes: between the pages of a snapshot, after the
// history was compacted, and by an unreadable entry. Also guards against older
// events and lower configuration versions that replace newer ones.
func TestMirrorUpdates(t *testing.T) {
	t.Run("changes", func(t *testing.T) {
		m, s := runMirror(t,
			reply{entries: []port.Entry{entry("target/a", "x", 5), entry("target/b", "x", 7)}, at: 6},
			reply{events: []port.Event{put("target/b", "x", 7), removed("target/a", 8)}, at: 9},
		)
		listed, gone := targetNames(m.View())
		qt.Assert(t, listed, qt.DeepEquals, []string{"b"})
		qt.Assert(t, gone, qt.DeepEquals, []string{"a"})
		qt.Assert(t, s.calls, qt.DeepEquals, []string{"snapshot", "poll 6", "poll 9"})
	})
	t.Run("older event after a newer entry", func(t *testing.T) {
		m, _ := runMirror(t,
			reply{entries: []port.Entry{entry("target/a", "new", 9)}, at: 6},
			reply{events: []port.Event{put("target/a", "old", 7), removed("target/a", 8)}, at: 9},
		)
		qt.Assert(t, m.View().Targets["a"].Service, qt.Equals, "new")
	})
	t.Run("history compacted", func(t *testing.T) {
		m, s := runMirror(t,
			reply{entries: []port.Entry{entry("target/a", "x", 5)}, at: 5},
			reply{err: port.ErrCompacted},
			reply{entries: []port.Entry{entry("target/b", "x", 8)}, at: 9},
		)
		listed, gone := targetNames(m.View())
		qt.Assert(t, listed, qt.DeepEquals, []string{"b"})
		qt.Assert(t, gone, qt.DeepEquals, []string{"a"})
		qt.Assert(t, s.calls[2], qt.Equals, "snapshot")
	})
	t.Run("unreadable entry", func(t *testing.T) {
		m, _ := runMirror(t,
			reply{entries: []port.Entry{entry("target/a", "x", 5), entry("target/b", "x", 5)}, at: 5},
			reply{events: []port.Event{put("target/a", "spoiled", 6)}, at: 6},
		)
		listed, gone := targetNames(m.View())
		qt.Assert(t, listed, qt.DeepEquals, []string{"b"})
		qt.Assert(t, gone, qt.HasLen, 0)
	})
	t.Run("lower configuration version", func(t *testing.T) {
		m, _ := runMirror(t,
			reply{entries: []port.Entry{entry("config", "1234", 5)}, at: 5},
			reply{events: []port.Event{put("config", "12", 6)}, at: 6},
		)
		qt.Assert(t, m.View().Index.Version(), qt.Equals, uint64(4))
	})
}

// Guards against a mirror that counts as fresh without proof: after failed calls,
// and after a message of a daemon with an older proof or at another revision.
func TestFreshnessProof(t *testing.T) {
	m, _ := runMirror(t, reply{entries: []port.Entry{entry("target/a", "x", 5)}, at: 5})
	now := clock.Now()
	age := m.Age(now)
	qt.Assert(t, age < time.Second, qt.IsTrue)
	later := now.Add(10 * time.Second)

	m.Adopt(Content{Position: at(4)}, later)
	qt.Assert(t, m.Age(later) >= 10*time.Second, qt.IsTrue) // another revision is no proof
	m.Adopt(Content{Position: at(5)}, now.Add(time.Second))
	qt.Assert(t, m.Age(later), qt.Equals, 9*time.Second)
	m.Adopt(Content{Position: at(5)}, now) // an older proof does not raise the age
	qt.Assert(t, m.Age(later), qt.Equals, 9*time.Second)

	m.Adopt(entriesAt(8, entry("target/b", "x", 8)), now.Add(2*time.Second))
	listed, gone := targetNames(m.View())
	qt.Assert(t, listed, qt.DeepEquals, []string{"b"})
	qt.Assert(t, gone, qt.DeepEquals, []string{"a"})
	qt.Assert(t, m.Age(later), qt.Equals, 8*time.Second)
	m.Adopt(entriesAt(7, entry("target/a", "x", 5)), now.Add(3*time.Second))
	listed, _ = targetNames(m.View())
	qt.Assert(t, listed, qt.DeepEquals, []string{"b"})

	_, s := runMirror(t, reply{err: port.ErrUnavailable}, reply{entries: nil, at: 3})
	qt.Assert(t, s.calls, qt.DeepEquals, []string{"snapshot", "snapshot", "poll 3"})
}

// Guards against a daemon that does not poll and misses changes. It must receive
// the changes after its revision, or all entries if the log no longer holds those.
func TestChangesSinceRevision(t *testing.T) {
	poller, _ := runMirror(t, reply{entries: []port.Entry{entry("target/a", "x", 5)}, at: 5},
		reply{events: []port.Event{put("target/b", "x", 6), removed("target/a", 7)}, at: 7})
	other := newMirror(newStore())
	now := clock.Now()
	pull := func() {
		v := poller.View()
		changes, complete := v.Since(other.View().Position, now)
		var entries []port.Entry
		if !complete {
			entries = v.Entries()
		}
		other.Adopt(Content{Position: v.Position, Entries: entries, Changes: changes, Complete: complete}, now)
	}
	pull()
	listed, _ := targetNames(other.View())
	qt.Assert(t, listed, qt.DeepEquals, []string{"b"})

	for i := range 3 * logLength {
		name := fmt.Sprint("target/n", i%7)
		e := put(name, "x", int64(8+i))
		if i%3 == 0 {
			e = removed(name, int64(8+i))
		}
		poller.applyUpdate(func(v *View, at clock.Instant) []Record { return poller.applyAll(v, []port.Event{e}, at) }, false)
		if i%100 == 0 || i > 2*logLength {
			pull()
		}
	}
	pull()
	want, _ := targetNames(poller.View())
	got, _ := targetNames(other.View())
	slices.Sort(want)
	slices.Sort(got)
	qt.Assert(t, got, qt.DeepEquals, want)
	qt.Assert(t, other.View().Position, qt.Equals, poller.View().Position)
	_, complete := poller.View().Since(at(6), clock.Now())
	qt.Assert(t, complete, qt.IsFalse)
}

// Guards against a target whose removal counts from the moment at which a daemon
// received it late from another daemon, instead of from the removal itself.
func TestRemovalAgeIsPreserved(t *testing.T) {
	now := clock.Now()
	poller, late := newMirror(newStore()), newMirror(newStore())
	poller.replace([]port.Entry{entry("target/a", "x", 5)}, 5)
	late.replace([]port.Entry{entry("target/a", "x", 5)}, 5)
	poller.applyUpdate(func(v *View, _ clock.Instant) []Record {
		return []Record{poller.apply(v, removed("target/a", 6), now.Add(-2*time.Second))}
	}, false)
	changes, complete := poller.View().Since(at(5), now)
	qt.Assert(t, complete, qt.IsTrue)
	qt.Assert(t, changes, qt.HasLen, 1)
	late.Adopt(Content{Position: at(6), Changes: changes, Complete: complete}, now)
	since := clock.Now().Sub(late.View().Targets["a"].Removed)
	qt.Assert(t, since >= 2*time.Second && since < 3*time.Second, qt.IsTrue, qt.Commentf("%s", since))
}

// Guards against entries that stay in the mirror of a daemon that lacked contact,
// because the daemon that it asks read the store only after they had been removed.
func TestChangesBeforeSnapshotAreNotComplete(t *testing.T) {
	for name, replies := range map[string][]reply{
		"first snapshot": {{entries: []port.Entry{entry("target/b", "engine", 4)}, at: 9}},
		"after history was dropped": {
			{entries: []port.Entry{entry("target/b", "engine", 4)}, at: 4},
			{err: port.ErrCompacted},
			{entries: []port.Entry{entry("target/b", "engine", 4)}, at: 9},
		},
	} {
		t.Run(name, func(t *testing.T) {
			behind, _ := runMirror(t, reply{entries: []port.Entry{entry("target/a", "engine", 3), entry("target/b", "engine", 4)}, at: 5})
			ahead, _ := runMirror(t, replies...)
			v := ahead.View()
			changes, complete := v.Since(behind.View().Position, clock.Now())
			var entries []port.Entry
			if !complete {
				entries = v.Entries()
			}
			behind.Adopt(Content{Position: v.Position, Entries: entries, Changes: changes, Complete: complete}, clock.Now())
			qt.Assert(t, behind.View().Position, qt.Equals, at(9))
			qt.Assert(t, behind.View().Targets["a"].Removed != 0, qt.IsTrue)
			qt.Assert(t, behind.View().Targets["b"].Removed == 0, qt.IsTrue)
		})
	}
}

// Guards against entries of other writers that become hubs of the exchange.
func TestOddMemberEntries(t *testing.T) {
	for value, readable := range map[string]bool{
		`{"link-address":"10.0.0.1:7","cores":0.4}`: true, `{"link-address":"10.0.0.1:7"}`: true,
		`{"link-address":"10.0.0.1:7","cores":1e300}`: false, `{"link-address":"10.0.0.1:7","cores":-1}`: false, `{}`: false, `null`: false, `[`: false,
	} {
		_, err := decodeMember(port.Entry{Key: MemberPrefix + "d", Value: []byte(value)})
		qt.Check(t, err == nil, qt.Equals, readable, qt.Commentf("%s: %v", value, err))
	}
	_, err := decodeMember(port.Entry{Key: MemberPrefix, Value: []byte(`{"link-address":"10.0.0.1:7"}`)})
	qt.Check(t, err, qt.IsNotNil)
}

// Guards against an outdated mirror that counts as complete, because the proof for a newer
// revision was stated with it: revoked keys would then be accepted for too long.
func TestProofIsNotStatedWithOlderRevision(t *testing.T) {
	const revisions = 20_000
	m := newMirror(newStore())
	var writer sync.WaitGroup
	writer.Go(func() {
		for i := range int64(revisions) {
			m.Adopt(entriesAt(i+1), clock.Instant(i+1))
		}
	})
	defer writer.Wait()
	for {
		position, age := m.Proof(0)
		revision := position.Revision
		if proven := int64(-age); proven > revision { // the proof of each revision is its number
			t.Fatalf("the proof of revision %d is stated with revision %d", proven, revision)
		}
		if revision == revisions {
			return
		}
	}
}

// Guards against a process that ends because its decoder panics on one entry, and against the
// loss of the other entries.
func TestDecoderPanics(t *testing.T) {
	m := newMirror(newStore())
	decode := m.Decode
	m.Decode = func(e port.Entry) (Record, error) {
		if string(e.Value) == "odd" {
			panic(e.Key)
		}
		return decode(e)
	}
	m.Adopt(entriesAt(3, entry("target/a", "x", 1), entry("target/b", "odd", 2), entry("target/c", "x", 3)), 0)
	v := m.View()
	qt.Assert(t, v.Targets, qt.HasLen, 2)
	qt.Assert(t, v.Position, qt.Equals, at(3))
}

// Guards against an entry that is never removed from the mirror, because the older content of a peer was
// adopted after a poll had removed it.
func TestAdoptComparesRevisionsUnderLock(t *testing.T) {
	m := newMirror(newStore())
	m.replace([]port.Entry{entry("target/a", "x", 5)}, 9)
	adopted := make(chan struct{})
	m.applyUpdate(func(v *View, now clock.Instant) []Record { // a poll that ends while a reply arrives
		go func() {
			defer close(adopted)
			m.Adopt(entriesAt(10, entry("target/a", "x", 5)), now)
		}()
		time.Sleep(50 * time.Millisecond) // for the other goroutine to wait for the lock
		return m.applyAll(v, []port.Event{removed("target/a", 11)}, now)
	}, false)
	<-adopted
	qt.Assert(t, m.View().Targets["a"].Removed != 0, qt.IsTrue)
	qt.Assert(t, m.View().Entries(), qt.HasLen, 0)
}
