package quarantine

import (
	"context"
	"fmt"
	"maps"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/rs/zerolog"

	"rattanline.example/rattanline/clock"
	"rattanline.example/rattanline/port"
	"rattanline.example/rattanline/request"
)

// entries is a port.KeyValue with the calls that an Archive makes.
type entries struct {
	port.KeyValue
	values  map[string][]byte
	calls   int
	largest int
	err     error
}

func newEntries() *entries { return &entries{values: map[string][]byte{}} }

func (s *entries) List(_ context.Context, prefix string) ([]port.Entry, error) {
	s.calls++
	var list []port.Entry
	for key, value := range s.values {
		if strings.HasPrefix(key, prefix) {
			list = append(list, port.Entry{Key: key, Value: value})
		}
	}
	return list, s.err
}

func (s *entries) Commit(_ context.Context, t port.Transaction) (port.Result, error) {
	s.calls++
	s.largest = max(s.largest, len(t.Writes))
	if s.err != nil {
		return port.Result{}, s.err
	}
	for _, w := range t.Writes {
		if w.Delete {
			delete(s.values, w.Key)
		} else {
			s.values[w.Key] = w.Value
		}
	}
	return port.Result{Committed: true}, nil
}

// stored decodes the entries, as a mirror does.
func (s *entries) stored() map[string]Suspect {
	view := map[string]Suspect{}
	for key, value := range s.values {
		if suspect, err := DecodeSuspect(port.Entry{Key: key, Value: value}); err == nil {
			view[key] = suspect
		}
	}
	return view
}

// archive is an Archive of suspect requests with its registry.
type archive struct {
	*Archive[Suspect]
	Registry *Registry
}

func newArchive(s *entries, rank int) archive {
	r := &Registry{}
	return archive{&Archive[Suspect]{Contents: SuspectRequests{r}, KeyValue: s, Stored: s.stored, Rank: func() int { return rank }, Logger: zerolog.Nop()}, r}
}

// advance updates the archives for the time, and returns its end.
func advance(now time.Time, d time.Duration, archives ...archive) time.Time {
	for end := now.Add(d); now.Before(end); now = now.Add(archiveInterval) {
		for _, a := range archives {
			_ = a.update(context.Background(), now)
		}
	}
	return now
}

// crash marks the requests by the numbered crash.
func (a archive) crash(at time.Time, n int, requests ...uint64) {
	a.Registry.RecordCrash(at, fmt.Sprint("t", n), requests)
}

// Guards against a request that crashes targets again after all daemons were killed, and against
// marks that are lost with the last writes of the service.
func TestArchive(t *testing.T) {
	c := qt.New(t)
	c.Run("a new daemon knows the quarantine", func(c *qt.C) {
		s := newEntries()
		a := newArchive(s, 0)
		a.crash(begin, 1, poison, 2)
		a.crash(after(time.Second), 2, poison, 3)
		advance(after(time.Second), 2*archiveInterval, a)
		c.Assert(s.values, qt.HasLen, 1) // one mark is not stored
		b := newArchive(s, archiveWriters)
		for _, suspect := range s.stored() {
			b.Registry.RestoreMarks(after(time.Minute), suspect.Marks)
		}
		assertVerdict(c, b.Registry, after(time.Minute), poison, true, true)
		c.Assert(b.Registry.Quarantined(after(period+time.Second), poison), qt.IsFalse)
	})
	c.Run("the service goes back to a copy", func(c *qt.C) {
		s := newEntries()
		a := newArchive(s, 0)
		a.crash(begin, 1, poison, 2)
		a.crash(begin, 2, poison)
		advance(begin, time.Second, a)
		copied, shown := maps.Clone(s.values), s.stored()
		a.crash(after(time.Second), 3, poison, 2)
		now := advance(after(time.Second), time.Second, a)
		shown = s.stored()
		s.values = copied
		a.Stored = func() map[string]Suspect { return shown } // a mirror that has not noticed
		advance(now, archiveCheck+time.Second, a)
		c.Assert(s.stored()[suspectKey(poison)].Marks, qt.HasLen, 3)
		c.Assert(s.stored()[suspectKey(2)].Marks, qt.HasLen, 2)
	})
	c.Run("the next daemon writes if the first one doesn't", func(c *qt.C) {
		s := newEntries()
		a, b := newArchive(s, archiveWriters), newArchive(s, 1)
		for _, x := range []archive{a, b} {
			x.crash(begin, 1, poison)
			x.crash(begin, 2, poison)
		}
		now := advance(begin, archiveTakeover, a, b)
		c.Assert(s.values, qt.HasLen, 0)
		advance(now, 2*archiveInterval, a, b)
		c.Assert(s.values, qt.HasLen, 1)
	})
	c.Run("failed writes are repeated", func(c *qt.C) {
		s := newEntries()
		a := newArchive(s, 0)
		a.crash(begin, 1, poison)
		a.crash(begin, 2, poison)
		s.err = port.ErrOutcomeUnknown
		now := advance(begin, time.Minute, a)
		s.err = nil
		advance(now, 2*archiveInterval, a)
		c.Assert(s.values, qt.HasLen, 1)
	})
	c.Run("two daemons with different marks agree", func(c *qt.C) {
		s := newEntries()
		a, b := newArchive(s, 0), newArchive(s, 0) // each counts itself as the first
		a.crash(begin, 1, poison)
		a.crash(begin, 2, poison)
		b.crash(begin, 3, poison)
		b.crash(begin, 4, poison)
		now := advance(begin, 10*time.Second, a, b)
		c.Assert(s.stored()[suspectKey(poison)].Marks, qt.HasLen, 4)
		calls := s.calls
		advance(now, archiveCheck/2, a, b)
		c.Assert(s.calls-calls <= 2, qt.IsTrue) // no more writes
	})
}

