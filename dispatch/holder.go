package dispatch

import (
	"context"
	"maps"
	"math"
	"slices"
	"time"

	"rattanline.example/rattanline/limit"
	"rattanline.example/rattanline/slot"
	"rattanline.example/rattanline/usage"
)

// retryGap is the least time between renewals after one failed, so an owner
// that is gone isn't called for each change.
const retryGap = 250 * time.Millisecond

// returnGap is the least time between renewals that return slots. It is shorter
// than that for demand, since a slot is idle until its owner knows.
const returnGap = 5 * time.Millisecond

// maxSettle bounds the exchanges between the owner and the holder of the same
// process in one call; what remains is done at the next tick.
const maxSettle = 8

// peer is what this daemon sent to one owner.
type peer struct {
	demands  map[string]map[string]int // by service and account
	sent     time.Time
	full     time.Time // when the last full renewal was sent
	notSoon  time.Time // after a failure
	granted  int       // slots that came since the demand was sent
	unwanted bool      // slots came for which nothing waits
	timer    *time.Timer
	wake     time.Time
}

// keepOrReturn decides about a slot whose request ended: it is kept while the
// waiting account with the lowest counter is at most the slack above the floor.
// Without waiting requests anywhere it is kept for the idle time.
func (d *Dispatcher) keepOrReturn(now time.Time, s slot.Slot, service string) {
	if d.stopping || d.index.closed[s.Target] || !d.mayKeep(now, service) {
		d.returnSlot(now, s)
	}
}

func (d *Dispatcher) returnSlot(now time.Time, s slot.Slot) {
	d.holder.Return(now, s)
	d.metric.returned.Inc()
	d.record("slot-returned", "", "", s.Target, "")
	d.dirty = true
}

// returnUnneeded returns idle slots of closed targets at once, and those of
// services without waiting requests after the idle time, or at once when others
// wait.
func (d *Dispatcher) returnUnneeded(now time.Time) {
	for _, target := range d.holder.Targets() {
		t, known := d.index.targets[target]
		after := d.Times.IdleTime
		switch {
		case !known || d.index.closed[target] || d.stopping:
			after = 0
		case len(d.queues.Accounts(t.Service)) > 0:
			continue
		default:
			if _, elsewhere := d.Ledger.Floor(t.Service); elsewhere {
				after = d.Times.MinRenewInterval
			}
		}
		if n := d.holder.ReturnIdle(now, target, after); n > 0 {
			d.metric.returned.Add(n)
			d.dirty = true
		}
	}
}

// settle sends what has changed: renewals to owners and pushes to holders. The
// owner in this process answers at once, which may lead to further changes.
func (d *Dispatcher) settle(now time.Time) {
	for range maxSettle {
		if d.dirty {
			d.dirty = false
			d.flush(now)
		}
		d.push(now)
		if !d.dirty {
			return
		}
	}
}

// flush renews with each owner that lacks something.
func (d *Dispatcher) flush(now time.Time) {
	returns := map[usage.Source]bool{}
	for _, source := range d.holder.Owners() {
		returns[source] = true
	}
	demands := map[usage.Source]map[string]map[string]int{}
	for _, name := range d.queues.Services() {
		s := d.index.services[name]
		if s == nil || d.stopping {
			continue
		}
		accounts := map[string]int{}
		for _, account := range d.queues.Accounts(name) {
			accounts[account] = min(d.queues.Waiting(name, account), slot.MaxDemandCount)
		}
		for _, source := range s.owners {
			if demands[source] == nil {
				demands[source] = map[string]map[string]int{}
			}
			demands[source][name] = accounts
		}
	}
	for source := range d.index.address {
		if d.peers[source] == nil && (returns[source] || demands[source] != nil) {
			d.peers[source] = &peer{}
		}
	}
	for source, p := range d.peers {
		if _, member := d.index.address[source]; !member {
			delete(d.peers, source)
			continue
		}
		d.renewIfNeeded(now, source, p, demands[source], returns[source])
	}
}

