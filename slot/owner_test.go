package slot_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"rattanline.example/rattanline/config"
	"rattanline.example/rattanline/limit"
	"rattanline.example/rattanline/member"
	"rattanline.example/rattanline/slot"
	"rattanline.example/rattanline/usage"
)

var (
	first  = usage.Source{Daemon: "first", Incarnation: "1"}
	second = usage.Source{Daemon: "second", Incarnation: "1"}
)

// bench is an owner past its adoption wait.
type bench struct {
	c        *qt.C
	o        *slot.Owner
	f        *fixed
	now      time.Time
	sequence uint64
}

func newBench(t *testing.T, slots int, counter func(service, account string) float64) *bench {
	b := &bench{c: qt.New(t), f: &fixed{limit: slots}, now: epoch}
	b.o = newOwner("owner", b.f, counter)
	b.pass(0)
	b.pass(3 * time.Second)
	b.pass(3 * time.Second)
	return b
}

func (b *bench) pass(d time.Duration) {
	b.now = b.now.Add(d)
	b.o.Authorize(b.now, member.Share{}, true)
	b.o.SetTargets(b.now, []config.Target{only}, noneOf)
	b.o.Reconcile(b.now)
}

func (b *bench) renewal(holder usage.Source, held []slot.Slot, accounts ...string) slot.Renewal {
	b.sequence++
	r := slot.Renewal{Holder: holder, Sequence: b.sequence}
	for _, s := range held {
		r.Slots = append(r.Slots, slot.Held{Slot: s, Busy: true})
	}
	if len(accounts) > 0 {
		r.Demands = []slot.Demand{{Service: "s", Accounts: accounts[:1], Counts: []int{len(accounts)}}}
	}
	return r
}

func (b *bench) renew(r slot.Renewal) slot.RenewalReply {
	b.c.Helper()
	reply, err := b.o.Renew(b.now, r)
	b.c.Assert(err, qt.IsNil)
	return reply
}

func (b *bench) assertKnown(want int) {
	b.c.Helper()
	known, _ := b.o.Occupancy(target)
	b.c.Assert(known, qt.Equals, want)
}

func even(string, string) float64 { return 0 }

// TestChargeOnGrant guards against giving all free slots to the account that was
// lowest at the last exchange.
func TestChargeOnGrant(t *testing.T) {
	b := newBench(t, 0, even)
	b.renew(b.renewal(first, nil, "a", "a", "a", "a"))
	b.renew(b.renewal(second, nil, "b", "b", "b", "b"))
	b.f.limit = 4
	b.pass(0)
	pushes := b.o.Pushes()
	b.c.Assert(pushes, qt.HasLen, 2)
	for _, p := range pushes {
		b.c.Assert(p.Grant.Slots, qt.HasLen, 2)
	}
}

// TestLimitFalls guards against slots that outlive a fall of the limit, and
// against new grants before enough of them came back.
func TestLimitFalls(t *testing.T) {
	b := newBench(t, 4, even)
	held := b.renew(b.renewal(first, nil, "a", "a", "a", "a")).Granted
	b.c.Assert(held, qt.HasLen, 4)
	b.f.limit = 1
	r := b.renewal(first, held)
	reply := b.renew(r)
	b.c.Assert(reply.Valid, qt.HasLen, 1)
	b.c.Assert(reply.Recalled, qt.HasLen, 3)
	r = b.renewal(first, reply.Valid)
	r.Returned = reply.Recalled[:2]
	b.renew(r)
	b.c.Assert(b.renew(b.renewal(second, nil, "b")).Granted, qt.HasLen, 0)
	b.assertKnown(2)
}

// TestLimitConfigured guards against a lower configured limit that only takes
// effect after a restart, and against a ramp-up that starts again.
func TestLimitConfigured(t *testing.T) {
	b := newBench(t, 4, even)
	b.f.incarnation, b.f.ramping = "1", true
	lower := only
	lower.MaxLimit = 2
	b.o.SetTargets(b.now, []config.Target{lower}, noneOf)
	b.c.Assert(*b.f, qt.Equals, fixed{limit: 2, ramping: true, incarnation: "1"})
}

// TestEjected guards against more than one probe at an ejected target.
func TestEjected(t *testing.T) {
	b := newBench(t, 4, even)
	b.f.ejected = true
	b.c.Assert(b.renew(b.renewal(first, nil, "a", "a", "a", "a")).Granted, qt.HasLen, 1)
	b.c.Assert(b.renew(b.renewal(second, nil, "b")).Granted, qt.HasLen, 0)
}

