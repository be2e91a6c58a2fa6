package dispatch

import (
	"time"

	"rattanline.example/rattanline/slot"
)

// OwnerReceiver serves the calls of holders; link name "Owner".
func (d *Dispatcher) OwnerReceiver() any { return &OwnerReceiver{d: d} }

// HolderReceiver serves the calls of owners; link name "Holder".
func (d *Dispatcher) HolderReceiver() any { return &HolderReceiver{d: d} }

// OwnerReceiver has the methods that holders call in the form of net/rpc.
type OwnerReceiver struct{ d *Dispatcher }

// Renew extends a holder's slots and takes its demand.
func (r *OwnerReceiver) Renew(args slot.Renewal, reply *slot.RenewalReply) error {
	d := r.d
	now := d.lock()
	defer d.mu.Unlock()
	answer, err := d.serve(now, args)
	if err != nil {
		return err
	}
	*reply = answer
	d.settle(now)
	return nil
}

// serve processes a renewal of a remote or the own holder.
func (d *Dispatcher) serve(now time.Time, args slot.Renewal) (slot.RenewalReply, error) {
	reply, err := d.owner.Renew(now, args)
	if err != nil {
		return slot.RenewalReply{}, err
	}
	d.metric.granted.Add(len(reply.Granted))
	d.pollCrashed(args)
	return reply, nil
}

// pollCrashed reads the load of crashed targets at once: the report tells
// whether a new, cold incarnation runs.
func (d *Dispatcher) pollCrashed(args slot.Renewal) {
	if d.Load == nil {
		return
	}
	for _, t := range d.owner.Targets() {
		if args.Observations[t.Name].Crashes > 0 && !d.polling[t.Name] {
			d.polling[t.Name] = true
			d.pollTarget(t)
		}
	}
}

// HolderReceiver has the methods that owners call in the form of net/rpc.
type HolderReceiver struct{ d *Dispatcher }

// Grant takes new slots and recalls.
func (r *HolderReceiver) Grant(args slot.Grant, reply *bool) error {
	d := r.d
	now := d.lock()
	defer d.mu.Unlock()
	d.take(now, args)
	d.settle(now)
	*reply = true
	return nil
}
