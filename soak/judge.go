package soak

import (
	"fmt"
	"slices"
	"sync"
	"time"
)

// The bounds that are checked.
const (
	revokeTime = 5 * time.Second
	// applyTime is when a change of the configuration is in force, stretchTime how
	// much later where the store or the daemon was disturbed.
	applyTime   = 2 * time.Second
	stretchTime = 5 * time.Second
	drainTime   = 2 * time.Second
	contact     = 3 * time.Second
	// reachTime is allowed for a request on its way from a daemon to a target.
	reachTime = 300 * time.Millisecond
	// deadTime is how long the directory may name a daemon that is gone.
	deadTime = contact + 3*time.Second
	// coldPerSecond is what a cold target bears, coldMost what it may get.
	coldPerSecond = 7.7
	coldMost      = coldPerSecond*1.5 + 5
	coldTime      = 3 * time.Second
	retryRatio    = 0.2
	retrySlack    = 58
	retryWindow   = 10 * time.Second
	// finalShare is the part of the requests that must be served after the last
	// fault, recoverTime when that begins.
	finalShare  = 0.9
	recoverTime = 6 * time.Second
	finalTime   = 3 * time.Second
)

// Violation is a broken promise.
type Violation struct {
	Rule   string
	At     time.Duration
	Detail string
}

// sent is one request as its caller sent it.
type sent struct {
	kind    kind
	id      string
	at      time.Time
	key     string
	account string
	path    string
	body    string
	daemon  string
	runs    []time.Time
	// status is that of the answer, zero while there is none.
	status  int
	refused bool
	served  bool
}

// judge checks what callers and targets see.
type judge struct {
	began time.Time

	mu       sync.Mutex
	requests map[string]*sent
	// created and revoked hold when keys were given and taken away, leaving when
	// targets said that they leave.
	created  map[string]time.Time
	revoked  map[string]time.Time
	leaving  map[string]time.Time
	arrivals map[string][]time.Time // at cold targets
	again    map[string][]time.Time // arrivals beyond the first, by service
	asked    map[string][]time.Time // requests by service
	dead     map[string]time.Time   // daemons that are gone, by frontend
	// disturbed is when a fault last ended, by what it concerns: the store, a
	// daemon or a target; faulty counts those that last.
	disturbed  map[string]time.Time
	faulty     map[string]int
	violations []Violation
}

func newJudge() *judge {
	return &judge{
		began: time.Now(), requests: map[string]*sent{}, created: map[string]time.Time{}, revoked: map[string]time.Time{}, leaving: map[string]time.Time{},
		arrivals: map[string][]time.Time{}, again: map[string][]time.Time{}, asked: map[string][]time.Time{},
		dead: map[string]time.Time{}, disturbed: map[string]time.Time{}, faulty: map[string]int{},
	}
}

func (j *judge) broken(rule, format string, args ...any) {
	j.violations = append(j.violations, Violation{Rule: rule, At: time.Since(j.began), Detail: fmt.Sprintf(format, args...)})
}

func (j *judge) report(rule, format string, args ...any) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.broken(rule, format, args...)
}

// disturb notes the begin of a fault that concerns something, and returns what
// notes its end.
func (j *judge) disturb(what string) (end func()) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.faulty[what]++
	return func() {
		j.mu.Lock()
		defer j.mu.Unlock()
		j.faulty[what]--
		j.disturbed[what] = time.Now()
	}
}

// calm tells that nothing concerned the things for the time in which daemons
// must be in touch again.
func (j *judge) calm(now time.Time, things ...string) bool {
	for _, t := range things {
		if j.faulty[t] > 0 || now.Sub(j.disturbed[t]) <= contact {
			return false
		}
	}
	return true
}

func (j *judge) lives(frontend string) {
	j.mu.Lock()
	defer j.mu.Unlock()
	delete(j.dead, frontend)
}

func (j *judge) died(frontend string) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.dead[frontend] = time.Now()
}

// replace notes that a key took the place of another.
func (j *judge) replace(old, key string) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.revoked[old], j.created[key] = time.Now(), time.Now()
}

func (j *judge) leaves(target string) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.leaving[target] = time.Now()
}

func (j *judge) send(s *sent) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.requests[s.id] = s
	j.asked[s.kind.service] = append(j.asked[s.kind.service], s.at)
}

// arrived takes a request that reached a target, whether it is run or not.
func (j *judge) arrived(service, target, id string, cold bool) {
	j.mu.Lock()
	defer j.mu.Unlock()
	now := time.Now()
	s := j.requests[id]
	if s == nil {
		j.broken("UNASKED", "request %q at %s was never sent", id, target)
		return
	}
	if len(s.runs) > 0 {
		j.again[service] = append(j.again[service], now)
	}
	if cold && j.calm(now, target) { // what was held back arrives at once
		j.arrivals[target] = append(j.arrivals[target], now)
	}
	if at, ok := j.leaving[target]; ok && now.Sub(at) > drainTime+reachTime && j.calm(now, storeName, s.daemon, target) && j.calm(at, storeName) {
		j.broken("DRAIN", "request %s reached %s %s after it said that it leaves", id, target, now.Sub(at))
	}
}

