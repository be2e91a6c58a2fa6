package slot

import (
	"time"

	"rattanline.example/rattanline/usage"
)

// MaxDemandCount is the largest count of a demand and stands for any longer queue
// as well. The owner grants at most as many slots as a lower count states. Grants
// don't reduce a count of MaxDemandCount, so a long queue needs no further
// messages.
const MaxDemandCount = 4

// holderState is the owner's record of one incarnation of a holder.
type holderState struct {
	source      usage.Source
	address     string
	sequence    uint64
	lastContact time.Time
	demands     map[string]map[string]int // by service and account
	// hadDemand has the services with demand as last reported. Grants reduce demands
	// but leave hadDemand, since a slot just granted must not count as unneeded.
	hadDemand  map[string]bool
	sentStates map[string]TargetState // last state sent, by target
}

// setDemands replaces all demands with those of a full renewal. A partial renewal
// replaces only the demands of the services that it lists.
func (h *holderState) setDemands(demands []Demand, partial bool) {
	if !partial || h.demands == nil {
		h.demands = make(map[string]map[string]int, len(demands))
		h.hadDemand = make(map[string]bool, len(demands))
	}
	for _, d := range demands {
		accounts := make(map[string]int, len(d.Accounts))
		for i, account := range d.Accounts {
			if i < len(d.Counts) {
				accounts[account] = d.Counts[i]
			}
		}
		h.demands[d.Service] = accounts
		h.hadDemand[d.Service] = len(accounts) > 0
	}
}

// consume reduces the account's demand by one granted slot.
func (h *holderState) consume(service, account string) {
	accounts := h.demands[service]
	switch n := accounts[account]; {
	case n >= MaxDemandCount:
	case n > 1:
		accounts[account] = n - 1
	default:
		delete(accounts, account)
	}
}

// charge is the expected cost of a grant that the usage exchange doesn't report
// yet.
type charge struct {
	queue   usage.Queue
	cost    float64
	expires time.Time
}

// charges are ordered by expiry.
type charges []charge

// sum returns the charges of the queue's account for all services.
func (c charges) sum(q usage.Queue) float64 {
	sum := 0.0
	for _, e := range c {
		// The usage of an account counts for all services.
		if e.queue.Account == q.Account {
			sum += e.cost
		}
	}
	return sum
}

func (c charges) unexpired(now time.Time) charges {
	for len(c) > 0 && !now.Before(c[0].expires) {
		c = c[1:]
	}
	return c
}
