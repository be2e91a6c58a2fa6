package dispatch

import (
	"rattanline.example/rattanline/config"
	"rattanline.example/rattanline/port"
	"rattanline.example/rattanline/slot"
	"rattanline.example/rattanline/usage"
)

// assignment is a request that runs on a slot. It implements port.Assignment.
type assignment struct {
	d           *Dispatcher
	job         port.Job
	slot        slot.Slot
	target      config.Target
	chargedCost float64 // cost charged to the account so far
	finished    bool
}

// Target implements port.Assignment.
func (a *assignment) Target() config.Target { return a.target }

// Usable implements port.Assignment.
func (a *assignment) Usable() bool {
	now := a.d.lock()
	defer a.d.mu.Unlock()
	return !a.d.index.closed[a.target.Name] && a.d.holder.Leased(now, a.slot)
}

// Basis implements port.Assignment. It returns the zero value, since targets are
// chosen without an estimate.
func (a *assignment) Basis() port.Basis { return port.Basis{} }

// ResponseStarted implements port.Assignment. It does nothing, since the slot is
// busy until Finish.
func (a *assignment) ResponseStarted() {}

// Charge implements port.Assignment. The estimate was charged at the start, so only
// cost beyond what was charged is added while the response streams.
func (a *assignment) Charge(cost float64) {
	a.d.mu.Lock()
	defer a.d.mu.Unlock()
	if cost > a.chargedCost && !a.finished {
		a.d.Ledger.Charge(a.job.Account, cost-a.chargedCost)
		a.chargedCost = cost
	}
}

// Finish implements port.Assignment.
func (a *assignment) Finish(t port.Attempt) {
	d := a.d
	now := d.lock()
	defer d.mu.Unlock()
	if a.finished {
		return
	}
	a.finished = true
	d.running--
	d.Ledger.Charge(a.job.Account, t.Cost-a.chargedCost)
	if t.Result == port.Succeeded {
		q := usage.Queue{Service: a.job.Service, Account: a.job.Account}
		d.costs.add(q, a.job.Cost, t.Cost)
		d.recordDuration(a.job.Service, t.Total)
	}
	d.observeEnd(a.target.Name, t)
	d.record("attempt-ended", a.job.RequestID, a.job.Account, a.target.Name, string(t.Result))
	d.holder.End(now, a.slot)
	d.keepOrReturn(now, a.slot, a.job.Service)
	d.assign(now, a.job.Service)
	d.sendChanges(now)
}
