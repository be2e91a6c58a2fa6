package memory

import "github.com/VictoriaMetrics/metrics"

// Publish adds the use of the budget to the metrics of this process.
func (b *Budget) Publish() {
	gauge := func(name string, value func() float64) { metrics.GetOrCreateGauge(name, value) }
	gauge("rattanline_memory_limit_bytes", func() float64 { return float64(b.Limit) })
	gauge("rattanline_memory_reserved_bytes", func() float64 { return float64(b.Reserved()) })
	gauge("rattanline_memory_reserved_peak_bytes", func() float64 { return float64(b.Peak()) })
	gauge("rattanline_memory_refusals_total", func() float64 { return float64(b.Refused()) })
}
