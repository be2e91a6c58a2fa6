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

// figure is one measured value. Aim is the required value as text, empty if there
// is none.
type figure struct {
	Deployment, Placement, Costs, Name, Unit, Aim string
	Value                                         float64
}

// fairness runs all trials and collects their figures.
type fairness struct {
	seed     uint64
	duration time.Duration // T of the command's help

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

// maxTrials bounds the fleets that run at once, because a saturated processor
// delays their timers.
const maxTrials = 12

// run runs all trials and returns the figures sorted by deployment and name.
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
				start(func(ctx context.Context) { f.measureGap(ctx, d, p.name, p.daemons, c.name, c.draw, false) })
				start(func(ctx context.Context) { f.measureGap(ctx, d, p.name, p.daemons, c.name, c.draw, true) })
			}
		}
		exponential := distributions[0].draw
		start(func(ctx context.Context) { f.measureDoubledRate(ctx, d, exponential) })
		start(func(ctx context.Context) { f.measureWeightedShares(ctx, d, exponential) })
		start(func(ctx context.Context) { f.measureUtilisation(ctx, d, exponential) })
		start(func(ctx context.Context) { f.measureFlood(ctx, d, exponential) })
	}
	if err := g.Wait(); err != nil {
		return nil, fmt.Errorf("measure fairness: %w", err)
	}
	slices.SortStableFunc(f.figures, func(x, y figure) int {
		return strings.Compare(x.Deployment+x.Name+x.Costs+x.Placement, y.Deployment+y.Name+y.Costs+y.Placement)
	})
	return f.figures, nil
}

func (f *fairness) newTrial(d deployment, placement int, draw func(*rand.Rand) float64) *trial {
	return &trial{deployment: d, placement: placement, draw: draw, share: equalShares, seed: f.seed}
}

// measureGap measures the gap between accounts, the use of slots and the control
// traffic. With isolated it measures baselines instead: a fair queue in each daemon
// without exchange, and one queue in order of arrival.
func (f *fairness) measureGap(ctx context.Context, d deployment, placement string, daemons int, costs string, draw func(*rand.Rand) float64, isolated bool) {
	t := f.newTrial(d, daemons, draw)
	t.isolated = isolated
	t.run(ctx, t.keepBacklogged, func(ctx context.Context) {
		begin, busy, before := time.Now(), t.busyTime(), t.fleet.Network.Traffic()
		t.eachTarget(func(s *SimulatedTarget, _ config.Target) { s.ResetStatistics() })
		short, long := t.sampleGaps(ctx, f.duration, 4*f.duration)
		elapsed := time.Since(begin)
		name := "gap"
		if isolated {
			name = "gap, no exchange"
		}
		f.add(t, placement, costs, name+", T", short, "units", t.gapBound(isolated))
		f.add(t, placement, costs, name+", 4T", long, "units", "")
		if isolated {
			return
		}
		f.add(t, placement, costs, "gap ratio 4T to T", long/short, "", "<= 1.2")
		used := (t.busyTime() - busy).Seconds() / elapsed.Seconds() / float64(d.totalSlots())
		f.add(t, placement, costs, "slots in use", used, "", "")
		mean, slots, exchange := trafficRates(before, t.fleet.Network.Traffic(), elapsed)
		f.add(t, placement, costs, "bytes, mean daemon", mean, "B/s", "<= 5000")
		f.add(t, placement, costs, "bytes, slots, largest", slots, "B/s", "")
		f.add(t, placement, costs, "bytes, exchange, largest", exchange, "B/s", "")
		roundTrip := 2 * d.delay
		f.add(t, placement, costs, "slot idle p99", milliseconds(t.idleQuantile(0.99)), "ms", fmt.Sprintf("<= %.0f", milliseconds(roundTrip)+5))
		f.add(t, placement, costs, "slot idle mean", milliseconds(t.idleMean()), "ms", "")
	})
	if isolated {
		r := rand.New(rand.NewPCG(f.seed, 5))
		short, long := fifoGaps(outstanding, d.totalSlots(), func() float64 { return draw(r) }, f.duration, 4*f.duration)
		f.add(t, placement, costs, "gap, arrival order, T", short, "units", "")
		f.add(t, placement, costs, "gap, arrival order, 4T", long, "units", "")
	}
}

