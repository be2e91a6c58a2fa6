package measure

import (
	"context"
	"strconv"
	"sync"
	"time"

	"github.com/pkg/errors"

	"rattanline.example/rattanline/config"
	"rattanline.example/rattanline/limit"
	"rattanline.example/rattanline/port"
)

// SimulatedTarget simulates a target that runs each request for a given duration.
type SimulatedTarget struct {
	Target config.Target

	mu               sync.Mutex
	incarnation      int
	running          int
	peak             int
	crashedRequests  int
	started          time.Time // start of the incarnation
	busyTime         time.Duration
	lastChange       time.Time
	incarnationEnded chan struct{} // closed when the incarnation ends
	// idleSince are the times at which the idle slots became idle.
	idleSince []time.Time
	// idleTimes are how long slots were idle between two requests.
	idleTimes []time.Duration
}

// NewSimulatedTarget returns a target that has just started.
func NewSimulatedTarget(t config.Target) *SimulatedTarget {
	now := time.Now()
	return &SimulatedTarget{Target: t, incarnation: 1, started: now, lastChange: now, incarnationEnded: make(chan struct{})}
}

// Run runs one request for the duration and returns the result of the attempt. It
// calls progress with the fraction of the work that was done when the request ends.
func (t *SimulatedTarget) Run(ctx context.Context, duration time.Duration, cost float64, progress func(fraction float64)) port.Attempt {
	begin := time.Now()
	incarnationEnded, incarnation := t.begin(begin)
	defer t.end(incarnation)
	timer := time.NewTimer(duration)
	defer timer.Stop()
	result := port.Succeeded
	select {
	case <-timer.C:
	case <-incarnationEnded:
		result = port.Crashed
		t.countCrash()
	case <-ctx.Done():
		result = port.Canceled
	}
	elapsed := time.Since(begin)
	fraction := 1.0
	if result != port.Succeeded && duration > 0 {
		fraction = min(1, float64(elapsed)/float64(duration))
	}
	progress(fraction)
	return port.Attempt{
		Result: result, Cost: cost * fraction, FirstByte: duration / 10, Total: elapsed,
		Incarnation: strconv.Itoa(incarnation),
	}
}

func (t *SimulatedTarget) countCrash() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.crashedRequests++
}

// CrashedRequests returns the number of requests that Restart has interrupted.
func (t *SimulatedTarget) CrashedRequests() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.crashedRequests
}

func (t *SimulatedTarget) begin(now time.Time) (chan struct{}, int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.updateBusyTime(now)
	if len(t.idleSince) > 0 {
		t.idleTimes = append(t.idleTimes, now.Sub(t.idleSince[0]))
		t.idleSince = t.idleSince[1:]
	}
	t.running++
	t.peak = max(t.peak, t.running)
	return t.incarnationEnded, t.incarnation
}

func (t *SimulatedTarget) end(incarnation int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if incarnation == t.incarnation {
		now := time.Now()
		t.updateBusyTime(now)
		t.running--
		t.idleSince = append(t.idleSince, now)
	}
}

func (t *SimulatedTarget) updateBusyTime(now time.Time) {
	t.busyTime += time.Duration(t.running) * now.Sub(t.lastChange)
	t.lastChange = now
}

// Restart ends all requests and starts a new incarnation.
func (t *SimulatedTarget) Restart() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.updateBusyTime(time.Now())
	close(t.incarnationEnded)
	t.incarnationEnded = make(chan struct{})
	t.incarnation++
	t.running, t.peak, t.started, t.idleSince = 0, 0, time.Now(), nil
}

// Running returns the number of requests in flight and its peak since
// ResetStatistics or Restart.
func (t *SimulatedTarget) Running() (running, peak int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.running, t.peak
}

// IdleTimes returns how long the slot was idle before each start of a request since
// ResetStatistics. Slots that have run no request since the start or the last Restart are
// left out.
func (t *SimulatedTarget) IdleTimes() []time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.idleTimes
}

// ResetStatistics resets the peak of requests in flight and the idle times.
func (t *SimulatedTarget) ResetStatistics() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.peak, t.idleTimes = t.running, nil
}

// BusyTime returns the sum of the times that requests were in flight.
func (t *SimulatedTarget) BusyTime() time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.updateBusyTime(time.Now())
	return t.busyTime
}

// Load returns the load as a target reports it in response to GET /load.
func (t *SimulatedTarget) Load(context.Context) (limit.Load, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return limit.Load{Running: t.running, Incarnation: strconv.Itoa(t.incarnation)}, nil
}

// FixedLimit is a limit that depends only on the target's incarnation: Cold until
// WarmUpTime has passed since a new incarnation was first observed, Max otherwise. The
// first incarnation that is observed doesn't count as new.
type FixedLimit struct {
	Cold, Max  int
	WarmUpTime time.Duration

	firstSeen   time.Time
	now         time.Time
	incarnation string
	ramping     bool
}

// Limit implements slot.Limit.
func (f *FixedLimit) Limit() int {
	if f.Ramping() {
		return f.Cold
	}
	return f.Max
}

// Ramping implements slot.Limit.
func (f *FixedLimit) Ramping() bool {
	return f.ramping && f.now.Sub(f.firstSeen) < f.WarmUpTime
}

// Ejected implements slot.Limit.
func (f *FixedLimit) Ejected(now time.Time) bool {
	f.now = now
	return false
}

// Observe implements slot.Limit.
func (f *FixedLimit) Observe(now time.Time, o limit.Observation) {
	f.now = now
	f.setIncarnation(o.Incarnation)
}

// Report implements slot.Limit.
func (f *FixedLimit) Report(now time.Time, l limit.Load) {
	f.now = now
	f.setIncarnation(l.Incarnation)
}

func (f *FixedLimit) setIncarnation(incarnation string) {
	if incarnation == "" || incarnation == f.incarnation {
		return
	}
	f.ramping = f.incarnation != ""
	f.incarnation, f.firstSeen = incarnation, f.now
}

// Configure implements slot.Limit.
func (f *FixedLimit) Configure(cold, maximum int) { f.Cold, f.Max = cold, maximum }

// Adopt implements slot.Limit.
func (f *FixedLimit) Adopt(incarnation string, _ int, ramping bool) {
	f.incarnation, f.ramping, f.firstSeen = incarnation, ramping, f.now
}

// Incarnation implements slot.Limit.
func (f *FixedLimit) Incarnation() string { return f.incarnation }

var errNoTarget = errors.New("no such target")
