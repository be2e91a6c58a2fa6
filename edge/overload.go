package edge

import (
	"context"
	"math"
	"sync/atomic"
	"syscall"
	"time"
)

const (
	// sampleInterval is the interval between two measurements.
	sampleInterval = 20 * time.Millisecond
	// loadTimeConstant is the time constant of the moving averages.
	loadTimeConstant = 250 * time.Millisecond
	// leaveLag is the mean lateness of timers above which a daemon leaves the
	// directory.
	leaveLag = 40 * time.Millisecond
	// refuseLag is the mean lateness of timers above which a daemon refuses a growing
	// fraction of the new requests.
	refuseLag = 20 * time.Millisecond
	// pressureLag is the lateness of timers beyond refuseLag that adds one to the pressure.
	pressureLag = 50 * time.Millisecond
	// leaveUtilization is the fraction of the host's processor time above which a
	// daemon leaves the directory. Requests are delayed long before timers are late.
	leaveUtilization = 0.8
	// refuseUtilization is the fraction of the host's processor time above which a daemon
	// refuses a growing fraction of the new requests.
	refuseUtilization = 0.9
	// fullUtilizationPressure is the pressure of a host without processor time left.
	fullUtilizationPressure = 4
	// maxPressure bounds the pressure, and so how fast the admitted fraction falls.
	maxPressure = 5
	// admittedFractionGain is how fast the logarithm of the admitted fraction falls per
	// second and unit of pressure above one. Below one it rises as fast.
	admittedFractionGain = 3
	// minAdmittedFraction is the admitted fraction at and below which all are refused.
	minAdmittedFraction = 1.0 / 32
	// passOnUtilization is the fraction of the host's processor time up to which requests
	// are passed on to other daemons, which takes less than to serve them.
	passOnUtilization = 0.97
	// leaveRefusedFraction is the refused fraction above which a daemon leaves the
	// directory.
	leaveRefusedFraction = 0.1
	// batchUtilization is the fraction of the host's processor time above which events
	// of streams are forwarded in batches. Most of the processor time is spent on
	// forwarding single events.
	batchUtilization = 0.35
	// batchDelayDivisor sets how long events are collected: 1/3 of the allowed delay.
	batchDelayDivisor = 3
	// returnFraction is the fraction of leaveLag, leaveUtilization and
	// leaveRefusedFraction below which a daemon returns to the directory.
	returnFraction = 0.5
	// minAwayTime is the minimum time for which a daemon stays out of the directory:
	// callers that prefer one daemon choose another only after it was not ready for a
	// few seconds.
	minAwayTime = 4 * time.Second
)

// overloadDetector detects overload of the host by the processor time used and by
// the lateness of timers. An overloaded daemon leaves the directory, so that callers
// move to others: all clients of one account may use the same daemon.
type overloadDetector struct {
	// cores is the processor time that the host provides, in cores; zero if unknown.
	cores float64
	// processorTime returns the processor time that this process has used.
	processorTime func() time.Duration
	// timerLateness is Daemon.TimerLateness.
	timerLateness func(measured time.Duration) time.Duration
	// counts returns the numbers of requests that this process has served and passed on.
	counts func() (served, passedOn int64)

	pace    pace
	mean    hostLoad                 // used only by run
	latest  atomic.Pointer[hostLoad] // a copy of mean
	leftAt  time.Time                // last time at which the daemon was in the directory
	leaving atomic.Bool
}

// hostLoad is the load of the host, as moving averages, and what follows from it.
type hostLoad struct {
	lag         time.Duration // lateness of timers
	utilization float64       // fraction of the host's processor time that this process uses
	// refusedFraction is the fraction of the new requests that is refused, because they
	// would only delay others; admittedFraction is what is left of one.
	refusedFraction, admittedFraction float64
	// batching is set while events of streams are forwarded in batches.
	batching bool
}

