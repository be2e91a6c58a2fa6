package quarantine

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

var begin = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func after(d time.Duration) time.Time { return begin.Add(d) }

const poison = 1

func assertVerdict(c *qt.C, r *Registry, now time.Time, fingerprint uint64, marked, quarantined bool) {
	c.Helper()
	c.Assert(r.Marked(now, fingerprint), qt.Equals, marked)
	c.Assert(r.Quarantined(now, fingerprint), qt.Equals, quarantined)
}

func TestMarksAndQuarantine(t *testing.T) {
	c := qt.New(t)
	c.Run("the first mark doesn't quarantine", func(c *qt.C) {
		r := &Registry{}
		r.RecordCrash(begin, "t1/a", []uint64{poison, 2, 3})
		assertVerdict(c, r, begin, poison, true, false)
		assertVerdict(c, r, begin, 4, false, false)
	})
	c.Run("the second mark quarantines the only marked request at the target", func(c *qt.C) {
		r := &Registry{}
		r.RecordCrash(begin, "t1/a", []uint64{poison, 2})
		r.RecordCrash(after(time.Second), "t2/a", []uint64{poison, 3})
		assertVerdict(c, r, after(time.Second), poison, true, true)
		assertVerdict(c, r, after(time.Second), 2, true, false)
		assertVerdict(c, r, after(time.Second), 3, true, false)
	})
	c.Run("beside another marked request the second mark does not quarantine, the third does", func(c *qt.C) {
		r := &Registry{}
		r.RecordCrash(begin, "t1/a", []uint64{poison, 2})
		r.RecordCrash(after(time.Second), "t2/a", []uint64{poison, 2})
		assertVerdict(c, r, after(time.Second), poison, true, false)
		r.RecordCrash(after(2*time.Second), "t3/a", []uint64{poison, 2})
		assertVerdict(c, r, after(2*time.Second), poison, true, true)
	})
	c.Run("one crash seen by two daemons is one mark", func(c *qt.C) {
		r, o := &Registry{}, &Registry{}
		r.RecordCrash(begin, "t1/a", []uint64{poison})
		o.RecordCrash(after(time.Millisecond), "t1/a", []uint64{poison})
		r.Merge(begin, o.Marks(begin))
		c.Assert(r.Marks(begin), qt.HasLen, 1)
		assertVerdict(c, r, begin, poison, true, false)
	})
	// A daemon that had nothing in flight at the first crash is not aware that the
	// target restarted.
	c.Run("a later crash with the same identity is another mark", func(c *qt.C) {
		r, o := &Registry{}, &Registry{}
		r.RecordCrash(begin, "t1/a", []uint64{poison})
		o.Merge(begin, r.Marks(begin))
		o.RecordCrash(after(900*time.Millisecond), "t1/a", []uint64{poison})
		assertVerdict(c, o, after(time.Second), poison, true, true)
		r.Merge(after(time.Second), o.Marks(after(time.Second)))
		assertVerdict(c, r, after(time.Second), poison, true, true)
	})
	c.Run("a marked request of another daemon at the target prevents quarantine", func(c *qt.C) {
		r, o := &Registry{}, &Registry{}
		r.RecordCrash(begin, "t1/a", []uint64{poison})
		o.RecordCrash(begin, "t1/a", []uint64{2})
		r.RecordCrash(after(time.Second), "t2/a", []uint64{poison})
		o.RecordCrash(after(time.Second), "t2/a", []uint64{2})
		r.Merge(begin, o.Marks(begin))
		assertVerdict(c, r, after(time.Second), poison, true, false)
	})
	c.Run("marks and quarantine expire", func(c *qt.C) {
		r := &Registry{}
		r.RecordCrash(begin, "t1/a", []uint64{poison})
		assertVerdict(c, r, after(period), poison, false, false)
		r.RecordCrash(after(9*time.Minute), "t2/a", []uint64{poison})
		assertVerdict(c, r, after(18*time.Minute), poison, true, true)
		assertVerdict(c, r, after(19*time.Minute), poison, false, false)
		c.Assert(r.Marks(after(time.Hour)), qt.HasLen, 0)
	})
	c.Run("memory is bounded", func(c *qt.C) {
		r := &Registry{MaxMarks: 10}
		for i := range 100 {
			r.RecordCrash(after(time.Duration(i)*time.Second), fmt.Sprint(i), []uint64{uint64(i)})
		}
		marks := r.Marks(after(time.Minute))
		c.Assert(marks, qt.HasLen, 10)
		c.Assert(marks[0].Fingerprint, qt.Equals, uint64(90))
	})
}

