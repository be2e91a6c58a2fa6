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

// retryInterval is the shortest time between a failed renewal and the next one, so
// that an owner that is gone isn't called on each change.
const retryInterval = 250 * time.Millisecond

// returnInterval is the shortest time between renewals that return slots. It is
// shorter than MinRenewInterval, since a returned slot is idle until its owner
// receives the renewal.
const returnInterval = 5 * time.Millisecond

// maxSendRounds is the largest number of message rounds between the owner and the
// holder of this process in one call of sendChanges. The next tick does the rest.
const maxSendRounds = 8

// peer is the state of this daemon's renewals to one owner.
type peer struct {
	demands    map[string]map[string]int // last demands sent, by service and account
	sent       time.Time                 // when the last renewal was sent
	fullSent   time.Time                 // when the last full renewal was sent
	retryAfter time.Time                 // earliest time of the next renewal after a failure
	granted    int                       // slots received since the demand was sent
	unneeded   bool                      // slots were received for which no request waits
	timer      *time.Timer               // runs if a renewal is delayed
	timerDue   time.Time
}

// keepOrReturn returns a slot whose request ended if the daemon stops, the target
// is closed, or mayReuse doesn't permit its use by another request. If no request
// waits anywhere, the slot is held for the idle time.
func (d *Dispatcher) keepOrReturn(now time.Time, s slot.Slot, service string) {
	if d.stopping || d.index.closed[s.Target] || !d.mayReuse(now, service) {
		d.returnSlot(now, s)
	}
}

func (d *Dispatcher) returnSlot(now time.Time, s slot.Slot) {
	d.holder.Return(now, s)
	d.metric.returned.Inc()
	d.record("slot-returned", "", "", s.Target, "")
	d.renewalDue = true
}

// returnUnneeded returns idle slots of closed or unknown targets at once, and all
// idle slots while the daemon stops. Other idle slots of services without waiting
// requests are returned after the idle time, or after MinRenewInterval if requests
// wait at other daemons.
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
			d.renewalDue = true
		}
	}
}

// sendChanges sends the renewals to owners and the pushes to holders that are due.
// The owner in this process replies synchronously, which may cause further changes.
func (d *Dispatcher) sendChanges(now time.Time) {
	for range maxSendRounds {
		if d.renewalDue {
			d.renewalDue = false
			d.renewAll(now)
		}
		d.push(now)
		if !d.renewalDue {
			return
		}
	}
}

