package slot_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"rattanline.example/rattanline/limit"
	"rattanline.example/rattanline/slot"
	"rattanline.example/rattanline/usage"
)

var ownerSource = usage.Source{Daemon: "owner", Incarnation: "1"}

// newHolder returns a holder that was granted one slot in the reply to a
// renewal sent at the epoch.
func newHolder() (*slot.Holder, slot.Slot) {
	h := &slot.Holder{Self: first, Times: times, Owner: func(string) (usage.Source, bool) { return ownerSource, true }}
	s := slot.Slot{Target: target, Owner: ownerSource, Number: 1}
	answer(h, epoch, epoch.Add(time.Second), slot.RenewalReply{Granted: []slot.Slot{s}})
	return h, s
}

func answer(h *slot.Holder, sent, now time.Time, reply slot.RenewalReply) {
	reply.Owner = ownerSource
	h.HandleReply(now, ownerSource, h.Renewal(sent, ownerSource, 0), sent, reply)
}

func assertFree(t *testing.T, h *slot.Holder, now time.Time, want int) {
	t.Helper()
	_, free := h.Free(now, target)
	qt.Assert(t, free, qt.Equals, want)
}

// TestLease guards against starting a request when the owner may have given the
// slot to another: the lease counts from the send time of the renewal.
func TestLease(t *testing.T) {
	h, s := newHolder()
	assertFree(t, h, epoch.Add(times.SlotLease-1), 1)
	assertFree(t, h, epoch.Add(times.SlotLease), 0)
	answer(h, epoch.Add(time.Minute), epoch.Add(time.Minute), slot.RenewalReply{Valid: []slot.Slot{s}})
	assertFree(t, h, epoch.Add(time.Minute), 1)
}

// TestUnconfirmed guards against using a slot that its owner doesn't know.
func TestUnconfirmed(t *testing.T) {
	h, _ := newHolder()
	answer(h, epoch.Add(time.Second), epoch.Add(time.Second), slot.RenewalReply{})
	assertFree(t, h, epoch.Add(time.Second), 0)
}

// TestLateGrant guards against using a returned slot again when a copy of its
// grant arrives late, at once or after the record of the return has expired.
func TestLateGrant(t *testing.T) {
	h, s := newHolder()
	h.Return(epoch, s)
	for _, passed := range []time.Duration{time.Second, time.Minute} {
		now := epoch.Add(passed)
		answer(h, now, now, slot.RenewalReply{})
		h.Prune(now)
		h.HandleGrant(now, slot.Grant{Owner: ownerSource, Slots: []slot.Slot{s}})
		assertFree(t, h, now, 0)
		qt.Assert(t, h.Renewal(now, ownerSource, 0).Returned, qt.DeepEquals, []slot.Slot{s})
	}
}

// TestRecallWhileBusy guards against a recall that interrupts a request, and
// against a recalled slot that is used again.
func TestRecallWhileBusy(t *testing.T) {
	h, s := newHolder()
	h.Start(s)
	h.HandleGrant(epoch, slot.Grant{Owner: ownerSource, Recalled: []slot.Slot{s}})
	total, busy := h.Count(target)
	qt.Assert(t, []int{total, busy}, qt.DeepEquals, []int{1, 1})
	h.End(epoch, s)
	assertFree(t, h, epoch, 0)
	qt.Assert(t, h.Renewal(epoch, ownerSource, 0).Returned, qt.DeepEquals, []slot.Slot{s})
}

// TestFreeze guards against new work at a crashed target before its owner has
// answered a renewal that told it of the crash: a new owner may answer while the
// observation is on its way to the former one.
func TestFreeze(t *testing.T) {
	h, s := newHolder()
	before := h.Renewal(epoch, ownerSource, 0)
	h.Freeze(target)
	reply := slot.RenewalReply{Owner: ownerSource, Valid: []slot.Slot{s}}
	h.HandleReply(epoch, ownerSource, before, epoch, reply)
	assertFree(t, h, epoch, 0)
	answer(h, epoch, epoch, reply)
	assertFree(t, h, epoch, 0)
	told := h.Renewal(epoch, ownerSource, 0)
	told.Observations = map[string]limit.Observation{target: {Crashes: 1}}
	h.HandleReply(epoch, ownerSource, told, epoch, reply)
	assertFree(t, h, epoch, 1)
}

// TestFreezeEndsByOvertakenAnswer guards against a slot that idles for ever
// because a later answer arrived before the one to the observation.
func TestFreezeEndsByOvertakenAnswer(t *testing.T) {
	h, s := newHolder()
	h.Freeze(target)
	reply := slot.RenewalReply{Owner: ownerSource, Valid: []slot.Slot{s}}
	told := h.Renewal(epoch, ownerSource, 0)
	told.Observations = map[string]limit.Observation{target: {Crashes: 1}}
	answer(h, epoch, epoch, reply)
	assertFree(t, h, epoch, 0)
	h.HandleReply(epoch, ownerSource, told, epoch, reply)
	assertFree(t, h, epoch, 1)
}