// resend sends one poison request repeatedly for a minute to random daemons and
// returns the number of crashes. The daemons exchange marks every 600 ms, which is
// three exchange intervals: from one daemon through two coordinators to another
// daemon.
func resend(c *qt.C, daemons []*Registry, pause time.Duration) int {
	r := rand.New(rand.NewPCG(1, 2))
	crashes := 0
	bystanders := []uint64{}
	for now := begin; now.Before(after(time.Minute)); now = now.Add(100 * time.Millisecond) {
		if now.Sub(begin)%(600*time.Millisecond) == 0 {
			for _, from := range daemons {
				for _, to := range daemons {
					to.Merge(now, from.Marks(now))
				}
			}
		}
		d := daemons[r.IntN(len(daemons))]
		if now.Sub(begin)%pause != 0 || d.Quarantined(now, poison) {
			continue
		}
		crashes++
		running := []uint64{poison}
		for range 7 {
			running = append(running, uint64(100+len(bystanders)))
			bystanders = append(bystanders, uint64(100+len(bystanders)))
		}
		d.RecordCrash(now, fmt.Sprintf("target-%d/x", crashes), running)
	}
	for _, f := range bystanders {
		for _, d := range daemons {
			c.Assert(d.Quarantined(after(time.Minute), f), qt.IsFalse)
		}
	}
	return crashes
}

func TestPoisonCrashLimit(t *testing.T) {
	c := qt.New(t)
	c.Run("at most three targets", func(c *qt.C) {
		crashes := resend(c, []*Registry{{}, {}, {}}, time.Second)
		c.Assert(crashes <= 3, qt.IsTrue, qt.Commentf("%d targets crashed", crashes))
	})
	// Resends that arrive before the marks do reach daemons that are not aware of
	// each other's crashes. Each daemon stops at its own second mark.
	c.Run("at most two per daemon when resends arrive before the marks", func(c *qt.C) {
		crashes := resend(c, []*Registry{{}, {}, {}}, 100*time.Millisecond)
		c.Assert(crashes <= 6, qt.IsTrue, qt.Commentf("%d targets crashed", crashes))
	})
}

// TestMergeOrder guards against daemons that disagree permanently because they
// received the marks in different orders.
func TestMergeOrder(t *testing.T) {
	c := qt.New(t)
	r := rand.New(rand.NewPCG(3, 4))
	for range 200 {
		var marks []Mark
		for i := range 3 {
			d := &Registry{}
			for j := range 4 {
				running := []uint64{r.Uint64N(4), 4 + r.Uint64N(4)}
				d.RecordCrash(after(time.Duration(r.IntN(60))*time.Second), fmt.Sprintf("t%d/%d", r.IntN(3), i*j%3), running)
			}
			marks = append(marks, d.Marks(begin)...)
		}
		now := after(time.Minute)
		first := &Registry{}
		first.Merge(now, marks)
		for range 5 {
			r.Shuffle(len(marks), func(i, j int) { marks[i], marks[j] = marks[j], marks[i] })
			next := &Registry{}
			for _, m := range marks {
				next.Merge(now, []Mark{m})
			}
			c.Assert(next.Marks(now), qt.DeepEquals, first.Marks(now))
			for f := range uint64(8) {
				c.Assert(next.Quarantined(now, f), qt.Equals, first.Quarantined(now, f))
			}
		}
	}
}

