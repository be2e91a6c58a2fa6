package dispatch

import "time"

// growthInterval is the shortest time over which the growth of a floor is measured.
// It is long enough to contain several usage exchanges.
const growthInterval = time.Second

// growthRate measures the growth of a service's floor, the lowest counter of the
// accounts that wait at other daemons. The rate is the normalised service that a
// backlogged account receives in a second.
type growthRate struct {
	measuredAt time.Time
	floor      float64
	rate       float64
}

func (g *growthRate) observe(now time.Time, floor float64) {
	elapsed := now.Sub(g.measuredAt)
	switch {
	case g.measuredAt.IsZero() || elapsed > 4*growthInterval:
		// After a pause the growth doesn't reflect the current load.
		g.measuredAt, g.floor = now, floor
	case elapsed >= growthInterval:
		rate := max(0, floor-g.floor) / elapsed.Seconds()
		g.rate += (rate - g.rate) / 2
		g.measuredAt, g.floor = now, floor
	}
}

// mayReuse reports whether this daemon may use a slot of the service again instead
// of returning it. It may if no account waits at another daemon, or if accounts wait
// here and their lowest counter exceeds the floor by at most the randomised slack.
func (d *Dispatcher) mayReuse(now time.Time, service string) bool {
	floor, elsewhere := d.Ledger.Floor(service)
	if !elsewhere {
		return true
	}
	lowest, waiting := d.queues.LowestCounter(service)
	if !waiting {
		return false
	}
	growth := d.floorGrowth[service]
	if growth == nil {
		growth = &growthRate{}
		d.floorGrowth[service] = growth
	}
	growth.observe(now, floor)
	// The random factor makes a daemon whose accounts are ahead return its slots one
	// by one. With a fixed threshold it returned all of them within one exchange, so
	// its accounts fell behind and received as many slots back.
	return lowest <= floor+d.slack(service, growth)*(0.5+d.random.Float64())
}

// slack returns the mean distance from the floor up to which slots are reused. It
// has a term for requests of different cost, and a term for the growth of counters
// that the exchange doesn't report yet. With less slack each daemon regards its own
// accounts as ahead, and slots move with nearly each request.
func (d *Dispatcher) slack(service string, growth *growthRate) float64 {
	unreported := 2 * d.Times.ExchangeInterval.Seconds() * growth.rate
	return d.Times.Slack*d.costs.serviceMean(service) + d.Times.ExchangeSlack*unreported
}