func milliseconds(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }

// gapBound returns the bound of the design document for equal shares: the sum of the
// slack, twice the largest cost and what the fleet serves in the exchange delay.
func (t *trial) gapBound(isolated bool) string {
	if isolated {
		return ""
	}
	rate := float64(t.totalSlots()) / t.timePerCost.Seconds()
	delay := 2*defaultExchangeInterval + 4*t.delay
	// The slack is at most 1.5 times the sum of two requests and three times what an
	// account is served in two exchange intervals.
	slack := 1.5 * (2 + 3*2*defaultExchangeInterval.Seconds()*rate/accountCount)
	t.mu.Lock()
	defer t.mu.Unlock()
	return fmt.Sprintf("<= %.0f", slack+2*t.largestCost+delay.Seconds()*rate)
}

// measureDoubledRate measures the control traffic at twice the request rate.
func (f *fairness) measureDoubledRate(ctx context.Context, d deployment, draw func(*rand.Rand) float64) {
	t := f.newTrial(d, 1, draw)
	t.timePerCost = timePerCost / 2
	t.run(ctx, t.keepBacklogged, func(ctx context.Context) {
		begin, before := time.Now(), t.fleet.Network.Traffic()
		pause(ctx, 2*f.duration)
		mean, slots, _ := trafficRates(before, t.fleet.Network.Traffic(), time.Since(begin))
		f.add(t, "one", "exponential", "bytes, twice the requests, mean daemon", mean, "B/s", "<= 5000")
		f.add(t, "one", "exponential", "bytes, twice the requests, slots, largest", slots, "B/s", "")
	})
}

// measureWeightedShares measures the relative error of the service that accounts
// with shares of 1, 2 and 4 receive.
func (f *fairness) measureWeightedShares(ctx context.Context, d deployment, draw func(*rand.Rand) float64) {
	t := f.newTrial(d, 1, draw)
	t.share = weightedShares
	t.run(ctx, t.keepBacklogged, func(ctx context.Context) {
		base := t.normalisedService()
		pause(ctx, 4*f.duration)
		received := make([]float64, 3) // mean service divided by the share, for each share
		counts := make([]float64, 3)
		for i, v := range t.normalisedService() {
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

// measureUtilisation compares the work done on an open-loop trace with that of one
// central queue. The load is 1.1 times the capacity, so that requests queue.
func (f *fairness) measureUtilisation(ctx context.Context, d deployment, draw func(*rand.Rand) float64) {
	t := f.newTrial(d, 1, draw)
	r := rand.New(rand.NewPCG(f.seed, 6))
	traces := map[string][]arrival{}
	for service, targets := range d.services {
		rate := 1.1 * float64(targets*slotsPerTarget) / timePerCost.Seconds()
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
			central += centralQueueWork(traces[service], d.services[service]*slotsPerTarget, f.duration)
			for _, a := range traces[service] {
				wait.Go(func() {
					pause(end, a.at)
					_ = t.client(a.account, daemonsOf(a.account, 1)[0], service).Do(end, a.cost)
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

// measureFlood measures how long the requests of a nearly idle account wait while
// another account keeps ten times as many requests outstanding as there are slots.
func (f *fairness) measureFlood(ctx context.Context, d deployment, draw func(*rand.Rand) float64) {
	t := f.newTrial(d, 1, draw)
	service := sortedKeys(d.services)[0]
	load := func(ctx context.Context, wait *sync.WaitGroup) {
		for _, daemon := range daemonsOf(0, daemonCount) {
			c := t.client(0, daemon, service)
			wait.Go(func() { c.KeepOutstanding(ctx, 10*d.totalSlots()/daemonCount) })
		}
	}
	t.run(ctx, load, func(ctx context.Context) {
		for i := range int(2 * f.duration / time.Second) {
			_ = t.client(1, daemonsOf(i, 1)[0], service).Do(ctx, 0.1)
			pause(ctx, time.Second)
		}
		waits := t.meter.Waits(accountName(1))
		f.add(t, "one", "exponential", "wait under a flood, median", milliseconds(quantileOf(waits, 0.5)), "ms", "")
		f.add(t, "one", "exponential", "wait under a flood, largest", milliseconds(quantileOf(waits, 1)), "ms", "")
	})
}
