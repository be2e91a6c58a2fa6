package soak

import (
	"fmt"
	"slices"
	"sync"
	"time"
)

// The limits that the checker enforces. The daemons are configured with the same
// values of revokeTime, coldTime, coldRate and the retry limits.
const (
	// revokeTime is how long a revoked key may still be accepted.
	revokeTime = 5 * time.Second
	// applyLimit is how long a daemon may take to apply a configuration change.
	applyLimit = 2 * time.Second
	// disturbedApplyExtension is added to applyLimit if the store or the daemon
	// was disturbed.
	disturbedApplyExtension = 5 * time.Second
	// drainTime is how long daemons may still send requests to a leaving target.
	drainTime = 2 * time.Second
	// reconnectTime is how long connections may take to recover after a fault.
	reconnectTime = 3 * time.Second
	// deliveryTime is allowed for a request on its way from a daemon to a target.
	deliveryTime = 300 * time.Millisecond
	// staleDirectoryLimit is how long the directory may name a daemon that has
	// ended.
	staleDirectoryLimit = reconnectTime + 3*time.Second
	// coldRate is the number of requests a second that a cold target can handle.
	coldRate = 7.7
	// maxColdArrivals is the number of requests that may reach a cold target
	// within a second.
	maxColdArrivals = coldRate*1.5 + 5
	// coldTime is how long a target is cold after its start.
	coldTime = 3 * time.Second
	// retryRatio is the maximum ratio of retries to requests in retryWindow.
	retryRatio = 0.2
	// retrySlack is the number of retries that are allowed in retryWindow in addition
	// to retryRatio.
	retrySlack  = 58
	retryWindow = 10 * time.Second
	// minServedFraction is the fraction of the requests that must be served after
	// the recovery from the last fault.
	minServedFraction = 0.9
	// recoverTime is how long the recovery from the last fault may take.
	recoverTime = 6 * time.Second
	// finalPhase is how long requests are sent after recoverTime.
	finalPhase = 3 * time.Second
)

// Violation is an observation that contradicts a guarantee of the fleet.
type Violation struct {
	Rule   string
	At     time.Duration // since the start of the run
	Detail string
}

// sentRequest is a request with what its caller and the targets recorded of it.
type sentRequest struct {
	kind       kind
	id         string
	at         time.Time
	key        string
	account    string
	path       string
	body       string
	frontend   string // of the daemon to which it was sent
	poisoned   bool   // has poisonSegment in its prompt
	executions []time.Time
	// status is the HTTP status of the response, zero if there is none.
	status  int
	refused bool
	served  bool
}

// checker records what callers and targets observe, and reports violations.
type checker struct {
	began time.Time

	mu       sync.Mutex
	requests map[string]*sentRequest
	// keyCreated and keyRevoked are by key, leavingSince by target.
	keyCreated   map[string]time.Time
	keyRevoked   map[string]time.Time
	leavingSince map[string]time.Time
	coldArrivals map[string][]time.Time // arrivals of requests by cold target
	retries      map[string][]time.Time // arrivals after an execution has started, by service
	sentTimes    map[string][]time.Time // by service
	endedAt      map[string]time.Time   // of daemons that don't run, by frontend
	// lastFaultEnd and activeFaults are by the component that a fault affects: the
	// store, a daemon's frontend or a target.
	lastFaultEnd map[string]time.Time
	activeFaults map[string]int
	notices      notices
	poison       poison
	violations   []Violation
}

func newChecker() *checker {
	return &checker{
		began: time.Now(), requests: map[string]*sentRequest{}, keyCreated: map[string]time.Time{}, keyRevoked: map[string]time.Time{}, leavingSince: map[string]time.Time{},
		coldArrivals: map[string][]time.Time{}, retries: map[string][]time.Time{}, sentTimes: map[string][]time.Time{},
		endedAt: map[string]time.Time{}, lastFaultEnd: map[string]time.Time{}, activeFaults: map[string]int{}, notices: newNotices(),
	}
}

