package standin

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/google/uuid"

	"rattanline.example/rattanline/config"
)

// The values of TargetOptions.ColdFailure: how a cold target fails requests beyond
// its cold limit.
const (
	ColdRefuse = "refuse" // 503 with Not-Run
	ColdAbort  = "abort"  // closes the request's connection without a response
	ColdCrash  = "crash"  // the target crashes, with all its requests
)

// coldGracePeriod is how long a request at a cold target that has reached its cold
// limit waits for another request to end. When a caller cancels one request and
// sends the next, the target may see the new request before the cancellation.
const coldGracePeriod = 5 * time.Millisecond

// TargetOptions configures the capacity and the cold start of a stand-in target.
type TargetOptions struct {
	// Capacity is the number of requests that run at once. Further requests wait.
	Capacity int `json:"capacity"`
	// MaxWaiting is the number of requests that wait. Further requests are refused.
	MaxWaiting int `json:"max-waiting"`
	// ColdLimit is the number of requests in flight that the target can handle
	// while it is cold.
	ColdLimit int `json:"cold-limit"`
	// WarmUp is how long the target is cold after a start.
	WarmUp config.Duration `json:"warm-up"`
	// ColdFactor multiplies the processing times while the target is cold.
	ColdFactor  float64 `json:"cold-factor"`
	ColdFailure string  `json:"cold-failure"`
	// SilentCold hides the warm-up from the load report. Otherwise the report
	// shows at least one queued request while the target warms up, which stands
	// for the warm-up work.
	SilentCold bool `json:"silent-cold"`
	// LoadLag is the age of load reports.
	LoadLag config.Duration `json:"load-lag"`
	// RestartTime is how long the target answers no requests after a crash.
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

// Stats holds the counts of a target since it was created, and its current state.
type Stats struct {
	Incarnation string `json:"incarnation"`
	Cold        bool   `json:"cold"`
	// MaxInFlightCold is the peak number of requests in flight during the warm-up
	// after a start or crash, including requests that failed.
	MaxInFlightCold int `json:"max-in-flight-cold"`
	// MaxInFlightSudden is the peak number of requests in flight while the target
	// is cold again without a restart, including requests that failed.
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
	// BusySeconds sums the run times of all requests. Divided by the elapsed time
	// and the capacity it gives the utilisation.
	BusySeconds float64 `json:"busy-seconds"`
}

type loadReport struct {
	Running     int    `json:"running"`
	Queued      int    `json:"queued"`
	Incarnation string `json:"incarnation"`
	Age         int64  `json:"age-ms"`
}

// epoch is the state of a target between two crashes. A crash ends the epoch and
// all its requests.
type epoch struct {
	incarnation string
	ctx         context.Context
	cancel      context.CancelFunc
	inFlight    int
	running     int
	waiting     []chan struct{}
	began       time.Time // connections opened earlier were closed by the crash
	acceptsFrom time.Time
	coldUntil   time.Time
	unannounced bool // cold without a new incarnation
}

// unreachable reports whether the request gets no response because the target is
// restarting, or because the crash closed the idle connection that it uses.
func (e *epoch) unreachable(r *http.Request, now time.Time) bool {
	return now.Before(e.acceptsFrom) || openedBefore(r, e.began)
}

func (e *epoch) cold(now time.Time) bool { return now.Before(e.coldUntil) }

// target holds what the engine and the plain service have in common: admission,
// crashes, the cold start and load reports. Callers of start, recordLoad,
// recordLoadIfCurrent, crashLocked, admitCold and releaseSlot hold mu.
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
	t.start(time.Now(), 0) // without mu, as the target is not shared yet
	return t
}

// start begins a new epoch, which accepts connections after the delay and is cold.
func (t *target) start(now time.Time, delay time.Duration) {
	e := &epoch{incarnation: uuid.NewString(), acceptsFrom: now.Add(delay)}
	if t.current != nil {
		e.began = now
	}
	e.ctx, e.cancel = context.WithCancel(context.Background())
	e.coldUntil = e.acceptsFrom.Add(t.options.WarmUp.Std())
	t.current = e
	t.recordLoad(now)
}

// recordLoad adds the current load to the history that load reports read.
func (t *target) recordLoad(now time.Time) {
	e := t.current
	t.load.set(now, loadReport{Running: e.running, Queued: len(e.waiting), Incarnation: e.incarnation})
}

// crash closes the connections of all requests without a response and starts a
// new incarnation.
func (t *target) crash() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.crashLocked()
}

