package limit

import "time"

const (
	// slowFactor is the multiple of the minimum first-byte latency above which a
	// target counts as full: batching roughly doubles the latency before a queue
	// forms.
	slowFactor = 2
	// suddenFactor is the multiple of the smoothed latency above which a target
	// counts as suddenly slow.
	suddenFactor = 4
	// suddenMargin is the excess over the smoothed latency above which a target counts
	// as suddenly slow. It filters out the scheduling noise of fast services.
	suddenMargin = 50 * time.Millisecond
	// suddenSuccesses is how many consecutive successes must be slow: a single one
	// may have a long prompt.
	suddenSuccesses = 3
	// minDecreaseInterval and maxDecreaseInterval bound the round-trip time that
	// separates two decreases.
	minDecreaseInterval = 100 * time.Millisecond
	maxDecreaseInterval = 5 * time.Second
	// rampInterval separates increases during the ramp-up of a target that sends no
	// load reports.
	rampInterval = time.Second
	// growthDivisor bounds the increase per observation to a quarter of the limit:
	// many rounds at the current limit are no evidence for much higher limits.
	growthDivisor = 4
	// ejectFailures is the number of consecutive failures that eject a target.
	ejectFailures = 5
	// minProbeInterval and maxProbeInterval bound the interval between probes.
	minProbeInterval = time.Second
	maxProbeInterval = 30 * time.Second
	// maxFormer is how many former incarnations are recognised in late messages.
	maxFormer = 8
)

// Controller adjusts the concurrency limit of one target at the owner of its
// slots: it raises the limit after full rounds of successes and halves it after
// failures and overloads. It is not safe for concurrent use.
type Controller struct {
	cold, max int
	limit     int
	ramping   bool
	// adoptable is true until the controller receives any information about the
	// target.
	adoptable bool

	incarnation     string
	incarnationSeen time.Time // when the incarnation was first seen
	former          []string

	successes    int // in the current round, which is full once they reach the limit
	latency      latency
	lastDecrease time.Time
	lastIncrease time.Time
	lastReport   time.Time // when the last load report was taken
	queued       bool

	health health
}

// New returns a controller with the cold and the maximum limit for a target of
// unknown state, which may be cold.
func New(cold, max int) *Controller {
	c := &Controller{ramping: true, adoptable: true}
	c.Configure(cold, max)
	c.limit = c.cold
	return c
}

// Configure sets the cold and the maximum limit after a configuration change.
func (c *Controller) Configure(cold, max int) {
	if max < 1 {
		max = 1
	}
	c.cold, c.max = min(atLeastOne(cold), max), max
	c.limit = min(atLeastOne(c.limit), max)
}

// Limit returns how many requests the target may have in flight. For an ejected
// target it is one if a probe is due, else zero, as of the last time passed to the
// controller.
func (c *Controller) Limit() int {
	if c.health.ejected {
		return min(1, c.health.availableProbes())
	}
	return c.limit
}

// Ramping reports whether the target may still be cold: since it started, the
// limit has not reached the maximum and the target has not been full.
func (c *Controller) Ramping() bool { return c.ramping }

// Incarnation returns the target's last known incarnation.
func (c *Controller) Incarnation() string { return c.incarnation }

// Ejected reports whether the target is ejected: at most one slot may be granted,
// and only for a probe; see ProbeDue.
func (c *Controller) Ejected(now time.Time) bool {
	c.health.advance(now)
	return c.health.ejected
}

// ProbeDue reports whether the target is ejected and a slot for one probe may be
// granted.
func (c *Controller) ProbeDue(now time.Time) bool {
	c.health.advance(now)
	return c.health.ejected && c.health.due
}

// Observe updates the limit with the results of attempts.
func (c *Controller) Observe(now time.Time, o Observation) {
	c.health.advance(now)
	if c.isFormer(o.Incarnation) {
		return
	}
	c.adoptable = false
	c.identify(now, o.Incarnation)
	if c.health.observe(now, o) {
		c.restart(now)
	}
	if c.health.ejected {
		return
	}
	if o.Failures+o.Overloads > 0 {
		c.decrease(now)
	}
	if o.Successes > 0 {
		c.recordSuccesses(now, o)
	}
}

