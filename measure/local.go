package measure

import (
	"fmt"
	"math/rand/v2"
	"time"
)

// A local rule lets each daemon start requests at a target without asking its
// owner. It stands beside the slots for the question whether targets with a hard
// limit need owners.
type localRule string

const (
	// sharedViews starts a request while the daemon's own requests and those that
	// the others had in flight at the last exchange are below the limit.
	sharedViews localRule = "shared views"
	// fixedParts gives each daemon a fixed part of the limit.
	fixedParts localRule = "fixed parts"
)

const (
	localStep     = time.Millisecond
	localExchange = 400 * time.Millisecond
)

// localResult is what a local rule gives with one placement of the accounts.
type localResult struct {
	// Peak is the most requests in flight at one target, Use the part of the slots
	// in use, Gap the largest gap between accounts in costs.
	Peak int
	Use  float64
	Gap  float64
}

// localFleet simulates daemons that follow a rule, with accounts that are
// backlogged throughout, each at as many daemons as placement says.
type localFleet struct {
	rule    localRule
	targets int
	random  *rand.Rand
	// accounts holds the accounts of each daemon.
	accounts [][]int
	flight   [][]int // by daemon and target, now
	seen     [][]int // the same at the last exchange
	running  []localRun
	served   []float64
}

type localRun struct {
	daemon, target, account int
	cost                    float64
	end                     time.Duration
}

// simulateLocal plays the rule for the time.
func simulateLocal(rule localRule, d deployment, placement int, seed uint64, span time.Duration) localResult {
	f := &localFleet{
		rule: rule, targets: d.slots() / slotsPerTarget, random: rand.New(rand.NewPCG(seed, 9)),
		accounts: make([][]int, daemonCount), flight: matrix(daemonCount, d.slots()/slotsPerTarget), served: make([]float64, accountCount),
	}
	f.seen = matrix(daemonCount, f.targets)
	for a := range accountCount {
		for i := range placement {
			f.accounts[(a+i)%daemonCount] = append(f.accounts[(a+i)%daemonCount], a)
		}
	}
	result := localResult{}
	used, steps := 0, 0
	for now := time.Duration(0); now < span; now += localStep {
		if now%localExchange == 0 {
			for i := range f.flight {
				copy(f.seen[i], f.flight[i])
			}
		}
		f.finish(now)
		for daemon := range daemonCount {
			f.start(daemon, now)
		}
		for t := range f.targets {
			total := 0
			for daemon := range daemonCount {
				total += f.flight[daemon][t]
			}
			result.Peak = max(result.Peak, total)
			used += min(total, slotsPerTarget)
		}
		steps++
	}
	result.Use = float64(used) / float64(steps*f.targets*slotsPerTarget)
	result.Gap = spread(f.served)
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
		f.flight[r.daemon][r.target]--
		f.served[r.account] += r.cost
	}
	f.running = left
}

// room tells whether the daemon may start a request at the target.
func (f *localFleet) room(daemon, target int) bool {
	if f.rule == fixedParts {
		part := slotsPerTarget / daemonCount
		if (daemon+target)%daemonCount < slotsPerTarget%daemonCount {
			part++
		}
		return f.flight[daemon][target] < part
	}
	total := f.flight[daemon][target]
	for other := range daemonCount {
		if other != daemon {
			total += f.seen[other][target]
		}
	}
	return total < slotsPerTarget
}

// start lets a daemon start what it may, the account served least first.
func (f *localFleet) start(daemon int, now time.Duration) {
	if len(f.accounts[daemon]) == 0 {
		return
	}
	for t := range f.targets {
		for f.room(daemon, t) {
			account := f.accounts[daemon][0]
			for _, a := range f.accounts[daemon] {
				if f.served[a] < f.served[account] {
					account = a
				}
			}
			cost := f.random.ExpFloat64()
			f.flight[daemon][t]++
			f.running = append(f.running, localRun{daemon, t, account, cost, now + time.Duration(cost*float64(unit))})
		}
	}
}

// local compares the rules.
func (f *fairness) local() []figure {
	var figures []figure
	for _, d := range deployments {
		for _, p := range placements {
			for _, rule := range []localRule{sharedViews, fixedParts} {
				r := simulateLocal(rule, d, p.daemons, f.seed, f.duration)
				long := simulateLocal(rule, d, p.daemons, f.seed, 4*f.duration)
				for _, v := range []figure{
					{Name: "in flight at most", Value: float64(r.Peak), Unit: "requests", Aim: fmt.Sprintf("<= %d", slotsPerTarget)},
					{Name: "slots in use", Value: r.Use, Aim: ">= 0.97"},
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
