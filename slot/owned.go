package slot

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"rattanline.example/rattanline/config"
	"rattanline.example/rattanline/limit"
	"rattanline.example/rattanline/member"
	"rattanline.example/rattanline/usage"
)

// grantedSlot is the owner's record of a slot that a holder has.
type grantedSlot struct {
	slot     Slot
	holder   usage.Source
	busy     bool
	recalled bool
}

// ownedTarget is the owner's record of a target that this daemon owns.
type ownedTarget struct {
	target config.Target
	closed bool // gets no new work
	limit  Limit
	slots  map[Slot]*grantedSlot
	// adoptUntil is the time from which no slot of a former owner can be
	// unreported. Until then reported slots are adopted, also beyond the limit.
	adoptUntil time.Time
	adopted    bool // a former owner's limit was adopted
	// peak is the largest number of slots since the last load report. Until
	// adoptUntil load reports don't reset it, since it bounds the grants.
	peak int
	// reports has the requests beyond peak in the recent load reports, oldest
	// first.
	reports []unknownLoad
	// suspectUntil is the time until which a target that crashed counts as cold.
	// A load report ends this state, since it shows which incarnation runs. It
	// expires so that a target without load reports doesn't stay at its cold limit
	// permanently.
	suspectUntil   time.Time
	lastRebalance  time.Time // when slots were last balanced between holders
	restartPending bool      // a crash was reported or the URL changed since the last call of restarted
	// incarnation is the target's incarnation at the last call of restarted.
	incarnation string
}

// unknownLoad is the number of requests in a load report beyond the known slots.
type unknownLoad struct {
	at    time.Time
	count int
}

func newOwnedTarget(t config.Target, l Limit, adoptUntil time.Time) *ownedTarget {
	return &ownedTarget{target: t, limit: l, slots: map[Slot]*grantedSlot{}, adoptUntil: adoptUntil}
}

// configure applies a changed configuration of the target. A changed URL means a
// different server, which is handled like a restart of the target.
func (t *ownedTarget) configure(target config.Target, closed bool, suspectUntil time.Time) {
	old := t.target
	t.target, t.closed = target, closed
	if old.ColdLimit != target.ColdLimit || old.MaxLimit != target.MaxLimit {
		t.limit.Configure(target.ColdLimit, target.MaxLimit)
	}
	if old.URL != target.URL {
		t.suspectUntil, t.restartPending = suspectUntil, true
	}
}

// allowed returns the number of slots that may exist within the owner's share of
// the limit.
func (t *ownedTarget) allowed(now time.Time, share member.Share) int {
	if t.closed {
		return 0
	}
	total := t.limit.Limit()
	allowed := min(share.Limit(total), total-t.unknownRequests(share))
	if now.Before(t.suspectUntil) {
		allowed = min(allowed, t.target.ColdLimit)
	}
	if t.limit.Ejected(now) {
		allowed = min(allowed, 1)
	}
	return max(allowed, 0)
}

// free returns the number of slots that may be granted now, negative if too many
// exist. While slots of a former owner are adopted, reported slots may be replaced
// but their number doesn't grow.
func (t *ownedTarget) free(now time.Time, share member.Share) int {
	allowed := t.allowed(now, share)
	if now.Before(t.adoptUntil) {
		allowed = min(allowed, t.peak)
	}
	return allowed - len(t.slots)
}

func (t *ownedTarget) add(g *grantedSlot) {
	t.slots[g.slot] = g
	t.peak = max(t.peak, len(t.slots))
}

// report processes a load report. Since reports lag, requests count as unknown
// only beyond the largest number of slots that existed since the last report.
// Reports older than the window are dropped.
func (t *ownedTarget) report(now time.Time, l limit.Load, window time.Duration) {
	t.limit.Report(now, l)
	t.suspectUntil = time.Time{}
	t.reports = append(t.reports, unknownLoad{at: now, count: max(0, l.Running+l.Queued-t.peak)})
	for now.Sub(t.reports[0].at) > window {
		t.reports = t.reports[1:]
	}
	if !now.Before(t.adoptUntil) {
		t.peak = len(t.slots)
	}
}

