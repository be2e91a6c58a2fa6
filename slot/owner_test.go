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

// ownerFixture is an owner whose limit and time the test sets.
type ownerFixture struct {
	c        *qt.C
	owner    *slot.Owner
	stub     *stubLimit
	now      time.Time
	sequence uint64
}

// newOwnerFixture returns an owner that no longer adopts slots of former owners.
func newOwnerFixture(t *testing.T, slots int, counter func(service, account string) float64) *ownerFixture {
	f := &ownerFixture{c: qt.New(t), stub: &stubLimit{limit: slots}, now: epoch}
	f.owner = newOwner("owner", f.stub, counter)
	f.advance(0)
	f.advance(3 * time.Second)
	f.advance(3 * time.Second)
	return f
}

// advance moves the time forward and reconciles the owner.
func (f *ownerFixture) advance(d time.Duration) {
	f.now = f.now.Add(d)
	f.owner.Authorize(f.now, member.Share{}, true)
	f.owner.SetTargets(f.now, []config.Target{onlyTarget}, noneClosed)
	f.owner.Reconcile(f.now)
}

// renewal returns a full renewal that reports the slots as busy. Its demand is for
// the first account, with as many requests as accounts are listed.
func (f *ownerFixture) renewal(holder usage.Source, held []slot.Slot, accounts ...string) slot.Renewal {
	f.sequence++
	r := slot.Renewal{Holder: holder, Sequence: f.sequence}
	for _, s := range held {
		r.Slots = append(r.Slots, slot.Held{Slot: s, Busy: true})
	}
	if len(accounts) > 0 {
		r.Demands = []slot.Demand{{Service: "s", Accounts: accounts[:1], Counts: []int{len(accounts)}}}
	}
	return r
}

func (f *ownerFixture) renew(r slot.Renewal) slot.RenewalReply {
	f.c.Helper()
	reply, err := f.owner.Renew(f.now, r)
	f.c.Assert(err, qt.IsNil)
	return reply
}

func (f *ownerFixture) assertSlots(want int) {
	f.c.Helper()
	known, _ := f.owner.Occupancy(target)
	f.c.Assert(known, qt.Equals, want)
}

func zeroCounter(string, string) float64 { return 0 }

// TestChargeOnGrant guards against granting all free slots to the account that had
// the lowest counter at the last exchange, because grants are not charged at once.
func TestChargeOnGrant(t *testing.T) {
	f := newOwnerFixture(t, 0, zeroCounter)
	f.renew(f.renewal(first, nil, "a", "a", "a", "a"))
	f.renew(f.renewal(second, nil, "b", "b", "b", "b"))
	f.stub.limit = 4
	f.advance(0)
	pushes := f.owner.Pushes()
	f.c.Assert(pushes, qt.HasLen, 2)
	for _, p := range pushes {
		f.c.Assert(p.Grant.Slots, qt.HasLen, 2)
	}
}

// TestLimitDecrease guards against slots that are not recalled after the limit fell,
// and against new grants before enough of them were returned.
func TestLimitDecrease(t *testing.T) {
	f := newOwnerFixture(t, 4, zeroCounter)
	held := f.renew(f.renewal(first, nil, "a", "a", "a", "a")).Granted
	f.c.Assert(held, qt.HasLen, 4)
	f.stub.limit = 1
	r := f.renewal(first, held)
	reply := f.renew(r)
	f.c.Assert(reply.Valid, qt.HasLen, 1)
	f.c.Assert(reply.Recalled, qt.HasLen, 3)
	r = f.renewal(first, reply.Valid)
	r.Returned = reply.Recalled[:2]
	f.renew(r)
	f.c.Assert(f.renew(f.renewal(second, nil, "b")).Granted, qt.HasLen, 0)
	f.assertSlots(2)
}

// TestLimitConfigured guards against a lower configured limit that takes effect
// only after a restart, and against a change of the limit that restarts the
// ramp-up.
func TestLimitConfigured(t *testing.T) {
	f := newOwnerFixture(t, 4, zeroCounter)
	f.stub.incarnation, f.stub.ramping = "1", true
	lower := onlyTarget
	lower.MaxLimit = 2
	f.owner.SetTargets(f.now, []config.Target{lower}, noneClosed)
	f.c.Assert(*f.stub, qt.Equals, stubLimit{limit: 2, ramping: true, incarnation: "1"})
}

// TestEjectedTarget guards against more than one slot, the probe, at an ejected target.
func TestEjectedTarget(t *testing.T) {
	f := newOwnerFixture(t, 4, zeroCounter)
	f.stub.ejected = true
	f.c.Assert(f.renew(f.renewal(first, nil, "a", "a", "a", "a")).Granted, qt.HasLen, 1)
	f.c.Assert(f.renew(f.renewal(second, nil, "b")).Granted, qt.HasLen, 0)
}

