package dispatch

// Count returns the number of requests in flight and of requests that wait for a
// slot.
func (d *Dispatcher) Count() (running, queued int) {
	d.setup()
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.running, d.queues.Len()
}
