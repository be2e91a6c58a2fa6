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

// ErrNoAuthority is the error of renewals while the owner lease is not valid.
var ErrNoAuthority = errors.New("owner lease not valid")

// ErrStale is the error of a renewal that was already processed, or that is older
// than one already processed.
var ErrStale = errors.New("renewal is older than the last one")

// Owner grants the slots of the targets that this daemon owns. It is not safe
// for concurrent use.
type Owner struct {
	Self  usage.Source
	Times Times
	// NewLimit returns a limit for a target that this daemon starts to own.
	NewLimit func(config.Target) Limit
	// Counter returns the fair-share counter of an account.
	Counter func(service, account string) float64
	// ExpectedCost returns the normalised cost that the account is charged for a
	// granted slot until the usage exchange reports the actual cost.
	ExpectedCost func(service, account string) float64

	targets    map[string]*ownedTarget
	holders    map[string]*holderState
	charges    charges
	share      member.Share
	valid      bool
	lastValid  time.Time // when the owner lease was last valid
	lastNumber uint64
	outbox     map[usage.Source]*Grant
}

// Push is a grant or recall to send to a holder.
type Push struct {
	Holder  usage.Source
	Address string
	Grant   Grant
}

// Authorize sets whether the owner lease is valid, and the owner's share of the
// limits. If the lease was invalid for longer than its duration, other owners may
// have granted slots, so the owner discards its targets and adopts what
// holders report.
func (o *Owner) Authorize(now time.Time, share member.Share, valid bool) {
	o.share, o.valid = share, valid
	if now.Sub(o.lastValid) > o.Times.OwnerLease {
		o.targets = map[string]*ownedTarget{}
		o.outbox = nil
	}
	if valid {
		o.lastValid = now
	}
}