// TestRequestsOfOtherOwner guards against granting slots beyond the limit while
// requests on slots of another owner run, which only load reports show.
func TestRequestsOfOtherOwner(t *testing.T) {
	f := newOwnerFixture(t, 4, zeroCounter)
	f.owner.Report(f.now, target, limit.Load{Running: 3})
	f.c.Assert(f.renew(f.renewal(first, nil, "a", "a", "a", "a")).Granted, qt.HasLen, 1)
	f.owner.Report(f.now, target, limit.Load{Running: 1})
	f.advance(0)
	f.assertSlots(4)
}

// TestCrashSuspect guards against granting slots up to the warm limit at a target
// that crashed and may have restarted cold.
func TestCrashSuspect(t *testing.T) {
	f := newOwnerFixture(t, 4, zeroCounter)
	r := f.renewal(first, nil, "a", "a", "a", "a")
	r.Observations = map[string]limit.Observation{target: {Crashes: 1}}
	f.c.Assert(f.renew(r).Granted, qt.HasLen, onlyTarget.ColdLimit)
	f.owner.Report(f.now, target, limit.Load{})
	f.advance(0)
	f.assertSlots(4)
}

// TestCrashSuspicionExpires guards against a target that stays at its cold limit
// permanently after one crash because it sends no load reports.
func TestCrashSuspicionExpires(t *testing.T) {
	f := newOwnerFixture(t, 4, zeroCounter)
	r := f.renewal(first, nil, "a", "a", "a", "a")
	r.Observations = map[string]limit.Observation{target: {Crashes: 1}}
	held := f.renew(r).Granted
	f.c.Assert(held, qt.HasLen, onlyTarget.ColdLimit)
	for range times.OrphanTime / time.Second {
		f.assertSlots(onlyTarget.ColdLimit)
		f.advance(time.Second)
		held = append(held, f.renew(f.renewal(first, held, "a", "a", "a", "a")).Granted...)
	}
	f.assertSlots(4)
}

// TestRestartRecallsAll guards against a holder that starts requests on a slot
// that was not recalled, while other slots are still in use at the cold
// incarnation.
func TestRestartRecallsAll(t *testing.T) {
	f := newOwnerFixture(t, 4, zeroCounter)
	f.stub.incarnation = "1"
	held := f.renew(f.renewal(first, nil, "a", "a", "a", "a")).Granted
	f.stub.incarnation, f.stub.limit = "2", 2
	reply := f.renew(f.renewal(first, held, "a", "a", "a", "a"))
	f.c.Assert(reply.Recalled, qt.HasLen, 4)
	r := f.renewal(first, held[2:], "a", "a", "a", "a")
	r.Returned = held[:2]
	f.c.Assert(f.renew(r).Granted, qt.HasLen, 0)
	r = f.renewal(first, held[3:], "a", "a", "a", "a")
	r.Returned = held[2:3]
	f.c.Assert(f.renew(r).Granted, qt.HasLen, 1)
}

// TestStaleRenewal guards against a late renewal that restores a returned slot or an
// old demand.
func TestStaleRenewal(t *testing.T) {
	f := newOwnerFixture(t, 1, zeroCounter)
	held := f.renew(f.renewal(first, nil, "a")).Granted
	late := f.renewal(first, held, "a", "a")
	r := f.renewal(first, nil)
	r.Returned = held
	f.renew(r)
	_, err := f.owner.Renew(f.now, late)
	f.c.Assert(err, qt.Equals, slot.ErrStale)
	f.assertSlots(0)
}

// TestOrphanedSlots guards against slots that stay allocated to a silent holder, and
// against freeing them at a target that ramps up while the holder's requests may
// still run.
func TestOrphanedSlots(t *testing.T) {
	assertFreedAfter := func(t *testing.T, ramping bool, after time.Duration) {
		f := newOwnerFixture(t, 1, zeroCounter)
		f.stub.ramping = ramping
		f.renew(f.renewal(first, nil, "a"))
		for range after / time.Second {
			f.assertSlots(1)
			f.advance(time.Second)
		}
		f.assertSlots(0)
	}
	t.Run("warm", func(t *testing.T) { assertFreedAfter(t, false, times.OrphanTime) })
	t.Run("ramping", func(t *testing.T) { assertFreedAfter(t, true, times.LongestRequest) })
}

// TestRenewalOfFormerIncarnation guards against a late renewal of a holder's former
// incarnation that frees the slots of the current one.
func TestRenewalOfFormerIncarnation(t *testing.T) {
	f := newOwnerFixture(t, 1, zeroCounter)
	late := f.renewal(first, nil)
	restarted := usage.Source{Daemon: first.Daemon, Incarnation: "2"}
	f.renew(f.renewal(restarted, nil, "a"))
	_, err := f.owner.Renew(f.now, late)
	f.c.Assert(err, qt.Equals, slot.ErrStale)
	f.assertSlots(1)
	f.renew(f.renewal(usage.Source{Daemon: first.Daemon, Incarnation: "3"}, nil))
	f.assertSlots(0)
}

