package measure

import (
	"context"
	"maps"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"rattanline.example/rattanline/config"
)

// warmUp is the time until owners grant slots after their start, and a while
// more until slots have spread.
const warmUp = 9 * time.Second

func sortedKeys[V any](m map[string]V) []string { return slices.Sorted(maps.Keys(m)) }

// trial is one fleet under one load.
type trial struct {
	deployment
	placement int // daemons for each account
	draw      func(*rand.Rand) float64
	share     func(account int) float64
	isolated  bool
	unit      time.Duration
	seed      uint64

	fleet   *Fleet
	meter   *Meter
	mu      sync.Mutex
	rand    *rand.Rand
	largest float64
}

// run starts the fleet, calls the function after the warm-up and ends all.
func (t *trial) run(ctx context.Context, load func(ctx context.Context, wait *sync.WaitGroup), measure func(ctx context.Context)) {
	t.rand = rand.New(rand.NewPCG(t.seed, 5))
	t.meter = NewMeter()
	if t.unit == 0 {
		t.unit = unit
	}
	t.fleet = &Fleet{
		Document: t.document(t.share), Domains: domainNames, Daemons: daemonCount, Isolated: t.isolated,
		Network: NewNetwork(t.seed, t.delay, 0.01),
	}
	ctx, cancel := context.WithCancel(ctx)
	t.fleet.Start(ctx)
	var wait sync.WaitGroup
	load(ctx, &wait)
	pause(ctx, warmUp)
	measure(ctx)
	cancel()
	wait.Wait()
	t.fleet.Wait()
}

func (t *trial) cost() float64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	cost := t.draw(t.rand)
	t.largest = max(t.largest, cost)
	return cost
}

func (t *trial) client(account int, daemon, service string) *Client {
	return &Client{
		Fleet: t.fleet, Meter: t.meter, Daemon: daemon, Account: accountName(account),
		Service: service, TimePerCost: t.unit, Cost: t.cost,
		// A hint is the mean, since the cost is known only when a request ends.
		Hint: func(float64) float64 { return 1 },
	}
}

// outstanding is how many requests an account keeps in the system for each
// service: enough to be backlogged throughout.
func outstanding(account int) int {
	if account < largeCount {
		return 3 * 45
	}
	return 45
}

// backlog keeps all accounts backlogged for all services.
func (t *trial) backlog(ctx context.Context, wait *sync.WaitGroup) {
	for account := range accountCount {
		names := daemons(account, t.placement)
		for _, service := range sortedKeys(t.services) {
			for _, name := range names {
				c := t.client(account, name, service)
				wait.Go(func() { c.KeepOutstanding(ctx, outstanding(account)/len(names)) })
			}
		}
	}
}

// served returns the normalised service of each account.
func (t *trial) served() []float64 {
	sum := t.meter.Served(time.Now())
	values := make([]float64, accountCount)
	for i := range values {
		values[i] = sum[accountName(i)] / t.share(i)
	}
	return values
}

// gaps samples the largest gap in normalised service since the call, until each
// of the two times.
func (t *trial) gaps(ctx context.Context, short, long time.Duration) (float64, float64) {
	begin, base := time.Now(), t.served()
	worst, worstShort := 0.0, 0.0
	for ctx.Err() == nil && time.Since(begin) < long {
		pause(ctx, 100*time.Millisecond)
		now := t.served()
		for i := range now {
			now[i] -= base[i]
		}
		worst = max(worst, spread(now))
		if time.Since(begin) <= short {
			worstShort = worst
		}
	}
	return worstShort, worst
}

func (t *trial) engines(visit func(e *SimulatedTarget, target config.Target)) {
	for _, target := range t.fleet.Document.Targets {
		visit(t.fleet.Target(target.Name), target)
	}
}

func (t *trial) busy() time.Duration {
	var sum time.Duration
	t.engines(func(e *SimulatedTarget, _ config.Target) { sum += e.BusyTime() })
	return sum
}

// idle returns the quantile of the time that slots were idle before each start.
func (t *trial) idle(quantile float64) time.Duration {
	var all []time.Duration
	t.engines(func(e *SimulatedTarget, _ config.Target) { all = append(all, e.IdleTimes()...) })
	return quantileOf(all, quantile)
}

func (t *trial) idleMean() time.Duration {
	var sum time.Duration
	count := 0
	t.engines(func(e *SimulatedTarget, _ config.Target) {
		for _, d := range e.IdleTimes() {
			sum += d
			count++
		}
	})
	return sum / time.Duration(max(count, 1))
}

func quantileOf(all []time.Duration, quantile float64) time.Duration {
	if len(all) == 0 {
		return 0
	}
	slices.Sort(all)
	return all[min(len(all)-1, int(quantile*float64(len(all))))]
}

// traffic returns the mean and largest bytes a second that daemons sent to other
// domains for slots and, as coordinators, for the exchange.
func traffic(before, after map[string]Traffic, elapsed time.Duration) (mean, slots, exchange float64) {
	for name, b := range after {
		s := float64(b.Slots-before[name].Slots) / elapsed.Seconds()
		e := float64(b.Exchange-before[name].Exchange) / elapsed.Seconds()
		mean += (s + e) / daemonCount
		slots, exchange = max(slots, s), max(exchange, e)
	}
	return mean, slots, exchange
}
