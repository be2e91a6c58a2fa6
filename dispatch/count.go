package dispatch

// Count returns the requests in flight and those that wait for a slot.
func (d *Dispatcher) Count() (running, queued int) {
	d.setup()
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.running, d.queues.Len()
}
