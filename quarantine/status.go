package quarantine

import (
	"slices"
	"time"

	"rattanline.example/rattanline/clock"
)

// SegmentStatus is what a daemon knows against one prompt segment, for operators.
type SegmentStatus struct {
	Model   string `json:"model"`
	Segment string `json:"segment"`
	// Quarantined reports whether requests with the segment are refused.
	Quarantined bool `json:"quarantined"`
	// Interrupted is the number of requests that crashes interrupted before their answers went
	// on, at most 32; Independent is the number of them that were sent after the crash before.
	Interrupted int `json:"interrupted"`
	Independent int `json:"independent"`
	// Targets and Daemons hold the targets that crashed and the daemons that saw it.
	Targets []string `json:"targets"`
	Daemons []string `json:"daemons"`
	// LastCrashSeconds is the time since the last crash.
	LastCrashSeconds float64 `json:"last-crash-seconds"`
	// Probes is the number of requests that were let through to test a quarantined segment,
	// NextProbeSeconds the time until the next one may be.
	Probes           int     `json:"probes"`
	NextProbeSeconds float64 `json:"next-probe-seconds"`
}

// Status returns what is known against prompt segments, quarantined ones first.
func (s *Segments) Status(now clock.Instant) []SegmentStatus {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire(now)
	list := []SegmentStatus{}
	for _, segment := range s.bySeverity() {
		suspect := s.suspicions[segment]
		status := SegmentStatus{
			Model: segment.Model, Segment: segment.ID, Quarantined: suspect.quarantined,
			Interrupted: len(suspect.runs), Independent: independent(suspect.runs), Probes: suspect.probes,
			LastCrashSeconds: now.Sub(suspect.lastCrash).Seconds(),
		}
		if suspect.quarantined {
			status.NextProbeSeconds = max(suspect.probeAt().Sub(now), time.Duration(0)).Seconds()
		}
		for _, r := range suspect.runs {
			status.Targets, status.Daemons = append(status.Targets, r.target), append(status.Daemons, r.daemon)
		}
		status.Targets, status.Daemons = distinct(status.Targets), distinct(status.Daemons)
		list = append(list, status)
	}
	return list
}

func distinct(names []string) []string {
	slices.Sort(names)
	return slices.Compact(names)
}