// unknownRequests returns the number of requests on slots of other owners. In a
// split domain the slots of the other owner may be idle at one report and busy soon
// after, so the largest number within the window counts.
func (t *ownedTarget) unknownRequests(share member.Share) int {
	if len(t.reports) == 0 {
		return 0
	}
	largest := t.reports[len(t.reports)-1].count
	if share.Leases < share.Counted {
		for _, r := range t.reports {
			largest = max(largest, r.count)
		}
	}
	return largest
}

// observe passes an observation to the limit. After a crash the target counts as
// cold until the given time.
func (t *ownedTarget) observe(now time.Time, o limit.Observation, suspectUntil time.Time) {
	if o.Crashes > 0 && !now.Before(t.suspectUntil) {
		t.suspectUntil, t.restartPending = suspectUntil, true
	}
	t.limit.Observe(now, o)
}

// restarted reports whether the target may have restarted since the last call.
// All slots must then be recalled, not only those beyond the limit: some may be in
// use by holders that don't know of the restart yet, while others are idle and
// about to be used.
func (t *ownedTarget) restarted() bool {
	current := t.limit.Incarnation()
	changed := t.restartPending || t.incarnation != "" && current != t.incarnation
	t.restartPending, t.incarnation = false, current
	return changed
}

// adopt sets the limit to one that holders received from a former owner. The
// lowest reported limit wins, since a higher one may be older.
func (t *ownedTarget) adopt(s TargetState) {
	if s.Limit <= 0 || t.adopted && s.Limit >= t.limit.Limit() {
		return
	}
	t.adopted = true
	t.limit.Adopt(s.Incarnation, s.Limit, s.Ramping)
}

func (t *ownedTarget) state() TargetState {
	return TargetState{
		Target: t.target.Name, Incarnation: t.limit.Incarnation(),
		Limit: t.limit.Limit(), Ramping: t.limit.Ramping(),
	}
}

// heldBy returns the number of the holder's slots that are not recalled.
func (t *ownedTarget) heldBy(holder usage.Source) int {
	count := 0
	for _, g := range t.slots {
		if g.holder == holder && !g.recalled {
			count++
		}
	}
	return count
}

// tieBreak returns a hash that orders holders with equally many slots.
func (t *ownedTarget) tieBreak(holder usage.Source) uint64 {
	return xxhash.Sum64String(t.target.Name + "\x00" + holder.Daemon)
}

// recallExcess marks slots as recalled so that at most the allowed number remain,
// and returns them.
func (t *ownedTarget) recallExcess(allowed int) []*grantedSlot {
	remaining := t.unrecalled(func(*grantedSlot) bool { return true })
	if len(remaining) <= allowed {
		return nil
	}
	return markRecalled(remaining, len(remaining)-allowed)
}

// unrecalled returns the matching slots that are not recalled, in any order.
func (t *ownedTarget) unrecalled(match func(*grantedSlot) bool) []*grantedSlot {
	var matching []*grantedSlot
	for _, g := range t.slots {
		if !g.recalled && match(g) {
			matching = append(matching, g)
		}
	}
	return matching
}

// markRecalled marks up to count slots as recalled and returns them. Idle slots
// come before busy ones, then newer before older ones. It sorts the slice in place.
func markRecalled(slots []*grantedSlot, count int) []*grantedSlot {
	slices.SortFunc(slots, func(x, y *grantedSlot) int {
		if x.busy != y.busy {
			if x.busy {
				return 1
			}
			return -1
		}
		return -compareSlots(x.slot, y.slot)
	})
	slots = slots[:min(count, len(slots))]
	for _, g := range slots {
		g.recalled = true
	}
	return slots
}

func compareSlots(x, y Slot) int {
	return cmp.Or(
		cmp.Compare(x.Number, y.Number), cmp.Compare(x.Target, y.Target),
		cmp.Compare(x.Owner.Daemon, y.Owner.Daemon), cmp.Compare(x.Owner.Incarnation, y.Owner.Incarnation),
	)
}
