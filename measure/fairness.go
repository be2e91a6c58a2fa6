package measure

import (
	"context"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	"rattanline.example/rattanline/config"
)

// figure is one measured value. Aim is empty for figures without one.
type figure struct {
	Deployment, Placement, Costs, Name, Unit, Aim string
	Value                                         float64
}

// fairness runs all trials and collects their figures.
type fairness struct {
	seed     uint64
	duration time.Duration // T

	mu      sync.Mutex
	figures []figure
}

func (f *fairness) add(t *trial, placement, costs, name string, value float64, unit, aim string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.figures = append(f.figures, figure{
		Deployment: t.name, Placement: placement, Costs: costs, Name: name, Value: value, Unit: unit, Aim: aim,
	})
}

// maxTrials bounds the fleets that run at once, so that the processor doesn't
// delay their timers.
const maxTrials = 12

// run measures and returns the figures in the order of their names.
func (f *fairness) run(ctx context.Context) ([]figure, error) {
	g, ctx := errgroup.WithContext(ctx)
	g.SetLimit(maxTrials)
	start := func(measure func(context.Context)) {
		g.Go(func() error {
			measure(ctx)
			return ctx.Err()
		})
	}
	for _, d := range deployments {
		for _, p := range placements {
			for _, c := range distributions {
				start(func(ctx context.Context) { f.gap(ctx, d, p.name, p.daemons, c.name, c.draw, false) })
				start(func(ctx context.Context) { f.gap(ctx, d, p.name, p.daemons, c.name, c.draw, true) })
			}
		}
		exponential := distributions[0].draw
		start(func(ctx context.Context) { f.doubled(ctx, d, exponential) })
		start(func(ctx context.Context) { f.weighted(ctx, d, exponential) })
		start(func(ctx context.Context) { f.trace(ctx, d, exponential) })
		start(func(ctx context.Context) { f.flood(ctx, d, exponential) })
	}
	if err := g.Wait(); err != nil {
		return nil, fmt.Errorf("measure fairness: %w", err)
	}
	slices.SortStableFunc(f.figures, func(x, y figure) int {
		return strings.Compare(x.Deployment+x.Name+x.Costs+x.Placement, y.Deployment+y.Name+y.Costs+y.Placement)
	})
	return f.figures, nil
}

func (f *fairness) trial(d deployment, placement int, draw func(*rand.Rand) float64) *trial {
	return &trial{deployment: d, placement: placement, draw: draw, share: equalShares, seed: f.seed}
}

// gap measures the fleet and, isolated, the baseline of a fair queue in each
// daemon without exchange.
func (f *fairness) gap(ctx context.Context, d deployment, placement string, daemons int, costs string, draw func(*rand.Rand) float64, isolated bool) {
	t := f.trial(d, daemons, draw)
	t.isolated = isolated
	t.run(ctx, t.backlog, func(ctx context.Context) {
		begin, busy, before := time.Now(), t.busy(), t.fleet.Network.Traffic()
		t.engines(func(e *SimulatedTarget, _ config.Target) { e.ResetStatistics() })
		short, long := t.gaps(ctx, f.duration, 4*f.duration)
		elapsed := time.Since(begin)
		name := "gap"
		if isolated {
			name = "gap, no exchange"
		}
		f.add(t, placement, costs, name+", T", short, "units", t.bound(isolated))
		f.add(t, placement, costs, name+", 4T", long, "units", "")
		if isolated {
			return
		}
		f.add(t, placement, costs, "gap ratio 4T to T", long/short, "", "<= 1.2")
		used := (t.busy() - busy).Seconds() / elapsed.Seconds() / float64(d.slots())
		f.add(t, placement, costs, "slots in use", used, "", "")
		mean, slots, exchange := traffic(before, t.fleet.Network.Traffic(), elapsed)
		f.add(t, placement, costs, "bytes, mean daemon", mean, "B/s", "<= 5000")
		f.add(t, placement, costs, "bytes, slots, largest", slots, "B/s", "")
		f.add(t, placement, costs, "bytes, exchange, largest", exchange, "B/s", "")
		trip := 2 * d.delay
		f.add(t, placement, costs, "slot idle p99", milliseconds(t.idle(0.99)), "ms", fmt.Sprintf("<= %.0f", milliseconds(trip)+5))
		f.add(t, placement, costs, "slot idle mean", milliseconds(t.idleMean()), "ms", "")
	})
	if isolated {
		r := rand.New(rand.NewPCG(f.seed, 5))
		short, long := arrivalOrderGaps(outstanding, d.slots(), func() float64 { return draw(r) }, f.duration, 4*f.duration)
		f.add(t, placement, costs, "gap, arrival order, T", short, "units", "")
		f.add(t, placement, costs, "gap, arrival order, 4T", long, "units", "")
	}
}

func milliseconds(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }

