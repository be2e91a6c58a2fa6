package soak

import (
	"time"
)

const (
	// poisonSegment is the prompt segment that crashes engines.
	poisonSegment = "dead"
	// poisonFraction is the fraction of the streams that have poisonSegment in their prompts
	// while it is in use.
	poisonFraction = 0.08
	// poisonDowntime is how long an engine is away after a crash.
	poisonDowntime = 1500 * time.Millisecond
	// freePoisonCrashes is the number of crashes after which poisonSegment must be known, and
	// maxLatePoison the number of requests with it that may still reach engines reconnectTime
	// later.
	freePoisonCrashes, maxLatePoison = 5, 3
)

// poison records the requests with poisonSegment.
type poison struct {
	crashes []time.Time
	late    int // requests that arrived too late
}

// usePoisonSegment lets callers send poisonSegment from a third of the time with faults on, and
// in most of the recovery after it.
func (c *cluster) usePoisonSegment(faults time.Duration) {
	time.AfterFunc(faults/3, func() { c.poisonInUse.Store(true) })
	time.AfterFunc(faults+recoverTime-time.Second, func() { c.poisonInUse.Store(false) })
}

// crashByRequest ends the target because of a request with poisonSegment, and replaces it.
func (c *cluster) crashByRequest(t *target) {
	c.checker.recordPoisonCrash()
	t.crash()
	time.AfterFunc(poisonDowntime, func() { c.replaceTarget(t) })
}

func (c *checker) recordPoisonCrash() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.poison.crashes = append(c.poison.crashes, time.Now())
}

// hasPoison reports whether the request has poisonSegment in its prompt.
func (c *checker) hasPoison(id string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	s := c.requests[id]
	return s != nil && s.poisoned
}

// checkPoison checks a request that reached an engine. The caller must hold c.mu.
func (c *checker) checkPoison(s *sentRequest, now time.Time) {
	p := &c.poison
	if !s.poisoned || len(p.crashes) < freePoisonCrashes || now.Sub(p.crashes[freePoisonCrashes-1]) <= reconnectTime || !c.stable(now, storeComponent, s.frontend) {
		return
	}
	if p.late++; p.late == maxLatePoison+1 {
		c.addViolation("POISON", "request %s is the %dth with the poison segment after %d crashes", s.id, p.late, len(p.crashes))
	}
}
