// Package admission decides which requests are refused at once while the
// targets have more work than they can do in time. What is served is shared
// among the client accounts by max-min fairness over the whole fleet.
package admission

import (
	"math"
	"slices"
	"sync"
	"time"

	"rattanline.example/rattanline/clock"
)

const (
	// rateTime is the time constant of the rates.
	rateTime = 1500 * time.Millisecond
	// levelTime is how long a share is used before it is worked out again.
	levelTime = 50 * time.Millisecond
	// forgetTime is how long an account without requests is remembered.
	forgetTime = 15 * time.Second
	// firstDelay and waitFactor turn the expected wait for the prompts before a
	// request into the expected time to its first event: steps of the engine and
	// output tokens come on top.
	firstDelay = 100 * time.Millisecond
	waitFactor = 1.2
	// easyPressure is the part of the latency aim up to which the expected time
	// refuses nobody. Above it, accounts that get their share are refused; the
	// less of it an account gets, the higher a pressure it is admitted at, up to
	// fullPressure.
	easyPressure = 0.55
	// idleQueue is the wait caused by other requests up to which an engine counts
	// as idle: then nobody is refused, however long the prompt.
	idleQueue    = 15 * time.Millisecond
	fullPressure = 1.7
)

// Rate is the work of an account per second.
type Rate struct{ Asked, Served float64 }

// Controller holds the rates of one daemon. The zero value is ready, the exported
// fields are set before the first call. It is safe for concurrent use.
type Controller struct {
	// PeerRates returns the rates of the other daemons, summed by account.
	PeerRates func() map[string]Rate

	mu       sync.Mutex
	accounts map[string]*account
	// level is the share at the moment levelAt.
	level   float64
	levelAt clock.Instant
}

type account struct {
	asked, served meter
	seen          clock.Instant
}

// meter is a rate that decays exponentially.
type meter struct {
	rate float64
	at   clock.Instant
}

func (m *meter) add(now clock.Instant, work float64) {
	m.rate = m.now(now) + work/rateTime.Seconds()
	m.at = now
}

func (m *meter) now(now clock.Instant) float64 {
	return m.rate * math.Exp(-now.Sub(m.at).Seconds()/rateTime.Seconds())
}

// Request describes a request that could be sent.
type Request struct {
	Account string
	Work    float64
	// Wait is the expected time until the best target begins to answer, QueueWait the
	// part of it that other requests cause, Aim the time within which the answer
	// earns its full worth, Timeout the time that it has.
	Wait, QueueWait, Aim, Timeout time.Duration
}

// Decision tells whether to send the request, and what the decision was based on.
type Decision struct {
	Admitted bool
	// RetryAfter is when there is expected to be room.
	RetryAfter time.Duration
	// Pressure is the expected wait in aims, Served what the account gets and
	// Share what it may get, both in work per second.
	Pressure, Served, Share float64
}

// Decide counts the request and tells whether to send it.
func (c *Controller) Decide(now clock.Instant, q Request) Decision {
	others := c.PeerRates()
	c.mu.Lock()
	defer c.mu.Unlock()
	a := c.account(now, q.Account)
	a.asked.add(now, q.Work)
	first := firstDelay.Seconds() + waitFactor*q.Wait.Seconds()
	answer := Decision{Admitted: true, Pressure: first / max(q.Aim.Seconds(), 0.001)}
	if answer.Pressure > easyPressure && q.QueueWait > idleQueue {
		answer.Share = c.share(now, others)
		answer.Served = a.served.now(now) + others[q.Account].Served
		unserved := max(1-answer.Served/answer.Share, 0)
		bearable := easyPressure + (fullPressure-easyPressure)*unserved
		answer.Admitted = answer.Pressure <= bearable && q.Wait <= q.Timeout*2/3
	}
	if answer.Admitted {
		a.served.add(now, q.Work)
		return answer
	}
	answer.RetryAfter = min(max(q.Wait-q.Aim/2, 100*time.Millisecond), 2*time.Second)
	return answer
}

// Served returns the work per second that the account gets from all daemons.
func (c *Controller) Served(now clock.Instant, name string) float64 {
	others := c.PeerRates()
	c.mu.Lock()
	defer c.mu.Unlock()
	served := others[name].Served
	if a := c.accounts[name]; a != nil {
		served += a.served.now(now)
	}
	return served
}

// Withdraw takes back an admitted request that no target ran.
func (c *Controller) Withdraw(now clock.Instant, name string, work float64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if a := c.accounts[name]; a != nil {
		a.served.rate = max(a.served.now(now)-work/rateTime.Seconds(), 0)
		a.served.at = now
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
	a.seen = now
	return a
}

// share returns the level up to which each account is served, such that the
// accounts together get what is served now.
func (c *Controller) share(now clock.Instant, others map[string]Rate) float64 {
	if now.Sub(c.levelAt) < levelTime {
		return c.level
	}
	c.levelAt = now
	c.level = c.newLevel(now, others)
	return c.level
}

func (c *Controller) newLevel(now clock.Instant, others map[string]Rate) float64 {
	total := 0.0
	asked := make([]float64, 0, len(c.accounts)+len(others))
	for name, a := range c.accounts {
		o := others[name]
		asked = append(asked, a.asked.now(now)+o.Asked)
		total += a.served.now(now) + o.Served
	}
	for name, o := range others {
		if c.accounts[name] == nil {
			asked = append(asked, o.Asked)
			total += o.Served
		}
	}
	return MaxMinShare(asked, total)
}

// MaxMinShare returns the level at which the demands, each cut to it, sum up to the
// capacity; infinity if they don't reach it.
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

// Rates returns the rates of this daemon, and forgets idle accounts.
func (c *Controller) Rates(now clock.Instant) map[string]Rate {
	c.mu.Lock()
	defer c.mu.Unlock()
	rates := make(map[string]Rate, len(c.accounts))
	for name, a := range c.accounts {
		if now.Sub(a.seen) > forgetTime {
			delete(c.accounts, name)
			continue
		}
		rates[name] = Rate{Asked: math.Round(a.asked.now(now)), Served: math.Round(a.served.now(now))}
	}
	return rates
}
