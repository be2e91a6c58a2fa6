package dispatch

import (
	"context"
	"time"

	"rattanline.example/rattanline/config"
	"rattanline.example/rattanline/slot"
)

// push delivers the grants and recalls that the owner decided.
func (d *Dispatcher) push(now time.Time) {
	for _, p := range d.owner.Pushes() {
		d.metric.granted.Add(len(p.Grant.Slots))
		d.metric.recalled.Add(len(p.Grant.Recalled))
		if p.Holder == d.Self {
			d.take(now, p.Grant)
			continue
		}
		base := d.context
		d.spawn(func() {
			ctx, cancel := context.WithTimeout(base, d.Times.SlotLease)
			defer cancel()
			var done bool
			// A lost push is repaired by the holder's next renewal.
			if err := d.Link.Call(ctx, p.Address, "Holder.Grant", p.Grant, &done); err != nil {
				d.metric.failures.Inc()
			}
		})
	}
}

func (d *Dispatcher) take(now time.Time, g slot.Grant) {
	d.holder.HandleGrant(now, g)
	d.received(now, g.Owner, g.Slots)
}

// poll reads the load reports of the owned targets.
func (d *Dispatcher) poll() {
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

func (d *Dispatcher) pollTarget(t config.Target) {
	base := d.context
	d.spawn(func() {
		ctx, cancel := context.WithTimeout(base, d.Times.LoadInterval)
		defer cancel()
		load, err := d.Load(ctx, t)
		now := d.lock()
		defer d.mu.Unlock()
		delete(d.polling, t.Name)
		if err == nil {
			d.owner.Report(now, t.Name, load)
			d.owner.Reconcile(now)
			d.settle(now)
		}
	})
}
