package admission

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"rattanline.example/rattanline/clock"
)

// startDelay is the time to the first event without any wait in these tests.
const startDelay = 100 * time.Millisecond

// Guards against a share that distributes more or less than the capacity.
func TestMaxMinShare(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		demands := rapid.SliceOfN(rapid.Float64Range(0, 100), 1, 20).Draw(t, "demands")
		capacity := rapid.Float64Range(0, 500).Draw(t, "capacity")
		total := 0.0
		for _, d := range demands {
			total += d
		}
		level := MaxMinShare(append([]float64(nil), demands...), capacity)
		if math.IsInf(level, 1) {
			if total > capacity+1e-6 {
				t.Fatalf("no share though the demand %g exceeds the capacity %g", total, capacity)
			}
			return
		}
		given := 0.0
		for _, d := range demands {
			given += min(d, level)
		}
		if math.Abs(given-capacity) > 1e-6 {
			t.Fatalf("distributed %g of %g", given, capacity)
		}
	})
}

// fleet simulates daemons that share engines with a fixed processing rate.
type fleet struct {
	daemons []*Controller
	rate    float64
	backlog float64
}

func newFleet(daemons int, rate float64) *fleet {
	f := &fleet{rate: rate}
	for i := range daemons {
		c := &Controller{}
		c.PeerRates = func() map[string]Rate {
			sum := map[string]Rate{}
			for j, o := range f.daemons {
				if j == i {
					continue
				}
				for name, r := range o.Rates(at) {
					sum[name] = Rate{Asked: sum[name].Asked + r.Asked, Served: sum[name].Served + r.Served}
				}
			}
			return sum
		}
		f.daemons = append(f.daemons, c)
	}
	return f
}

// at is the current time of the simulation.
var at clock.Instant

// run simulates the span during which the accounts request work at the given rates.
// It returns the work per second that each account was served, the number of refusals
// while the engines were nearly idle, and the work per second that was really requested.
func (f *fleet) run(asked map[string]float64, span time.Duration) (served map[string]float64, idle int, requested map[string]float64) {
	const work, step = 500.0, 10 * time.Millisecond
	random := rand.New(rand.NewPCG(1, 2))
	served, requested = map[string]float64{}, map[string]float64{}
	for passed := time.Duration(0); passed < span; passed += step {
		at = at.Add(step)
		f.backlog = max(f.backlog-f.rate*step.Seconds(), 0)
		for name, rate := range asked {
			for expected := rate * step.Seconds() / work; expected > 0; expected-- {
				if random.Float64() > expected {
					continue
				}
				requested[name] += work / span.Seconds()
				wait := time.Duration(f.backlog / f.rate * float64(time.Second))
				a := f.daemons[random.IntN(len(f.daemons))].Decide(at, Request{Account: name, Work: work, Wait: wait, QueueWait: wait, MedianQueueWait: wait, StartDelay: startDelay, Aim: 600 * time.Millisecond, Timeout: 5 * time.Second})
				if a.Admitted {
					f.backlog += work
					served[name] += work / span.Seconds()
				} else if wait < 50*time.Millisecond {
					idle++
				}
			}
		}
	}
	return served, idle, requested
}

// Guards against accounts that starve others under overload, refusals while the
// engines are idle, and engines that are idle while requests are refused.
func TestSharesUnderOverload(t *testing.T) {
	at = clock.Instant(time.Hour)
	f := newFleet(9, 200_000)
	asked := map[string]float64{"flood": 1_500_000, "large": 150_000}
	small := 0.0
	for i := range 10 {
		asked[fmt.Sprint("small-", i)] = 8_000
		small += 8_000
	}
	f.run(asked, 5*time.Second) // reach a steady state
	served, idle, requested := f.run(asked, 10*time.Second)
	total := 0.0
	for _, s := range served {
		total += s
	}
	qt.Check(t, idle, qt.Equals, 0)
	qt.Check(t, total > 0.95*f.rate, qt.IsTrue, qt.Commentf("%.0f of %.0f used", total, f.rate))
	for i := range 10 {
		name := fmt.Sprint("small-", i)
		qt.Check(t, served[name] > 0.8*requested[name], qt.IsTrue, qt.Commentf("%s got %.0f of %.0f", name, served[name], requested[name]))
	}
	share := (f.rate - small) / 2
	qt.Check(t, served["large"] > 0.5*share, qt.IsTrue, qt.Commentf("large account got %.0f of %.0f", served["large"], share))
}

