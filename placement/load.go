package placement

import (
	"math"
	"time"

	"rattanline.example/rattanline/clock"
)

const (
	// loadMaxAge is the age at which a reported load is no longer used.
	loadMaxAge = 600 * time.Millisecond
	// paceAgeTime is the time constant with which a stated pace approaches the usual one: a
	// target changes its pace several times a second.
	paceAgeTime = 300 * time.Millisecond
	// usualPace is the pace of a target whose work takes as long as usual.
	usualPace = 100
	// minWorkFactor and maxWorkFactor bound how a target's work is expected to take longer
	// than that of others. A wrong figure can't attract all requests, nor repel them all.
	minWorkFactor, maxWorkFactor = 0.5, 4.0
	// maxReportedQueue bounds the requests that a target reports, as a multiple of its slots.
	maxReportedQueue = 8
)

// Load is the load that a target reports with a response, in requests.
type Load struct {
	Running, Waiting, Slots int
	// Pace is how long work takes at the target at the moment, in percent of the usual time;
	// zero if the target doesn't state it.
	Pace int
}

// SetLoad records the load that a target reported with a response.
func (t *Table) SetLoad(name string, l Load) { t.setLoad(name, l, clock.Now()) }

func (t *Table) setLoad(name string, l Load, now clock.Instant) {
	t.mu.Lock()
	defer t.mu.Unlock()
	target := t.targets[name]
	if target == nil {
		return
	}
	target.load, target.loadReceived = l, now
	target.room.loadKnown, target.room.startedSince = true, 0
	if l.Slots > 0 && (t.Contended || l.Pace > 0) {
		t.plain(target.Service).statesLoad = true
	}
}

// reportedRequests returns the requests that the target reported to have, zero if the report is
// too old.
func (t *targetState) reportedRequests(now clock.Instant) int {
	if now.Sub(t.loadReceived) >= loadMaxAge {
		return 0
	}
	return min(t.load.Running+t.load.Waiting, maxReportedQueue*max(t.Slots, 1))
}

// statedPace returns how much longer than usual work takes at the target by its last report, one
// if it is usual or not known. The older the report, the closer is the result to one.
func (t *targetState) statedPace(now clock.Instant) float64 {
	age := now.Sub(t.loadReceived)
	if t.load.Pace == 0 || age >= loadMaxAge {
		return 1
	}
	stated := min(max(float64(t.load.Pace)/usualPace, minWorkFactor), maxWorkFactor)
	return 1 + (stated-1)*math.Exp(-age.Seconds()/paceAgeTime.Seconds())
}

// pacePenalty returns the minimum advantage that an engine needs because of the pace that it
// stated.
func (t *targetState) pacePenalty(now clock.Instant, wait time.Duration) time.Duration {
	return time.Duration((t.statedPace(now) - 1) * float64(wait+paceBaseWait))
}