// renewAll sends a renewal to each owner that needs one.
func (d *Dispatcher) renewAll(now time.Time) {
	holds := map[usage.Source]bool{}
	for _, source := range d.holder.Owners() {
		holds[source] = true
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
	for source := range d.index.addresses {
		if d.peers[source] == nil && (holds[source] || demands[source] != nil) {
			d.peers[source] = &peer{}
		}
	}
	for source, p := range d.peers {
		if _, member := d.index.addresses[source]; !member {
			delete(d.peers, source)
			continue
		}
		d.renewIfNeeded(now, source, p, demands[source], holds[source])
	}
}

// renewIfNeeded sends a renewal to the owner if one is due, and schedules one if it
// is due later. The parameter holds states whether there are slots or returns to
// report to the owner.
func (d *Dispatcher) renewIfNeeded(now time.Time, source usage.Source, p *peer, demands map[string]map[string]int, holds bool) {
	// interval is the shortest time since the last renewal after which this one may
	// be sent, negative if none is needed.
	interval := time.Duration(-1)
	shorten := func(needed bool, to time.Duration) {
		if needed && (interval < 0 || to < interval) {
			interval = to
		}
	}
	shorten(d.hasUrgentObservation(source), 0)
	shorten(d.holder.HasUnsentReturns(source), returnInterval)
	shorten(p.unneeded || p.lacksDemand(demands), d.Times.MinRenewInterval)
	if p.demandChanged(demands) {
		shorten(d.anyWithoutSlot(demands), d.Times.MinRenewInterval)
		shorten(true, d.Times.DemandInterval)
	}
	if now.Sub(p.fullSent) >= d.Times.RenewInterval {
		shorten(holds || len(demands) > 0 || len(p.demands) > 0, 0)
	}
	if interval < 0 {
		return
	}
	earliest := p.sent.Add(interval)
	if p.retryAfter.After(earliest) {
		earliest = p.retryAfter
	}
	if wait := earliest.Sub(now); wait > 0 && source != d.Self {
		d.renewAfter(now, p, wait)
		return
	}
	d.renew(now, source, p, demands)
}

// renewAfter schedules sendChanges for when the next renewal to the owner is
// allowed.
func (d *Dispatcher) renewAfter(now time.Time, p *peer, wait time.Duration) {
	at := now.Add(wait)
	if p.timer != nil {
		if !p.timerDue.After(at) {
			return
		}
		p.timer.Stop()
	}
	p.timerDue = at
	p.timer = time.AfterFunc(wait, func() {
		now := d.lock()
		defer d.mu.Unlock()
		p.timer = nil
		d.renewalDue = true
		d.sendChanges(now)
	})
}

// anyWithoutSlot reports whether requests wait for a service for which no slot is
// held, so that an account that starts to wait there depends on a grant.
func (d *Dispatcher) anyWithoutSlot(demands map[string]map[string]int) bool {
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

// lacksDemand reports whether the owner knows of no demand for a service for which
// requests wait: it has received none, or has granted as many slots as the demand
// that it received.
func (p *peer) lacksDemand(demands map[string]map[string]int) bool {
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

// demandChanged reports whether an account started or stopped waiting, or waits for
// more slots than the owner knows. The accounts that wait at a daemon change much
// more often than its need for slots, and its queue serves the right account in any
// case, so these changes are sent less often.
func (p *peer) demandChanged(demands map[string]map[string]int) bool {
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

// renew sends a renewal to the owner. The owner in this process replies
// synchronously.
func (d *Dispatcher) renew(now time.Time, source usage.Source, p *peer, demands map[string]map[string]int) {
	r := d.holder.Renewal(now, source, d.Times.RenewInterval)
	if !r.Partial {
		p.fullSent = now
	}
	r.Demands = p.demandMessage(demands, r.Partial)
	r.Observations = d.takeObservations(source)
	p.demands, p.sent, p.granted, p.unneeded = demands, now, 0, false
	d.metric.renewals.Inc()
	if source == d.Self {
		reply, err := d.serveRenewal(now, r)
		d.handleReply(now, source, r, now, reply, err)
		return
	}
	d.sendRenewal(source, r, now)
}

// demandMessage returns the demands for a renewal: all for a full renewal, those that
// changed for a partial one. Grants reduce the demands that the owner knows, so after
// a grant a partial renewal carries all demands.
func (p *peer) demandMessage(demands map[string]map[string]int, partial bool) []slot.Demand {
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

// sendRenewal sends a renewal to a remote owner without blocking.
func (d *Dispatcher) sendRenewal(source usage.Source, r slot.Renewal, sent time.Time) {
	address, base := d.index.addresses[source], d.context
	d.startCall(func() {
		ctx, cancel := context.WithTimeout(base, d.Times.SlotLease)
		defer cancel()
		var reply slot.RenewalReply
		err := d.Link.Call(ctx, address, "Owner.Renew", r, &reply)
		now := d.lock()
		defer d.mu.Unlock()
		d.handleReply(now, source, r, sent, reply, err)
		d.sendChanges(now)
	})
}

// handleReply processes the reply to a renewal, or its error.
func (d *Dispatcher) handleReply(now time.Time, source usage.Source, r slot.Renewal, sent time.Time, reply slot.RenewalReply, err error) {
	p := d.peers[source]
	if err != nil {
		d.metric.failures.Inc()
		d.restoreObservations(r.Observations)
		if p != nil {
			// The owner may not have received this demand, so it is sent again.
			p.retryAfter = now.Add(retryInterval)
			p.demands, p.fullSent = nil, time.Time{}
		}
		return
	}
	d.holder.HandleReply(now, source, r, sent, reply)
	d.restoreObservations(d.misdirected(source, r.Observations))
	d.useGranted(now, source, reply.Granted)
}

// useGranted assigns waiting requests to new slots. Slots for which no request waits
// are returned at once if requests wait at other daemons, and the current demand is
// sent to the owner.
func (d *Dispatcher) useGranted(now time.Time, source usage.Source, slots []slot.Slot) {
	d.metric.received.Add(len(slots))
	d.assignAll(now)
	p := d.peers[source]
	for _, s := range slots {
		d.record("slot-received", "", "", s.Target, "")
		service := d.index.targets[s.Target].Service
		if p != nil {
			p.granted++
			p.unneeded = p.unneeded || len(d.queues.Accounts(service)) == 0
		}
		if _, elsewhere := d.Ledger.Floor(service); elsewhere && len(d.queues.Accounts(service)) == 0 && d.holder.Idle(s) {
			d.returnSlot(now, s)
		}
	}
	if d.holder.HasUnsentReturns(source) || len(slots) > 0 {
		d.renewalDue = true
	}
}

// takeObservations removes and returns the observations of the owner's targets.
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

func (d *Dispatcher) hasUrgentObservation(source usage.Source) bool {
	for target, o := range d.observed {
		if owner, ok := d.index.owner(target); ok && owner == source && o.urgent {
			return true
		}
	}
	return false
}

// misdirected returns the observations that were sent to a former owner of their
// target. The current owner must receive them as well.
func (d *Dispatcher) misdirected(source usage.Source, seen map[string]limit.Observation) map[string]limit.Observation {
	found := map[string]limit.Observation{}
	for target, o := range seen {
		if owner, ok := d.index.owner(target); ok && owner != source {
			found[target] = o
		}
	}
	return found
}
