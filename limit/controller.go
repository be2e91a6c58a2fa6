package limit

import "time"

const (
	// slowFactor is the multiple of the running minimum of the first-byte
	// latency beyond which a target counts as full: batching roughly doubles it
	// before a queue forms.
	slowFactor = 2
	// suddenFactor and suddenFloor define sudden slowness against the smoothed
	// latency; the floor keeps scheduling noise of fast services out.
	suddenFactor = 4
	suddenFloor  = 50 * time.Millisecond
	// suddenSuccesses is how many successes in a row must be slow: a single one
	// may have a long prompt.
	suddenSuccesses = 3
	// roundTripMin and roundTripMax clamp the time between two decreases.
	roundTripMin = 100 * time.Millisecond
	roundTripMax = 5 * time.Second
	// rampPause separates increases during the ramp-up of a target that sends no
	// load reports.
	rampPause = time.Second
	// growthShare bounds the increase per observation to a quarter of the limit:
	// an observation of many rounds says nothing about higher limits.
	growthShare = 4
	// ejectAfter is the number of consecutive failures that eject a target.
	ejectAfter = 5
	// probeMin and probeMax bound the interval between probes.
	probeMin = time.Second
	probeMax = 30 * time.Second
	// formerKept is how many former incarnations are recognised in late messages.
	formerKept = 8
)

// Controller holds the concurrency limit of one target at its owner. It is not
// safe for concurrent use.
type Controller struct {
	cold, max int
	limit     int
	ramping   bool
	// adoptable holds until the controller has seen anything of the target.
	adoptable bool

	incarnation string
	learned     time.Time // when the incarnation was first seen
	former      []string

	successes int // of the current round
	latency   latency
	decreased time.Time
	raised    time.Time
	report    time.Time // when the last load report was taken
	queued    bool

	health health
}

// New returns a controller for an unknown target, which may be cold.
func New(cold, max int) *Controller {
	c := &Controller{ramping: true, adoptable: true}
	c.Configure(cold, max)
	c.limit = c.cold
	return c
}

// Configure changes the bounds after a change of configuration.
func (c *Controller) Configure(cold, max int) {
	if max < 1 {
		max = 1
	}
	c.cold, c.max = min(atLeastOne(cold), max), max
	c.limit = min(atLeastOne(c.limit), max)
}

// Limit returns how many requests the target may have in flight. For an ejected
// target it is one when a probe is due and zero before that, as of the last time
// given to the controller.
func (c *Controller) Limit() int {
	if c.health.ejected {
		return min(1, c.health.probes())
	}
	return c.limit
}

// Ramping tells that the target may still be cold: neither the maximum nor a
// full target was seen since it started.
func (c *Controller) Ramping() bool { return c.ramping }

// Incarnation returns the target's last known incarnation.
func (c *Controller) Incarnation() string { return c.incarnation }

// Ejected tells that at most one slot may be granted, and only as a probe; see
// Probe.
func (c *Controller) Ejected(now time.Time) bool {
	c.health.advance(now)
	return c.health.ejected
}

// ProbeDue tells that an ejected target may get its one probe slot.
func (c *Controller) ProbeDue(now time.Time) bool {
	c.health.advance(now)
	return c.health.ejected && c.health.due
}

// Observe takes in attempts that ended.
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
		c.succeed(now, o)
	}
}

// Report takes in the target's load report.
func (c *Controller) Report(now time.Time, l Load) {
	c.health.advance(now)
	taken := now.Add(-l.Age)
	if c.isFormer(l.Incarnation) || taken.Before(c.report) {
		return
	}
	if l.Incarnation != c.incarnation && taken.Before(c.learned) {
		return
	}
	c.adoptable = false
	c.identify(now, l.Incarnation)
	c.report = taken
	// A report from before the last decrease may show a queue, but can't show
	// that there is none any more.
	if l.Queued > 0 {
		c.queued = true
	} else if taken.After(c.decreased) {
		c.queued = false
	}
}

// Adopt takes over what another owner or its holders know of the target. The
// first time it replaces the cold start of a new controller; afterwards the lower
// limit applies. Two different incarnations mean a restart.
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

// identify restarts the ramp-up when the target names a new incarnation.
func (c *Controller) identify(now time.Time, incarnation string) {
	if incarnation == "" || incarnation == c.incarnation {
		return
	}
	if c.incarnation != "" {
		c.former = append(c.former, c.incarnation)
		c.former = c.former[max(0, len(c.former)-formerKept):]
	}
	c.incarnation, c.learned = incarnation, now
	c.restart(now)
}

// restart treats the target as cold. The latency minimum is kept: a cold target
// that is slower than it was when warm stays at the cold limit.
func (c *Controller) restart(now time.Time) {
	c.limit = min(c.limit, c.cold)
	c.ramping = true
	c.successes = 0
	c.queued = false
	c.decreased, c.raised = now, now
}

// decrease halves the limit, at most once per round trip: failures of requests
// that were sent before the last decrease say nothing about the new limit.
func (c *Controller) decrease(now time.Time) {
	c.successes = 0
	pause := min(max(c.latency.smoothed, roundTripMin), roundTripMax)
	if now.Sub(c.decreased) < pause && !c.decreased.IsZero() {
		return
	}
	c.limit = max(c.limit/2, 1)
	c.decreased = now
}

func (c *Controller) succeed(now time.Time, o Observation) {
	if c.latency.add(now, o.FirstByte, o.Successes) {
		c.restart(now)
		return
	}
	if o.Failures+o.Overloads > 0 || !o.Saturated {
		return
	}
	c.successes += o.Successes
	before := c.limit
	for growth := max(1, c.limit/growthShare); growth > 0 && c.successes >= c.limit; growth-- {
		c.successes -= c.limit
		if c.queued || c.latency.slow(o.FirstByte) {
			// A full round that found the target full ends the ramp-up, unless
			// the target is as small as a cold one.
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
		c.raised = now
	}
	c.successes = min(c.successes, c.limit)
}

// mayGrow lets the ramp-up proceed only on a load report that was taken after
// the limit last changed. Otherwise short requests would complete many rounds
// before a report can show that the target is still cold.
func (c *Controller) mayGrow(now time.Time) bool {
	if !c.ramping {
		return true
	}
	changed := c.raised
	if c.decreased.After(changed) {
		changed = c.decreased
	}
	if c.report.IsZero() || now.Sub(c.report) > 10*rampPause {
		return now.Sub(changed) >= rampPause
	}
	return c.report.After(changed)
}

func atLeastOne(n int) int { return max(n, 1) }