// Guards against refusals of one large account while there is spare capacity.
func TestNoRefusalWithSpareCapacity(t *testing.T) {
	at = clock.Instant(time.Hour)
	f := newFleet(3, 200_000)
	served, idle, _ := f.run(map[string]float64{"one": 150_000, "two": 5_000}, 10*time.Second)
	qt.Check(t, idle, qt.Equals, 0)
	qt.Check(t, served["one"] > 0.95*150_000, qt.IsTrue, qt.Commentf("%.0f", served["one"]))
}

// Guards against a refusal without a retry delay.
func TestRetryAfter(t *testing.T) {
	c := &Controller{PeerRates: func() map[string]Rate { return nil }}
	a := c.Decide(clock.Now(), Request{Account: "a", Work: 100, Wait: 3 * time.Second, QueueWait: 3 * time.Second, StartDelay: startDelay, Aim: time.Second, Timeout: time.Minute})
	qt.Assert(t, a.Admitted, qt.IsFalse)
	qt.Assert(t, a.RetryAfter > 0, qt.IsTrue)
}

// Guards against work that is counted as served although no target ran it.
func TestWithdraw(t *testing.T) {
	c := &Controller{PeerRates: func() map[string]Rate { return nil }}
	now := clock.Now()
	c.Decide(now, Request{Account: "a", Work: 100, StartDelay: startDelay, Aim: time.Second, Timeout: time.Minute})
	c.Withdraw(now, "a", 100, now)
	qt.Assert(t, c.Rates(now)["a"].Served, qt.Equals, 0.0)
}

// Guards against a withdrawal that removes work of other requests as well.
func TestWithdrawLater(t *testing.T) {
	c := &Controller{PeerRates: func() map[string]Rate { return nil }}
	now := clock.Instant(time.Hour)
	c.Count(now, "a", 1000)
	later := now.Add(rateDecayTime)
	c.Count(later, "a", 1000)
	before := c.Rates(later)["a"].Served
	c.Withdraw(later, "a", 1000, now)
	left := c.Rates(later)["a"].Served
	want := 1000 / rateDecayTime.Seconds()
	qt.Assert(t, math.Abs(left-want) <= 1, qt.IsTrue, qt.Commentf("%.0f of %.0f left, not %.0f", left, before, want))
}

// BenchmarkDecide measures a decision under pressure with 980 accounts.
func BenchmarkDecide(b *testing.B) {
	others := map[string]Rate{}
	for i := range 980 {
		others[fmt.Sprint("account-", i)] = Rate{Asked: float64(i), Served: float64(i) / 2}
	}
	c := &Controller{PeerRates: func() map[string]Rate { return others }}
	b.ReportAllocs()
	for b.Loop() {
		c.Decide(clock.Now(), Request{Account: "account-7", Work: 100, Wait: 700 * time.Millisecond, QueueWait: 700 * time.Millisecond, StartDelay: startDelay, Aim: time.Second, Timeout: time.Minute})
	}
}

// Guards against an account that seems to ask for many times its rate: of two requests, the one that
// read the clock first may be counted last.
func TestMeterWithOlderTime(t *testing.T) {
	const work, late = 1000, 2 * time.Second
	now := clock.Instant(time.Hour)
	for _, decay := range []time.Duration{burstDecayTime, rateDecayTime} {
		rate := work / decay.Seconds()
		var m meter
		m.addWithin(now, work, decay)
		qt.Check(t, m.decayedWithin(now.Add(-late), decay), qt.Equals, rate)
		m.addWithin(now.Add(-late), work, decay)
		qt.Check(t, m.decayedWithin(now, decay), qt.Equals, 2*rate)
		m.removeWithin(now.Add(-late), work, now, decay)
		qt.Check(t, m.decayedWithin(now, decay), qt.Equals, rate)
	}
}

