package dispatch

import (
	"time"

	"rattanline.example/rattanline/slot"
)

// Times are the durations and limits of a dispatcher. Zero values are replaced
// by the defaults of the design page.
type Times struct {
	SlotLease      time.Duration
	OwnerLease     time.Duration
	OrphanTime     time.Duration
	LongestRequest time.Duration
	RenewInterval  time.Duration
	// MinRenewInterval is the least time between renewals to one owner on changes.
	MinRenewInterval time.Duration
	// DemandInterval is the least time between renewals that only tell which
	// accounts wait at a daemon that is known to need slots.
	DemandInterval time.Duration
	// ExchangeInterval is that of the usage reports.
	ExchangeInterval time.Duration
	LoadInterval     time.Duration
	// IdleTime is how long an idle slot is kept while nobody waits anywhere.
	// Without it each request at low load costs messages to all owners.
	IdleTime time.Duration
	Tick     time.Duration
	// Slack is how far above the floor a holder may continue to use a slot, in
	// mean request costs of the service.
	Slack float64
	// ExchangeSlack is added to it, in units of what a backlogged account receives
	// in two exchange intervals.
	ExchangeSlack float64
	// DemandFanOut is the largest number of owners told of demand for a service.
	DemandFanOut int
}

func (t Times) withDefaults() Times {
	set := func(d *time.Duration, value time.Duration) {
		if *d == 0 {
			*d = value
		}
	}
	set(&t.SlotLease, 3*time.Second)
	set(&t.OwnerLease, 3*time.Second)
	set(&t.OrphanTime, 10*time.Second)
	set(&t.LongestRequest, 2*time.Minute)
	set(&t.RenewInterval, time.Second)
	set(&t.MinRenewInterval, 20*time.Millisecond)
	set(&t.DemandInterval, 500*time.Millisecond)
	set(&t.ExchangeInterval, 200*time.Millisecond)
	set(&t.LoadInterval, time.Second)
	set(&t.IdleTime, 500*time.Millisecond)
	set(&t.Tick, 20*time.Millisecond)
	if t.Slack == 0 {
		t.Slack = 2
	}
	if t.ExchangeSlack == 0 {
		t.ExchangeSlack = 3
	}
	if t.DemandFanOut == 0 {
		t.DemandFanOut = 16
	}
	return t
}

func (t Times) slot() slot.Times {
	return slot.Times{
		SlotLease: t.SlotLease, OwnerLease: t.OwnerLease, OrphanTime: t.OrphanTime,
		LongestRequest: t.LongestRequest,
		// A charge is shown after the report to the coordinator, the exchange
		// and the report back.
		ChargeTime: 2*t.ExchangeInterval + t.ExchangeInterval/2,
	}
}
