// Package admission decides which requests are refused immediately while the
// targets are overloaded. The served work is divided among the client accounts of
// the whole fleet by max-min fairness.
package admission

import (
	"math"
	"slices"
	"sync"
	"time"

	"rattanline.example/rattanline/clock"
)

const (
	// rateDecayTime is the time constant with which the rates decay.
	rateDecayTime = 1500 * time.Millisecond
	// shareRefreshInterval is the minimum interval between computations of the
	// share.
	shareRefreshInterval = 50 * time.Millisecond
	// accountRetention is how long an account is kept after its last request.
	accountRetention = 15 * time.Second
	// waitFactor scales the expected wait until the target begins to answer in the
	// estimate of the time to the first event.
	waitFactor = 1.2
	// pauseFactor scales the wait in the queue of an engine in the estimate of how long the
	// streams there pause.
	pauseFactor = 2.0
	// sharePressure is the pressure up to which requests of an account are admitted that
	// receives exactly its share. Pressure is the expected time to the first event as a
	// multiple of the latency aim.
	sharePressure = 0.55
	// idleQueueWait is the wait caused by other requests up to which an engine counts
	// as idle. An idle engine admits all requests, however long their prompt.
	idleQueueWait = 15 * time.Millisecond
	// busyPrompts is the median number of prompts in the queues of all engines at which an
	// account gets no more than its share. At half of it an account gets up to twice its
	// share. What is known of a single engine is old, so that a busy one may seem to be
	// idle; the median changes slowly.
	busyPrompts = 2.5
	// minBusyQueueWait is the shortest wait for busyPrompts.
	minBusyQueueWait = 75 * time.Millisecond
	// promptTimeWeight is the weight of the newest request in the mean time of a prompt.
	promptTimeWeight = 0.02
	// maxPressure is the pressure up to which requests of an account are admitted that
	// receives nothing.
	maxPressure = 1.7
)

// Rate is the requested and the served work of an account per second.
type Rate struct{ Asked, Served float64 }

// Controller tracks the rates of the accounts at one daemon and decides about
// their requests. The zero value is ready for use; the exported fields are set
// before the first call. It is safe for concurrent use.
type Controller struct {
	// PeerRates returns the sum of the rates of the other daemons, by account name.
	PeerRates func() map[string]Rate
	// Contended states that the jump of an account's rate counts at once: callers may ask for more
	// than the targets can do.
	Contended bool
	// Capacity returns the work per second that the targets of the fleet are declared to do,
	// zero if it isn't known. A nil function means zero.
	Capacity func() float64

	mu       sync.Mutex
	accounts map[string]*account
	// promptTime is the mean time in which an engine processes a prompt.
	promptTime time.Duration
	// lastShare is the share as of shareComputed.
	lastShare     float64
	shareComputed clock.Instant
}

type account struct {
	asked, served meter
	burst         burst
	lastRequest   clock.Instant
}

// meter measures work per second as an exponentially decaying average.
type meter struct {
	rate    float64
	updated clock.Instant
}

func (m *meter) add(now clock.Instant, work float64) { m.addWithin(now, work, rateDecayTime) }

// remove removes work that was added at the given time, as far as it hasn't decayed.
func (m *meter) remove(now clock.Instant, work float64, added clock.Instant) {
	m.removeWithin(now, work, added, rateDecayTime)
}

func (m *meter) decayed(now clock.Instant) float64 { return m.decayedWithin(now, rateDecayTime) }

// Request describes a request for admission.
type Request struct {
	Account string
	Work    float64
	// Wait is the expected time until the best target begins to answer, QueueWait
	// the portion of it that other requests cause. Aim is the latency aim: the time
	// within which the answer has its full value. Timeout is the remaining time.
	Wait, QueueWait, Aim, Timeout time.Duration
	// MedianQueueWait is the median QueueWait of all targets of the service.
	MedianQueueWait time.Duration
	// StartDelay is the time to the first event of the response that comes on top of Wait.
	StartDelay time.Duration
	// PauseAim is the longest time between two events with which a stream has its full value,
	// zero if there is none.
	PauseAim time.Duration
	// Again states that the request was counted before, and refused at another target.
	Again bool
}

// Decision is the result of Decide and the values that it was based on.
type Decision struct {
	Admitted bool
	// RetryAfter is the expected time until capacity is available, zero if the
	// request was admitted.
	RetryAfter time.Duration
	// Pressure is the expected time to the first event as a multiple of the latency
	// aim. Served is the work per second that the account receives, Share the work
	// per second that it is entitled to; both are zero where admission does not
	// depend on them.
	Pressure, Served, Share float64
}

// Decide counts the request towards the rates of its account and decides whether
// it is admitted.
func (c *Controller) Decide(now clock.Instant, q Request) Decision {
	others := c.PeerRates()
	c.mu.Lock()
	defer c.mu.Unlock()
	a := c.account(now, q.Account)
	if !q.Again {
		a.asked.add(now, q.Work)
		a.burst.ask(now, q.Work)
		c.countPrompt(q)
	}
	busy := max(time.Duration(busyPrompts*float64(c.promptTime)), minBusyQueueWait)
	decision := Decision{Admitted: true, Pressure: q.pressure(q.Wait)}
	if q.QueueWait > idleQueueWait || q.MedianQueueWait > idleQueueWait {
		decision.Share = c.share(now, others)
		decision.Served = c.servedNow(a, now) + others[q.Account].Served
		decision.Admitted = decision.admits(q, busy)
	}
	if decision.Admitted {
		a.serve(now, q.Work)
		return decision
	}
	decision.RetryAfter = min(max(q.Wait-q.Aim/2, 100*time.Millisecond), 2*time.Second)
	return decision
}