// addViolation adds a violation. The caller must hold c.mu.
func (c *checker) addViolation(rule, format string, args ...any) {
	c.violations = append(c.violations, Violation{Rule: rule, At: time.Since(c.began), Detail: fmt.Sprintf(format, args...)})
}

func (c *checker) report(rule, format string, args ...any) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.addViolation(rule, format, args...)
}

// beginFault records the start of a fault that affects the component. The returned
// function records its end.
func (c *checker) beginFault(component string) (end func()) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.activeFaults[component]++
	return func() {
		c.mu.Lock()
		defer c.mu.Unlock()
		c.activeFaults[component]--
		c.lastFaultEnd[component] = time.Now()
	}
}

// stable reports whether the components have had no fault for more than
// reconnectTime.
func (c *checker) stable(now time.Time, components ...string) bool {
	for _, name := range components {
		if c.activeFaults[name] > 0 || now.Sub(c.lastFaultEnd[name]) <= reconnectTime {
			return false
		}
	}
	return true
}

func (c *checker) processStarted(frontend string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.endedAt, frontend)
	c.notices.forget(frontend)
}

func (c *checker) processEnded(frontend string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.endedAt[frontend] = time.Now()
}

// keyReplaced records that a new key took the place of a revoked one.
func (c *checker) keyReplaced(old, key string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.keyRevoked[old], c.keyCreated[key] = time.Now(), time.Now()
}

func (c *checker) targetLeaving(target string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.leavingSince[target] = time.Now()
}

func (c *checker) requestSent(s *sentRequest) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.requests[s.id] = s
	c.sentTimes[s.kind.service] = append(c.sentTimes[s.kind.service], s.at)
}

// requestArrived checks a request that reached a target, which may still refuse
// it.
func (c *checker) requestArrived(service, target, id string, cold bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	s := c.requests[id]
	if s == nil {
		c.addViolation("UNASKED", "request %q at %s was never sent", id, target)
		return
	}
	if len(s.executions) > 0 {
		c.retries[service] = append(c.retries[service], now)
	}
	c.checkNotices(s, target, now)
	c.checkPoison(s, now)
	if cold && c.stable(now, target) { // requests delayed by a fault arrive in a burst
		c.coldArrivals[target] = append(c.coldArrivals[target], now)
	}
	if at, ok := c.leavingSince[target]; ok && now.Sub(at) > drainTime+deliveryTime && c.stable(now, storeComponent, s.frontend, target) && c.stable(at, storeComponent) {
		c.addViolation("DRAIN", "request %s reached %s %s after it said that it leaves", id, target, now.Sub(at))
	}
}

// executionStarted checks a request that a target starts to run.
func (c *checker) executionStarted(target, id, path, body, account string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	s := c.requests[id]
	if s == nil {
		return
	}
	s.executions = append(s.executions, now)
	switch {
	case s.path != path || s.body != body:
		c.addViolation("UNASKED", "request %s at %s has another path or body", id, target)
	case s.kind.keyed && account != s.account:
		c.addViolation("UNASKED", "request %s at %s runs for account %q, not %q", id, target, account, s.account)
	case !s.kind.repeatable() && len(s.executions) > 1:
		c.addViolation("TWICE", "request %s (%s) runs again at %s", id, s.kind.name, target)
	case !s.kind.repeatable() && s.refused:
		c.addViolation("REFUSED", "request %s (%s) runs at %s after it was refused with %d", id, s.kind.name, target, s.status)
	}
	if at, ok := c.keyRevoked[s.key]; ok && s.kind.keyed && s.at.Sub(at) > revokeTime {
		c.addViolation("REVOKED", "request %s runs, sent %s after its key was taken away", id, s.at.Sub(at))
	}
}