// adjustFractions changes the admitted fraction by the pressure that lasted for the time. It
// changes in proportion to itself, so that a host that receives ten times what it can serve
// settles as one that receives twice as much does.
func (l *hostLoad) adjustFractions(passed time.Duration) {
	if l.admittedFraction == 0 {
		l.admittedFraction = 1 // no measurement yet
	}
	l.admittedFraction *= math.Exp(-admittedFractionGain * (l.pressure() - 1) * passed.Seconds())
	l.admittedFraction = min(max(l.admittedFraction, minAdmittedFraction), 1)
	l.refusedFraction = 1 - l.admittedFraction
	if l.admittedFraction == minAdmittedFraction {
		l.refusedFraction = 1
	}
}

// pressure returns by how much the host is loaded: one if it just keeps up. The processor
// time that the process measures is not all that the host charges for, so that timers may
// be late before it is used up.
func (l hostLoad) pressure() float64 {
	used := l.utilization / refuseUtilization
	if used > 1 {
		used = 1 + (fullUtilizationPressure-1)*(l.utilization-refuseUtilization)/(1-refuseUtilization)
	}
	late := float64(l.lag) / float64(refuseLag)
	if late > 1 {
		late = 1 + float64(l.lag-refuseLag)/float64(pressureLag)
	}
	return min(max(used, late), maxPressure)
}

// canPassOn reports whether the host can still pass on requests to other daemons. Passing on takes
// less time than serving, so that it goes on while the time was used to serve.
func (o *overloadDetector) canPassOn() bool {
	l := o.load()
	return l.lag < leaveLag && (l.utilization < passOnUtilization || o.pace.hasTimeToPassOn())
}

// load returns the load as last measured.
func (o *overloadDetector) load() hostLoad {
	if l := o.latest.Load(); l != nil {
		return *l
	}
	return hostLoad{}
}

// run measures the load until the context ends, and calls changed when the daemon
// leaves the directory or returns to it.
func (o *overloadDetector) run(ctx context.Context, changed func(overloaded bool, l hostLoad)) error {
	at, used := time.Now(), o.processorTime()
	served, passedOn := o.counts()
	for ctx.Err() == nil {
		time.Sleep(sampleInterval)
		now, usedNow := time.Now(), o.processorTime()
		servedNow, passedOnNow := o.counts()
		o.record(now.Sub(at), o.timerLateness(now.Sub(at)-sampleInterval), usedNow-used)
		o.pace.record(now, sample{now.Sub(at), servedNow - served, passedOnNow - passedOn, usedNow - used}, o.cores)
		at, used, served, passedOn = now, usedNow, servedNow, passedOnNow
		if was := o.leaving.Load(); was != o.shouldLeave(now) {
			o.leaving.Store(!was)
			changed(!was, o.mean)
		}
	}
	return nil
}

// record adds one measurement: its duration, how late its timer was, and the processor time
// used in it.
func (o *overloadDetector) record(passed, late, used time.Duration) {
	l := o.mean
	weight := min(passed.Seconds()/loadTimeConstant.Seconds(), 1)
	l.lag += time.Duration(weight * float64(late-l.lag))
	if o.cores > 0 {
		l.utilization += weight * (used.Seconds()/passed.Seconds()/o.cores - l.utilization)
	}
	l.adjustFractions(passed)
	l.batching = l.utilization > batchUtilization
	o.mean = l
	o.latest.Store(&l)
}

// shouldLeave reports whether the daemon should be out of the directory.
func (o *overloadDetector) shouldLeave(now time.Time) bool {
	load := max(
		float64(o.mean.lag)/float64(leaveLag), o.mean.utilization/leaveUtilization, o.mean.refusedFraction/leaveRefusedFraction,
	)
	if !o.leaving.Load() {
		o.leftAt = now
		return load > 1
	}
	return load > returnFraction || now.Sub(o.leftAt) < minAwayTime
}

// processorTime returns the processor time that this process has used.
func processorTime() time.Duration {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		return 0 // overload is still detected by the lateness of timers
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// batchDelay returns how long events of streams are collected before they are
// forwarded together, given the maximum delay allowed.
func (o *overloadDetector) batchDelay(allowed time.Duration) time.Duration {
	if !o.load().batching {
		return 0
	}
	return allowed / batchDelayDivisor
}
