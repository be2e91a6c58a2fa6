package limit

import "time"

// minimumWindow is the time after which an old minimum is forgotten, so that a
// target whose latency rose for good isn't held back for ever.
const minimumWindow = 30 * time.Second

// latency follows the first-byte latency of a target: its minimum over one to
// two windows, and its smoothed value.
type latency struct {
	current, previous time.Duration
	rotated           time.Time
	smoothed          time.Duration
	slowRun           int
}

// add takes in the mean of some successes. It returns true if the target became
// slow suddenly.
func (l *latency) add(now time.Time, mean time.Duration, successes int) bool {
	if mean <= 0 {
		return false
	}
	if now.Sub(l.rotated) >= minimumWindow {
		l.previous, l.current = l.current, 0
		l.rotated = now
	}
	if l.current == 0 || mean < l.current {
		l.current = mean
	}
	if l.smoothed > 0 && mean > suddenFactor*l.smoothed && mean > l.smoothed+suddenFloor {
		l.slowRun += successes
		if l.slowRun < suddenSuccesses {
			return false
		}
		l.slowRun = 0
		l.smoothed = mean
		return true
	}
	l.slowRun = 0
	if l.smoothed == 0 {
		l.smoothed = mean
	}
	l.smoothed += (mean - l.smoothed) / 4
	return false
}

func (l *latency) minimum() time.Duration {
	if l.previous > 0 && l.previous < l.current {
		return l.previous
	}
	return l.current
}

func (l *latency) slow(mean time.Duration) bool { return mean > slowFactor*l.minimum() }
