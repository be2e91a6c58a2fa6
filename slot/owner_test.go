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

// ownerFixture is an owner that no longer adopts slots of former owners.
type ownerFixture struct {
	c        *qt.C
	o        *slot.Owner
	f        *stubLimit
	now      time.Time
	sequence uint64
}

func newOwnerFixture(t *testing.T, slots int, counter func(service, account string) float64) *ownerFixture {
	b := &ownerFixture{c: qt.New(t), f: &stubLimit{limit: slots}, now: epoch}
	b.o = newOwner("owner", b.f, counter)
	b.advance(0)
	b.advance(3 * time.Second)
	b.advance(3 * time.Second)
	return b
}

// advance moves the time forward and reconciles the owner.
func (b *ownerFixture) advance(d time.Duration) {
	b.now = b.now.Add(d)
	b.o.Authorize(b.now, member.Share{}, true)
	b.o.SetTargets(b.now, []config.Target{onlyTarget}, noneClosed)
	b.o.Reconcile(b.now)
}

// renewal returns a full renewal that reports the slots as busy. Its demand is for
// the first account, with as many requests as accounts are listed.
func (b *ownerFixture) renewal(holder usage.Source, held []slot.Slot, accounts ...string) slot.Renewal {
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

func (b *ownerFixture) renew(r slot.Renewal) slot.RenewalReply {
	b.c.Helper()
	reply, err := b.o.Renew(b.now, r)
	b.c.Assert(err, qt.IsNil)
	return reply
}

func (b *ownerFixture) assertSlots(want int) {
	b.c.Helper()
	known, _ := b.o.Occupancy(target)
	b.c.Assert(known, qt.Equals, want)
}

func zeroCounter(string, string) float64 { return 0 }

// TestChargeOnGrant guards against granting all free slots to the account that had
// the lowest counter at the last exchange, because grants are not charged at once.
func TestChargeOnGrant(t *testing.T) {
	b := newOwnerFixture(t, 0, zeroCounter)
	b.renew(b.renewal(first, nil, "a", "a", "a", "a"))
	b.renew(b.renewal(second, nil, "b", "b", "b", "b"))
	b.f.limit = 4
	b.advance(0)
	pushes := b.o.Pushes()
	b.c.Assert(pushes, qt.HasLen, 2)
	for _, p := range pushes {
		b.c.Assert(p.Grant.Slots, qt.HasLen, 2)
	}
}

// TestLimitFalls guards against slots that are not recalled after the limit fell,
// and against new grants before enough of them were returned.
func TestLimitFalls(t *testing.T) {
	b := newOwnerFixture(t, 4, zeroCounter)
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
	b.assertSlots(2)
}

// TestLimitConfigured guards against a lower configured limit that takes effect
// only after a restart, and against a change of the limit that restarts the
// ramp-up.
func TestLimitConfigured(t *testing.T) {
	b := newOwnerFixture(t, 4, zeroCounter)
	b.f.incarnation, b.f.ramping = "1", true
	lower := onlyTarget
	lower.MaxLimit = 2
	b.o.SetTargets(b.now, []config.Target{lower}, noneClosed)
	b.c.Assert(*b.f, qt.Equals, stubLimit{limit: 2, ramping: true, incarnation: "1"})
}

// TestEjected guards against more than one slot, the probe, at an ejected target.
func TestEjected(t *testing.T) {
	b := newOwnerFixture(t, 4, zeroCounter)
	b.f.ejected = true
	b.c.Assert(b.renew(b.renewal(first, nil, "a", "a", "a", "a")).Granted, qt.HasLen, 1)
	b.c.Assert(b.renew(b.renewal(second, nil, "b")).Granted, qt.HasLen, 0)
}

// TestUnknownRequests guards against granting slots beyond the limit while
// requests on slots of another owner run, which only load reports show.
func TestUnknownRequests(t *testing.T) {
	b := newOwnerFixture(t, 4, zeroCounter)
	b.o.Report(b.now, target, limit.Load{Running: 3})
	b.c.Assert(b.renew(b.renewal(first, nil, "a", "a", "a", "a")).Granted, qt.HasLen, 1)
	b.o.Report(b.now, target, limit.Load{Running: 1})
	b.advance(0)
	b.assertSlots(4)
}

// TestCrashSuspect guards against granting slots up to the warm limit at a target
// that crashed and may have restarted cold.
func TestCrashSuspect(t *testing.T) {
	b := newOwnerFixture(t, 4, zeroCounter)
	r := b.renewal(first, nil, "a", "a", "a", "a")
	r.Observations = map[string]limit.Observation{target: {Crashes: 1}}
	b.c.Assert(b.renew(r).Granted, qt.HasLen, onlyTarget.ColdLimit)
	b.o.Report(b.now, target, limit.Load{})
	b.advance(0)
	b.assertSlots(4)
}

// TestSuspectLapses guards against a target that stays at its cold limit
// permanently after one crash because it sends no load reports.
func TestSuspectLapses(t *testing.T) {
	b := newOwnerFixture(t, 4, zeroCounter)
	r := b.renewal(first, nil, "a", "a", "a", "a")
	r.Observations = map[string]limit.Observation{target: {Crashes: 1}}
	held := b.renew(r).Granted
	b.c.Assert(held, qt.HasLen, onlyTarget.ColdLimit)
	for range times.OrphanTime / time.Second {
		b.assertSlots(onlyTarget.ColdLimit)
		b.advance(time.Second)
		held = append(held, b.renew(b.renewal(first, held, "a", "a", "a", "a")).Granted...)
	}
	b.assertSlots(4)
}

// TestRestartRecallsAll guards against a holder that starts requests on a slot
// that was not recalled, while other slots are still in use at the cold
// incarnation.
func TestRestartRecallsAll(t *testing.T) {
	b := newOwnerFixture(t, 4, zeroCounter)
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

// TestOldRenewal guards against a late renewal that restores a returned slot or an
// old demand.
func TestOldRenewal(t *testing.T) {
	b := newOwnerFixture(t, 1, zeroCounter)
	held := b.renew(b.renewal(first, nil, "a")).Granted
	late := b.renewal(first, held, "a", "a")
	r := b.renewal(first, nil)
	r.Returned = held
	b.renew(r)
	_, err := b.o.Renew(b.now, late)
	b.c.Assert(err, qt.Equals, slot.ErrStale)
	b.assertSlots(0)
}

// TestOrphans guards against slots that stay allocated to a silent holder, and
// against freeing them at a target that ramps up while the holder's requests may
// still run.
func TestOrphans(t *testing.T) {
	assertFreedAfter := func(t *testing.T, ramping bool, after time.Duration) {
		b := newOwnerFixture(t, 1, zeroCounter)
		b.f.ramping = ramping
		b.renew(b.renewal(first, nil, "a"))
		for range after / time.Second {
			b.assertSlots(1)
			b.advance(time.Second)
		}
		b.assertSlots(0)
	}
	t.Run("warm", func(t *testing.T) { assertFreedAfter(t, false, times.OrphanTime) })
	t.Run("ramping", func(t *testing.T) { assertFreedAfter(t, true, times.LongestRequest) })
}

// TestFormerIncarnation guards against a late renewal of a holder's former
// incarnation that frees the slots of the current one.
func TestFormerIncarnation(t *testing.T) {
	b := newOwnerFixture(t, 1, zeroCounter)
	late := b.renewal(first, nil)
	restarted := usage.Source{Daemon: first.Daemon, Incarnation: "2"}
	b.renew(b.renewal(restarted, nil, "a"))
	_, err := b.o.Renew(b.now, late)
	b.c.Assert(err, qt.Equals, slot.ErrStale)
	b.assertSlots(1)
	b.renew(b.renewal(usage.Source{Daemon: first.Daemon, Incarnation: "3"}, nil))
	b.assertSlots(0)
}

// TestSplitWindow guards against granting a slot that belongs to the other owner of
// a split domain because that slot was idle at the last load report.
func TestSplitWindow(t *testing.T) {
	b := newOwnerFixture(t, 0, zeroCounter)
	b.renew(b.renewal(first, nil, "a", "a", "a", "a"))
	b.f.limit = 4
	b.o.Authorize(b.now, member.Share{Leases: 2, Counted: 3}, true)
	for _, running := range []int{3, 0} {
		b.o.Report(b.now, target, limit.Load{Running: running})
		b.o.Reconcile(b.now)
		b.assertSlots(1)
	}
}

// TestJustGranted guards against recalling a slot as unneeded before its holder
// could use it, because the grant reduced the holder's demand to zero.
func TestJustGranted(t *testing.T) {
	b := newOwnerFixture(t, 1, zeroCounter)
	granted := b.renew(b.renewal(first, nil, "a")).Granted
	b.renew(b.renewal(second, nil, "b"))
	b.c.Assert(b.o.Pushes(), qt.HasLen, 0)
	b.c.Assert(b.renew(b.renewal(first, granted)).Recalled, qt.HasLen, 1)
}

// TestNoAuthority guards against an owner that renews or grants slots after its
// lease ended, or that still knows them when it gets a lease again.
func TestNoAuthority(t *testing.T) {
	b := newOwnerFixture(t, 1, zeroCounter)
	b.renew(b.renewal(first, nil, "a"))
	b.o.Authorize(b.now, member.Share{}, false)
	_, err := b.o.Renew(b.now, b.renewal(first, nil, "a"))
	b.c.Assert(err, qt.Equals, slot.ErrNoAuthority)
	b.now = b.now.Add(time.Minute)
	b.o.Authorize(b.now, member.Share{}, true)
	b.assertSlots(0)
	b.advance(0)
	b.c.Assert(b.renew(b.renewal(second, nil, "b")).Granted, qt.HasLen, 0)
}

// TestAdoption guards against a new owner that restarts the ramp-up, or that grants
// slots while holders may still use unreported slots of the former owner.
func TestAdoption(t *testing.T) {
	b := &ownerFixture{c: qt.New(t), f: &stubLimit{limit: 1}, now: epoch}
	b.o = newOwner("owner", b.f, zeroCounter)
	b.advance(0)
	r := b.renewal(first, nil, "a", "a", "a", "a")
	for i := range uint64(3) {
		r.Slots = append(r.Slots, slot.Held{Slot: slot.Slot{Target: target, Owner: second, Number: i}, Busy: true})
	}
	r.States = []slot.TargetState{{Target: target, Incarnation: "1", Limit: 4, Ramping: true}}
	reply := b.renew(r)
	b.c.Assert(reply.Valid, qt.HasLen, 3)
	b.c.Assert(reply.Granted, qt.HasLen, 0)
	b.c.Assert(*b.f, qt.Equals, stubLimit{limit: 4, ramping: true, incarnation: "1"})
	b.advance(times.OwnerLease)
	again := b.renewal(first, nil, "a", "a", "a", "a")
	again.Slots = r.Slots
	b.renew(again)
	b.assertSlots(3)
	b.advance(times.SlotLease - 1)
	b.assertSlots(3)
	again.Sequence++
	b.advance(1)
	b.renew(again)
	b.assertSlots(4)
}

// TestChangedTarget guards against an owner that ignores a change of a target's
// configured limits, and against a warm load on a new server after the target's URL
// changed.
func TestChangedTarget(t *testing.T) {
	for _, change := range []func(*config.Target){
		func(t *config.Target) { t.MaxLimit = 2 },
		func(t *config.Target) { t.URL = "http://other" },
	} {
		b := newOwnerFixture(t, 0, zeroCounter)
		changed := onlyTarget
		changed.Name, changed.ColdLimit, changed.MaxLimit = "warm", 2, 4
		b.o.NewLimit = func(t config.Target) slot.Limit {
			l := limit.New(t.ColdLimit, t.MaxLimit)
			l.Adopt("1", t.MaxLimit, false)
			return l
		}
		own := func(d time.Duration) {
			b.now = b.now.Add(d)
			b.o.Authorize(b.now, member.Share{}, true)
			b.o.SetTargets(b.now, []config.Target{changed}, noneClosed)
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
