package dispatch

import (
	"time"

	"rattanline.example/rattanline/usage"
)

// costWeight is the weight of the newest request in the running means. Cost
// varies by orders of magnitude between requests, so one must not dominate.
const costWeight = 1.0 / 16

// mean is a running mean of hinted and actual costs.
type mean struct {
	count        int
	hint, actual float64
	largest      float64 // actual cost
}

func (m *mean) add(hint, actual float64) {
	m.count++
	m.largest = max(m.largest, actual)
	// The first values are averaged, so the mean doesn't start from zero.
	weight := max(costWeight, 1/float64(m.count))
	m.hint += (hint - m.hint) * weight
	m.actual += (actual - m.actual) * weight
}

// costs keeps the ratio of actual to hinted cost per account and service.
type costs struct {
	queues   map[usage.Queue]*mean
	services map[string]*mean
}

func newCosts() costs {
	return costs{queues: map[usage.Queue]*mean{}, services: map[string]*mean{}}
}

func (c costs) learn(q usage.Queue, hint, actual float64) {
	if c.queues[q] == nil {
		c.queues[q] = &mean{}
	}
	if c.services[q.Service] == nil {
		c.services[q.Service] = &mean{}
	}
	c.queues[q].add(max(hint, 0), actual)
	c.services[q.Service].add(max(hint, 0), actual)
}

// estimate corrects a hint by the ratio of the sums, which a few tiny hints
// can't distort as they would the mean of the ratios. Without a hint it is the
// mean actual cost. It is at most the largest cost seen: accounts that start to
// wait are lifted to counters that contain estimates, so an account that hints
// very little and then much could raise others for good.
func (c costs) estimate(q usage.Queue, hint float64) float64 {
	estimate := c.corrected(q, hint)
	if s := c.services[q.Service]; s != nil {
		estimate = min(estimate, s.largest)
	}
	return estimate
}

func (c costs) corrected(q usage.Queue, hint float64) float64 {
	m := c.queues[q]
	switch {
	case m == nil && hint > 0:
		return hint
	case m == nil:
		return c.mean(q.Service)
	case hint > 0 && m.hint > 0:
		return hint * m.actual / m.hint
	default:
		return m.actual
	}
}

// mean returns the mean actual cost of the service's requests.
func (c costs) mean(service string) float64 {
	if m := c.services[service]; m != nil {
		return m.actual
	}
	return 0
}

// expected returns the normalised cost to charge an account in the owner's view
// for a granted slot until the exchange shows it: that of one request, or of
// several short ones in a row. Between two exchanges all owners of the service
// take the same account for the lowest, so each assumes that the others grant it
// a slot as well.
func (d *Dispatcher) expected(service, account string) float64 {
	cost := d.costs.mean(service)
	if m := d.costs.queues[usage.Queue{Service: service, Account: account}]; m != nil {
		cost = m.actual
	}
	if duration := d.durations[service]; duration > 0 {
		cost *= max(1, float64(d.Times.slot().ChargeTime)/float64(duration))
	}
	if s := d.index.services[service]; s != nil {
		cost *= float64(max(1, len(s.owners)))
	}
	return d.Ledger.Normalise(account, cost)
}

// learnDuration keeps a running mean of how long requests of a service run.
func (d *Dispatcher) learnDuration(service string, total time.Duration) {
	if d.durations[service] == 0 {
		d.durations[service] = total
	}
	d.durations[service] += (total - d.durations[service]) / 16
}
