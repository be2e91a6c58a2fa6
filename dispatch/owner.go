package dispatch

import (
	"context"
	"time"

	"rattanline.example/rattanline/config"
	"rattanline.example/rattanline/slot"
)

// push sends the owner's grants and recalls to their holders.
func (d *Dispatcher) push(now time.Time) {
	for _, p := range d.owner.Pushes() {
		d.metric.granted.Add(len(p.Grant.Slots))
		d.metric.recalled.Add(len(p.Grant.Recalled))
		if p.Holder == d.Self {
			d.acceptGrant(now, p.Grant)
			continue
		}
		base := d.context
		d.startCall(func() {
			ctx, cancel := context.WithTimeout(base, d.Times.SlotLease)
			defer cancel()
			var done bool
			// No retry: the reply to the holder's next full renewal has the same
			// grants and recalls.
			if err := d.Link.Call(ctx, p.Address, "Holder.Grant", p.Grant, &done); err != nil {
				d.metric.failures.Inc()
			}
		})
	}
}

// acceptGrant processes slots and recalls that an owner pushed.
func (d *Dispatcher) acceptGrant(now time.Time, g slot.Grant) {
	d.holder.HandleGrant(now, g)
	d.useGranted(now, g.Owner, g.Slots)
}

// pollLoads fetches the load reports of the owned targets.
func (d *Dispatcher) pollLoads() {
	if d.Load == nil {
		return
	}
	d.lock()
	defer d.mu.Unlock()
	for _, t := range d.owner.Targets() {
		if !d.polling[t.Name] {
			d.polling[t.Name] = true
			d.pollTarget(t)
		}
	}
}

// pollTarget fetches the load report of a target without blocking, and reconciles
// when it has arrived. The caller must have set polling for the target.
func (d *Dispatcher) pollTarget(t config.Target) {
	base := d.context
	d.startCall(func() {
		ctx, cancel := context.WithTimeout(base, d.Times.LoadInterval)
		defer cancel()
		load, err := d.Load(ctx, t)
		now := d.lock()
		defer d.mu.Unlock()
		delete(d.polling, t.Name)
		if err == nil {
			d.owner.Report(now, t.Name, load)
			d.owner.Reconcile(now)
			d.sendChanges(now)
		}
	})
}
