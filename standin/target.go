package standin

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/google/uuid"

	"rattanline.example/rattanline/config"
)

// The ways in which a cold target fails requests beyond its cold limit.
const (
	ColdRefuse = "refuse" // 503 with Not-Run
	ColdAbort  = "abort"  // closes the connection of the request
	ColdCrash  = "crash"  // the whole target crashes
)

// coldGrace is how long a request at a full cold target waits for another to
// leave: a caller that cancels one and sends the next may be seen in the other
// order.
const coldGrace = 5 * time.Millisecond

// TargetOptions describe the capacity of a stand-in for a target.
type TargetOptions struct {
	// Capacity is how many requests run at once; further ones wait, up to
	// MaxWaiting, beyond which they are refused.
	Capacity   int `json:"capacity"`
	MaxWaiting int `json:"max-waiting"`
	// ColdLimit is what it bears for WarmUp after a start.
	ColdLimit int             `json:"cold-limit"`
	WarmUp    config.Duration `json:"warm-up"`
	// ColdFactor multiplies its times while it is cold.
	ColdFactor  float64 `json:"cold-factor"`
	ColdFailure string  `json:"cold-failure"`
	// SilentCold hides the warm-up from the load report. Otherwise the report
	// shows a queue of one while the target warms up, its own warm-up work.
	SilentCold bool            `json:"silent-cold"`
	LoadLag    config.Duration `json:"load-lag"`
	// RestartTime is how long it accepts nothing after a crash.
	RestartTime config.Duration `json:"restart"`
}

func (o TargetOptions) withDefaults() TargetOptions {
	if o.Capacity == 0 {
		o.Capacity = 8
	}
	if o.MaxWaiting == 0 {
		o.MaxWaiting = 64
	}
	if o.ColdLimit == 0 {
		o.ColdLimit = 2
	}
	if o.ColdFactor == 0 {
		o.ColdFactor = 2
	}
	if o.ColdFailure == "" {
		o.ColdFailure = ColdRefuse
	}
	return o
}

// Stats tells what happened at a target since it was made.
type Stats struct {
	Incarnation string `json:"incarnation"`
	Cold        bool   `json:"cold"`
	// MaxInFlightCold is the most requests given at once within the warm-up
	// after a start or crash, including those that failed; MaxInFlightSudden
	// the same after an unannounced return to cold.
	MaxInFlightCold   int `json:"max-in-flight-cold"`
	MaxInFlightSudden int `json:"max-in-flight-sudden"`
	// OverloadsCold counts the requests beyond the cold limit.
	OverloadsCold int `json:"overloads-cold"`
	MaxInFlight   int `json:"max-in-flight"`
	InFlight      int `json:"in-flight"`
	Requests      int `json:"requests"`
	Completed     int `json:"completed"`
	Canceled      int `json:"canceled"`
	Refused       int `json:"refused"`
	Crashes       int `json:"crashes"`
	// BusySeconds sums the time in which requests ran: divided by time and
	// capacity it is the utilisation.
	BusySeconds float64 `json:"busy-seconds"`
}

type loadReport struct {
	Running     int    `json:"running"`
	Queued      int    `json:"queued"`
	Incarnation string `json:"incarnation"`
	Age         int64  `json:"age-ms"`
}

// epoch is one run of a target: a crash ends it, with all its requests.
type epoch struct {
	incarnation string
	ctx         context.Context
	crash       context.CancelFunc
	inFlight    int
	running     int
	waiting     []chan struct{}
	began       time.Time // connections from before ended with the crash
	opens       time.Time
	coldUntil   time.Time
	sudden      bool
}

// closed tells that the request gets no response: the target restarts, or an
// idle connection is used that the crash ended.
func (e *epoch) closed(r *http.Request, now time.Time) bool {
	return now.Before(e.opens) || openedBefore(r, e.began)
}

func (e *epoch) cold(now time.Time) bool { return now.Before(e.coldUntil) }

// target is the common part of the engine and the plain service.
type target struct {
	mu      sync.Mutex
	options TargetOptions
	current *epoch
	stats   Stats
	load    lagged[loadReport]
}

func newTarget(o TargetOptions) *target {
	t := &target{options: o.withDefaults()}
	t.load.setLag(o.LoadLag.Std())
	t.start(time.Now(), 0)
	return t
}

// start begins an epoch after the given time, cold.
func (t *target) start(now time.Time, pause time.Duration) {
	e := &epoch{incarnation: uuid.NewString(), opens: now.Add(pause)}
	if t.current != nil {
		e.began = now
	}
	e.ctx, e.crash = context.WithCancel(context.Background())
	e.coldUntil = e.opens.Add(t.options.WarmUp.Std())
	t.current = e
	t.report(now)
}

// report records the load for later load reports.
func (t *target) report(now time.Time) {
	e := t.current
	t.load.set(now, loadReport{Running: e.running, Queued: len(e.waiting), Incarnation: e.incarnation})
}

// crash ends all requests without a response and starts a new incarnation.
func (t *target) crash() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.crashLocked()
}

func (t *target) crashLocked() {
	t.stats.Crashes++
	t.current.crash()
	t.start(time.Now(), t.options.RestartTime.Std())
}

// cool makes the target cold without a new incarnation.
func (t *target) cool() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.current.coldUntil = time.Now().Add(t.options.WarmUp.Std())
	t.current.sudden = true
}

