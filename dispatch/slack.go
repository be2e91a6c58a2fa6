package dispatch

import "time"

// paceInterval is the time over which the growth of a floor is measured: long
// enough to contain several exchanges.
const paceInterval = time.Second

// pace measures how fast the floor of a service grows: the normalised service
// that a backlogged account receives in a second.
type pace struct {
	since time.Time
	floor float64
	rate  float64
}

func (p *pace) observe(now time.Time, floor float64) {
	elapsed := now.Sub(p.since)
	switch {
	case p.since.IsZero() || elapsed > 4*paceInterval:
		// After a pause the growth says nothing of the present load.
		p.since, p.floor = now, floor
	case elapsed >= paceInterval:
		rate := max(0, floor-p.floor) / elapsed.Seconds()
		p.rate += (rate - p.rate) / 2
		p.since, p.floor = now, floor
	}
}

// mayKeep tells whether a slot of the service may be used again here. The slack
// has a part for requests of different cost and a part for the growth of
// counters that the exchange doesn't show yet: with less than that each daemon
// takes its own accounts to be ahead, and slots move with nearly each request.
func (d *Dispatcher) mayKeep(now time.Time, service string) bool {
	floor, elsewhere := d.Ledger.Floor(service)
	if !elsewhere {
		return true
	}
	lowest, waiting := d.queues.LowestCounter(service)
	if !waiting {
		return false
	}
	p := d.paces[service]
	if p == nil {
		p = &pace{}
		d.paces[service] = p
	}
	p.observe(now, floor)
	// A random part makes a daemon whose accounts are ahead return slots one by
	// one. With a fixed threshold all of them went within one exchange, the
	// accounts fell behind and got as many back.
	return lowest <= floor+d.slack(service, p)*(0.5+d.random.Float64())
}

func (d *Dispatcher) slack(service string, p *pace) float64 {
	unseen := 2 * d.Times.ExchangeInterval.Seconds() * p.rate
	return d.Times.Slack*d.costs.mean(service) + d.Times.ExchangeSlack*unseen
}
