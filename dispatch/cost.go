package dispatch

import (
	"time"

	"rattanline.example/rattanline/usage"
)

// newestWeight is the weight of the newest request in the moving averages. It is
// small because cost varies by orders of magnitude between requests, and a single
// request must not dominate.
const newestWeight = 1.0 / 16

// costMean is an exponential moving average of hinted and actual costs.
type costMean struct {
	count        int
	hint, actual float64
	largest      float64 // largest actual cost
}

func (m *costMean) add(hint, actual float64) {
	m.count++
	m.largest = max(m.largest, actual)
	// The first values have equal weight, so that the mean doesn't start from zero.
	weight := max(newestWeight, 1/float64(m.count))
	m.hint += (hint - m.hint) * weight
	m.actual += (actual - m.actual) * weight
}

// costs records hinted and actual costs by queue, and by service over all accounts.
type costs struct {
	queues   map[usage.Queue]*costMean
	services map[string]*costMean
}

func newCosts() costs {
	return costs{queues: map[usage.Queue]*costMean{}, services: map[string]*costMean{}}
}

// add records the costs of a finished request. A negative hint counts as none.
func (c costs) add(q usage.Queue, hint, actual float64) {
	if c.queues[q] == nil {
		c.queues[q] = &costMean{}
	}
	if c.services[q.Service] == nil {
		c.services[q.Service] = &costMean{}
	}
	c.queues[q].add(max(hint, 0), actual)
	c.services[q.Service].add(max(hint, 0), actual)
}

// estimate returns the expected cost of a request in priced units. It multiplies
// the hint by the ratio of the mean actual cost to the mean hint. Unlike the mean
// of the ratios, this can't be distorted by a few tiny hints. Without a hint the
// estimate is the mean actual cost. Once a request of the service has succeeded, the
// estimate is at most the largest cost of any of them: the counters of accounts that
// start to wait are raised to counters that contain estimates, so an account that
// hints very low and then very high costs could raise other accounts permanently.
func (c costs) estimate(q usage.Queue, hint float64) float64 {
	estimate := c.correctHint(q, hint)
	if s := c.services[q.Service]; s != nil {
		estimate = min(estimate, s.largest)
	}
	return estimate
}

// correctHint returns the estimate without the upper bound.
func (c costs) correctHint(q usage.Queue, hint float64) float64 {
	m := c.queues[q]
	switch {
	case m == nil && hint > 0:
		return hint
	case m == nil:
		return c.serviceMean(q.Service)
	case hint > 0 && m.hint > 0:
		return hint * m.actual / m.hint
	default:
		return m.actual
	}
}

// serviceMean returns the mean actual cost of the service's requests, zero if there
// were none.
func (c costs) serviceMean(service string) float64 {
	if m := c.services[service]; m != nil {
		return m.actual
	}
	return 0
}

// expectedCost returns the normalised cost that the owner charges an account for a
// granted slot until the usage exchange reports the charged cost. It covers one
// request, or several consecutive ones if they are shorter than the charge time.
// Between two exchanges all owners of the service regard the same account as the
// lowest, so the cost is multiplied by the number of owners, as if each of them
// granted the account a slot.
func (d *Dispatcher) expectedCost(service, account string) float64 {
	cost := d.costs.serviceMean(service)
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

// recordDuration updates the moving average of the duration of a service's
// requests.
func (d *Dispatcher) recordDuration(service string, total time.Duration) {
	if d.durations[service] == 0 {
		d.durations[service] = total
	}
	d.durations[service] += (total - d.durations[service]) / 16
}