// Guards against stored marks that outlast their reason, without a bound, or of another writer.
func TestArchiveEntries(t *testing.T) {
	c := qt.New(t)
	c.Run("refuted marks are removed", func(c *qt.C) {
		s := newEntries()
		a := newArchive(s, 0)
		for i := range 3 {
			a.Registry.RecordLateCrash(after(time.Duration(i)*time.Second), fmt.Sprint("t", i), []uint64{poison})
		}
		now := advance(after(3*time.Second), time.Second, a)
		c.Assert(s.values, qt.HasLen, 1)
		a.Registry.RecordAnswer(poison)
		advance(now, archiveEcho+time.Second, a)
		c.Assert(s.values, qt.HasLen, 0)
	})
	c.Run("expired marks are removed", func(c *qt.C) {
		s := newEntries()
		a := newArchive(s, 0)
		a.crash(begin, 1, poison)
		a.crash(begin, 2, poison)
		advance(begin, time.Second, a)
		advance(after(markLifetime), archiveEcho+time.Second, a)
		c.Assert(s.values, qt.HasLen, 0)
	})
	c.Run("the newest of many are stored", func(c *qt.C) {
		s := newEntries()
		a := newArchive(s, 0)
		for f := range uint64(3 * maxSuspects) {
			a.crash(after(time.Duration(f)*time.Millisecond), int(2*f), f)
			a.crash(after(time.Duration(f)*time.Millisecond), int(2*f+1), f)
		}
		advance(after(time.Minute), 10*time.Second, a)
		c.Assert(s.values, qt.HasLen, maxSuspects)
		c.Assert(s.stored()[suspectKey(3*maxSuspects-1)].Marks, qt.HasLen, 2)
		c.Assert(s.largest <= maxArchiveWrites, qt.IsTrue)
	})
	c.Run("without suspects nothing is read or written", func(c *qt.C) {
		s := newEntries()
		a := newArchive(s, 0)
		a.crash(begin, 1, poison, 2, 3)
		advance(begin, time.Minute, a)
		c.Assert(s.calls, qt.Equals, 0)
	})
	c.Run("entries of other writers", func(c *qt.C) {
		s := newEntries()
		long := strings.Repeat("x", maxStoredName+1)
		for i, value := range []string{"[", "{}", `[{"crash":""}]`, `[{"crash":"` + long + `"}]`, `[{},{},{},{},{}]`, `[{"crash":"t","expires":7}]`} {
			s.values[suspectKey(uint64(i))] = []byte(value)
		}
		s.values[SuspectPrefix+"odd"] = []byte("[]")
		c.Assert(s.stored(), qt.HasLen, 0)
		a := newArchive(s, 0)
		a.Registry.RestoreMarks(begin, []Mark{
			{Fingerprint: poison, Crash: "t1", Alone: true, Expires: after(99 * markLifetime)},
			{Fingerprint: poison, Crash: "t2", Alone: true, Expires: after(99 * markLifetime)},
		})
		assertVerdict(c, a.Registry, begin, poison, false, false)
		a.crash(begin, 1, poison)
		a.crash(begin, 2, poison)
		advance(begin, time.Second, a)
		c.Assert(s.stored()[suspectKey(poison)].Marks, qt.HasLen, 2)
	})
}