// Guards against a request that crashes targets late in its answers and is never quarantined, and
// against one that is, although the crashes are no evidence.
func TestLateMarks(t *testing.T) {
	c := qt.New(t)
	c.Run("the third late mark quarantines", func(c *qt.C) {
		r := &Registry{}
		for i := range 3 {
			assertVerdict(c, r, after(time.Minute), poison, i > 0, false)
			r.RecordLateCrash(after(time.Duration(i)*time.Second), fmt.Sprint("t", i), []uint64{poison})
		}
		assertVerdict(c, r, after(time.Minute), poison, true, true)
	})
	c.Run("an early and a late mark don't quarantine, two early ones do", func(c *qt.C) {
		r := &Registry{}
		r.RecordCrash(begin, "t1", []uint64{poison})
		r.RecordLateCrash(after(time.Second), "t2", []uint64{poison})
		assertVerdict(c, r, after(time.Second), poison, true, false)
		r.RecordCrash(after(2*time.Second), "t3", []uint64{poison})
		assertVerdict(c, r, after(2*time.Second), poison, true, true)
	})
	c.Run("a request that another daemon had sent early isn't late", func(c *qt.C) {
		r, o := &Registry{}, &Registry{}
		r.RecordLateCrash(begin, "t1", []uint64{poison})
		o.RecordCrash(begin, "t1", []uint64{poison})
		r.Merge(begin, o.Marks(begin))
		o.Merge(begin, r.Marks(begin))
		c.Assert(r.Marks(begin)[0].Late, qt.IsFalse)
		c.Assert(r.Digests(begin), qt.Equals, o.Digests(begin))
	})
}

// Guards against the quarantine of a sound request that is in flight at most crashes, because its
// callers send the same content all the time.
func TestAnswerRefutesMarks(t *testing.T) {
	c := qt.New(t)
	c.Run("in all daemons", func(c *qt.C) {
		r, o := &Registry{}, &Registry{}
		for i := range 3 {
			at, crash := after(time.Duration(i)*time.Second), fmt.Sprint("t", i)
			r.RecordLateCrash(at, crash, []uint64{2, 3})
			r.RecordCrash(at, crash, []uint64{poison, 4})
		}
		o.Merge(begin, r.Marks(begin))
		o.RecordAnswer(2)
		o.RecordAnswer(4)
		r.Merge(begin, o.Marks(begin))
		o.Merge(begin, r.Marks(begin))
		for f, isSuspect := range map[uint64]bool{poison: true, 2: false, 3: true, 4: false} {
			assertVerdict(c, r, after(time.Minute), f, isSuspect, isSuspect)
			assertVerdict(c, o, after(time.Minute), f, isSuspect, isSuspect)
		}
		c.Assert(r.Digests(begin), qt.Equals, o.Digests(begin))
	})
	c.Run("crashes after the answer count again", func(c *qt.C) {
		r := &Registry{}
		r.RecordCrash(begin, "t1", []uint64{poison})
		r.RecordAnswer(poison)
		r.RecordCrash(after(time.Second), "t2", []uint64{poison})
		assertVerdict(c, r, after(time.Second), poison, true, false)
		r.RecordCrash(after(2*time.Second), "t3", []uint64{poison})
		assertVerdict(c, r, after(2*time.Second), poison, true, true)
	})
	c.Run("a refuted request isn't another suspect beside the poison request", func(c *qt.C) {
		r := &Registry{}
		r.RecordCrash(begin, "t1", []uint64{poison, 2})
		r.RecordAnswer(2)
		r.RecordCrash(after(time.Second), "t2", []uint64{poison, 2})
		assertVerdict(c, r, after(time.Second), poison, true, true)
		assertVerdict(c, r, after(time.Second), 2, true, false)
	})
}
