package mirror

import (
	"context"
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"rattanline.example/rattanline/clock"
	"rattanline.example/rattanline/port"
)

func in(era port.Era, revision int64) port.Position {
	return port.Position{Era: era, Revision: revision}
}

// settled returns the view as it is settleTime later.
func settled(m *Mirror) *View {
	v := m.View().clone()
	m.settle(v, clock.Now().Add(settleTime))
	return v
}

// Guards against changes that are ignored, because the service gave out their revisions before it came
// back from a copy.
func TestReturnFromCopy(t *testing.T) {
	before := reply{entries: []port.Entry{entry("config", "12", 90), entry("target/a", "x", 80), entry("target/b", "x", 40)}, at: 98, era: 1}
	after := []port.Entry{entry("config", "12", 53), entry("target/b", "x", 40), entry("target/c", "x", 50)}
	assertReturned := func(t *testing.T, m *Mirror) {
		t.Helper()
		v := m.View()
		listed, gone := targetNames(v)
		slices.Sort(listed)
		qt.Assert(t, listed, qt.DeepEquals, []string{"a", "b", "c"})
		qt.Assert(t, gone, qt.HasLen, 0)
		v = settled(m)
		listed, gone = targetNames(v)
		slices.Sort(listed)
		qt.Assert(t, listed, qt.DeepEquals, []string{"b", "c"})
		qt.Assert(t, gone, qt.DeepEquals, []string{"a"})
		qt.Assert(t, v.Index.Version(), qt.Equals, uint64(3))
		qt.Assert(t, v.Position, qt.Equals, in(2, 78))
	}
	change := reply{events: []port.Event{put("config", "123", 78)}, at: 78, era: 2}
	t.Run("watch refused", func(t *testing.T) {
		m, s := runMirror(t, before, reply{err: port.ErrCompacted}, reply{entries: after, at: 60, era: 2}, change)
		assertReturned(t, m)
		qt.Assert(t, s.calls, qt.DeepEquals, []string{"snapshot", "poll 98", "snapshot", "poll 60", "poll 78"})
	})
	t.Run("watch answered", func(t *testing.T) {
		m, s := runMirror(t, before, reply{events: []port.Event{put("target/d", "x", 99)}, at: 99, era: 2}, reply{entries: after, at: 60, era: 2}, change)
		assertReturned(t, m)
		qt.Assert(t, s.calls, qt.DeepEquals, []string{"snapshot", "poll 98", "snapshot", "poll 60", "poll 78"})
	})
	t.Run("era known from another call", func(t *testing.T) {
		m, s := runMirror(t, before, reply{err: port.ErrUnavailable, era: 2}, reply{entries: after, at: 60, era: 2}, change)
		assertReturned(t, m)
		qt.Assert(t, s.calls, qt.DeepEquals, []string{"snapshot", "poll 98", "snapshot", "poll 60", "poll 78"})
	})
	t.Run("lower configuration version", func(t *testing.T) {
		m, _ := runMirror(t, before, reply{err: port.ErrCompacted}, reply{entries: []port.Entry{entry("config", "1", 30)}, at: 60, era: 2})
		qt.Assert(t, m.View().Index.Version(), qt.Equals, uint64(2))
	})
}

// Guards against content of an earlier era that replaces that of a later one, and against a proof of
// an earlier era that counts in a later one.
func TestEarlierErasAreIgnored(t *testing.T) {
	newAt := func(position port.Position) *Mirror {
		m := newMirror(newStore())
		m.Adopt(Content{Position: position, Entries: []port.Entry{entry("target/a", "x", 5)}}, 0)
		return m
	}
	older := []port.Entry{entry("target/b", "x", 90)}
	t.Run("content and proof of a peer", func(t *testing.T) {
		m, now := newAt(in(2, 5)), clock.Now()
		m.Adopt(Content{Position: in(1, 90), Entries: older}, now)
		m.Adopt(Content{Position: in(1, 5)}, now)
		qt.Assert(t, m.View().Position, qt.Equals, in(2, 5))
		qt.Assert(t, m.Age(now), qt.Equals, now.Sub(0))
	})
	t.Run("content of a peer after a later era became known", func(t *testing.T) {
		m := newAt(in(1, 5))
		m.LearnEra(2)
		m.Adopt(Content{Position: in(1, 90), Entries: older}, clock.Now())
		qt.Assert(t, m.View().Position, qt.Equals, in(1, 5))
	})
	t.Run("changes of a peer", func(t *testing.T) {
		m := newAt(in(1, 5))
		m.Adopt(Content{Position: in(2, 3), Changes: []Change{{Event: put("target/c", "x", 3)}}, Complete: true}, clock.Now())
		qt.Assert(t, m.View().Targets, qt.HasLen, 1) // they are complete only for mirrors of the same era
	})
	t.Run("late reply of the service", func(t *testing.T) {
		m := newAt(in(1, 5))
		m.Poller = overtaken{newStore(reply{entries: older, at: 90, era: 1}), func() {
			m.Adopt(Content{Position: in(2, 3), Entries: []port.Entry{entry("target/c", "x", 3)}}, 0)
		}}
		_, err := m.poll(t.Context(), nil)
		qt.Assert(t, err, qt.ErrorIs, port.ErrCompacted)
		qt.Assert(t, m.View().Position, qt.Equals, in(2, 3))
	})
}

