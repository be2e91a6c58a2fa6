package dispatch

import "github.com/VictoriaMetrics/metrics"

// dispatchMetrics holds the counters and histograms of a dispatcher.
type dispatchMetrics struct {
	granted, recalled  *metrics.Counter // as owner
	received, returned *metrics.Counter // as holder
	renewals, failures *metrics.Counter
	refused            *metrics.Counter
	wait               *metrics.Histogram
}

func newMetric(d *Dispatcher) dispatchMetrics {
	s := d.Metrics
	s.GetOrCreateGauge("rattanline_slots_held", func() float64 {
		d.mu.Lock()
		defer d.mu.Unlock()
		sum := 0
		for _, target := range d.holder.Targets() {
			total, _ := d.holder.Count(target)
			sum += total
		}
		return float64(sum)
	})
	s.GetOrCreateGauge("rattanline_owned_slots", func() float64 {
		d.mu.Lock()
		defer d.mu.Unlock()
		sum := 0
		for _, target := range d.owner.Targets() {
			slots, _ := d.owner.Occupancy(target.Name)
			sum += slots
		}
		return float64(sum)
	})
	s.GetOrCreateGauge("rattanline_queue_length", func() float64 {
		d.mu.Lock()
		defer d.mu.Unlock()
		return float64(d.queues.Len())
	})
	s.GetOrCreateGauge("rattanline_requests_running", func() float64 {
		d.mu.Lock()
		defer d.mu.Unlock()
		return float64(d.running)
	})
	return dispatchMetrics{
		granted:  s.GetOrCreateCounter("rattanline_slots_granted_total"),
		recalled: s.GetOrCreateCounter("rattanline_slots_recalled_total"),
		received: s.GetOrCreateCounter("rattanline_slots_received_total"),
		returned: s.GetOrCreateCounter("rattanline_slots_returned_total"),
		renewals: s.GetOrCreateCounter("rattanline_renewals_total"),
		failures: s.GetOrCreateCounter("rattanline_link_failures_total"),
		refused:  s.GetOrCreateCounter("rattanline_queue_refused_total"),
		wait:     s.GetOrCreateHistogram("rattanline_queue_wait_seconds"),
	}
}
