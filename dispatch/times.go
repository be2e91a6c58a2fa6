package dispatch

import (
	"time"

	"rattanline.example/rattanline/slot"
)

// Times holds the durations and limits of a dispatcher. Zero values are replaced by
// the defaults of the design document.
type Times struct {
	// SlotLease, OwnerLease, OrphanTime and LongestRequest are as in slot.Times.
	SlotLease      time.Duration
	OwnerLease     time.Duration
	OrphanTime     time.Duration
	LongestRequest time.Duration
	// RenewInterval is the time between full renewals to one owner.
	RenewInterval time.Duration
	// MinRenewInterval is the shortest time between renewals to one owner that
	// report a change of whether this daemon needs slots. It is also how long an
	// idle slot is held while accounts wait only at other daemons.
	MinRenewInterval time.Duration
	// DemandInterval is the shortest time between renewals that only report which
	// accounts wait at a daemon, if the owner knows that the daemon needs slots.
	DemandInterval time.Duration
	// ExchangeInterval is the time between usage reports.
	ExchangeInterval time.Duration
	// LoadInterval is the time between fetches of a target's load report, and the
	// timeout of each.
	LoadInterval time.Duration
	// IdleTime is how long an idle slot is held while no account waits anywhere.
	// Without it each request at low load costs messages to all owners.
	IdleTime time.Duration
	// Tick is the interval of periodic work such as the expiry of deadlines.
	Tick time.Duration
	// Slack is how far the lowest counter of the accounts that wait at a daemon may
	// exceed the service's floor (see usage.Ledger.Floor) while the daemon uses a
	// slot again, in mean request costs of the service.
	Slack float64
	// ExchangeSlack is added to Slack, in units of the service that a backlogged
	// account receives in two exchange intervals.
	ExchangeSlack float64
	// DemandFanOut is the largest number of owners to which a daemon reports demand
	// for a service.
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
		// A charged cost arrives after the report to the coordinator, the exchange
		// between coordinators and the report back.
		ChargeTime: 2*t.ExchangeInterval + t.ExchangeInterval/2,
	}
}