// Guards against a mirror that stops, or goes back, because replies state no era or a lower one.
func TestUnstatedEra(t *testing.T) {
	for name, era := range map[string]port.Era{"none": 0, "lower": 2} {
		t.Run(name, func(t *testing.T) {
			m, s := runMirror(t, reply{entries: []port.Entry{entry("target/a", "x", 5)}, at: 5, era: 3},
				reply{events: []port.Event{put("target/b", "x", 6)}, at: 6, era: era},
				reply{err: port.ErrCompacted}, reply{entries: []port.Entry{entry("target/b", "x", 6)}, at: 7, era: era})
			listed, _ := targetNames(m.View())
			qt.Assert(t, listed, qt.DeepEquals, []string{"b"})
			qt.Assert(t, m.View().Position, qt.Equals, in(3, 7))
			qt.Assert(t, s.calls, qt.DeepEquals, []string{"snapshot", "poll 5", "poll 6", "snapshot", "poll 7"})
		})
	}
}

// copiedService is a model of a service that comes back from copies.
type copiedService struct {
	era  port.Era
	now  history
	lost map[port.Era]history
	// during is called between the time at which a reply is made and its arrival.
	during func()
}

func (s *copiedService) history(era port.Era) history {
	if era == s.era {
		return s.now
	}
	return s.lost[era]
}

func (s *copiedService) position() port.Position { return in(s.era, int64(len(s.now))) }

func (s *copiedService) comeBack(length int) {
	s.lost[s.era] = s.now
	s.era, s.now = s.era+1, slices.Clone(s.now[:length])
}

// serviceReader is a mirror of a copiedService.
type serviceReader struct {
	*Mirror
	service *copiedService
	next    *port.Position
	stated  port.Era
	version uint64 // the highest version of the configuration that was in force
}

func (r *serviceReader) arrive(at port.Position) {
	r.service.during()
	r.stated = max(r.stated, at.Era)
}

func (r *serviceReader) Snapshot(context.Context) ([]port.Entry, port.Position, error) {
	at := r.service.position()
	latest := map[string]port.Entry{}
	for _, e := range r.service.now {
		if e.Deleted {
			delete(latest, e.Entry.Key)
		} else {
			latest[e.Entry.Key] = e.Entry
		}
	}
	var entries []port.Entry
	for _, e := range latest {
		entries = append(entries, e)
	}
	r.arrive(at)
	return entries, at, nil
}

func (r *serviceReader) Poll(_ context.Context, after port.Position, _ time.Duration) ([]port.Event, port.Position, error) {
	at := r.service.position()
	if after.Revision > at.Revision {
		r.arrive(at)
		return nil, port.Position{}, port.ErrCompacted
	}
	events := slices.Clone(r.service.now[after.Revision:])
	r.arrive(at)
	return events, at, nil
}

func (r *serviceReader) Era() port.Era { return r.stated }

// readOnce polls the service as Mirror.Run does.
func (r *serviceReader) readOnce() {
	next, err := r.poll(context.Background(), r.next)
	if r.next = nil; err == nil {
		r.next = &next
	}
}

// check fails if the view lacks a change up to its position, holds content that its era never had, or
// has a lower version of the configuration in force than before.
func (r *serviceReader) check(t *rapid.T, keys []string) {
	v := r.View()
	h := r.service.history(v.Position.Era)
	h.checkComplete(t, v, keys)
	for key, e := range v.entries {
		if e.Revision > int64(len(h)) || string(h[e.Revision-1].Entry.Value) != string(e.Value) {
			t.Fatalf("%v holds %s with %q at %d", v.Position, key, e.Value, e.Revision)
		}
	}
	if v.Index != nil {
		if v.Index.Version() < r.version {
			t.Fatalf("version %d in force after %d", v.Index.Version(), r.version)
		}
		r.version = v.Index.Version()
	}
}

// Guards against views that lack changes, or mix those of two eras, whatever the order of writes,
// returns from copies, late replies and exchanges between daemons at different eras.
func TestViewsAcrossEras(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		keys := []string{"target/a", "target/b", "config"}
		s := &copiedService{era: 1, lost: map[port.Era]history{}}
		var readers []*serviceReader
		for range 3 {
			r := &serviceReader{Mirror: newMirror(nil), service: s}
			r.Poller = r
			readers = append(readers, r)
		}
		written := 0
		write := func(t *rapid.T) {
			key := rapid.SampledFrom(keys).Draw(t, "key")
			written++
			e := put(key, fmt.Sprint(written), int64(len(s.now)+1))
			if key == "config" {
				e.Entry.Value = []byte(strings.Repeat("c", written)) // versions increase
			} else {
				e.Deleted = rapid.Bool().Draw(t, "removed")
			}
			s.now = append(s.now, e)
		}
		comeBack := func(t *rapid.T) { s.comeBack(rapid.IntRange(0, len(s.now)).Draw(t, "copy")) }
		exchange := func(t *rapid.T) {
			to, from := rapid.SampledFrom(readers).Draw(t, "to"), rapid.SampledFrom(readers).Draw(t, "from")
			if from.View().Position.After(to.View().Position) {
				to.adoptFrom(from.Mirror)
			}
		}
		read := func(t *rapid.T) {
			s.during = func() {}
			if rapid.Bool().Draw(t, "late") {
				s.during = func() {
					for _, step := range rapid.SliceOfN(rapid.SampledFrom([]int{0, 1, 2}), 0, 4).Draw(t, "meanwhile") {
						[]func(*rapid.T){write, comeBack, exchange}[step](t)
					}
				}
			}
			rapid.SampledFrom(readers).Draw(t, "reader").readOnce()
		}
		t.Repeat(map[string]func(*rapid.T){
			"write": write, "come back": comeBack, "exchange": exchange, "read": read, "read again": read,
			"": func(t *rapid.T) {
				for _, r := range readers {
					r.check(t, keys)
				}
			},
		})
	})
}
