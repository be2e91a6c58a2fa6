package relay

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"time"
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
	calls   map[*Call]InFlight
	targets map[string]*targetRun
}

// targetRun holds the requests in flight at a target between two crashes.
type targetRun struct {
	target      string
	incarnation string // the last one seen
	// restarts counts the crashes since then: what crashed after the first of
	// them was another incarnation, whose name wasn't seen.
	restarts int
	members  map[*Call]uint64
	crashed  bool
}

func (r *running) add(c *Call) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.calls == nil {
		r.calls, r.targets = map[*Call]InFlight{}, map[string]*targetRun{}
	}
	r.calls[c] = InFlight{RequestID: c.ID, Since: c.Arrived}
}

func (r *running) remove(c *Call) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.calls, c)
}

// enter notes that the call is about to be sent to its target.
func (r *running) enter(c *Call) *targetRun {
	r.mu.Lock()
	defer r.mu.Unlock()
	name := c.Target.Name
	r.calls[c] = InFlight{RequestID: c.ID, Account: c.Account, Service: c.Service, Target: name, Since: c.Arrived}
	run := r.targets[name]
	if run == nil {
		run = &targetRun{target: name, members: map[*Call]uint64{}}
		r.targets[name] = run
	}
	run.members[c] = c.Fingerprint
	return run
}

// answered notes the target incarnation that answered.
func (r *running) answered(target, incarnation string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if run := r.targets[target]; run != nil && incarnation != "" {
		run.incarnation, run.restarts = incarnation, 0
	}
}

// leave notes that the attempt ended. After a crash it returns the crash and
// the fingerprints of all requests that were in flight, to the first of them
// only: a later one would see fewer and look as if it had been alone.
func (r *running) leave(c *Call, run *targetRun, crashed bool) (crash string, fingerprints []uint64) {
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
			target: run.target, incarnation: run.incarnation, restarts: run.restarts + 1, members: map[*Call]uint64{},
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
