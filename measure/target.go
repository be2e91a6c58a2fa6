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

// SimulatedTarget simulates a target: a request takes the time of its cost.
type SimulatedTarget struct {
	Target config.Target

	mu          sync.Mutex
	incarnation int
	running     int
	peak        int
	crashed     int
	started     time.Time // of the incarnation
	busy        time.Duration
	changed     time.Time
	broken      chan struct{} // closed when the incarnation ends
	// free are the times since when slots are idle, idle how long each slot was
	// before its next request.
	free []time.Time
	idle []time.Duration
}

// NewSimulatedTarget returns a target that has just started.
func NewSimulatedTarget(t config.Target) *SimulatedTarget {
	now := time.Now()
	return &SimulatedTarget{Target: t, incarnation: 1, started: now, changed: now, broken: make(chan struct{})}
}

// Run takes the time of one request and returns the attempt's result. The
// progress function is told the part of the work that is done.
func (e *SimulatedTarget) Run(ctx context.Context, duration time.Duration, cost float64, progress func(part float64)) port.Attempt {
	begin := time.Now()
	broken, incarnation := e.begin(begin)
	defer e.end(incarnation)
	timer := time.NewTimer(duration)
	defer timer.Stop()
	result := port.Succeeded
	select {
	case <-timer.C:
	case <-broken:
		result = port.Crashed
		e.crash()
	case <-ctx.Done():
		result = port.Canceled
	}
	elapsed := time.Since(begin)
	part := 1.0
	if result != port.Succeeded && duration > 0 {
		part = min(1, float64(elapsed)/float64(duration))
	}
	progress(part)
	return port.Attempt{
		Result: result, Cost: cost * part, FirstByte: duration / 10, Total: elapsed,
		Incarnation: strconv.Itoa(incarnation),
	}
}

func (e *SimulatedTarget) crash() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.crashed++
}

// CrashedRequests returns how many requests ended with their target's incarnation.
func (e *SimulatedTarget) CrashedRequests() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.crashed
}

func (e *SimulatedTarget) begin(now time.Time) (chan struct{}, int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.account(now)
	if len(e.free) > 0 {
		e.idle = append(e.idle, now.Sub(e.free[0]))
		e.free = e.free[1:]
	}
	e.running++
	e.peak = max(e.peak, e.running)
	return e.broken, e.incarnation
}

func (e *SimulatedTarget) end(incarnation int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if incarnation == e.incarnation {
		now := time.Now()
		e.account(now)
		e.running--
		e.free = append(e.free, now)
	}
}

func (e *SimulatedTarget) account(now time.Time) {
	e.busy += time.Duration(e.running) * now.Sub(e.changed)
	e.changed = now
}

// Restart ends all requests and starts a cold incarnation.
func (e *SimulatedTarget) Restart() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.account(time.Now())
	close(e.broken)
	e.broken = make(chan struct{})
	e.incarnation++
	e.running, e.peak, e.started, e.free = 0, 0, time.Now(), nil
}

// Running returns the requests in flight and their largest number so far.
func (e *SimulatedTarget) Running() (running, peak int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.running, e.peak
}

// IdleTimes returns how long slots were idle before each start since ResetPeak.
func (e *SimulatedTarget) IdleTimes() []time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.idle
}

// ResetStatistics starts a new measurement of the largest number in flight and of the
// idle times.
func (e *SimulatedTarget) ResetStatistics() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.peak, e.idle = e.running, nil
}

// BusyTime returns the sum of the time that requests were in flight.
func (e *SimulatedTarget) BusyTime() time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.account(time.Now())
	return e.busy
}

// Load reports like GET /load of a target.
func (e *SimulatedTarget) Load(context.Context) (limit.Load, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return limit.Load{Running: e.running, Incarnation: strconv.Itoa(e.incarnation)}, nil
}

// FixedLimit is a limit that only depends on the target's incarnation: the cold
// limit until Warm has passed since the incarnation was first seen.
type FixedLimit struct {
	Cold, Max  int
	WarmUpTime time.Duration

	seen        time.Time
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
	return f.ramping && f.now.Sub(f.seen) < f.WarmUpTime
}

// Ejected implements slot.Limit.
func (f *FixedLimit) Ejected(now time.Time) bool {
	f.now = now
	return false
}

// Observe implements slot.Limit.
func (f *FixedLimit) Observe(now time.Time, o limit.Observation) {
	f.now = now
	f.learn(o.Incarnation)
}

// Report implements slot.Limit.
func (f *FixedLimit) Report(now time.Time, l limit.Load) {
	f.now = now
	f.learn(l.Incarnation)
}

func (f *FixedLimit) learn(incarnation string) {
	if incarnation == "" || incarnation == f.incarnation {
		return
	}
	f.ramping = f.incarnation != ""
	f.incarnation, f.seen = incarnation, f.now
}

// Configure implements slot.Limit.
func (f *FixedLimit) Configure(cold, maximum int) { f.Cold, f.Max = cold, maximum }

// Adopt implements slot.Limit.
func (f *FixedLimit) Adopt(incarnation string, _ int, ramping bool) {
	f.incarnation, f.ramping, f.seen = incarnation, ramping, f.now
}

// Incarnation implements slot.Limit.
func (f *FixedLimit) Incarnation() string { return f.incarnation }

var errNoEngine = errors.New("no such target")