func (t *target) crashLocked() {
	t.stats.Crashes++
	t.current.cancel()
	t.start(time.Now(), t.options.RestartTime.Std())
}

// makeCold makes the target cold without a new incarnation.
func (t *target) makeCold() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.current.coldUntil = time.Now().Add(t.options.WarmUp.Std())
	t.current.unannounced = true
}

// enter admits a request and waits until it can run. It returns nil if it has
// refused the request with a response, and panics with http.ErrAbortHandler if
// the request ends without one. After a non-nil result the caller must call leave.
func (t *target) enter(w http.ResponseWriter, r *http.Request) *epoch {
	t.mu.Lock()
	now := time.Now()
	if e := t.current; e.cold(now) && e.inFlight >= t.options.ColdLimit {
		t.mu.Unlock()
		time.Sleep(coldGracePeriod)
		t.mu.Lock()
		now = time.Now()
	}
	e := t.current
	t.stats.Requests++
	w.Header().Set("Target-Incarnation", e.incarnation)
	if e.unreachable(r, now) {
		t.mu.Unlock()
		panic(http.ErrAbortHandler)
	}
	if e.cold(now) && !t.admitCold(e) {
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
		t.recordLoad(now)
		t.mu.Unlock()
		return e
	}
	admitted := make(chan struct{})
	e.waiting = append(e.waiting, admitted)
	t.recordLoad(now)
	t.mu.Unlock()
	select {
	case <-admitted:
		return e
	case <-e.ctx.Done():
	case <-r.Context().Done():
	}
	t.abandon(e, admitted)
	panic(http.ErrAbortHandler)
}

// admitCold reports whether a cold target can take one more request, and records
// the attempt in the statistics.
func (t *target) admitCold(e *epoch) bool {
	peak := &t.stats.MaxInFlightCold
	if e.unannounced {
		peak = &t.stats.MaxInFlightSudden
	}
	*peak = max(*peak, e.inFlight+1)
	if e.inFlight < t.options.ColdLimit {
		return true
	}
	t.stats.OverloadsCold++
	return false
}

// abandon removes a waiting request, or releases its slot if it was admitted in the
// meantime.
func (t *target) abandon(e *epoch, admitted chan struct{}) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.stats.Canceled++
	e.inFlight--
	for i, w := range e.waiting {
		if w == admitted {
			e.waiting = append(e.waiting[:i], e.waiting[i+1:]...)
			t.recordLoadIfCurrent(e)
			return
		}
	}
	t.releaseSlot(e)
}

// leave ends a running request. The argument completed reports whether it was
// answered.
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
	t.releaseSlot(e)
}

// releaseSlot passes the slot of a request to the first waiting request, or frees
// it if none waits.
func (t *target) releaseSlot(e *epoch) {
	if len(e.waiting) > 0 {
		close(e.waiting[0])
		e.waiting = e.waiting[1:]
	} else {
		e.running--
	}
	t.recordLoadIfCurrent(e)
}

// recordLoadIfCurrent records the load unless a crash has ended the epoch.
func (t *target) recordLoadIfCurrent(e *epoch) {
	if e == t.current {
		t.recordLoad(time.Now())
	}
}

// scaleTime multiplies a time by ColdFactor while the target is cold.
func (t *target) scaleTime(e *epoch, d time.Duration) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	if e.cold(time.Now()) {
		return time.Duration(float64(d) * t.options.ColdFactor)
	}
	return d
}

func (t *target) runningCount(e *epoch) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return e.running
}

// Stats returns the current statistics.
func (t *target) Stats() Stats {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.stats
	s.Incarnation, s.Cold = t.current.incarnation, t.current.cold(time.Now())
	s.InFlight = t.current.inFlight
	return s
}

// serveLoad answers GET /load with the load as it was LoadLag ago.
func (t *target) serveLoad(w http.ResponseWriter, r *http.Request) {
	now := time.Now()
	l, age := t.load.get(now)
	t.mu.Lock()
	e := t.current
	if e.unreachable(r, now) {
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

// refuse answers with 503 and Not-Run, which states that the request did not run.
func refuse(w http.ResponseWriter, reason string) {
	w.Header().Set("Not-Run", "true")
	writeJSON(w, http.StatusServiceUnavailable, map[string]any{
		"error": map[string]string{"message": reason, "type": "overloaded"},
	})
}

// waitOrAbort waits for d. It closes the connection, by a panic with
// http.ErrAbortHandler, if the target crashes or the caller disconnects.
func waitOrAbort(r *http.Request, e *epoch, d time.Duration) {
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
