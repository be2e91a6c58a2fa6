package dispatch

import (
	"context"
	"fmt"
	"time"

	"rattanline.example/rattanline/request"
)

// Drain refuses queued requests, waits for the running ones and returns all
// slots. The daemon accepts no further request. An owner that doesn't answer for
// a slot lease after the last request ended is not waited for: it is gone, or
// finds the slots orphaned.
func (d *Dispatcher) Drain(ctx context.Context) error {
	now := d.lock()
	d.stopping = true
	for _, i := range d.queues.Clear() {
		d.queueShrank(i)
		d.refuse(i, &request.Refusal{Reason: request.Stopping, Detail: "this daemon stops", RetryAfter: time.Second})
	}
	d.returnUnneeded(now)
	d.dirty = true
	d.settle(now)
	d.mu.Unlock()
	ticker := time.NewTicker(d.Times.Tick)
	defer ticker.Stop()
	var idle time.Time // when the last request was seen to have ended
	for {
		running, slots := d.remaining()
		if running == 0 && idle.IsZero() {
			idle = time.Now()
		}
		if running == 0 && (slots == 0 || time.Since(idle) > d.Times.SlotLease) {
			return nil
		}
		select {
		case <-ctx.Done():
			return fmt.Errorf("drain: %d requests running, %d owners not told: %w", running, slots, ctx.Err())
		case <-ticker.C:
		}
	}
}

// remaining returns the number of running requests, and of owners that don't
// know yet that all slots are returned.
func (d *Dispatcher) remaining() (running, owners int) {
	now := d.lock()
	defer d.mu.Unlock()
	d.returnUnneeded(now)
	d.dirty = true
	d.settle(now)
	for _, source := range d.holder.Owners() {
		if _, member := d.index.address[source]; member {
			owners++
		}
	}
	return d.running, owners
}
