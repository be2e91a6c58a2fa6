package frontend

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"time"

	"rattanline.example/rattanline/config"
)

// InFlight is a request that has not ended.
type InFlight struct {
	RequestID string
	Account   string
	Service   string
	Target    string
	Since     time.Time
}

// running holds the requests in flight, as a whole and by target.
type running struct {
	mu      sync.Mutex
	calls   map[*call]InFlight
	targets map[string]*targetRun
	// unsent counts claimed requests that wait, by account.
	unsent map[string]int
	// bodies counts the bytes of the bodies of claimed requests that were not
	// sent, by account.
	bodies map[string]int64
	// reading counts the bytes of bodies that are being received, by account.
	reading map[string]int64
}

// targetRun holds the requests in flight at a target between two crashes.
type targetRun struct {
	target      string
	incarnation string // the last one seen
	// restarts counts the crashes since then: what crashed after the first of
	// them was another incarnation, whose name wasn't seen.
	restarts int
	members  map[*call]uint64
	crashed  bool
}

func (r *running) add(c *call) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.calls == nil {
		r.calls, r.targets = map[*call]InFlight{}, map[string]*targetRun{}
		r.unsent, r.bodies, r.reading = map[string]int{}, map[string]int64{}, map[string]int64{}
	}
	r.calls[c] = InFlight{RequestID: c.id, Since: c.arrived}
}

func (r *running) remove(c *call) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.dropUnsent(c)
	r.dropBody(c)
	delete(r.calls, c)
}

// enter notes that the call is about to be sent to the target.
func (r *running) enter(c *call, t config.Target) *targetRun {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.calls[c] = InFlight{RequestID: c.id, Account: c.account.Name, Service: c.service.Name, Target: t.Name, Since: c.arrived}
	run := r.targets[t.Name]
	if run == nil {
		run = &targetRun{target: t.Name, members: map[*call]uint64{}}
		r.targets[t.Name] = run
	}
	run.members[c] = c.fingerprint
	return run
}

// answered notes the target incarnation that answered.
func (r *running) answered(run *targetRun, incarnation string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if incarnation != "" {
		run.incarnation, run.restarts = incarnation, 0
	}
}

// leave notes that the attempt ended. After a crash it returns the crash and
// the fingerprints of all requests that were in flight, to the first of them
// only: a later one would see fewer and look as if it had been alone.
func (r *running) leave(c *call, run *targetRun, crashed bool) (crash string, fingerprints []uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if crashed && !run.crashed {
		run.crashed = true
		crash = run.target + "/" + run.incarnation
		if run.restarts > 0 {
			crash += fmt.Sprintf("+%d", run.restarts)
		}
		for _, fingerprint := range run.members {
			fingerprints = append(fingerprints, fingerprint)
		}
		slices.Sort(fingerprints)
		r.targets[run.target] = &targetRun{
			target: run.target, incarnation: run.incarnation, restarts: run.restarts + 1, members: map[*call]uint64{},
		}
	}
	delete(run.members, c)
	if len(run.members) == 0 && r.targets[run.target] == run && run.incarnation == "" && run.restarts == 0 {
		delete(r.targets, run.target)
	}
	return crash, slices.Compact(fingerprints)
}

// targetsWith returns the targets at which a matching request is in flight.
func (r *running) targetsWith(match func(fingerprint uint64) bool) []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	var targets []string
	for name, run := range r.targets {
		for _, fingerprint := range run.members {
			if match(fingerprint) {
				targets = append(targets, name)
				break
			}
		}
	}
	return targets
}

// addUnsent bounds the claimed requests of an account that wait, so that an
// account that floods fills neither the claim log nor the platform's writes, nor
// the memory with bodies: the bounds of the queue apply only after the claim.
func (r *running) addUnsent(c *call, limit int, bytes int64) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	held, n := r.bodies[c.account.Name], int64(len(c.body))
	if r.unsent[c.account.Name] >= limit || held > 0 && held+n > bytes {
		return false
	}
	if n > 0 {
		r.bodies[c.account.Name] += n
		c.kept = n
	}
	r.unsent[c.account.Name]++
	c.unsent = true
	return true
}

// sent notes that a claimed request was sent.
func (r *running) sent(c *call) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.dropUnsent(c)
	r.dropBody(c)
}

// resent notes that a claimed request waits for an earlier one. Its body stays
// counted, since it is kept for the case that the earlier one was not sent.
func (r *running) resent(c *call) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.dropUnsent(c)
}

func (r *running) dropBody(c *call) {
	if r.bodies[c.account.Name] -= c.kept; r.bodies[c.account.Name] <= 0 {
		delete(r.bodies, c.account.Name)
	}
	c.kept = 0
}

func (r *running) dropUnsent(c *call) {
	if !c.unsent {
		return
	}
	c.unsent = false
	if r.unsent[c.account.Name]--; r.unsent[c.account.Name] == 0 {
		delete(r.unsent, c.account.Name)
	}
}

// addReading bounds the bodies that an account sends at once: slow senders hold
// memory before the bounds of the queue apply.
func (r *running) addReading(account string, n, limit int64) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.reading[account] > 0 && r.reading[account]+n > limit {
		return false
	}
	r.reading[account] += n
	return true
}

func (r *running) dropReading(account string, n int64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.reading[account] -= n; r.reading[account] <= 0 {
		delete(r.reading, account)
	}
}

func (r *running) list() []InFlight {
	r.mu.Lock()
	defer r.mu.Unlock()
	list := make([]InFlight, 0, len(r.calls))
	for _, f := range r.calls {
		list = append(list, f)
	}
	slices.SortFunc(list, func(x, y InFlight) int { return x.Since.Compare(y.Since) })
	return list
}

func (r *running) drain(ctx context.Context) []InFlight {
	ticker := time.NewTicker(10 * time.Millisecond)
	defer ticker.Stop()
	for {
		left := r.list()
		if len(left) == 0 {
			return nil
		}
		select {
		case <-ctx.Done():
			return left
		case <-ticker.C:
		}
	}
}