// enter admits a request and waits until it runs. It returns nil after it
// answered the request itself, and panics with http.ErrAbortHandler if the
// request ends without a response. The caller calls leave.
func (t *target) enter(w http.ResponseWriter, r *http.Request) *epoch {
	t.mu.Lock()
	now := time.Now()
	if e := t.current; e.cold(now) && e.inFlight >= t.options.ColdLimit {
		t.mu.Unlock()
		time.Sleep(coldGrace)
		t.mu.Lock()
		now = time.Now()
	}
	e := t.current
	t.stats.Requests++
	w.Header().Set("Target-Incarnation", e.incarnation)
	if e.closed(r, now) {
		t.mu.Unlock()
		panic(http.ErrAbortHandler)
	}
	if e.cold(now) && !t.bear(e) {
		failure := t.options.ColdFailure
		t.stats.Refused++
		if failure == ColdCrash {
			t.crashLocked()
		}
		t.mu.Unlock()
		if failure != ColdRefuse {
			panic(http.ErrAbortHandler)
		}
		refuse(w, "cold")
		return nil
	}
	if e.running >= t.options.Capacity && len(e.waiting) >= t.options.MaxWaiting {
		t.stats.Refused++
		t.mu.Unlock()
		refuse(w, "queue full")
		return nil
	}
	e.inFlight++
	t.stats.MaxInFlight = max(t.stats.MaxInFlight, e.inFlight)
	if e.running < t.options.Capacity {
		e.running++
		t.report(now)
		t.mu.Unlock()
		return e
	}
	turn := make(chan struct{})
	e.waiting = append(e.waiting, turn)
	t.report(now)
	t.mu.Unlock()
	select {
	case <-turn:
		return e
	case <-e.ctx.Done():
	case <-r.Context().Done():
	}
	t.abandon(e, turn)
	panic(http.ErrAbortHandler)
}

// bear tells that a cold target bears one more request, and records the attempt.
func (t *target) bear(e *epoch) bool {
	most := &t.stats.MaxInFlightCold
	if e.sudden {
		most = &t.stats.MaxInFlightSudden
	}
	*most = max(*most, e.inFlight+1)
	if e.inFlight < t.options.ColdLimit {
		return true
	}
	t.stats.OverloadsCold++
	return false
}

// abandon removes a waiting request, or passes on the turn that it got meanwhile.
func (t *target) abandon(e *epoch, turn chan struct{}) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.stats.Canceled++
	e.inFlight--
	for i, w := range e.waiting {
		if w == turn {
			e.waiting = append(e.waiting[:i], e.waiting[i+1:]...)
			t.reportOf(e)
			return
		}
	}
	t.next(e)
}

// leave ends a running request. Completed tells that it was answered.
func (t *target) leave(e *epoch, began time.Time, completed bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if completed {
		t.stats.Completed++
	} else {
		t.stats.Canceled++
	}
	t.stats.BusySeconds += time.Since(began).Seconds()
	e.inFlight--
	t.next(e)
}

func (t *target) next(e *epoch) {
	if len(e.waiting) > 0 {
		close(e.waiting[0])
		e.waiting = e.waiting[1:]
	} else {
		e.running--
	}
	t.reportOf(e)
}

func (t *target) reportOf(e *epoch) {
	if e == t.current {
		t.report(time.Now())
	}
}

// pace multiplies a time by the slowness of a cold target.
func (t *target) pace(e *epoch, d time.Duration) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	if e.cold(time.Now()) {
		return time.Duration(float64(d) * t.options.ColdFactor)
	}
	return d
}

// batch returns how many requests run.
func (t *target) batch(e *epoch) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return e.running
}

// Stats returns what happened so far.
func (t *target) Stats() Stats {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.stats
	s.Incarnation, s.Cold = t.current.incarnation, t.current.cold(time.Now())
	s.InFlight = t.current.inFlight
	return s
}

// serveLoad answers GET /load with the state some time ago.
func (t *target) serveLoad(w http.ResponseWriter, r *http.Request) {
	now := time.Now()
	l, age := t.load.get(now)
	t.mu.Lock()
	e := t.current
	if e.closed(r, now) {
		t.mu.Unlock()
		panic(http.ErrAbortHandler)
	}
	if e.cold(now.Add(-age)) && !t.options.SilentCold {
		l.Queued = max(l.Queued, 1)
	}
	t.mu.Unlock()
	l.Age = age.Milliseconds()
	writeJSON(w, http.StatusOK, l)
}

func (t *target) setLoadLag(d config.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.options.LoadLag = d
	t.load.setLag(d.Std())
}

func (t *target) loadLag() config.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.options.LoadLag
}

// refuse answers a request that certainly did not run.
func refuse(w http.ResponseWriter, reason string) {
	w.Header().Set("Not-Run", "true")
	writeJSON(w, http.StatusServiceUnavailable, map[string]any{
		"error": map[string]string{"message": reason, "type": "overloaded"},
	})
}

// pause waits, and closes the connection if the target crashes or the caller
// leaves meanwhile.
func pause(r *http.Request, e *epoch, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-e.ctx.Done():
		panic(http.ErrAbortHandler)
	case <-r.Context().Done():
		panic(http.ErrAbortHandler)
	}
}
