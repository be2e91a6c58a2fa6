package dispatch

import (
	"context"
	"fmt"
	"time"

	"rattanline.example/rattanline/request"
)

// Drain stops the daemon from accepting requests, refuses the queued ones, waits for
// the running ones and returns all slots. It waits for owners to acknowledge the
// returned slots for at most one slot lease after the last request ended: an owner
// that doesn't answer by then is gone, or will free the slots as orphans. The error
// wraps that of the context if it ends first.
func (d *Dispatcher) Drain(ctx context.Context) error {
	now := d.lock()
	d.stopping = true
	for _, i := range d.queues.Clear() {
		d.reportQueueShrink(i)
		d.refuse(i, &request.Refusal{Reason: request.Stopping, Detail: "this daemon stops", RetryAfter: time.Second})
	}
	d.returnUnneeded(now)
	d.renewalDue = true
	d.sendChanges(now)
	d.mu.Unlock()
	ticker := time.NewTicker(d.Times.Tick)
	defer ticker.Stop()
	var idle time.Time // when it was first seen that no request runs
	for {
		running, owners := d.remaining()
		if running == 0 && idle.IsZero() {
			idle = time.Now()
		}
		if running == 0 && (owners == 0 || time.Since(idle) > d.Times.SlotLease) {
			return nil
		}
		select {
		case <-ctx.Done():
			return fmt.Errorf("drain: %d requests running, %d owners have not acknowledged all returned slots: %w", running, owners, ctx.Err())
		case <-ticker.C:
		}
	}
}

// remaining returns slots that are no longer needed. The results are the number of
// running requests, and of owners at whose targets slots are still held or that
// have not acknowledged all returned slots.
func (d *Dispatcher) remaining() (running, owners int) {
	now := d.lock()
	defer d.mu.Unlock()
	d.returnUnneeded(now)
	d.renewalDue = true
	d.sendChanges(now)
	for _, source := range d.holder.Owners() {
		if _, member := d.index.addresses[source]; member {
			owners++
		}
	}
	return d.running, owners
}