// SetTargets sets the targets that this daemon owns. Closed targets get no new
// work. Without a valid owner lease it does nothing.
func (o *Owner) SetTargets(now time.Time, targets []config.Target, closed func(config.Target) bool) {
	if !o.valid {
		return
	}
	if o.targets == nil {
		o.targets = map[string]*ownedTarget{}
	}
	current := make(map[string]bool, len(targets))
	for _, t := range targets {
		current[t.Name] = true
		if o.targets[t.Name] == nil {
			o.targets[t.Name] = newOwnedTarget(t, o.NewLimit(t), now.Add(o.Times.OwnerLease+o.Times.SlotLease))
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

// Occupancy returns the number of known slots of a target and its limit, or
// zeros if the target is not owned.
func (o *Owner) Occupancy(target string) (slots, limit int) {
	if t := o.targets[target]; t != nil {
		return len(t.slots), t.limit.Limit()
	}
	return 0, 0
}

// Report processes a load report of a target.
func (o *Owner) Report(now time.Time, target string, l limit.Load) {
	if t := o.targets[target]; t != nil {
		t.report(now, l, o.Times.OrphanTime)
	}
}

// Renew processes a holder's renewal: it extends the leases of the holder's slots,
// records its demand and reconciles. The error is ErrNoAuthority or ErrStale.
func (o *Owner) Renew(now time.Time, r Renewal) (RenewalReply, error) {
	if !o.valid {
		return RenewalReply{}, ErrNoAuthority
	}
	h, err := o.updateHolder(now, r)
	if err != nil {
		return RenewalReply{}, err
	}
	for _, s := range r.States {
		if t := o.targets[s.Target]; t != nil && now.Before(t.adoptUntil) {
			t.adopt(s)
		}
	}
	for name, observed := range r.Observations {
		if t := o.targets[name]; t != nil {
			t.observe(now, observed, now.Add(o.Times.OrphanTime))
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
		return o.pendingReply(h), nil
	}
	return o.fullReply(h, reported), nil
}

// updateHolder updates and returns the record of the renewal's sender. A new
// incarnation proves that the requests of the former one have ended, so its slots
// are released. Sequence numbers grow over incarnations, so that late renewals of
// a former incarnation are detected. If the clock was set back, the new
// incarnation is accepted once the former has been silent for the orphan time.
func (o *Owner) updateHolder(now time.Time, r Renewal) (*holderState, error) {
	if o.holders == nil {
		o.holders = map[string]*holderState{}
	}
	h := o.holders[r.Holder.Daemon]
	if h != nil && r.Sequence <= h.sequence && (h.source == r.Holder || now.Sub(h.lastContact) < o.Times.OrphanTime) {
		return nil, ErrStale
	}
	if h == nil || h.source != r.Holder {
		o.release(func(g *grantedSlot) bool { return g.holder.Daemon == r.Holder.Daemon && g.holder != r.Holder })
		h = &holderState{source: r.Holder, sentStates: map[string]TargetState{}}
		o.holders[r.Holder.Daemon] = h
	}
	h.sequence, h.address, h.lastContact = r.Sequence, r.Address, now
	h.setDemands(r.Demands, r.Partial)
	return h, nil
}

// reportSlot updates a slot that a holder reports. A slot that the owner doesn't
// know is added if the limit has room. Beyond the limit a busy slot is added as
// recalled, so that it counts until its request ends, and an idle one only while
// the owner adopts slots of a former owner.
func (o *Owner) reportSlot(now time.Time, h *holderState, s Held) {
	t := o.targets[s.Slot.Target]
	if t == nil {
		return
	}
	if g := t.slots[s.Slot]; g != nil {
		g.busy = s.Busy
		return
	}
	adopting := now.Before(t.adoptUntil)
	room := t.allowed(now, o.share)-len(t.slots) > 0
	if room || s.Busy || adopting {
		t.add(&grantedSlot{slot: s.Slot, holder: h.source, busy: s.Busy, recalled: !room})
	}
}

// pendingReply returns a reply with the grants and recalls for the holder that
// were not sent yet, and removes them from the outbox.
func (o *Owner) pendingReply(h *holderState) RenewalReply {
	reply := RenewalReply{Owner: o.Self}
	if g := o.outbox[h.source]; g != nil {
		reply.Granted, reply.Recalled, reply.States = g.Slots, g.Recalled, g.States
		delete(o.outbox, h.source)
	}
	return reply
}

// fullReply returns a reply that lists all slots of the holder, and the target
// states that changed since they were last sent to it.
func (o *Owner) fullReply(h *holderState, reported map[Slot]bool) RenewalReply {
	reply := RenewalReply{Owner: o.Self}
	for _, name := range slices.Sorted(maps.Keys(o.targets)) {
		t := o.targets[name]
		hasSlots := false
		for _, g := range sortedSlots(t.slots) {
			if g.holder != h.source {
				continue
			}
			hasSlots = true
			switch {
			case g.recalled:
				reply.Recalled = append(reply.Recalled, g.slot)
			case reported[g.slot]:
				reply.Valid = append(reply.Valid, g.slot)
			default:
				reply.Granted = append(reply.Granted, g.slot)
			}
		}
		if state := t.state(); hasSlots && h.sentStates[name] != state {
			h.sentStates[name] = state
			reply.States = append(reply.States, state)
		}
	}
	delete(o.outbox, h.source)
	return reply
}

func sortedSlots(slots map[Slot]*grantedSlot) []*grantedSlot {
	return slices.SortedFunc(maps.Values(slots), func(x, y *grantedSlot) int { return compareSlots(x.slot, y.slot) })
}

// release removes the matching slots.
func (o *Owner) release(match func(*grantedSlot) bool) {
	for _, t := range o.targets {
		maps.DeleteFunc(t.slots, func(_ Slot, g *grantedSlot) bool { return match(g) })
	}
}

// Pushes returns the grants and recalls that neither an earlier call nor a reply to
// a renewal returned, and removes them from the outbox.
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

// pendingGrant returns the unsent message to a holder, which it adds to the
// outbox if there is none.
func (o *Owner) pendingGrant(to usage.Source) *Grant {
	if o.outbox == nil {
		o.outbox = map[usage.Source]*Grant{}
	}
	if o.outbox[to] == nil {
		o.outbox[to] = &Grant{Owner: o.Self}
	}
	return o.outbox[to]
}