// TestIdleSlotsOfSplitDomain guards against granting a slot that belongs to the other owner of
// a split domain because that slot was idle at the last load report.
func TestIdleSlotsOfSplitDomain(t *testing.T) {
	f := newOwnerFixture(t, 0, zeroCounter)
	f.renew(f.renewal(first, nil, "a", "a", "a", "a"))
	f.stub.limit = 4
	f.owner.Authorize(f.now, member.Share{Leases: 2, Counted: 3}, true)
	for _, running := range []int{3, 0} {
		f.owner.Report(f.now, target, limit.Load{Running: running})
		f.owner.Reconcile(f.now)
		f.assertSlots(1)
	}
}

// TestNewGrantIsNotRecalled guards against recalling a slot as unneeded before its holder
// could use it, because the grant reduced the holder's demand to zero.
func TestNewGrantIsNotRecalled(t *testing.T) {
	f := newOwnerFixture(t, 1, zeroCounter)
	granted := f.renew(f.renewal(first, nil, "a")).Granted
	f.renew(f.renewal(second, nil, "b"))
	f.c.Assert(f.owner.Pushes(), qt.HasLen, 0)
	f.c.Assert(f.renew(f.renewal(first, granted)).Recalled, qt.HasLen, 1)
}

// TestOwnerWithoutLease guards against an owner that renews or grants slots after its
// lease ended, or that still knows them when it gets a lease again.
func TestOwnerWithoutLease(t *testing.T) {
	f := newOwnerFixture(t, 1, zeroCounter)
	f.renew(f.renewal(first, nil, "a"))
	f.owner.Authorize(f.now, member.Share{}, false)
	_, err := f.owner.Renew(f.now, f.renewal(first, nil, "a"))
	f.c.Assert(err, qt.Equals, slot.ErrNoAuthority)
	f.now = f.now.Add(time.Minute)
	f.owner.Authorize(f.now, member.Share{}, true)
	f.assertSlots(0)
	f.advance(0)
	f.c.Assert(f.renew(f.renewal(second, nil, "b")).Granted, qt.HasLen, 0)
}

// TestNewOwnerAdoptsSlots guards against a new owner that restarts the ramp-up, or that grants
// slots while holders may still use unreported slots of the former owner.
func TestNewOwnerAdoptsSlots(t *testing.T) {
	f := &ownerFixture{c: qt.New(t), stub: &stubLimit{limit: 1}, now: epoch}
	f.owner = newOwner("owner", f.stub, zeroCounter)
	f.advance(0)
	r := f.renewal(first, nil, "a", "a", "a", "a")
	for i := range uint64(3) {
		r.Slots = append(r.Slots, slot.Held{Slot: slot.Slot{Target: target, Owner: second, Number: i}, Busy: true})
	}
	r.States = []slot.TargetState{{Target: target, Incarnation: "1", Limit: 4, Ramping: true}}
	reply := f.renew(r)
	f.c.Assert(reply.Valid, qt.HasLen, 3)
	f.c.Assert(reply.Granted, qt.HasLen, 0)
	f.c.Assert(*f.stub, qt.Equals, stubLimit{limit: 4, ramping: true, incarnation: "1"})
	f.advance(times.OwnerLease)
	again := f.renewal(first, nil, "a", "a", "a", "a")
	again.Slots = r.Slots
	f.renew(again)
	f.assertSlots(3)
	f.advance(times.SlotLease - 1)
	f.assertSlots(3)
	again.Sequence++
	f.advance(1)
	f.renew(again)
	f.assertSlots(4)
}

// TestTargetConfigurationChange guards against an owner that ignores a change of a target's
// configured limits, and against a warm load on a new server after the target's URL
// changed.
func TestTargetConfigurationChange(t *testing.T) {
	for _, change := range []func(*config.Target){
		func(t *config.Target) { t.MaxLimit = 2 },
		func(t *config.Target) { t.URL = "http://other" },
	} {
		f := newOwnerFixture(t, 0, zeroCounter)
		changed := onlyTarget
		changed.Name, changed.ColdLimit, changed.MaxLimit = "warm", 2, 4
		f.owner.NewLimit = func(t config.Target) slot.Limit {
			l := limit.New(t.ColdLimit, t.MaxLimit)
			l.Adopt("1", t.MaxLimit, false)
			return l
		}
		own := func(d time.Duration) {
			f.now = f.now.Add(d)
			f.owner.Authorize(f.now, member.Share{}, true)
			f.owner.SetTargets(f.now, []config.Target{changed}, noneClosed)
			f.owner.Reconcile(f.now)
		}
		for range 3 {
			own(3 * time.Second)
		}
		held := f.renew(f.renewal(first, nil, "a", "a", "a", "a")).Granted
		f.c.Assert(held, qt.HasLen, 4)
		change(&changed)
		own(0)
		r := f.renewal(first, nil, "a", "a", "a", "a")
		r.Returned = held
		f.c.Assert(f.renew(r).Granted, qt.HasLen, 2)
	}
}
