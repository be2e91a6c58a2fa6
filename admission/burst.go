package admission

import (
	"time"

	"rattanline.example/rattanline/clock"
)

// burstDecayTime is the time constant with which the rates of the newest requests decay. It is
// shorter than the time in which a flood fills the queues of the engines.
const burstDecayTime = 250 * time.Millisecond

// burstRequests is how many requests of an account may come at once at a daemon without counting as a
// jump of its rate: most accounts send few to each, at random times.
const burstRequests = 4

// burst measures the work of an account at this daemon in the last moments.
//
// It answers the first second of a flood: an account jumps to many times its load, and until the
// average rates have followed, all accounts together seem to ask for less than the engines can do.
// Callers of one account mostly use the same few daemons, so these see the jump at once, and the
// others don't need to.
type burst struct {
	asked, served meter
	// size is the mean work of a request.
	size float64
}

// ask counts a request.
func (b *burst) ask(now clock.Instant, work float64) {
	b.asked.addWithin(now, work, burstDecayTime)
	if b.size == 0 {
		b.size = work
	}
	b.size += promptTimeWeight * (work - b.size)
}

// serve counts work that the account receives.
func (a *account) serve(now clock.Instant, work float64) {
	a.served.add(now, work)
	a.burst.served.addWithin(now, work, burstDecayTime)
}

// rate returns the work per second of the meter in the last moments, less that of burstRequests.
func (b *burst) rate(now clock.Instant, m meter) float64 {
	return m.decayedWithin(now, burstDecayTime) - burstRequests*b.size/burstDecayTime.Seconds()
}

// askedNow returns the work per second that the account asks for at this daemon, on average or, if
// Contended is set, in the last moments, whichever is more.
func (c *Controller) askedNow(a *account, now clock.Instant) float64 {
	if !c.Contended {
		return a.asked.decayed(now)
	}
	return max(a.asked.decayed(now), a.burst.rate(now, a.burst.asked))
}

// servedNow returns the work per second that the account receives from this daemon, on average or, if
// Contended is set, in the last moments, whichever is more.
func (c *Controller) servedNow(a *account, now clock.Instant) float64 {
	if !c.Contended {
		return a.served.decayed(now)
	}
	return max(a.served.decayed(now), a.burst.rate(now, a.burst.served))
}

// addWithin adds work to a meter that decays with the time constant.
func (m *meter) addWithin(now clock.Instant, work float64, decay time.Duration) {
	m.rate = m.decayedWithin(now, decay) + work/decay.Seconds()
	m.updated = max(m.updated, now)
}

// removeWithin removes work that was added at the given time, as far as it hasn't decayed.
func (m *meter) removeWithin(now clock.Instant, work float64, added clock.Instant, decay time.Duration) {
	now = max(now, m.updated)
	left := meter{rate: work / decay.Seconds(), updated: added}
	m.rate = max(m.decayedWithin(now, decay)-left.decayedWithin(now, decay), 0)
	m.updated = now
}

// decayedWithin returns the rate of a meter that decays with the time constant.
func (m *meter) decayedWithin(now clock.Instant, decay time.Duration) float64 {
	return m.rate * clock.Decay(now, m.updated, decay)
}
