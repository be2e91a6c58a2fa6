package slot

import (
	"time"

	"rattanline.example/rattanline/usage"
)

// MaxDemandCount is the largest count of a demand. Below it the owner grants no more slots
// than are wanted; at MaxDemandCount the count isn't used up, so a long queue needs no
// further messages.
const MaxDemandCount = 4

// holder is what an owner knows of one daemon run.
type holder struct {
	source   usage.Source
	address  string
	sequence uint64
	seen     time.Time
	demands  map[string]map[string]int // by service and account
	// waiting are the services with demand in the last renewal. Grants use up
	// demands but not this: a slot just granted must not count as unneeded.
	waiting map[string]bool
	told    map[string]TargetState
}

// setDemands replaces the demands, or in a partial renewal those it lists.
func (h *holder) setDemands(demands []Demand, partial bool) {
	if !partial || h.demands == nil {
		h.demands = make(map[string]map[string]int, len(demands))
		h.waiting = make(map[string]bool, len(demands))
	}
	for _, d := range demands {
		accounts := make(map[string]int, len(d.Accounts))
		for i, account := range d.Accounts {
			if i < len(d.Counts) {
				accounts[account] = d.Counts[i]
			}
		}
		h.demands[d.Service] = accounts
		h.waiting[d.Service] = len(accounts) > 0
	}
}

// consume counts one granted slot against the account's demand.
func (h *holder) consume(service, account string) {
	accounts := h.demands[service]
	switch n := accounts[account]; {
	case n >= MaxDemandCount:
	case n > 1:
		accounts[account] = n - 1
	default:
		delete(accounts, account)
	}
}

// charge is the expected cost of a grant that no exchange shows yet.
type charge struct {
	queue usage.Queue
	cost  float64
	until time.Time
}

// charges are ordered by the time they end.
type charges []charge

func (c charges) sum(q usage.Queue) float64 {
	sum := 0.0
	for _, e := range c {
		// Service received counts for all services of an account.
		if e.queue.Account == q.Account {
			sum += e.cost
		}
	}
	return sum
}

func (c charges) current(now time.Time) charges {
	for len(c) > 0 && !now.Before(c[0].until) {
		c = c[1:]
	}
	return c
}