// requestEnded checks the end of a request. The status is zero if the request got
// no response.
func (c *checker) requestEnded(s *sentRequest, status int, served bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	s.status, s.served = status, served
	switch status {
	case 408, 421, 429, 503:
		s.refused = true
		if !s.kind.repeatable() && len(s.executions) > 0 {
			c.addViolation("REFUSED", "request %s (%s) was refused with %d and has run", s.id, s.kind.name, status)
		}
	case 400, 403, 404, 413, 431:
		c.addViolation("DENIED", "request %s (%s) got %d", s.id, s.kind.name, status)
	case 401:
		limit := applyLimit
		if !c.stable(time.Now(), storeComponent, s.frontend) {
			limit += disturbedApplyExtension
		}
		if at, ok := c.keyRevoked[s.key]; s.at.Sub(c.keyCreated[s.key]) > limit && (!ok || at.After(s.at.Add(requestTime))) {
			c.addViolation("DENIED", "request %s (%s) got 401, its key is valid for %s", s.id, s.kind.name, s.at.Sub(c.keyCreated[s.key]))
		}
	}
}

// directoryAnswered checks the addresses that a daemon's directory returned. The
// daemon is given by its frontend.
func (c *checker) directoryAnswered(by string, addresses []string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	for _, a := range addresses {
		if at, ok := c.endedAt[a]; ok && now.Sub(at) > staleDirectoryLimit && c.stable(now, storeComponent, by) {
			c.addViolation("DIRECTORY", "%s names %s, which is gone for %s", by, a, now.Sub(at))
		}
	}
}

// finish checks the guarantees that depend on the whole run, and returns the values
// of Report.Served and Report.Sent. The last fault ended at faultsEnded.
func (c *checker) finish(faultsEnded time.Time) (served, sent int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for target, at := range c.coldArrivals {
		if n := maxWithin(at, time.Second); float64(n) > maxColdArrivals {
			c.addViolation("COLD", "%d requests in a second reached %s while it was cold", n, target)
		}
	}
	for service, retries := range c.retries {
		for i, end := range retries {
			from := end.Add(-retryWindow)
			// The ratio applies to the requests of the window or to those of the window
			// before it, whichever are more.
			n := i + 1 - slices.IndexFunc(retries, func(t time.Time) bool { return t.After(from) })
			if limit := retryRatio*float64(max(countBetween(c.sentTimes[service], from, end), countBetween(c.sentTimes[service], from.Add(-retryWindow), from))) + retrySlack; float64(n) > limit {
				c.addViolation("BUDGET", "%d arrivals again at %s in %s, at most %.0f", n, service, retryWindow, limit)
				break
			}
		}
	}
	shares := map[string][2]int{} // served and sent requests, by account
	for _, s := range c.requests {
		if s.at.Before(faultsEnded.Add(recoverTime)) || s.key != "" && c.keyRevoked[s.key] != (time.Time{}) {
			continue
		}
		sent++
		share := shares[s.account]
		share[1]++
		if s.served {
			served++
			share[0]++
		}
		shares[s.account] = share
	}
	if sent == 0 || float64(served) < minServedFraction*float64(sent) {
		c.addViolation("RECOVER", "%d of %d requests served after the last fault", served, sent)
	}
	for account, s := range shares {
		// At least half of the requests of an account that sent more than 20 must be
		// served.
		if s[1] > 20 && float64(s[0])*2 < float64(s[1]) {
			c.addViolation("SHARE", "%d of %d requests of account %s served after the last fault", s[0], s[1], account)
		}
	}
	return served, sent
}

// maxWithin returns the largest number of times, which are in ascending order, that
// fall within a window shorter than span.
func maxWithin(times []time.Time, span time.Duration) int {
	most := 0
	for i := range times {
		for k := i; k < len(times) && times[k].Sub(times[i]) < span; k++ {
			most = max(most, k-i+1)
		}
	}
	return most
}

// countBetween returns the number of times in the interval [from, to).
func countBetween(times []time.Time, from, to time.Time) int {
	n := 0
	for _, t := range times {
		if !t.Before(from) && t.Before(to) {
			n++
		}
	}
	return n
}
