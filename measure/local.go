package measure

import (
	"fmt"
	"math/rand/v2"
	"time"
)

// localRule is a rule by which each daemon starts requests at a target without
// asking its owner. The rules are compared with slots to decide whether targets with
// a hard limit need owners.
type localRule string

const (
	// sharedCounts starts a request while the sum of the daemon's requests in flight
	// and those of the others at the last exchange is below the limit.
	sharedCounts localRule = "shared views"
	// fixedQuotas gives each daemon a fixed fraction of the limit.
	fixedQuotas localRule = "fixed parts"
)

const (
	localStep             = time.Millisecond
	localExchangeInterval = 400 * time.Millisecond
)

// localResult is the result of a local rule with one placement of the accounts.
type localResult struct {
	// PeakInFlight is the largest number of requests in flight at one target.
	PeakInFlight int
	// Utilisation is the fraction of the slots in use.
	Utilisation float64
	// Gap is the difference in served cost between the accounts that were served
	// most and least.
	Gap float64
}

// localFleet simulates daemons that follow a rule. Each account is backlogged
// throughout at each of its daemons.
type localFleet struct {
	rule    localRule
	targets int
	random  *rand.Rand
	// accounts are the account numbers by daemon.
	accounts  [][]int
	inFlight  [][]int // requests by daemon and target
	exchanged [][]int // inFlight at the last exchange
	running   []localRequest
	served    []float64
}

type localRequest struct {
	daemon, target, account int
	cost                    float64
	end                     time.Duration
}

// simulateLocal simulates the rule for the span. Placement is the number of daemons
// for each account.
func simulateLocal(rule localRule, d deployment, placement int, seed uint64, span time.Duration) localResult {
	f := &localFleet{
		rule: rule, targets: d.totalSlots() / slotsPerTarget, random: rand.New(rand.NewPCG(seed, 9)),
		accounts: make([][]int, daemonCount), inFlight: matrix(daemonCount, d.totalSlots()/slotsPerTarget), served: make([]float64, accountCount),
	}
	f.exchanged = matrix(daemonCount, f.targets)
	for a := range accountCount {
		for i := range placement {
			f.accounts[(a+i)%daemonCount] = append(f.accounts[(a+i)%daemonCount], a)
		}
	}
	result := localResult{}
	used, steps := 0, 0
	for now := time.Duration(0); now < span; now += localStep {
		if now%localExchangeInterval == 0 {
			for i := range f.inFlight {
				copy(f.exchanged[i], f.inFlight[i])
			}
		}
		f.finish(now)
		for daemon := range daemonCount {
			f.start(daemon, now)
		}
		for t := range f.targets {
			total := 0
			for daemon := range daemonCount {
				total += f.inFlight[daemon][t]
			}
			result.PeakInFlight = max(result.PeakInFlight, total)
			used += min(total, slotsPerTarget)
		}
		steps++
	}
	result.Utilisation = float64(used) / float64(steps*f.targets*slotsPerTarget)
	result.Gap = valueRange(f.served)
	return result
}

func matrix(rows, columns int) [][]int {
	m := make([][]int, rows)
	for i := range m {
		m[i] = make([]int, columns)
	}
	return m
}

func (f *localFleet) finish(now time.Duration) {
	left := f.running[:0]
	for _, r := range f.running {
		if r.end > now {
			left = append(left, r)
			continue
		}
		f.inFlight[r.daemon][r.target]--
		f.served[r.account] += r.cost
	}
	f.running = left
}

// mayStart reports whether the daemon may start a request at the target.
func (f *localFleet) mayStart(daemon, target int) bool {
	if f.rule == fixedQuotas {
		quota := slotsPerTarget / daemonCount
		if (daemon+target)%daemonCount < slotsPerTarget%daemonCount {
			quota++
		}
		return f.inFlight[daemon][target] < quota
	}
	total := f.inFlight[daemon][target]
	for other := range daemonCount {
		if other != daemon {
			total += f.exchanged[other][target]
		}
	}
	return total < slotsPerTarget
}

// start starts all requests that the rule permits at a daemon. The account that was
// served least comes first.
func (f *localFleet) start(daemon int, now time.Duration) {
	if len(f.accounts[daemon]) == 0 {
		return
	}
	for t := range f.targets {
		for f.mayStart(daemon, t) {
			account := f.accounts[daemon][0]
			for _, a := range f.accounts[daemon] {
				if f.served[a] < f.served[account] {
					account = a
				}
			}
			cost := f.random.ExpFloat64()
			f.inFlight[daemon][t]++
			f.running = append(f.running, localRequest{daemon, t, account, cost, now + time.Duration(cost*float64(timePerCost))})
		}
	}
}

// compareLocalRules simulates both rules with all deployments and placements.
func (f *fairness) compareLocalRules() []figure {
	var figures []figure
	for _, d := range deployments {
		for _, p := range placements {
			for _, rule := range []localRule{sharedCounts, fixedQuotas} {
				r := simulateLocal(rule, d, p.daemons, f.seed, f.duration)
				long := simulateLocal(rule, d, p.daemons, f.seed, 4*f.duration)
				for _, v := range []figure{
					{Name: "in flight at most", Value: float64(r.PeakInFlight), Unit: "requests", Aim: fmt.Sprintf("<= %d", slotsPerTarget)},
					{Name: "slots in use", Value: r.Utilisation, Aim: ">= 0.97"},
					{Name: "gap ratio 4T to T", Value: long.Gap / r.Gap, Aim: "<= 1.2"},
				} {
					v.Deployment, v.Placement, v.Costs = d.name, p.name, string(rule)
					figures = append(figures, v)
				}
			}
		}
	}
	return figures
}
