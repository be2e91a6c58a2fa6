package slot

import (
	"maps"
	"slices"
	"time"

	"rattanline.example/rattanline/usage"
)

// Decide frees the slots of lost holders, recalls slots beyond the limits and
// grants free ones. Pushes returns the resulting messages.
func (o *Owner) Decide(now time.Time) {
	if !o.valid {
		return
	}
	o.charges = o.charges.current(now)
	o.expire(now)
	unmet := map[string]bool{}
	for _, name := range slices.Sorted(maps.Keys(o.targets)) {
		t := o.targets[name]
		o.recall(t.excess(t.allowed(now, o.share)))
		for free := t.free(now, o.share); free > 0; free-- {
			if !o.grant(now, t) {
				break
			}
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
	h, account, ok := o.neediest(t.target.Service)
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
		cost:  o.Expected(service, account), until: now.Add(o.Times.ChargeTime),
	})
	m := o.message(h.source)
	m.Slots = append(m.Slots, s)
	if state := t.state(); h.told[t.target.Name] != state {
		h.told[t.target.Name] = state
		m.States = append(m.States, state)
	}
	return true
}

func (o *Owner) neediest(service string) (*holder, string, bool) {
	var best *holder
	var chosen string
	lowest := 0.0
	counters := map[string]float64{}
	for _, daemon := range slices.Sorted(maps.Keys(o.holders)) {
		h := o.holders[daemon]
		for _, account := range slices.Sorted(maps.Keys(h.demands[service])) {
			counter, ok := counters[account]
			if !ok {
				q := usage.Queue{Service: service, Account: account}
				counter = o.Counter(service, account) + o.charges.sum(q)
				counters[account] = counter
			}
			if best == nil || counter < lowest {
				best, chosen, lowest = h, account, counter
			}
		}
	}
	return best, chosen, best != nil
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