// TestUnknownRequests guards against granting slots that requests of another
// owner use.
func TestUnknownRequests(t *testing.T) {
	b := newBench(t, 4, even)
	b.o.Report(b.now, target, limit.Load{Running: 3})
	b.c.Assert(b.renew(b.renewal(first, nil, "a", "a", "a", "a")).Granted, qt.HasLen, 1)
	b.o.Report(b.now, target, limit.Load{Running: 1})
	b.pass(0)
	b.assertKnown(4)
}

// TestCrashSuspect guards against warm-size grants to a target that crashed and
// may have restarted cold.
func TestCrashSuspect(t *testing.T) {
	b := newBench(t, 4, even)
	r := b.renewal(first, nil, "a", "a", "a", "a")
	r.Observations = map[string]limit.Observation{target: {Crashes: 1}}
	b.c.Assert(b.renew(r).Granted, qt.HasLen, only.ColdLimit)
	b.o.Report(b.now, target, limit.Load{})
	b.pass(0)
	b.assertKnown(4)
}

// TestSuspectLapses guards against a target without load reports that stays at
// its cold limit for ever after one crash.
func TestSuspectLapses(t *testing.T) {
	b := newBench(t, 4, even)
	r := b.renewal(first, nil, "a", "a", "a", "a")
	r.Observations = map[string]limit.Observation{target: {Crashes: 1}}
	held := b.renew(r).Granted
	b.c.Assert(held, qt.HasLen, only.ColdLimit)
	for range times.OrphanTime / time.Second {
		b.assertKnown(only.ColdLimit)
		b.pass(time.Second)
		held = append(held, b.renew(b.renewal(first, held, "a", "a", "a", "a")).Granted...)
	}
	b.assertKnown(4)
}

// TestRestartRecallsAll guards against a holder that goes on with a kept slot
// while others still use theirs at the cold incarnation.
func TestRestartRecallsAll(t *testing.T) {
	b := newBench(t, 4, even)
	b.f.incarnation = "1"
	held := b.renew(b.renewal(first, nil, "a", "a", "a", "a")).Granted
	b.f.incarnation, b.f.limit = "2", 2
	reply := b.renew(b.renewal(first, held, "a", "a", "a", "a"))
	b.c.Assert(reply.Recalled, qt.HasLen, 4)
	r := b.renewal(first, held[2:], "a", "a", "a", "a")
	r.Returned = held[:2]
	b.c.Assert(b.renew(r).Granted, qt.HasLen, 0)
	r = b.renewal(first, held[3:], "a", "a", "a", "a")
	r.Returned = held[2:3]
	b.c.Assert(b.renew(r).Granted, qt.HasLen, 1)
}

// TestOldRenewal guards against a late renewal that brings back a returned slot
// or an old demand.
func TestOldRenewal(t *testing.T) {
	b := newBench(t, 1, even)
	held := b.renew(b.renewal(first, nil, "a")).Granted
	late := b.renewal(first, held, "a", "a")
	r := b.renewal(first, nil)
	r.Returned = held
	b.renew(r)
	_, err := b.o.Renew(b.now, late)
	b.c.Assert(err, qt.Equals, slot.ErrStale)
	b.assertKnown(0)
}

// TestOrphans guards against slots that stay lost with a silent holder, and
// against replacing those at a cold target while its requests may still run.
func TestOrphans(t *testing.T) {
	assertFreedAfter := func(t *testing.T, ramping bool, after time.Duration) {
		b := newBench(t, 1, even)
		b.f.ramping = ramping
		b.renew(b.renewal(first, nil, "a"))
		for range after / time.Second {
			b.assertKnown(1)
			b.pass(time.Second)
		}
		b.assertKnown(0)
	}
	t.Run("warm", func(t *testing.T) { assertFreedAfter(t, false, times.OrphanTime) })
	t.Run("ramping", func(t *testing.T) { assertFreedAfter(t, true, times.LongestRequest) })
}

// TestFormerIncarnation guards against a late renewal of a holder's former
// incarnation that frees the slots of the present one.
func TestFormerIncarnation(t *testing.T) {
	b := newBench(t, 1, even)
	late := b.renewal(first, nil)
	restarted := usage.Source{Daemon: first.Daemon, Incarnation: "2"}
	b.renew(b.renewal(restarted, nil, "a"))
	_, err := b.o.Renew(b.now, late)
	b.c.Assert(err, qt.Equals, slot.ErrStale)
	b.assertKnown(1)
	b.renew(b.renewal(usage.Source{Daemon: first.Daemon, Incarnation: "3"}, nil))
	b.assertKnown(0)
}