// newPoisonedSegments returns what a daemon knows that has quarantined the segment.
func newPoisonedSegments(segment request.Segment, crashes int) *Segments {
	s := &Segments{Daemon: "d1", Logger: zerolog.Nop()}
	for i := range crashes {
		ended := clock.Now().Add(-time.Duration(crashes-i) * 2 * time.Second)
		s.RecordCrash(fmt.Sprint("t", i), []Interruption{
			{Request: uint64(i), Segments: []request.Segment{segment}, Sent: ended.Add(-time.Second), Ended: ended},
		})
	}
	return s
}

// Guards against a prompt segment that crashes engines again after all daemons were killed.
func TestPoisonSegmentArchive(t *testing.T) {
	c, now, segment := qt.New(t), time.Now(), request.Segment{Model: "m", ID: "s"}
	stored := func(c *qt.C, s *Segments) PoisonSegment {
		known := PoisonSegments{s}.Known(now)
		c.Assert(known, qt.HasLen, 1)
		key := segmentKey(segment)
		value, err := PoisonSegments{}.Encode(known[key])
		c.Assert(err, qt.IsNil)
		record, err := DecodePoisonSegment(port.Entry{Key: key, Value: value})
		c.Assert(err, qt.IsNil)
		c.Assert(PoisonSegments{}.UpToDate(record, known[key]), qt.IsTrue)
		return record
	}
	refused := func(s *Segments, at clock.Instant) bool {
		return s.Check(at, []request.Segment{segment}, false, false).Refused
	}
	c.Run("a new daemon knows the quarantine", func(c *qt.C) {
		for _, crashes := range []int{3, 20} {
			before, after := newPoisonedSegments(segment, crashes), &Segments{Logger: zerolog.Nop()}
			PoisonSegments{after}.Restore(now, stored(c, before))
			c.Assert(refused(after, clock.Now()), qt.IsTrue)
			c.Assert(after.Status(clock.Now())[0].LastCrashSeconds < 5, qt.IsTrue) // of the newest crash
			c.Assert(PoisonSegments{}.UpToDate(stored(c, before), PoisonSegments{after}.Known(now)[segmentKey(segment)]), qt.IsTrue)
			c.Assert(refused(after, clock.Now().Add(probePause+time.Second)), qt.IsFalse) // a probe is due
		}
	})
	c.Run("a segment that was answered since isn't quarantined again", func(c *qt.C) {
		s := newPoisonedSegments(segment, 3)
		record := stored(c, s)
		s.RecordAnswer(clock.Now(), []request.Segment{segment})
		PoisonSegments{s}.Restore(now, record)
		c.Assert(refused(s, clock.Now()), qt.IsFalse)
		c.Assert(PoisonSegments{s}.Known(now), qt.HasLen, 0)
	})
	c.Run("an expired entry", func(c *qt.C) {
		s := &Segments{Logger: zerolog.Nop()}
		PoisonSegments{s}.Restore(now.Add(period+time.Minute), stored(c, newPoisonedSegments(segment, 3)))
		c.Assert(refused(s, clock.Now()), qt.IsFalse)
	})
	c.Run("suspect segments aren't stored", func(c *qt.C) {
		c.Assert(PoisonSegments{newPoisonedSegments(segment, 2)}.Known(now), qt.HasLen, 0)
	})
	c.Run("entries of other writers", func(c *qt.C) {
		for _, value := range []string{"[", "{}", `{"model":"m","segment":"other"}`, `{"model":"m","segment":"s","probes":-1}`, `{"model":"m","segment":"s","interrupted":[{},{},{},{},{},{},{}]}`} {
			_, err := DecodePoisonSegment(port.Entry{Key: segmentKey(segment), Value: []byte(value)})
			c.Check(err, qt.IsNotNil, qt.Commentf("%s", value))
		}
	})
}
