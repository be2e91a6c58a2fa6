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

// granted is a slot in use, as its owner knows it.
type granted struct {
	slot     Slot
	holder   usage.Source
	busy     bool
	recalled bool
}

// owned is a target of this daemon.
type owned struct {
	target config.Target
	closed bool // gets no new work
	limit  Limit
	slots  map[Slot]*granted
	// adopting ends when no slot of a former owner can be unreported.
	adopting time.Time
	adopted  bool // whether a former owner's limit has been taken over
	// peak is the largest number of slots since the last load report, reported
	// is the number of requests that report showed beyond them.
	peak    int
	reports []unknown
	// suspect is the time until which a target that crashed is taken as cold. A
	// load report ends it, since it shows which incarnation runs; a target that
	// sends none must not stay at its cold limit for ever.
	suspect  time.Time
	balanced time.Time // when slots were last balanced between holders
	restart  bool      // a crash was reported since slots were last decided
	// incarnation is the target's when slots were last decided.
	incarnation string
}

// unknown is how many requests a load report showed beyond the known slots.
type unknown struct {
	at    time.Time
	count int
}

func newOwned(t config.Target, l Limit, adopting time.Time) *owned {
	return &owned{target: t, limit: l, slots: map[Slot]*granted{}, adopting: adopting}
}

// configure takes over a changed configuration of the target. Behind another
// address runs another server, which is treated like a restarted one.
func (t *owned) configure(target config.Target, closed bool, suspect time.Time) {
	old := t.target
	t.target, t.closed = target, closed
	if old.ColdLimit != target.ColdLimit || old.MaxLimit != target.MaxLimit {
		t.limit.Configure(target.ColdLimit, target.MaxLimit)
	}
	if old.URL != target.URL {
		t.suspect, t.restart = suspect, true
	}
}

// allowed returns how many slots may exist under the share of the limit.
func (t *owned) allowed(now time.Time, share member.Share) int {
	if t.closed {
		return 0
	}
	total := t.limit.Limit()
	allowed := min(share.Limit(total), total-t.unknown(share))
	if now.Before(t.suspect) {
		allowed = min(allowed, t.target.ColdLimit)
	}
	if t.limit.Ejected(now) {
		allowed = min(allowed, 1)
	}
	return max(allowed, 0)
}

// free returns how many slots may be granted now. While adopting, slots that
// holders reported may be replaced but their number doesn't grow.
func (t *owned) free(now time.Time, share member.Share) int {
	allowed := t.allowed(now, share)
	if now.Before(t.adopting) {
		allowed = min(allowed, t.peak)
	}
	return allowed - len(t.slots)
}

func (t *owned) add(g *granted) {
	t.slots[g.slot] = g
	t.peak = max(t.peak, len(t.slots))
}

// report takes a load report. It lags, so requests count as unknown only beyond
// the largest number of slots that existed since the last report.
func (t *owned) report(now time.Time, l limit.Load, window time.Duration) {
	t.limit.Report(now, l)
	t.suspect = time.Time{}
	t.reports = append(t.reports, unknown{at: now, count: max(0, l.Running+l.Queued-t.peak)})
	for now.Sub(t.reports[0].at) > window {
		t.reports = t.reports[1:]
	}
	if !now.Before(t.adopting) {
		t.peak = len(t.slots)
	}
}

// unknown returns how many requests run on slots of others. In a split domain
// the other owner's slots may be idle at one report and busy soon after, so the
// largest number of the window counts.
func (t *owned) unknown(share member.Share) int {
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

func (t *owned) observe(now time.Time, o limit.Observation, suspect time.Time) {
	if o.Crashes > 0 && !now.Before(t.suspect) {
		t.suspect, t.restart = suspect, true
	}
	t.limit.Observe(now, o)
}

// restarted tells whether the target may run as another incarnation since the
// last call. Then all slots are recalled, not only those beyond the limit: some
// may be used by holders that don't know yet, while others wait to be used.
func (t *owned) restarted() bool {
	current := t.limit.Incarnation()
	changed := t.restart || t.incarnation != "" && current != t.incarnation
	t.restart, t.incarnation = false, current
	return changed
}

// adopt takes over the limit that holders learned from a former owner. The
// lowest reported one wins, since a higher one may be older.
func (t *owned) adopt(s TargetState) {
	if s.Limit <= 0 || t.adopted && s.Limit >= t.limit.Limit() {
		return
	}
	t.adopted = true
	t.limit.Adopt(s.Incarnation, s.Limit, s.Ramping)
}

func (t *owned) state() TargetState {
	return TargetState{
		Target: t.target.Name, Incarnation: t.limit.Incarnation(),
		Limit: t.limit.Limit(), Ramping: t.limit.Ramping(),
	}
}

// heldBy returns how many slots the holder has that are not recalled.
func (t *owned) heldBy(holder usage.Source) int {
	count := 0
	for _, g := range t.slots {
		if g.holder == holder && !g.recalled {
			count++
		}
	}
	return count
}

// weight orders holders with equal claims.
func (t *owned) weight(holder usage.Source) uint64 {
	return xxhash.Sum64String(t.target.Name + "\x00" + holder.Daemon)
}

// excess marks and returns the slots to recall until no more than the allowed
// number remain: idle ones first, then the newest.
func (t *owned) excess(allowed int) []*granted {
	remaining := t.kept(func(*granted) bool { return true })
	if len(remaining) <= allowed {
		return nil
	}
	return recall(remaining, len(remaining)-allowed)
}

// kept returns the matching slots that are not recalled.
func (t *owned) kept(match func(*granted) bool) []*granted {
	var kept []*granted
	for _, g := range t.slots {
		if !g.recalled && match(g) {
			kept = append(kept, g)
		}
	}
	return kept
}

func recall(slots []*granted, count int) []*granted {
	slices.SortFunc(slots, func(x, y *granted) int {
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
