package slot

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"rattanline.example/rattanline/usage"
)

// Reconcile frees the slots of lost holders, recalls slots beyond the limits and
// grants free slots. Pushes returns the resulting messages. Without a valid owner
// lease it does nothing.
func (o *Owner) Reconcile(now time.Time) {
	if !o.valid {
		return
	}
	o.charges = o.charges.unexpired(now)
	o.expire(now)
	checked := map[string]bool{}
	for _, name := range slices.Sorted(maps.Keys(o.targets)) {
		t := o.targets[name]
		if t.restarted() {
			o.queueRecalls(t.recallExcess(0))
		}
		o.queueRecalls(t.recallExcess(t.allowed(now, o.share)))
		for free := t.free(now, o.share); free > 0; free-- {
			if !o.grant(now, t) {
				break
			}
		}
		if !t.closed {
			o.rebalance(now, t)
		}
		if !t.closed && o.hasDemand(t.target.Service) && !checked[t.target.Service] {
			checked[t.target.Service] = true
			o.recallUnneeded(t.target.Service)
		}
	}
}

// expire frees the slots of holders that have been silent for the orphan time.
// While a target ramps up it can't accept an extra request, so its slots are freed
// only after the longest request time.
func (o *Owner) expire(now time.Time) {
	maxExpiry := max(o.Times.OrphanTime, o.Times.LongestRequest)
	for _, t := range o.targets {
		after := o.Times.OrphanTime
		if t.limit.Ramping() {
			after = maxExpiry
		}
		maps.DeleteFunc(t.slots, func(_ Slot, g *grantedSlot) bool {
			h := o.holders[g.holder.Daemon]
			return h == nil || now.Sub(h.lastContact) >= after
		})
	}
	for daemon, h := range o.holders {
		silence := now.Sub(h.lastContact)
		// A holder that is silent for the slot lease can't start requests.
		if silence >= o.Times.SlotLease {
			h.demands, h.hadDemand = nil, nil
		}
		// The sequence number is kept for longer than the slots, so that a late
		// copy of an old renewal doesn't restore them.
		if silence >= 6*maxExpiry {
			delete(o.holders, daemon)
		}
	}
}

// grant grants a slot for the waiting account with the lowest counter and reports
// whether any account waits. It charges the account at once: otherwise each owner
// would pick the same account for all its slots until the next exchange.
func (o *Owner) grant(now time.Time, t *ownedTarget) bool {
	h, account, ok := o.nextRecipient(t)
	if !ok {
		return false
	}
	service := t.target.Service
	o.lastNumber++
	s := Slot{Target: t.target.Name, Owner: o.Self, Number: o.lastNumber}
	t.add(&grantedSlot{slot: s, holder: h.source})
	h.consume(service, account)
	o.charges = append(o.charges, charge{
		queue: usage.Queue{Service: service, Account: account},
		cost:  o.ExpectedCost(service, account), expires: now.Add(o.Times.ChargeTime),
	})
	m := o.pendingGrant(h.source)
	m.Slots = append(m.Slots, s)
	if state := t.state(); h.sentStates[t.target.Name] != state {
		h.sentStates[t.target.Name] = state
		m.States = append(m.States, state)
	}
	return true
}

// nextRecipient returns the waiting account with the lowest counter and the holder
// that gets the next slot of the target for it. This is the holder with the fewest
// slots of the target, so that requests of one account at several daemons are all
// served. The last result is false if no account waits.
func (o *Owner) nextRecipient(t *ownedTarget) (*holderState, string, bool) {
	service, account, found := t.target.Service, "", false
	lowest := 0.0
	accounts := map[string]bool{}
	for _, h := range o.holders {
		for name := range h.demands[service] {
			accounts[name] = true
		}
	}
	for _, name := range slices.Sorted(maps.Keys(accounts)) {
		q := usage.Queue{Service: service, Account: name}
		counter := o.Counter(service, name) + o.charges.sum(q)
		if !found || counter < lowest {
			account, lowest, found = name, counter, true
		}
	}
	if !found {
		return nil, "", false
	}
	return o.waitingFor(t, account)[0], account, true
}

// waitingFor returns the holders at which the account waits, in ascending order of
// their slots of the target. The order of ties differs between targets, so that no
// holder is last at all of them.
func (o *Owner) waitingFor(t *ownedTarget, account string) []*holderState {
	var holders []*holderState
	for _, h := range o.holders {
		if h.demands[t.target.Service][account] > 0 {
			holders = append(holders, h)
		}
	}
	slices.SortFunc(holders, func(x, y *holderState) int {
		return cmp.Or(
			cmp.Compare(t.heldBy(x.source), t.heldBy(y.source)),
			cmp.Compare(t.tieBreak(x.source), t.tieBreak(y.source)),
			cmp.Compare(x.source.Daemon, y.source.Daemon),
		)
	})
	return holders
}

// rebalanceInterval is the shortest time between two recalls that move a slot of
// a target between daemons of one account.
const rebalanceInterval = 250 * time.Millisecond

// rebalance compares the holders at which the account with the lowest counter
// waits. It recalls a slot of the holder with the most slots of the target if
// another has at least two fewer. Counters are kept by account, not by daemon, so
// otherwise one daemon could keep all slots while requests of the same accounts at
// other daemons never run.
func (o *Owner) rebalance(now time.Time, t *ownedTarget) {
	if now.Sub(t.lastRebalance) < rebalanceInterval {
		return
	}
	_, account, ok := o.nextRecipient(t)
	if !ok {
		return
	}
	t.lastRebalance = now
	holders := o.waitingFor(t, account)
	fewest, most := holders[0].source, holders[len(holders)-1].source
	if t.heldBy(most)-t.heldBy(fewest) >= 2 {
		o.queueRecalls(markRecalled(t.unrecalled(func(g *grantedSlot) bool { return g.holder == most }), 1))
	}
}

func (o *Owner) hasDemand(service string) bool {
	for _, h := range o.holders {
		if len(h.demands[service]) > 0 {
			return true
		}
	}
	return false
}

// recallUnneeded recalls slots of holders without waiting requests for the
// service: one for each account with unmet demand at a holder, less the slots
// already recalled.
func (o *Owner) recallUnneeded(service string) {
	unmet := 0
	for _, h := range o.holders {
		unmet += len(h.demands[service])
	}
	var unneeded []*grantedSlot
	for _, t := range o.targets {
		if t.target.Service != service {
			continue
		}
		for _, g := range t.slots {
			if g.recalled {
				unmet--
			}
		}
		unneeded = append(unneeded, t.unrecalled(func(g *grantedSlot) bool {
			h := o.holders[g.holder.Daemon]
			return h != nil && !h.hadDemand[service]
		})...)
	}
	if unmet > 0 {
		o.queueRecalls(markRecalled(unneeded, unmet))
	}
}

// queueRecalls adds recalls of the slots to the outbox.
func (o *Owner) queueRecalls(slots []*grantedSlot) {
	for _, g := range slots {
		m := o.pendingGrant(g.holder)
		m.Recalled = append(m.Recalled, g.slot)
	}
}
