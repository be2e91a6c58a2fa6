package slot

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"rattanline.example/rattanline/usage"
)

// Reconcile frees the slots of lost holders, recalls slots beyond the limits and
// grants free ones. Pushes returns the resulting messages.
func (o *Owner) Reconcile(now time.Time) {
	if !o.valid {
		return
	}
	o.charges = o.charges.current(now)
	o.expire(now)
	unmet := map[string]bool{}
	for _, name := range slices.Sorted(maps.Keys(o.targets)) {
		t := o.targets[name]
		if t.restarted() {
			o.recall(t.excess(0))
		}
		o.recall(t.excess(t.allowed(now, o.share)))
		for free := t.free(now, o.share); free > 0; free-- {
			if !o.grant(now, t) {
				break
			}
		}
		if !t.closed {
			o.balance(now, t)
		}
		if !t.closed && o.wanted(t.target.Service) && !unmet[t.target.Service] {
			unmet[t.target.Service] = true
			o.recallUnneeded(t.target.Service)
		}
	}
}

// expire frees slots of holders that are silent for the orphan time, or the
// longest request time while the target can't bear an extra request.
func (o *Owner) expire(now time.Time) {
	forgotten := max(o.Times.OrphanTime, o.Times.LongestRequest)
	for _, t := range o.targets {
		after := o.Times.OrphanTime
		if t.limit.Ramping() {
			after = forgotten
		}
		maps.DeleteFunc(t.slots, func(_ Slot, g *granted) bool {
			h := o.holders[g.holder.Daemon]
			return h == nil || now.Sub(h.seen) >= after
		})
	}
	for daemon, h := range o.holders {
		silence := now.Sub(h.seen)
		// A silent holder can't use a slot.
		if silence >= o.Times.SlotLease {
			h.demands, h.waiting = nil, nil
		}
		// The sequence number outlives the slots, so that a late copy of an old
		// renewal doesn't bring them back.
		if silence >= 6*forgotten {
			delete(o.holders, daemon)
		}
	}
}

// grant gives a free slot to the holder whose waiting account has the lowest
// counter, and charges the account at once: otherwise all owners would pick the
// same one until the next exchange.
func (o *Owner) grant(now time.Time, t *owned) bool {
	h, account, ok := o.neediest(t)
	if !ok {
		return false
	}
	service := t.target.Service
	o.number++
	s := Slot{Target: t.target.Name, Owner: o.Self, Number: o.number}
	t.add(&granted{slot: s, holder: h.source})
	h.consume(service, account)
	o.charges = append(o.charges, charge{
		queue: usage.Queue{Service: service, Account: account},
		cost:  o.ExpectedCost(service, account), until: now.Add(o.Times.ChargeTime),
	})
	m := o.message(h.source)
	m.Slots = append(m.Slots, s)
	if state := t.state(); h.told[t.target.Name] != state {
		h.told[t.target.Name] = state
		m.States = append(m.States, state)
	}
	return true
}

// neediest returns the account with the lowest counter and the holder that gets
// the next slot of the target for it: the one with the fewest, so that requests
// of one account at several daemons are all served.
func (o *Owner) neediest(t *owned) (*holder, string, bool) {
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

// waitingFor returns the holders at which the account waits, those with the
// fewest slots of the target first. Ties are ordered differently for each
// target, so that no holder is the last at all of them.
func (o *Owner) waitingFor(t *owned, account string) []*holder {
	var holders []*holder
	for _, h := range o.holders {
		if h.demands[t.target.Service][account] > 0 {
			holders = append(holders, h)
		}
	}
	slices.SortFunc(holders, func(x, y *holder) int {
		return cmp.Or(
			cmp.Compare(t.heldBy(x.source), t.heldBy(y.source)),
			cmp.Compare(t.weight(x.source), t.weight(y.source)),
			cmp.Compare(x.source.Daemon, y.source.Daemon),
		)
	})
	return holders
}

// balanceInterval bounds the moves of slots between daemons of one account.
const balanceInterval = 250 * time.Millisecond

// balance recalls a slot of the holder with the most when another one waits for
// the same account with at least two fewer. Counters are of accounts, so without
// this one daemon keeps all slots while requests of the same accounts at other
// daemons never run.
func (o *Owner) balance(now time.Time, t *owned) {
	if now.Sub(t.balanced) < balanceInterval {
		return
	}
	_, account, ok := o.neediest(t)
	if !ok {
		return
	}
	t.balanced = now
	holders := o.waitingFor(t, account)
	poorest, richest := holders[0].source, holders[len(holders)-1].source
	if t.heldBy(richest)-t.heldBy(poorest) >= 2 {
		o.recall(recall(t.kept(func(g *granted) bool { return g.holder == richest }), 1))
	}
}

func (o *Owner) wanted(service string) bool {
	for _, h := range o.holders {
		if len(h.demands[service]) > 0 {
			return true
		}
	}
	return false
}

// recallUnneeded recalls slots of holders at which nothing waits, as many as
// there are accounts waiting without a slot.
func (o *Owner) recallUnneeded(service string) {
	unmet := 0
	for _, h := range o.holders {
		unmet += len(h.demands[service])
	}
	var unneeded []*granted
	for _, t := range o.targets {
		if t.target.Service != service {
			continue
		}
		for _, g := range t.slots {
			if g.recalled {
				unmet--
			}
		}
		unneeded = append(unneeded, t.kept(func(g *granted) bool {
			h := o.holders[g.holder.Daemon]
			return h != nil && !h.waiting[service]
		})...)
	}
	if unmet > 0 {
		o.recall(recall(unneeded, unmet))
	}
}

func (o *Owner) recall(slots []*granted) {
	for _, g := range slots {
		m := o.message(g.holder)
		m.Recalled = append(m.Recalled, g.slot)
	}
}