func (d *Dispatcher) renewIfNeeded(now time.Time, source usage.Source, p *peer, demands map[string]map[string]int, holds bool) {
	gap := time.Duration(-1)
	shorten := func(needed bool, to time.Duration) {
		if needed && (gap < 0 || to < gap) {
			gap = to
		}
	}
	shorten(d.urgentFor(source), 0)
	shorten(d.holder.HasUnsentReturns(source), returnGap)
	shorten(p.unwanted || p.starts(demands), d.Times.MinRenewInterval)
	if p.differs(demands) {
		shorten(d.slotless(demands), d.Times.MinRenewInterval)
		shorten(true, d.Times.DemandInterval)
	}
	if now.Sub(p.full) >= d.Times.RenewInterval {
		shorten(holds || len(demands) > 0 || len(p.demands) > 0, 0)
	}
	if gap < 0 {
		return
	}
	earliest := p.sent.Add(gap)
	if p.notSoon.After(earliest) {
		earliest = p.notSoon
	}
	if wait := earliest.Sub(now); wait > 0 && source != d.Self {
		d.wakeAfter(now, p, wait)
		return
	}
	d.renew(now, source, p, demands)
}

// wakeAfter flushes again when the next renewal to the owner is allowed.
func (d *Dispatcher) wakeAfter(now time.Time, p *peer, wait time.Duration) {
	at := now.Add(wait)
	if p.timer != nil {
		if !p.wake.After(at) {
			return
		}
		p.timer.Stop()
	}
	p.wake = at
	p.timer = time.AfterFunc(wait, func() {
		now := d.lock()
		defer d.mu.Unlock()
		p.timer = nil
		d.dirty = true
		d.settle(now)
	})
}

// slotless tells whether no slot is held for a service for which requests wait,
// so that an account that starts to wait there depends on a grant.
func (d *Dispatcher) slotless(demands map[string]map[string]int) bool {
	served := map[string]bool{}
	for _, target := range d.holder.Targets() {
		served[d.index.targets[target].Service] = true
	}
	for name := range demands {
		if !served[name] {
			return true
		}
	}
	return false
}

// starts tells whether the owner knows of no demand for a service for which
// requests wait: it was told of none, or has granted as many slots as it knows
// are wanted.
func (p *peer) starts(demands map[string]map[string]int) bool {
	for name := range demands {
		wanted := 0
		for _, n := range p.demands[name] {
			wanted += n
			if n >= slot.MaxDemandCount {
				wanted += math.MaxInt32
			}
		}
		if wanted <= p.granted {
			return true
		}
	}
	return false
}

// differs tells whether an account started or stopped waiting, or waits for more
// slots than the owner knows. Accounts of one daemon change much more often than
// it starts or stops to need slots, and its queue serves the right one in any
// case, so this is told less often.
func (p *peer) differs(demands map[string]map[string]int) bool {
	for name, accounts := range demands {
		for account, n := range accounts {
			if n > p.demands[name][account] {
				return true
			}
		}
	}
	for name, accounts := range p.demands {
		for account := range accounts {
			if demands[name][account] == 0 {
				return true
			}
		}
	}
	return false
}

func (d *Dispatcher) renew(now time.Time, source usage.Source, p *peer, demands map[string]map[string]int) {
	r := d.holder.Renewal(now, source, d.Times.RenewInterval)
	if !r.Partial {
		p.full = now
	}
	r.Demands = p.message(demands, r.Partial)
	r.Observations = d.takeObservations(source)
	p.demands, p.sent, p.granted, p.unwanted = demands, now, 0, false
	d.metric.renewals.Inc()
	if source == d.Self {
		reply, err := d.serve(now, r)
		d.answer(now, source, r, now, reply, err)
		return
	}
	d.send(source, r, now)
}