// pressure returns the expected time to the first event after the wait as a multiple of the
// latency aim.
func (q Request) pressure(wait time.Duration) float64 {
	p := (q.StartDelay.Seconds() + waitFactor*wait.Seconds()) / max(q.Aim.Seconds(), 0.001)
	if q.PauseAim > 0 {
		p = max(p, pauseFactor*q.QueueWait.Seconds()/q.PauseAim.Seconds())
	}
	return p
}

// countPrompt counts the request towards the mean time of a prompt.
func (c *Controller) countPrompt(q Request) {
	own := q.Wait - q.QueueWait
	if c.promptTime == 0 {
		c.promptTime = own
	}
	c.promptTime += time.Duration(promptTimeWeight * float64(own-c.promptTime))
}

// admits reports whether the request of an account with the served work and the share is
// admitted, given the median wait in the queues of all engines from which on they are busy.
func (d Decision) admits(q Request, busy time.Duration) bool {
	if q.Wait > q.Timeout*2/3 && q.QueueWait > idleQueueWait {
		return false
	}
	if d.Served < d.Share { // the length of its own prompt is no reason to refuse it
		return q.pressure(q.QueueWait) <= pressureLimit(d.Served, d.Share)
	}
	if excess := max(float64(busy)/float64(q.MedianQueueWait), 1); d.Served > excess*d.Share {
		return false
	}
	return q.QueueWait <= idleQueueWait || d.Pressure <= pressureLimit(d.Served, d.Share)
}

// pressureLimit returns the pressure up to which requests of an account are admitted.
// It is the higher, the smaller the fraction of its share that the account receives. An
// account far above its share is admitted only to engines that are nearly idle:
// otherwise an account that asks for much would get more than others by trying often, as
// the pressure varies from engine to engine.
func pressureLimit(served, share float64) float64 {
	if served <= 0 { // the share is zero too if nothing was served yet
		return maxPressure
	}
	if served >= share {
		return sharePressure * share / served
	}
	return sharePressure + (maxPressure-sharePressure)*(1-served/share)
}

// Served returns the work per second that the account receives from all daemons.
func (c *Controller) Served(now clock.Instant, name string) float64 {
	others := c.PeerRates()
	c.mu.Lock()
	defer c.mu.Unlock()
	served := others[name].Served
	if a := c.accounts[name]; a != nil {
		served += a.served.decayed(now)
	}
	return served
}

// Count counts work that an account receives without a decision, such as that of a
// request that is sent to another target.
func (c *Controller) Count(now clock.Instant, name string, work float64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.account(now, name).serve(now, work)
}

// Withdraw removes work that no target ran from the work that was counted as served at
// the given time.
func (c *Controller) Withdraw(now clock.Instant, name string, work float64, counted clock.Instant) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if a := c.accounts[name]; a != nil {
		a.served.remove(now, work, counted)
		a.burst.served.removeWithin(now, work, counted, burstDecayTime)
	}
}

func (c *Controller) account(now clock.Instant, name string) *account {
	if c.accounts == nil {
		c.accounts = map[string]*account{}
	}
	a := c.accounts[name]
	if a == nil {
		a = &account{}
		c.accounts[name] = a
	}
	a.lastRequest = now
	return a
}

// share returns the max-min fair share of each account, in work per second, in what the fleet
// currently serves or, if that is more, in what it is declared to serve: after a pause, such as
// the restart of all daemons, little is served until requests are admitted.
func (c *Controller) share(now clock.Instant, others map[string]Rate) float64 {
	if now.Sub(c.shareComputed) < shareRefreshInterval {
		return c.lastShare
	}
	c.shareComputed = now
	c.lastShare = c.computeShare(now, others)
	return c.lastShare
}

func (c *Controller) computeShare(now clock.Instant, others map[string]Rate) float64 {
	total := 0.0
	asked := make([]float64, 0, len(c.accounts)+len(others))
	for name, a := range c.accounts {
		o := others[name]
		asked = append(asked, c.askedNow(a, now)+o.Asked)
		total += a.served.decayed(now) + o.Served
	}
	for name, o := range others {
		if c.accounts[name] == nil {
			asked = append(asked, o.Asked)
			total += o.Served
		}
	}
	return MaxMinShare(asked, max(total, c.capacity()))
}

// capacity returns the declared work per second of all targets, zero if it isn't known.
func (c *Controller) capacity() float64 {
	if c.Capacity == nil {
		return 0
	}
	return c.Capacity()
}

// MaxMinShare returns the max-min fair share: the level at which the demands, each
// capped at that level, add up to the capacity. It returns infinity if the sum of
// all demands does not exceed the capacity. It sorts demands in place.
func MaxMinShare(demands []float64, capacity float64) float64 {
	slices.Sort(demands)
	for i, d := range demands {
		if left := float64(len(demands) - i); d*left > capacity {
			return capacity / left
		}
		capacity -= d
	}
	return math.Inf(1)
}

// Rates returns the rates of this daemon by account name, and removes idle
// accounts.
func (c *Controller) Rates(now clock.Instant) map[string]Rate {
	c.mu.Lock()
	defer c.mu.Unlock()
	rates := make(map[string]Rate, len(c.accounts))
	for name, a := range c.accounts {
		if now.Sub(a.lastRequest) > accountRetention {
			delete(c.accounts, name)
			continue
		}
		rates[name] = Rate{Asked: math.Round(a.asked.decayed(now)), Served: math.Round(a.served.decayed(now))}
	}
	return rates
}
