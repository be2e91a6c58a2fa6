package quarantine

import (
	"time"

	"rattanline.example/rattanline/clock"
)

const (
	// requiredRuns is the number of independent runs from which on a segment is quarantined
	// that no target is known to have answered.
	requiredRuns = 3
	// requiredRunsAnswered is the same for a segment that targets have answered before.
	requiredRunsAnswered = 6
	// strongRuns is the number of runs from which on a quarantined segment is certain to crash
	// targets.
	strongRuns = 6
	// suspicionLifetime is how long a segment that is not quarantined stays suspect after its
	// last interruption.
	suspicionLifetime = time.Minute
	// probePause is the time from the last crash to the first probe of a quarantined segment.
	// It doubles with each probe.
	probePause = 30 * time.Second
	// maxProbeDoublings bounds the time between two probes.
	maxProbeDoublings = 4
	// probeStagger is the time by which each daemon waits longer than the one before it in the
	// order of the segment, which is enough time to receive the probe of that one.
	probeStagger = time.Second
)

// suspicion is what is known against one segment since targets last answered it.
type suspicion struct {
	runs      []run // ordered by request
	lastCrash clock.Instant
	// probes counts the requests that were let through to test a quarantined segment.
	probes      int
	lastProbe   clock.Instant
	quarantined bool
	// strong reports whether there are strongRuns.
	strong bool
}

// isProven reports whether the runs suffice to quarantine a segment. Once it is quarantined, it
// stays so until a target answers it or the suspicion expires.
func isProven(runs []run, answeredBefore bool) bool {
	required := requiredRuns
	if answeredBefore {
		required = requiredRunsAnswered
	}
	return len(runs) >= required && independent(runs) >= required
}

// probeAt returns when the next probe is due.
func (s *suspicion) probeAt() clock.Instant {
	return max(s.lastCrash, s.lastProbe).Add(probePause << min(s.probes, maxProbeDoublings))
}

// expired reports whether the suspicion has ended without an answer.
func (s *suspicion) expired(now clock.Instant) bool {
	lifetime := suspicionLifetime
	if s.quarantined {
		lifetime = period
	}
	return now.Sub(max(s.lastCrash, s.lastProbe)) > lifetime
}