// ran takes a request that a target begins to run.
func (j *judge) ran(target, id, path, body, account string) {
	j.mu.Lock()
	defer j.mu.Unlock()
	now := time.Now()
	s := j.requests[id]
	if s == nil {
		return
	}
	s.runs = append(s.runs, now)
	switch {
	case s.path != path || s.body != body:
		j.broken("UNASKED", "request %s at %s has another path or body", id, target)
	case s.kind.keyed && account != s.account:
		j.broken("UNASKED", "request %s at %s runs for account %q, not %q", id, target, account, s.account)
	case !s.kind.again() && len(s.runs) > 1:
		j.broken("TWICE", "request %s (%s) runs again at %s", id, s.kind.name, target)
	case !s.kind.again() && s.refused:
		j.broken("REFUSED", "request %s (%s) runs at %s after it was refused with %d", id, s.kind.name, target, s.status)
	}
	if at, ok := j.revoked[s.key]; ok && s.kind.keyed && s.at.Sub(at) > revokeTime {
		j.broken("REVOKED", "request %s runs, sent %s after its key was taken away", id, s.at.Sub(at))
	}
}

// answered takes the end of a request. A failed one has the status zero.
func (j *judge) answered(s *sent, status int, served bool) {
	j.mu.Lock()
	defer j.mu.Unlock()
	s.status, s.served = status, served
	switch status {
	case 408, 421, 429, 503:
		s.refused = true
		if !s.kind.again() && len(s.runs) > 0 {
			j.broken("REFUSED", "request %s (%s) was refused with %d and has run", s.id, s.kind.name, status)
		}
	case 400, 403, 404, 413, 431:
		j.broken("DENIED", "request %s (%s) got %d", s.id, s.kind.name, status)
	case 401:
		known := applyTime
		if !j.calm(time.Now(), storeName, s.daemon) {
			known += stretchTime
		}
		if at, ok := j.revoked[s.key]; s.at.Sub(j.created[s.key]) > known && (!ok || at.After(s.at.Add(requestTime))) {
			j.broken("DENIED", "request %s (%s) got 401, its key is valid for %s", s.id, s.kind.name, s.at.Sub(j.created[s.key]))
		}
	}
}

// named takes an answer of the directory.
func (j *judge) named(by string, addresses []string) {
	j.mu.Lock()
	defer j.mu.Unlock()
	now := time.Now()
	for _, a := range addresses {
		if at, ok := j.dead[a]; ok && now.Sub(at) > deadTime && j.calm(now, storeName, by) {
			j.broken("DIRECTORY", "%s names %s, which is gone for %s", by, a, now.Sub(at))
		}
	}
}

// finish checks what needs the whole run.
func (j *judge) finish(healed time.Time) (served, asked int) {
	j.mu.Lock()
	defer j.mu.Unlock()
	for target, at := range j.arrivals {
		if n := densest(at, time.Second); float64(n) > coldMost {
			j.broken("COLD", "%d requests in a second reached %s while it was cold", n, target)
		}
	}
	for service, again := range j.again {
		for i, end := range again {
			from := end.Add(-retryWindow)
			n := i + 1 - slices.IndexFunc(again, func(t time.Time) bool { return t.After(from) })
			if most := retryRatio*float64(max(between(j.asked[service], from, end), between(j.asked[service], from.Add(-retryWindow), from))) + retrySlack; float64(n) > most {
				j.broken("BUDGET", "%d arrivals again at %s in %s, at most %.0f", n, service, retryWindow, most)
				break
			}
		}
	}
	shares := map[string][2]int{}
	for _, s := range j.requests {
		if s.at.Before(healed.Add(recoverTime)) || s.key != "" && j.revoked[s.key] != (time.Time{}) {
			continue
		}
		asked++
		share := shares[s.account]
		share[1]++
		if s.served {
			served++
			share[0]++
		}
		shares[s.account] = share
	}
	if asked == 0 || float64(served) < finalShare*float64(asked) {
		j.broken("RECOVER", "%d of %d requests served after the last fault", served, asked)
	}
	for account, s := range shares {
		if s[1] > 20 && float64(s[0])*2 < float64(s[1]) {
			j.broken("SHARE", "%d of %d requests of account %s served after the last fault", s[0], s[1], account)
		}
	}
	return served, asked
}

// densest returns the most moments within a span.
func densest(at []time.Time, span time.Duration) int {
	most := 0
	for i := range at {
		for k := i; k < len(at) && at[k].Sub(at[i]) < span; k++ {
			most = max(most, k-i+1)
		}
	}
	return most
}

func between(at []time.Time, from, to time.Time) int {
	n := 0
	for _, t := range at {
		if !t.Before(from) && t.Before(to) {
			n++
		}
	}
	return n
}
