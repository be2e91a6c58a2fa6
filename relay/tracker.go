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

// tracker holds the requests in flight, in total and by target.
type tracker struct {
	mu      sync.Mutex
	calls   map[*Call]InFlight
	aborts  map[*Call]context.CancelCauseFunc
	targets map[string]*targetRun
}

// targetRun holds the requests in flight at a target between two of its crashes.
type targetRun struct {
	target      string
	incarnation string // the last one seen
	// restarts counts the crashes since incarnation was seen. From the second crash
	// on, the crashed incarnation is a later one, whose name was not seen.
	restarts     int
	fingerprints map[*Call]uint64
	// suspects holds the calls whose prompts may crash targets.
	suspects map[*Call]bool
	crashed  bool
}

func (t *tracker) add(c *Call) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.calls == nil {
		t.calls, t.aborts, t.targets = map[*Call]InFlight{}, map[*Call]context.CancelCauseFunc{}, map[string]*targetRun{}
	}
	t.calls[c] = InFlight{RequestID: c.ID, Since: c.Arrived}
}

func (t *tracker) remove(c *Call) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.calls, c)
	delete(t.aborts, c)
}

// setAbort records how the call is aborted.
func (t *tracker) setAbort(c *Call, abort context.CancelCauseFunc) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.aborts[c] = abort
}

// abort aborts the calls that match, and returns their number.
func (t *tracker) abort(cause error, match func(*Call) bool) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	n := 0
	for c, abort := range t.aborts {
		if match(c) {
			abort(cause)
			n++
		}
	}
	return n
}

// addAttempt records that the call is about to be sent to its target.
func (t *tracker) addAttempt(c *Call) *targetRun {
	t.mu.Lock()
	defer t.mu.Unlock()
	name := c.Target.Name
	t.calls[c] = InFlight{RequestID: c.ID, Account: c.Account, Service: c.Service, Target: name, Since: c.Arrived}
	run := t.targets[name]
	if run == nil {
		run = &targetRun{target: name, fingerprints: map[*Call]uint64{}}
		t.targets[name] = run
	}
	run.fingerprints[c] = c.Fingerprint
	if c.suspect {
		if run.suspects == nil {
			run.suspects = map[*Call]bool{}
		}
		run.suspects[c] = true
	}
	return run
}

// setIncarnation records the incarnation that answered for the target.
func (t *tracker) setIncarnation(target, incarnation string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if run := t.targets[target]; run != nil && incarnation != "" {
		run.incarnation, run.restarts = incarnation, 0
	}
}

// removeAttempt records that an attempt ended. After a crash it returns the name
// of the crash and the fingerprints of all requests that were in flight. Only the
// first attempt to end returns them: a later one would see fewer requests and
// could appear to have been alone at the target.
func (t *tracker) removeAttempt(c *Call, run *targetRun, crashed bool) (crash string, fingerprints []uint64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if crashed && !run.crashed {
		run.crashed = true
		crash = run.target + "/" + run.incarnation
		if run.restarts > 0 {
			crash += fmt.Sprintf("+%d", run.restarts)
		}
		for _, fingerprint := range run.fingerprints {
			fingerprints = append(fingerprints, fingerprint)
		}
		slices.Sort(fingerprints)
		t.targets[run.target] = &targetRun{
			target: run.target, incarnation: run.incarnation, restarts: run.restarts + 1, fingerprints: map[*Call]uint64{},
		}
	}
	delete(run.fingerprints, c)
	delete(run.suspects, c)
	// A known incarnation or a restart is retained for the name of the next crash.
	if len(run.fingerprints) == 0 && t.targets[run.target] == run && run.incarnation == "" && run.restarts == 0 {
		delete(t.targets, run.target)
	}
	return crash, slices.Compact(fingerprints)
}

// targetsRunning returns the targets at which a matching request is in flight.
func (t *tracker) targetsRunning(match func(fingerprint uint64) bool) []string {
	t.mu.Lock()
	defer t.mu.Unlock()
	var targets []string
	for name, run := range t.targets {
		for _, fingerprint := range run.fingerprints {
			if match(fingerprint) {
				targets = append(targets, name)
				break
			}
		}
	}
	return targets
}

// targetsRunningSuspects returns the targets at which a request is in flight whose prompt may
// crash targets.
func (t *tracker) targetsRunningSuspects() []string {
	t.mu.Lock()
	defer t.mu.Unlock()
	var targets []string
	for name, run := range t.targets {
		if len(run.suspects) > 0 {
			targets = append(targets, name)
		}
	}
	return targets
}

func (t *tracker) list() []InFlight {
	t.mu.Lock()
	defer t.mu.Unlock()
	list := make([]InFlight, 0, len(t.calls))
	for _, f := range t.calls {
		list = append(list, f)
	}
	slices.SortFunc(list, func(x, y InFlight) int { return x.Since.Compare(y.Since) })
	return list
}

func (t *tracker) drain(ctx context.Context) []InFlight {
	ticker := time.NewTicker(10 * time.Millisecond)
	defer ticker.Stop()
	for {
		left := t.list()
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
