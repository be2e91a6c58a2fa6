package edge

import (
	"context"
	"math/rand/v2"
	"sync/atomic"
	"syscall"
	"time"
)

const (
	// loadInterval is the pause between two measurements, loadTime the time
	// constant of their mean.
	loadInterval = 20 * time.Millisecond
	loadTime     = 250 * time.Millisecond
	// leaveLag is how late timers are in the mean when a daemon leaves the
	// directory, refuseLag when it refuses all new requests.
	leaveLag  = 40 * time.Millisecond
	refuseLag = 120 * time.Millisecond
	// leaveUse is the part of the machine's processor time above which a daemon
	// leaves the directory, refuseUse that from which on it refuses a growing part
	// of the new requests. Requests wait long before timers are late.
	leaveUse  = 0.8
	refuseUse = 0.85
	// gatherUse is the part from which on events of streams are gathered, gatherPart
	// the part of the allowed delay for which. Most of the processor time goes into
	// passing on single events.
	gatherUse  = 0.35
	gatherPart = 3
	// returnPart is the part of leaveLag and leaveUse at which a daemon comes back,
	// awayTime how long it stays away at least: callers that prefer one daemon
	// look elsewhere only after it was not ready for a few seconds.
	returnPart = 0.5
	awayTime   = 4 * time.Second
)

// overload tells by the processor time used and by the lateness of timers
// whether the machine keeps up. A daemon that doesn't sends callers to others:
// clients of one account may all use the same daemon.
type overload struct {
	// cores is the processor time that the machine provides, zero if unknown.
	cores float64
	// used returns the processor time that this process has used.
	used func() time.Duration

	lag     time.Duration // mean lateness of timers
	use     float64       // mean part of the processor time
	left    time.Time
	leaving atomic.Bool
	// refused is the part of the new requests that is refused, in parts per
	// million.
	refused atomic.Int64
	// gathers tells that events of streams are gathered.
	gathers atomic.Bool
}

const million = 1_000_000

// run measures until the context ends, and calls changed when the daemon leaves
// the directory or comes back.
func (o *overload) run(ctx context.Context, changed func(overloaded bool, lag time.Duration, use float64)) error {
	at, used := time.Now(), o.used()
	for ctx.Err() == nil {
		time.Sleep(loadInterval)
		now, usedNow := time.Now(), o.used()
		o.measured(now.Sub(at), usedNow-used)
		at, used = now, usedNow
		if was := o.leaving.Load(); was != o.judge(now) {
			o.leaving.Store(!was)
			changed(!was, o.lag, o.use)
		}
	}
	return nil
}

// measured takes how long one measurement took and what processor time was used.
func (o *overload) measured(passed, used time.Duration) {
	weight := min(passed.Seconds()/loadTime.Seconds(), 1)
	o.lag += time.Duration(weight * float64(passed-loadInterval-o.lag))
	if o.cores > 0 {
		o.use += weight * (used.Seconds()/passed.Seconds()/o.cores - o.use)
	}
	refused := min(max((o.use-refuseUse)/(1-refuseUse), 0), 1)
	if o.lag > refuseLag {
		refused = 1
	}
	o.refused.Store(int64(refused * million))
	o.gathers.Store(o.use > gatherUse)
}

// judge tells whether the daemon should be out of the directory.
func (o *overload) judge(now time.Time) bool {
	load := max(float64(o.lag)/float64(leaveLag), o.use/leaveUse)
	if !o.leaving.Load() {
		o.left = now
		return load > 1
	}
	return load > returnPart || now.Sub(o.left) < awayTime
}

// processorTime returns the processor time that this process has used.
func processorTime() time.Duration {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		return 0 // the lateness of timers still tells
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// gather returns how long events of streams are gathered before they are passed
// on, given how late they may be.
func (o *overload) gather(allowed time.Duration) time.Duration {
	if !o.gathers.Load() {
		return 0
	}
	return allowed / gatherPart
}

// refusing tells whether to refuse the next request, because it would only make
// others late.
func (o *overload) refusing() bool { return rand.Int64N(million) < o.refused.Load() }
