package measure

import (
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	"rattanline.example/rattanline/config"
)

// timePerCost is the time that a target takes for a cost of one. It is shorter than
// for real model requests, so that 15 s contain several thousand requests. Delays,
// loss and the exchange interval are not scaled, which makes the conditions harder
// than in operation.
const timePerCost = 250 * time.Millisecond

const slotsPerTarget = 8

var domainNames = []string{"domain-a", "domain-b", "domain-c"}

// deployment is one of the two example fleets of the design document.
type deployment struct {
	name     string
	delay    time.Duration  // one way between failure domains
	services map[string]int // number of targets by service
}

var deployments = []deployment{
	{name: "franchise", delay: 3 * time.Millisecond, services: map[string]int{"assistant": 12, "stock": 3}},
	{name: "guild", delay: 5 * time.Millisecond, services: map[string]int{"model": 9, "bookings": 3}},
}

const (
	daemonCount  = 9
	accountCount = 16
	largeCount   = 3 // accounts with three times the requests of the others
)

// totalSlots returns the sum of the limits of all targets.
func (d deployment) totalSlots() int {
	sum := 0
	for _, n := range d.services {
		sum += n * slotsPerTarget
	}
	return sum
}

func accountName(i int) string { return fmt.Sprintf("account-%02d", i) }

// document returns the configuration with the accounts' shares.
func (d deployment) document(share func(account int) float64) config.Document {
	c := config.Document{Version: 1}
	for _, name := range domainNames {
		c.FailureDomains = append(c.FailureDomains, config.FailureDomain{Name: name, Region: "region"})
	}
	for _, service := range sortedKeys(d.services) {
		c.Services = append(c.Services, config.Service{Name: service, Kind: config.Plain, Price: config.Price{Request: 1}})
		for i := range d.services[service] {
			c.Targets = append(c.Targets, config.Target{
				Name: fmt.Sprintf("%s-%02d", service, i), Service: service, FailureDomain: domainNames[i%len(domainNames)],
				ColdLimit: slotsPerTarget, MaxLimit: slotsPerTarget,
			})
		}
	}
	for i := range accountCount {
		c.Accounts = append(c.Accounts, config.Account{
			Name: accountName(i), Share: share(i), MaxQueued: 1 << 20, MaxQueuedBytes: 1 << 40,
		})
	}
	return c
}

func equalShares(int) float64 { return 1 }

// weightedShares assigns shares of 1, 2 and 4 to the accounts in turn.
func weightedShares(i int) float64 { return float64(int(1) << (i % 3)) }

// placements are the numbers of daemons at which an account's requests arrive.
var placements = []struct {
	name    string
	daemons int
}{{"even", daemonCount}, {"three", 3}, {"one", 1}}

// daemonsOf returns the names of the daemons at which an account's requests arrive.
func daemonsOf(account, count int) []string {
	var names []string
	for i := range count {
		names = append(names, fmt.Sprintf("daemon-%02d", (account+i)%daemonCount))
	}
	return names
}

// distributions are the distributions of the cost of a request. Their mean is one.
var distributions = []struct {
	name string
	draw func(r *rand.Rand) float64
}{
	{"exponential", func(r *rand.Rand) float64 { return r.ExpFloat64() }},
	{"heavy-tailed", heavyTailed},
}

// The bounds of the Pareto distribution of the costs. With an exponent of 1.5 the
// mean is one.
const (
	lowestCost  = 0.3684
	highestCost = 40
)

// heavyTailed draws from a bounded Pareto distribution.
func heavyTailed(r *rand.Rand) float64 {
	const exponent = 1.5
	low, high := math.Pow(lowestCost, exponent), math.Pow(highestCost, exponent)
	u := r.Float64()
	return math.Pow(-(u*high-u*low-high)/(high*low), -1/exponent)
}