// bound returns the bound of the design page for equal shares: the slack, twice
// the largest cost and what the fleet serves in the exchange delay.
func (t *trial) bound(isolated bool) string {
	if isolated {
		return ""
	}
	rate := float64(t.slots()) / t.unit.Seconds()
	delay := 2*defaultExchangeInterval + 4*t.delay
	// The slack is at most one and a half times the sum of two requests and
	// three times an account's part in two exchanges.
	slack := 1.5 * (2 + 3*2*defaultExchangeInterval.Seconds()*rate/accountCount)
	t.mu.Lock()
	defer t.mu.Unlock()
	return fmt.Sprintf("<= %.0f", slack+2*t.largest+delay.Seconds()*rate)
}

// doubled measures control traffic with twice the requests a second.
func (f *fairness) doubled(ctx context.Context, d deployment, draw func(*rand.Rand) float64) {
	t := f.trial(d, 1, draw)
	t.unit = unit / 2
	t.run(ctx, t.backlog, func(ctx context.Context) {
		begin, before := time.Now(), t.fleet.Network.Traffic()
		pause(ctx, 2*f.duration)
		mean, slots, _ := traffic(before, t.fleet.Network.Traffic(), time.Since(begin))
		f.add(t, "one", "exponential", "bytes, twice the requests, mean daemon", mean, "B/s", "<= 5000")
		f.add(t, "one", "exponential", "bytes, twice the requests, slots, largest", slots, "B/s", "")
	})
}

// weighted measures how far accounts of shares 1, 2 and 4 are from them.
func (f *fairness) weighted(ctx context.Context, d deployment, draw func(*rand.Rand) float64) {
	t := f.trial(d, 1, draw)
	t.share = weightedShares
	t.run(ctx, t.backlog, func(ctx context.Context) {
		base := t.served()
		pause(ctx, 4*f.duration)
		received := make([]float64, 3) // by class of share, normalised
		counts := make([]float64, 3)
		for i, v := range t.served() {
			received[i%3] += v - base[i]
			counts[i%3]++
		}
		mean, worst := 0.0, 0.0
		for class := range received {
			received[class] /= counts[class]
			mean += received[class] / 3
		}
		for _, v := range received {
			worst = max(worst, math.Abs(v/mean-1))
		}
		f.add(t, "one", "exponential", "error of shares 1:2:4, 4T", 100*worst, "%", "<= 3")
	})
}

// trace compares the work done of an open trace with that of one central queue.
// The load of 1.1 keeps requests waiting.
func (f *fairness) trace(ctx context.Context, d deployment, draw func(*rand.Rand) float64) {
	t := f.trial(d, 1, draw)
	r := rand.New(rand.NewPCG(f.seed, 6))
	traces := map[string][]arrival{}
	for service, targets := range d.services {
		rate := 1.1 * float64(targets*slotsPerTarget) / unit.Seconds()
		for at := 0.0; at < f.duration.Seconds(); at += r.ExpFloat64() / rate {
			traces[service] = append(traces[service], arrival{
				at: time.Duration(at * float64(time.Second)), account: r.IntN(accountCount), service: service, cost: draw(r),
			})
		}
	}
	central, work := 0.0, 0.0
	var wait sync.WaitGroup
	t.run(ctx, func(context.Context, *sync.WaitGroup) {}, func(ctx context.Context) {
		end, cancel := context.WithTimeout(ctx, f.duration)
		defer cancel()
		for _, service := range sortedKeys(traces) {
			central += centralWork(traces[service], d.services[service]*slotsPerTarget, f.duration)
			for _, a := range traces[service] {
				wait.Go(func() {
					pause(end, a.at)
					_ = t.client(a.account, daemons(a.account, 1)[0], service).Do(end, a.cost)
				})
			}
		}
		<-end.Done()
		for _, v := range t.meter.Served(time.Now()) {
			work += v
		}
	})
	wait.Wait()
	f.add(t, "one", "exponential", "utilisation against a central queue", work/central, "", ">= 0.97")
}

// flood measures how long requests of an account that was idle wait while
// another keeps ten times the fleet's slots in requests waiting.
func (f *fairness) flood(ctx context.Context, d deployment, draw func(*rand.Rand) float64) {
	t := f.trial(d, 1, draw)
	service := sortedKeys(d.services)[0]
	load := func(ctx context.Context, wait *sync.WaitGroup) {
		for _, daemon := range daemons(0, daemonCount) {
			c := t.client(0, daemon, service)
			wait.Go(func() { c.KeepOutstanding(ctx, 10*d.slots()/daemonCount) })
		}
	}
	t.run(ctx, load, func(ctx context.Context) {
		for i := range int(2 * f.duration / time.Second) {
			_ = t.client(1, daemons(i, 1)[0], service).Do(ctx, 0.1)
			pause(ctx, time.Second)
		}
		waits := t.meter.Waits(accountName(1))
		f.add(t, "one", "exponential", "wait under a flood, median", milliseconds(quantileOf(waits, 0.5)), "ms", "")
		f.add(t, "one", "exponential", "wait under a flood, largest", milliseconds(quantileOf(waits, 1)), "ms", "")
	})
}
