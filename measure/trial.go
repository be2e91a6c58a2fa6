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

// warmUp is the time until owners grant slots after their start and the slots are
// distributed among the daemons.
const warmUp = 9 * time.Second

func sortedKeys[V any](m map[string]V) []string { return slices.Sorted(maps.Keys(m)) }

// trial is one fleet under one load.
type trial struct {
	deployment
	placement   int                      // number of daemons at which each account's requests arrive
	draw        func(*rand.Rand) float64 // draws the cost of a request
	share       func(account int) float64
	isolated    bool          // see Fleet.Isolated
	timePerCost time.Duration // the constant of this name if zero
	seed        uint64

	fleet       *Fleet
	meter       *Meter
	mu          sync.Mutex
	rand        *rand.Rand
	largestCost float64
}

// run starts the fleet and its load, calls measure after the warm-up, and stops them.
func (t *trial) run(ctx context.Context, load func(ctx context.Context, wait *sync.WaitGroup), measure func(ctx context.Context)) {
	t.rand = rand.New(rand.NewPCG(t.seed, 5))
	t.meter = NewMeter()
	if t.timePerCost == 0 {
		t.timePerCost = timePerCost
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
	t.largestCost = max(t.largestCost, cost)
	return cost
}

func (t *trial) client(account int, daemon, service string) *Client {
	return &Client{
		Fleet: t.fleet, Meter: t.meter, Daemon: daemon, Account: accountName(account),
		Service: service, TimePerCost: t.timePerCost, Cost: t.cost,
		// The hint is the mean cost, because the actual cost is known only when a
		// request ends.
		Hint: func(float64) float64 { return 1 },
	}
}

// outstanding returns the number of requests that an account keeps outstanding for
// each service. It is large enough to keep the account backlogged throughout.
func outstanding(account int) int {
	if account < largeCount {
		return 3 * 45
	}
	return 45
}

// keepBacklogged keeps all accounts backlogged for all services.
func (t *trial) keepBacklogged(ctx context.Context, wait *sync.WaitGroup) {
	for account := range accountCount {
		names := daemonsOf(account, t.placement)
		for _, service := range sortedKeys(t.services) {
			for _, name := range names {
				c := t.client(account, name, service)
				wait.Go(func() { c.KeepOutstanding(ctx, outstanding(account)/len(names)) })
			}
		}
	}
}

// normalisedService returns the work done for each account divided by its share.
func (t *trial) normalisedService() []float64 {
	sum := t.meter.Served(time.Now())
	values := make([]float64, accountCount)
	for i := range values {
		values[i] = sum[accountName(i)] / t.share(i)
	}
	return values
}

// sampleGaps samples the gap in normalised service since the call. It returns the
// largest gap until each of the two times.
func (t *trial) sampleGaps(ctx context.Context, short, long time.Duration) (float64, float64) {
	begin, base := time.Now(), t.normalisedService()
	worst, worstShort := 0.0, 0.0
	for ctx.Err() == nil && time.Since(begin) < long {
		pause(ctx, 100*time.Millisecond)
		now := t.normalisedService()
		for i := range now {
			now[i] -= base[i]
		}
		worst = max(worst, valueRange(now))
		if time.Since(begin) <= short {
			worstShort = worst
		}
	}
	return worstShort, worst
}

func (t *trial) eachTarget(visit func(s *SimulatedTarget, target config.Target)) {
	for _, target := range t.fleet.Document.Targets {
		visit(t.fleet.Target(target.Name), target)
	}
}

func (t *trial) busyTime() time.Duration {
	var sum time.Duration
	t.eachTarget(func(s *SimulatedTarget, _ config.Target) { sum += s.BusyTime() })
	return sum
}

// idleQuantile returns a quantile of the times that slots were idle before a request
// started.
func (t *trial) idleQuantile(quantile float64) time.Duration {
	var all []time.Duration
	t.eachTarget(func(s *SimulatedTarget, _ config.Target) { all = append(all, s.IdleTimes()...) })
	return quantileOf(all, quantile)
}

func (t *trial) idleMean() time.Duration {
	var sum time.Duration
	count := 0
	t.eachTarget(func(s *SimulatedTarget, _ config.Target) {
		for _, d := range s.IdleTimes() {
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

// trafficRates returns the rates in bytes a second at which daemons sent to other
// failure domains: the mean of all traffic, the largest for slots and the largest for
// the exchange between coordinators.
func trafficRates(before, after map[string]Traffic, elapsed time.Duration) (mean, slots, exchange float64) {
	for name, b := range after {
		s := float64(b.Slots-before[name].Slots) / elapsed.Seconds()
		e := float64(b.Exchange-before[name].Exchange) / elapsed.Seconds()
		mean += (s + e) / daemonCount
		slots, exchange = max(slots, s), max(exchange, e)
	}
	return mean, slots, exchange
}