// Report updates the state with a load report of the target.
func (c *Controller) Report(now time.Time, l Load) {
	c.health.advance(now)
	taken := now.Add(-l.Age)
	if c.isFormer(l.Incarnation) || taken.Before(c.lastReport) {
		return
	}
	if l.Incarnation != c.incarnation && taken.Before(c.incarnationSeen) {
		return
	}
	c.adoptable = false
	c.identify(now, l.Incarnation)
	c.lastReport = taken
	// A report that was taken before the last decrease may show a queue, but not
	// that the queue is gone.
	if l.Queued > 0 {
		c.queued = true
	} else if taken.After(c.lastDecrease) {
		c.queued = false
	}
}

// Adopt merges the state of the target from a former owner or from the holders of
// its slots. In a new controller it replaces the initial cold state. Later, the
// lower of both limits applies, and different incarnations mean that the target
// restarted.
func (c *Controller) Adopt(incarnation string, limit int, ramping bool) {
	limit = min(atLeastOne(limit), c.max)
	switch {
	case c.isFormer(incarnation):
		return
	case c.adoptable:
		c.limit, c.ramping, c.incarnation = limit, ramping, incarnation
	case incarnation != c.incarnation && incarnation != "" && c.incarnation != "":
		c.limit, c.ramping = min(c.limit, c.cold), true
	default:
		c.limit, c.ramping = min(c.limit, limit), c.ramping || ramping
		if c.incarnation == "" {
			c.incarnation = incarnation
		}
	}
	c.adoptable = false
	c.successes = 0
}

func (c *Controller) isFormer(incarnation string) bool {
	for _, f := range c.former {
		if f == incarnation {
			return true
		}
	}
	return false
}

// identify restarts the ramp-up when the target reports a new incarnation.
func (c *Controller) identify(now time.Time, incarnation string) {
	if incarnation == "" || incarnation == c.incarnation {
		return
	}
	if c.incarnation != "" {
		c.former = append(c.former, c.incarnation)
		c.former = c.former[max(0, len(c.former)-maxFormer):]
	}
	c.incarnation, c.incarnationSeen = incarnation, now
	c.restart(now)
}

// restart treats the target as cold. The minimum latency is retained, so that a
// target that is slower than it was when warm stays at the cold limit.
func (c *Controller) restart(now time.Time) {
	c.limit = min(c.limit, c.cold)
	c.ramping = true
	c.successes = 0
	c.queued = false
	c.lastDecrease, c.lastIncrease = now, now
}

// decrease halves the limit, at most once per round trip: failures of requests
// that were sent before the last decrease are no evidence about the new limit.
func (c *Controller) decrease(now time.Time) {
	c.successes = 0
	roundTrip := min(max(c.latency.smoothed, minDecreaseInterval), maxDecreaseInterval)
	if now.Sub(c.lastDecrease) < roundTrip && !c.lastDecrease.IsZero() {
		return
	}
	c.limit = max(c.limit/2, 1)
	c.lastDecrease = now
}

func (c *Controller) recordSuccesses(now time.Time, o Observation) {
	if c.latency.add(now, o.FirstByte, o.Successes) {
		c.restart(now)
		return
	}
	if o.Failures+o.Overloads > 0 || !o.Saturated {
		return
	}
	c.successes += o.Successes
	before := c.limit
	for growth := max(1, c.limit/growthDivisor); growth > 0 && c.successes >= c.limit; growth-- {
		c.successes -= c.limit
		if c.queued || c.latency.slow(o.FirstByte) {
			// A round that finds the target full ends the ramp-up, unless the
			// limit does not exceed the cold limit.
			c.ramping = c.ramping && c.limit <= c.cold
			c.successes = 0
			return
		}
		if !c.mayGrow(now) {
			c.successes = 0
			return
		}
		c.limit = min(c.limit+1, c.max)
		c.health.recovered()
	}
	if c.limit == c.max {
		c.ramping = false
	}
	if c.limit > before {
		c.lastIncrease = now
	}
	c.successes = min(c.successes, c.limit)
}

// mayGrow reports whether the limit may be raised. During the ramp-up this needs a
// load report that was taken after the last change of the limit. Otherwise short
// requests would complete many rounds before a report can show that the target is
// still cold. Without recent reports, rampInterval separates the increases.
func (c *Controller) mayGrow(now time.Time) bool {
	if !c.ramping {
		return true
	}
	changed := c.lastIncrease
	if c.lastDecrease.After(changed) {
		changed = c.lastDecrease
	}
	if c.lastReport.IsZero() || now.Sub(c.lastReport) > 10*rampInterval {
		return now.Sub(changed) >= rampInterval
	}
	return c.lastReport.After(changed)
}

func atLeastOne(n int) int { return max(n, 1) }
