package dispatch

import (
	"time"

	"rattanline.example/rattanline/slot"
)

// OwnerReceiver returns the net/rpc receiver for calls of holders, to be registered
// as "Owner".
func (d *Dispatcher) OwnerReceiver() any { return &OwnerReceiver{d: d} }

// HolderReceiver returns the net/rpc receiver for calls of owners, to be registered
// as "Holder".
func (d *Dispatcher) HolderReceiver() any { return &HolderReceiver{d: d} }

// OwnerReceiver has the net/rpc methods that holders call.
type OwnerReceiver struct{ d *Dispatcher }

// Renew extends the leases of a holder's slots and records its demand.
func (r *OwnerReceiver) Renew(args slot.Renewal, reply *slot.RenewalReply) error {
	d := r.d
	now := d.lock()
	defer d.mu.Unlock()
	answer, err := d.serveRenewal(now, args)
	if err != nil {
		return err
	}
	*reply = answer
	d.sendChanges(now)
	return nil
}

// serveRenewal processes a renewal of a remote holder or of this daemon's holder.
func (d *Dispatcher) serveRenewal(now time.Time, args slot.Renewal) (slot.RenewalReply, error) {
	reply, err := d.owner.Renew(now, args)
	if err != nil {
		return slot.RenewalReply{}, err
	}
	d.metric.granted.Add(len(reply.Granted))
	d.pollCrashed(args)
	return reply, nil
}

// pollCrashed fetches the load reports of targets that crashed according to the
// renewal. The report shows whether a new, cold incarnation runs.
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

// HolderReceiver has the net/rpc methods that owners call.
type HolderReceiver struct{ d *Dispatcher }

// Grant processes slots and recalls that an owner pushed. The reply is always true.
func (r *HolderReceiver) Grant(args slot.Grant, reply *bool) error {
	d := r.d
	now := d.lock()
	defer d.mu.Unlock()
	d.acceptGrant(now, args)
	d.sendChanges(now)
	*reply = true
	return nil
}
