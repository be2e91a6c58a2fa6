package limit

import "time"

// minimumWindow is the length of a window for the minimum latency. Old minimums
// expire, so that a target whose latency rose permanently is not limited
// permanently.
const minimumWindow = 30 * time.Second

// latency tracks the first-byte latency of a target: its minimum over the last one
// to two windows, and its exponentially smoothed value.
type latency struct {
	currentMin, previousMin time.Duration
	windowStart             time.Time
	smoothed                time.Duration
	consecutiveSlow         int // successes
}

// add records the mean latency of a number of successes. It reports whether the
// target suddenly became slow.
func (l *latency) add(now time.Time, mean time.Duration, successes int) bool {
	if mean <= 0 {
		return false
	}
	if now.Sub(l.windowStart) >= minimumWindow {
		l.previousMin, l.currentMin = l.currentMin, 0
		l.windowStart = now
	}
	if l.currentMin == 0 || mean < l.currentMin {
		l.currentMin = mean
	}
	if l.smoothed > 0 && mean > suddenFactor*l.smoothed && mean > l.smoothed+suddenMargin {
		l.consecutiveSlow += successes
		if l.consecutiveSlow < suddenSuccesses {
			return false
		}
		l.consecutiveSlow = 0
		l.smoothed = mean
		return true
	}
	l.consecutiveSlow = 0
	if l.smoothed == 0 {
		l.smoothed = mean
	}
	l.smoothed += (mean - l.smoothed) / 4
	return false
}

func (l *latency) minimum() time.Duration {
	if l.previousMin > 0 && l.previousMin < l.currentMin {
		return l.previousMin
	}
	return l.currentMin
}

func (l *latency) slow(mean time.Duration) bool { return mean > slowFactor*l.minimum() }