// Guards against requests with long prompts that are refused although no other
// request is queued before them.
func TestLongPrompt(t *testing.T) {
	c := &Controller{PeerRates: func() map[string]Rate { return nil }}
	for range 20 {
		a := c.Decide(clock.Now(), Request{Account: "a", Work: 9000, Wait: 900 * time.Millisecond, StartDelay: startDelay, Aim: time.Second, Timeout: 5 * time.Second})
		qt.Assert(t, a.Admitted, qt.IsTrue)
	}
}

// Guards against the refusal of the first requests of a fleet that has served nothing
// yet.
func TestFirstRequestUnderPressure(t *testing.T) {
	c := &Controller{PeerRates: func() map[string]Rate { return nil }}
	a := c.Decide(clock.Now(), Request{Account: "a", Work: 100, Wait: 500 * time.Millisecond, QueueWait: 500 * time.Millisecond, StartDelay: startDelay, Aim: time.Second, Timeout: time.Minute})
	qt.Assert(t, a.Admitted, qt.IsTrue)
}

// Guards against an account below its share whose requests are refused because their own
// prompt is long, and against one above it that is served by an engine that seems to be idle
// while the fleet is busy.
func TestShareDecidesWhileBusy(t *testing.T) {
	const second = time.Second
	busy := Request{Work: 9000, Wait: second, StartDelay: startDelay, QueueWait: 50 * time.Millisecond, MedianQueueWait: 4 * second, Aim: 800 * time.Millisecond, Timeout: 5 * second}
	idle := busy
	idle.Wait, idle.QueueWait = 100*time.Millisecond, 0
	quiet := idle
	quiet.MedianQueueWait = idleQueueWait
	for name, c := range map[string]struct {
		account string
		request Request
		want    bool
	}{
		"below its share, long prompt":             {"small", busy, true},
		"above its share, engine seems to be idle": {"large", idle, false},
		"above its share, fleet is not busy":       {"large", quiet, true},
	} {
		t.Run(name, func(t *testing.T) {
			rates := map[string]Rate{"small": {Asked: 9000, Served: 1000}, "large": {Asked: 90_000, Served: 20_000}}
			controller := &Controller{PeerRates: func() map[string]Rate { return rates }}
			c.request.Account = c.account
			qt.Assert(t, controller.Decide(clock.Now(), c.request).Admitted, qt.Equals, c.want)
		})
	}
}

// Guards against accounts that are refused after a restart of all daemons, or on their first
// requests, because little was served until then.
func TestDeclaredCapacityIsServedAtOnce(t *testing.T) {
	ask := func(capacity float64) (admitted int) {
		now := clock.Now()
		c := &Controller{
			PeerRates: func() map[string]Rate { return map[string]Rate{"other": {Asked: 10_000, Served: 10_000}} },
			Capacity:  func() float64 { return capacity },
		}
		for i := range 20 {
			d := c.Decide(now.Add(time.Duration(i)*10*time.Millisecond), Request{
				Account: "a", Work: 2000, Wait: 160 * time.Millisecond, QueueWait: 100 * time.Millisecond, MedianQueueWait: 100 * time.Millisecond,
				Aim: 400 * time.Millisecond, Timeout: 5 * time.Second,
			})
			if d.Admitted {
				admitted++
			}
		}
		return admitted
	}
	qt.Check(t, ask(300_000), qt.Equals, 20)
	qt.Check(t, ask(0) < 20, qt.IsTrue)
}

// Guards against an account above its share that is admitted to engines whose streams pause too
// long, as the first events still come in time.
func TestPausesLimitAdmission(t *testing.T) {
	now := clock.Now()
	decide := func(pauseAim time.Duration) bool {
		c := &Controller{PeerRates: func() map[string]Rate {
			return map[string]Rate{"a": {Asked: 300_000, Served: 100_000}, "b": {Asked: 300_000, Served: 100_000}}
		}}
		c.Count(now, "a", 10_000)
		return c.Decide(now, Request{
			Account: "a", Work: 100, Wait: 200 * time.Millisecond, QueueWait: 200 * time.Millisecond, MedianQueueWait: 20 * time.Millisecond,
			Aim: 2 * time.Second, PauseAim: pauseAim, Timeout: 10 * time.Second,
		}).Admitted
	}
	qt.Check(t, decide(0), qt.IsTrue)
	qt.Check(t, decide(2*time.Second), qt.IsTrue)
	qt.Check(t, decide(400*time.Millisecond), qt.IsFalse)
}
