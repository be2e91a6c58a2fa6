package slot

import (
	"maps"
	"slices"
	"time"

	"github.com/pkg/errors"

	"rattanline.example/rattanline/config"
	"rattanline.example/rattanline/limit"
	"rattanline.example/rattanline/member"
	"rattanline.example/rattanline/usage"
)

// ErrNoAuthority is returned to holders while the owner lease is not valid.
var ErrNoAuthority = errors.New("owner lease not valid")

// ErrStale is returned for a renewal that is older than one already processed.
var ErrStale = errors.New("renewal is older than the last one")

// Owner grants the slots of the targets that this daemon owns. It is not safe
// for concurrent use.
type Owner struct {
	Self  usage.Source
	Times Times
	// NewLimit returns the limit of a target that becomes owned.
	NewLimit func(config.Target) Limit
	// Counter and ExpectedCost return the counter of an account and the expected
	// normalised cost of its next request.
	Counter      func(service, account string) float64
	ExpectedCost func(service, account string) float64

	targets map[string]*owned
	holders map[string]*holder
	charges charges
	share   member.Share
	valid   bool
	last    time.Time // when the authority was last seen valid
	number  uint64
	outbox  map[usage.Source]*Grant
}

// Push is a message to a holder.
type Push struct {
	Holder  usage.Source
	Address string
	Grant   Grant
}

// Authorize tells the owner whether its lease is valid, and its share of the
// limits. After a gap of an owner lease others may have granted slots, so the
// owner starts again by adopting what holders report.
func (o *Owner) Authorize(now time.Time, share member.Share, valid bool) {
	o.share, o.valid = share, valid
	if now.Sub(o.last) > o.Times.OwnerLease {
		o.targets = map[string]*owned{}
		o.outbox = nil
	}
	if valid {
		o.last = now
	}
}

// SetTargets sets the targets that this daemon owns. Closed ones get no new work.
func (o *Owner) SetTargets(now time.Time, targets []config.Target, closed func(config.Target) bool) {
	if !o.valid {
		return
	}
	if o.targets == nil {
		o.targets = map[string]*owned{}
	}
	current := make(map[string]bool, len(targets))
	for _, t := range targets {
		current[t.Name] = true
		if o.targets[t.Name] == nil {
			o.targets[t.Name] = newOwned(t, o.NewLimit(t), now.Add(o.Times.OwnerLease+o.Times.SlotLease))
		}
		o.targets[t.Name].configure(t, closed(t), now.Add(o.Times.OrphanTime))
	}
	for name := range o.targets {
		if !current[name] {
			delete(o.targets, name)
		}
	}
}

// Len returns the number of owned targets.
func (o *Owner) Len() int { return len(o.targets) }

// Targets returns the owned targets sorted by name.
func (o *Owner) Targets() []config.Target {
	var targets []config.Target
	for _, name := range slices.Sorted(maps.Keys(o.targets)) {
		targets = append(targets, o.targets[name].target)
	}
	return targets
}

// Occupancy returns the number of slots known of a target and its limit.
func (o *Owner) Occupancy(target string) (slots, limit int) {
	if t := o.targets[target]; t != nil {
		return len(t.slots), t.limit.Limit()
	}
	return 0, 0
}

// Report takes the load that a target reported.
func (o *Owner) Report(now time.Time, target string, l limit.Load) {
	if t := o.targets[target]; t != nil {
		t.report(now, l, o.Times.OrphanTime)
	}
}

// Renew extends the lease of a holder's slots and takes its demand.
func (o *Owner) Renew(now time.Time, r Renewal) (RenewalReply, error) {
	if !o.valid {
		return RenewalReply{}, ErrNoAuthority
	}
	h, err := o.holder(now, r)
	if err != nil {
		return RenewalReply{}, err
	}
	for _, s := range r.States {
		if t := o.targets[s.Target]; t != nil && now.Before(t.adopting) {
			t.adopt(s)
		}
	}
	for name, seen := range r.Observations {
		if t := o.targets[name]; t != nil {
			t.observe(now, seen, now.Add(o.Times.OrphanTime))
		}
	}
	for _, s := range r.Returned {
		if t := o.targets[s.Target]; t != nil {
			delete(t.slots, s)
		}
	}
	reported := make(map[Slot]bool, len(r.Slots))
	for _, s := range r.Slots {
		reported[s.Slot] = true
		o.reportSlot(now, h, s)
	}
	o.Reconcile(now)
	if r.Partial {
		return o.news(h), nil
	}
	return o.reply(h, reported), nil
}

