package soak

import "time"

const (
	// maxArrivalsInPause is the number of requests that a daemon may send to a target in
	// the time for which the target asked it to send nothing.
	maxArrivalsInPause = 2
	// pauseGrace is how long after the answer of the target that time begins.
	pauseGrace = 500 * time.Millisecond
)

// pair is a target and the frontend of a daemon that it answered.
type pair struct{ target, frontend string }

// notices holds what targets said of themselves, by the daemon that they answered.
type notices struct {
	// leavingAt is when a target's answer that it is leaving was passed on.
	leavingAt map[pair]time.Time
	pauses    map[pair]*pause
}

// pause is the time for which a target asked a daemon to send nothing.
type pause struct {
	from, until time.Time
	arrivals    int
}

func newNotices() notices {
	return notices{leavingAt: map[pair]time.Time{}, pauses: map[pair]*pause{}}
}

// forget drops the statements to the daemon from before its restart.
func (n notices) forget(frontend string) {
	for p := range n.leavingAt {
		if p.frontend == frontend {
			delete(n.leavingAt, p)
		}
	}
	for p := range n.pauses {
		if p.frontend == frontend {
			delete(n.pauses, p)
		}
	}
}

// leavingAnnounced records that the target has answered the request and said that it is
// leaving.
func (c *checker) leavingAnnounced(target, id string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	s := c.requests[id]
	if s == nil {
		return
	}
	p := pair{target, s.frontend}
	if _, ok := c.notices.leavingAt[p]; !ok {
		c.notices.leavingAt[p] = time.Now()
	}
}

// timeAsked records that the target has refused the request and asked for time.
func (c *checker) timeAsked(target, id string, d time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	s := c.requests[id]
	if s == nil {
		return
	}
	now := time.Now()
	p := c.notices.pauses[pair{target, s.frontend}]
	if p == nil || now.After(p.until) {
		p = &pause{from: now.Add(pauseGrace)}
		c.notices.pauses[pair{target, s.frontend}] = p
	}
	if until := now.Add(d); until.After(p.until) {
		p.until = until
	}
}

// checkNotices checks that the daemon of the request, which has arrived at the target, was
// not instructed to keep it back. The caller must hold c.mu.
func (c *checker) checkNotices(s *sentRequest, target string, now time.Time) {
	key := pair{target, s.frontend}
	if !c.stable(now, s.frontend, target) {
		return
	}
	if at, ok := c.notices.leavingAt[key]; ok && s.at.Sub(at) > drainTime && c.stable(at, s.frontend, target) {
		c.addViolation("LEAVING", "request %s, sent %s after %s told %s that it leaves, reached it", s.id, s.at.Sub(at), target, s.frontend)
	}
	if p := c.notices.pauses[key]; p != nil && now.After(p.from) && now.Before(p.until) && c.stable(p.from, s.frontend, target) {
		if p.arrivals++; p.arrivals == maxArrivalsInPause+1 {
			c.addViolation("PAUSE", "%d requests of %s reached %s in the time for which it asked for none", p.arrivals, s.frontend, target)
		}
	}
}