// message returns the demands as a renewal carries them: all, or in a partial one
// those that changed. Grants use up what the owner knows, so after some all are
// told again.
func (p *peer) message(demands map[string]map[string]int, partial bool) []slot.Demand {
	var message []slot.Demand
	for _, name := range slices.Sorted(maps.Keys(demands)) {
		if partial && p.granted == 0 && maps.Equal(demands[name], p.demands[name]) {
			continue
		}
		d := slot.Demand{Service: name}
		for _, account := range slices.Sorted(maps.Keys(demands[name])) {
			d.Accounts = append(d.Accounts, account)
			d.Counts = append(d.Counts, demands[name][account])
		}
		message = append(message, d)
	}
	for _, name := range slices.Sorted(maps.Keys(p.demands)) {
		if partial && len(demands[name]) == 0 {
			message = append(message, slot.Demand{Service: name})
		}
	}
	return message
}

// send calls a remote owner.
func (d *Dispatcher) send(source usage.Source, r slot.Renewal, sent time.Time) {
	address, base := d.index.address[source], d.context
	d.spawn(func() {
		ctx, cancel := context.WithTimeout(base, d.Times.SlotLease)
		defer cancel()
		var reply slot.RenewalReply
		err := d.Link.Call(ctx, address, "Owner.Renew", r, &reply)
		now := d.lock()
		defer d.mu.Unlock()
		d.answer(now, source, r, sent, reply, err)
		d.settle(now)
	})
}

func (d *Dispatcher) answer(now time.Time, source usage.Source, r slot.Renewal, sent time.Time, reply slot.RenewalReply, err error) {
	p := d.peers[source]
	if err != nil {
		d.metric.failures.Inc()
		d.restore(r.Observations)
		if p != nil {
			// The owner may lack this demand; it is sent again.
			p.notSoon = now.Add(retryGap)
			p.demands, p.full = nil, time.Time{}
		}
		return
	}
	d.holder.HandleReply(now, source, r, sent, reply)
	d.restore(d.misdirected(source, r.Observations))
	d.received(now, source, reply.Granted)
}

// received uses new slots. Those for which nothing waits go back at once when
// others wait, and the owner is told of the present demand.
func (d *Dispatcher) received(now time.Time, source usage.Source, slots []slot.Slot) {
	d.metric.received.Add(len(slots))
	d.assignAll(now)
	p := d.peers[source]
	for _, s := range slots {
		d.record("slot-received", "", "", s.Target, "")
		service := d.index.targets[s.Target].Service
		if p != nil {
			p.granted++
			p.unwanted = p.unwanted || len(d.queues.Accounts(service)) == 0
		}
		if _, elsewhere := d.Ledger.Floor(service); elsewhere && len(d.queues.Accounts(service)) == 0 && d.holder.Idle(s) {
			d.returnSlot(now, s)
		}
	}
	if d.holder.HasUnsentReturns(source) || len(slots) > 0 {
		d.dirty = true
	}
}

// takeObservations removes the observations of targets of the owner.
func (d *Dispatcher) takeObservations(source usage.Source) map[string]limit.Observation {
	var taken map[string]limit.Observation
	for target, o := range d.observed {
		if owner, ok := d.index.owner(target); !ok || owner != source {
			continue
		}
		if taken == nil {
			taken = map[string]limit.Observation{}
		}
		taken[target] = o.message()
		delete(d.observed, target)
	}
	return taken
}

func (d *Dispatcher) urgentFor(source usage.Source) bool {
	for target, o := range d.observed {
		if owner, ok := d.index.owner(target); ok && owner == source && o.urgent {
			return true
		}
	}
	return false
}

// misdirected returns the observations that a former owner took: the current
// one must know of them as well.
func (d *Dispatcher) misdirected(source usage.Source, seen map[string]limit.Observation) map[string]limit.Observation {
	found := map[string]limit.Observation{}
	for target, o := range seen {
		if owner, ok := d.index.owner(target); ok && owner != source {
			found[target] = o
		}
	}
	return found
}