// holder returns the state of the renewal's sender. A new incarnation of it
// proves that the requests of the former one have ended. Sequence numbers grow
// over incarnations, so a late renewal of the former one is recognised; after a
// clock was set back the new one is accepted when the former is silent.
func (o *Owner) holder(now time.Time, r Renewal) (*holder, error) {
	if o.holders == nil {
		o.holders = map[string]*holder{}
	}
	h := o.holders[r.Holder.Daemon]
	if h != nil && r.Sequence <= h.sequence && (h.source == r.Holder || now.Sub(h.seen) < o.Times.OrphanTime) {
		return nil, ErrStale
	}
	if h == nil || h.source != r.Holder {
		o.release(func(g *granted) bool { return g.holder.Daemon == r.Holder.Daemon && g.holder != r.Holder })
		h = &holder{source: r.Holder, told: map[string]TargetState{}}
		o.holders[r.Holder.Daemon] = h
	}
	h.sequence, h.address, h.seen = r.Sequence, r.Address, now
	h.setDemands(r.Demands, r.Partial)
	return h, nil
}

// reportSlot updates a slot that a holder reports. One that the owner doesn't
// know is adopted; beyond the limit a busy one counts until its request ends,
// and an idle one stays unknown.
func (o *Owner) reportSlot(now time.Time, h *holder, s Held) {
	t := o.targets[s.Slot.Target]
	if t == nil {
		return
	}
	if g := t.slots[s.Slot]; g != nil {
		g.busy = s.Busy
		return
	}
	adopting := now.Before(t.adopting)
	room := t.allowed(now, o.share)-len(t.slots) > 0
	if room || s.Busy || adopting {
		t.add(&granted{slot: s.Slot, holder: h.source, busy: s.Busy, recalled: !room})
	}
}

// news returns what was decided for the holder and not sent yet.
func (o *Owner) news(h *holder) RenewalReply {
	reply := RenewalReply{Owner: o.Self}
	if g := o.outbox[h.source]; g != nil {
		reply.Granted, reply.Recalled, reply.States = g.Slots, g.Recalled, g.States
		delete(o.outbox, h.source)
	}
	return reply
}

func (o *Owner) reply(h *holder, reported map[Slot]bool) RenewalReply {
	reply := RenewalReply{Owner: o.Self}
	for _, name := range slices.Sorted(maps.Keys(o.targets)) {
		t := o.targets[name]
		concerned := false
		for _, g := range sortedSlots(t.slots) {
			if g.holder != h.source {
				continue
			}
			concerned = true
			switch {
			case g.recalled:
				reply.Recalled = append(reply.Recalled, g.slot)
			case reported[g.slot]:
				reply.Valid = append(reply.Valid, g.slot)
			default:
				reply.Granted = append(reply.Granted, g.slot)
			}
		}
		if state := t.state(); concerned && h.told[name] != state {
			h.told[name] = state
			reply.States = append(reply.States, state)
		}
	}
	delete(o.outbox, h.source)
	return reply
}

func sortedSlots(slots map[Slot]*granted) []*granted {
	return slices.SortedFunc(maps.Values(slots), func(x, y *granted) int { return compareSlots(x.slot, y.slot) })
}

// release forgets the matching slots.
func (o *Owner) release(match func(*granted) bool) {
	for _, t := range o.targets {
		maps.DeleteFunc(t.slots, func(_ Slot, g *granted) bool { return match(g) })
	}
}

// Pushes returns the grants and recalls decided since the last call.
func (o *Owner) Pushes() []Push {
	var pushes []Push
	for source, g := range o.outbox {
		if h := o.holders[source.Daemon]; h != nil && h.source == source {
			pushes = append(pushes, Push{Holder: source, Address: h.address, Grant: *g})
		}
	}
	o.outbox = nil
	slices.SortFunc(pushes, func(x, y Push) int {
		if x.Holder.Daemon < y.Holder.Daemon {
			return -1
		}
		return 1
	})
	return pushes
}

func (o *Owner) message(to usage.Source) *Grant {
	if o.outbox == nil {
		o.outbox = map[usage.Source]*Grant{}
	}
	if o.outbox[to] == nil {
		o.outbox[to] = &Grant{Owner: o.Self}
	}
	return o.outbox[to]
}
