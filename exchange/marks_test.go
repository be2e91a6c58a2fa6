package exchange

import (
	"fmt"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"rattanline.example/rattanline/clock"
	"rattanline.example/rattanline/quarantine"
)

// settledMarks are older than the time for which new marks are sent to all peers.
const settledMarks = 2 * markRelayPeriod

// newMarkedFleet returns daemons that all know of crashes of the requests, some time ago.
func newMarkedFleet(count int, requests []uint64) (*network, []*Exchange) {
	n := &network{at: clock.Instant(time.Hour), receivers: map[string]*Receiver{}, cut: map[string]bool{}}
	all := newDaemons(n, count)
	known := &quarantine.Registry{}
	for _, crash := range []string{"t1@1", "t2@2", "t3@3"} {
		known.RecordCrash(time.Now().Add(-settledMarks), crash, requests)
	}
	for _, x := range all {
		x.Marks.Merge(time.Now(), known.Marks(time.Now()))
	}
	n.runRounds(all)
	return n, all
}

func assertSameMarks(t *testing.T, x, o *Exchange) {
	t.Helper()
	now := time.Now()
	qt.Assert(t, slices.EqualFunc(x.Marks.Marks(now), o.Marks.Marks(now), func(a, b quarantine.Mark) bool {
		return a.Fingerprint == b.Fingerprint && a.Crash == b.Crash && a.Alone == b.Alone && a.Expires.Equal(b.Expires)
	}), qt.IsTrue, qt.Commentf("%s: %d marks, %s: %d marks", x.Self.Name, len(x.Marks.Marks(now)), o.Self.Name, len(o.Marks.Marks(now))))
}

// Guards against a request that crashes targets again after each restart of a daemon, because the
// others tell it only of new crashes.
func TestRestartedDaemonsLearnMarks(t *testing.T) {
	for _, count := range []int{4, 30} { // 30 daemons talk to hubs only
		t.Run(fmt.Sprint(count, " daemons"), func(t *testing.T) {
			n, all := newMarkedFleet(count, []uint64{7})
			for _, x := range all { // one after the other, so that none is left that saw the crashes
				x.Marks = &quarantine.Registry{}
				runRound([]*Exchange{x})
				qt.Assert(t, x.Marks.Quarantined(time.Now(), 7), qt.IsTrue, qt.Commentf("%s", x.Self.Name))
				n.at = n.at.Add(Interval)
				runRound(all)
			}
			assertSameMarks(t, all[0], all[count-1])
			qt.Assert(t, all[0].Marks.Quarantined(time.Now().Add(9*time.Minute), 7), qt.IsTrue)
			qt.Assert(t, all[0].Marks.Quarantined(time.Now().Add(10*time.Minute), 7), qt.IsFalse) // counted from the crash
		})
	}
}

// Guards against crashes during a partition that the other side doesn't learn of after it.
func TestMarksAfterPartition(t *testing.T) {
	for _, count := range []int{4, 30} {
		t.Run(fmt.Sprint(count, " daemons"), func(t *testing.T) {
			n, all := newMarkedFleet(count, []uint64{7, 8, 9})
			// A daemon of each failure domain saw a crash that the other domain doesn't know of.
			ended := time.Now().Add(-settledMarks)
			all[0].Marks.RecordCrash(ended, "t4@4", []uint64{10})
			all[1].Marks.RecordCrash(ended, "t5@5", []uint64{11})
			n.runRounds(all)
			for _, x := range all[1:] {
				assertSameMarks(t, all[0], x)
				qt.Assert(t, x.Marks.Marked(time.Now(), 10) && x.Marks.Marked(time.Now(), 11), qt.IsTrue)
			}
		})
	}
}

// Guards against messages that carry marks although the receiver has the same ones.
func TestMarksAreSentOnce(t *testing.T) {
	for _, count := range []int{4, 30} {
		n, all := newMarkedFleet(count, []uint64{7, 8, 9})
		for _, x := range all {
			for address, name := range x.addresses(n.at, roundKind{polling: true}) {
				m := x.newMessage(false, name)
				qt.Assert(t, m.Marks, qt.HasLen, 0, qt.Commentf("to %s", address))
				qt.Assert(t, m.MarkDigests, qt.IsNil)
				qt.Assert(t, m.MarksDigest, qt.Not(qt.Equals), uint64(0))
			}
		}
	}
}

// Guards against new marks that are sent in each message, although the receiver has stated that it has
// them.
func TestNewMarksAreSentOnce(t *testing.T) {
	for _, count := range []int{4, 30} {
		n, all := newMarkedFleet(count, []uint64{7, 8, 9})
		all[0].Marks.RecordCrash(time.Now(), "t4@4", []uint64{10})
		n.runRounds(all)
		for _, x := range all {
			qt.Assert(t, x.Marks.Marked(time.Now(), 10), qt.IsTrue)
			for address, name := range x.addresses(n.at, roundKind{polling: true}) {
				qt.Assert(t, x.newMessage(false, name).Marks, qt.HasLen, 0, qt.Commentf("to %s", address))
			}
		}
	}
}

// Guards against messages without a bound, and against marks beyond the bound that are never sent.
func TestManyMarks(t *testing.T) {
	requests := make([]uint64, 1300)
	for i := range requests {
		requests[i] = uint64(i)
	}
	n, all := newMarkedFleet(4, requests)
	x := all[3]
	x.Marks = &quarantine.Registry{}
	runRound([]*Exchange{x})
	all[0].peers[x.Self.Name].marks = knownMarks{stated: true}
	m := all[0].newMessage(false, x.Self.Name)
	qt.Assert(t, m.Marks, qt.HasLen, maxSentMarks)
	n.runRounds(all)
	qt.Assert(t, x.Marks.Marks(time.Now()), qt.HasLen, 3*len(requests))
	assertSameMarks(t, all[0], x)
}