// TestSplitWindow guards against granting a slot of the other owner of a split
// domain because it was idle at the last load report.
func TestSplitWindow(t *testing.T) {
	b := newBench(t, 0, even)
	b.renew(b.renewal(first, nil, "a", "a", "a", "a"))
	b.f.limit = 4
	b.o.Authorize(b.now, member.Share{Leases: 2, Counted: 3}, true)
	for _, running := range []int{3, 0} {
		b.o.Report(b.now, target, limit.Load{Running: running})
		b.o.Reconcile(b.now)
		b.assertKnown(1)
	}
}

// TestJustGranted guards against recalling a slot as unneeded before its holder
// could use it, because the grant used up the demand.
func TestJustGranted(t *testing.T) {
	b := newBench(t, 1, even)
	granted := b.renew(b.renewal(first, nil, "a")).Granted
	b.renew(b.renewal(second, nil, "b"))
	b.c.Assert(b.o.Pushes(), qt.HasLen, 0)
	b.c.Assert(b.renew(b.renewal(first, granted)).Recalled, qt.HasLen, 1)
}

// TestNoAuthority guards against an owner that renews or grants after its lease.
func TestNoAuthority(t *testing.T) {
	b := newBench(t, 1, even)
	b.renew(b.renewal(first, nil, "a"))
	b.o.Authorize(b.now, member.Share{}, false)
	_, err := b.o.Renew(b.now, b.renewal(first, nil, "a"))
	b.c.Assert(err, qt.Equals, slot.ErrNoAuthority)
	b.now = b.now.Add(time.Minute)
	b.o.Authorize(b.now, member.Share{}, true)
	b.assertKnown(0)
	b.pass(0)
	b.c.Assert(b.renew(b.renewal(second, nil, "b")).Granted, qt.HasLen, 0)
}

// TestAdoption guards against a new owner that restarts the ramp-up, or grants
// slots that holders of the former owner may not have reported yet.
func TestAdoption(t *testing.T) {
	b := &bench{c: qt.New(t), f: &fixed{limit: 1}, now: epoch}
	b.o = newOwner("owner", b.f, even)
	b.pass(0)
	r := b.renewal(first, nil, "a", "a", "a", "a")
	for i := range uint64(3) {
		r.Slots = append(r.Slots, slot.Held{Slot: slot.Slot{Target: target, Owner: second, Number: i}, Busy: true})
	}
	r.States = []slot.TargetState{{Target: target, Incarnation: "1", Limit: 4, Ramping: true}}
	reply := b.renew(r)
	b.c.Assert(reply.Valid, qt.HasLen, 3)
	b.c.Assert(reply.Granted, qt.HasLen, 0)
	b.c.Assert(*b.f, qt.Equals, fixed{limit: 4, ramping: true, incarnation: "1"})
	b.pass(times.OwnerLease)
	again := b.renewal(first, nil, "a", "a", "a", "a")
	again.Slots = r.Slots
	b.renew(again)
	b.assertKnown(3)
	b.pass(times.SlotLease - 1)
	b.assertKnown(3)
	again.Sequence++
	b.pass(1)
	b.renew(again)
	b.assertKnown(4)
}

// TestChangedTarget guards against an owner that keeps the limits that a target
// had when it became owned, and against a full load on another server that
// takes the target's name.
func TestChangedTarget(t *testing.T) {
	for _, change := range []func(*config.Target){
		func(t *config.Target) { t.MaxLimit = 2 },
		func(t *config.Target) { t.URL = "http://other" },
	} {
		b := newBench(t, 0, even)
		changed := only
		changed.Name, changed.ColdLimit, changed.MaxLimit = "warm", 2, 4
		b.o.NewLimit = func(t config.Target) slot.Limit {
			l := limit.New(t.ColdLimit, t.MaxLimit)
			l.Adopt("1", t.MaxLimit, false)
			return l
		}
		own := func(d time.Duration) {
			b.now = b.now.Add(d)
			b.o.Authorize(b.now, member.Share{}, true)
			b.o.SetTargets(b.now, []config.Target{changed}, noneOf)
			b.o.Reconcile(b.now)
		}
		for range 3 {
			own(3 * time.Second)
		}
		held := b.renew(b.renewal(first, nil, "a", "a", "a", "a")).Granted
		b.c.Assert(held, qt.HasLen, 4)
		change(&changed)
		own(0)
		r := b.renewal(first, nil, "a", "a", "a", "a")
		r.Returned = held
		b.c.Assert(b.renew(r).Granted, qt.HasLen, 2)
	}
}
