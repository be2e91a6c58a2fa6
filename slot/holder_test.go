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

// newHolder returns a holder and the one slot that it was granted in the reply to
// a renewal sent at the epoch.
func newHolder() (*slot.Holder, slot.Slot) {
	h := &slot.Holder{Self: first, Times: times, Owner: func(string) (usage.Source, bool) { return ownerSource, true }}
	s := slot.Slot{Target: target, Owner: ownerSource, Number: 1}
	renewAndReply(h, epoch, epoch.Add(time.Second), slot.RenewalReply{Granted: []slot.Slot{s}})
	return h, s
}

// renewAndReply sends a full renewal at one time and processes its reply at
// another.
func renewAndReply(h *slot.Holder, sent, now time.Time, reply slot.RenewalReply) {
	reply.Owner = ownerSource
	h.HandleReply(now, ownerSource, h.Renewal(sent, ownerSource, 0), sent, reply)
}

func assertFree(t *testing.T, h *slot.Holder, now time.Time, want int) {
	t.Helper()
	_, free := h.Free(now, target)
	qt.Assert(t, free, qt.Equals, want)
}

// TestHolderLease guards against starting a request when the owner may have granted the
// slot to another holder. This happens if the lease counts from the arrival of the
// reply instead of the send time of the renewal.
func TestHolderLease(t *testing.T) {
	h, s := newHolder()
	assertFree(t, h, epoch.Add(times.SlotLease-1), 1)
	assertFree(t, h, epoch.Add(times.SlotLease), 0)
	renewAndReply(h, epoch.Add(time.Minute), epoch.Add(time.Minute), slot.RenewalReply{Valid: []slot.Slot{s}})
	assertFree(t, h, epoch.Add(time.Minute), 1)
}

// TestUnconfirmedSlot guards against using a slot that is missing from the owner's
// reply.
func TestUnconfirmedSlot(t *testing.T) {
	h, _ := newHolder()
	renewAndReply(h, epoch.Add(time.Second), epoch.Add(time.Second), slot.RenewalReply{})
	assertFree(t, h, epoch.Add(time.Second), 0)
}

// TestLateGrant guards against using a returned slot again when a copy of its
// grant arrives late, either soon after the return or after the record of the
// return was pruned.
func TestLateGrant(t *testing.T) {
	h, s := newHolder()
	h.Return(epoch, s)
	for _, passed := range []time.Duration{time.Second, time.Minute} {
		now := epoch.Add(passed)
		renewAndReply(h, now, now, slot.RenewalReply{})
		h.Prune(now)
		h.HandleGrant(now, slot.Grant{Owner: ownerSource, Slots: []slot.Slot{s}})
		assertFree(t, h, now, 0)
		qt.Assert(t, h.Renewal(now, ownerSource, 0).Returned, qt.DeepEquals, []slot.Slot{s})
	}
}

// TestRecallWhileBusy guards against a recall that interrupts a request, and
// against the reuse of a recalled slot after its request has ended.
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
// answered a renewal that reported the crash. A new owner may answer other renewals
// while the observation is in flight to the former owner.
func TestFreeze(t *testing.T) {
	h, s := newHolder()
	before := h.Renewal(epoch, ownerSource, 0)
	h.Freeze(target)
	reply := slot.RenewalReply{Owner: ownerSource, Valid: []slot.Slot{s}}
	h.HandleReply(epoch, ownerSource, before, epoch, reply)
	assertFree(t, h, epoch, 0)
	renewAndReply(h, epoch, epoch, reply)
	assertFree(t, h, epoch, 0)
	renewal := h.Renewal(epoch, ownerSource, 0)
	renewal.Observations = map[string]limit.Observation{target: {Crashes: 1}}
	h.HandleReply(epoch, ownerSource, renewal, epoch, reply)
	assertFree(t, h, epoch, 1)
}

// TestFreezeEndsByOutOfOrderReply guards against a slot that stays idle permanently
// because a later reply arrived before the reply to the renewal with the
// observation.
func TestFreezeEndsByOutOfOrderReply(t *testing.T) {
	h, s := newHolder()
	h.Freeze(target)
	reply := slot.RenewalReply{Owner: ownerSource, Valid: []slot.Slot{s}}
	renewal := h.Renewal(epoch, ownerSource, 0)
	renewal.Observations = map[string]limit.Observation{target: {Crashes: 1}}
	renewAndReply(h, epoch, epoch, reply)
	assertFree(t, h, epoch, 0)
	h.HandleReply(epoch, ownerSource, renewal, epoch, reply)
	assertFree(t, h, epoch, 1)
}
