package quarantine

import (
	"slices"
	"time"

	"rattanline.example/rattanline/clock"
	"rattanline.example/rattanline/request"
)

// Verdict states how a request with certain prompt segments is to be treated.
type Verdict struct {
	// Refused reports whether the request must not be sent.
	Refused bool
	// Suspect reports whether the request may crash its target, which should therefore run few
	// others.
	Suspect bool
	// Probe reports whether the request was let through to test quarantined segments.
	Probe bool
	// Segment is the quarantined segment, Crashes the number of interruptions that speak
	// against it, and RetryAfter the time until it is probed.
	Segment    request.Segment
	Crashes    int
	RetryAfter time.Duration
}

// Check returns the verdict on a request. A request that tests a quarantined segment is let
// through if a probe is due; it counts as the probe if claim is set. Probing states that the
// request is a probe already.
func (s *Segments) Check(now clock.Instant, segments []request.Segment, claim, probing bool) Verdict {
	claimed := false
	s.mu.Lock()
	defer s.unlock(&claimed)
	var v Verdict
	if len(s.suspicions) == 0 {
		return v
	}
	s.expire(now)
	var due []*suspicion
	for _, segment := range segments {
		suspect := s.suspicions[segment]
		if suspect == nil {
			continue
		}
		v.Suspect = true
		switch {
		case !suspect.quarantined || probing || !s.isCause(segment, segments):
		case s.probeDue(now, segment, suspect):
			due = append(due, suspect)
		default:
			segmentRefusals.Inc()
			return Verdict{Refused: true, Segment: segment, Crashes: len(suspect.runs), RetryAfter: max(suspect.probeAt().Sub(now), time.Second)}
		}
	}
	if claimed = claim && len(due) > 0; claimed {
		v.Probe = true
		s.probe(now, due)
	}
	return v
}

// isCause reports whether a quarantined segment explains crashes better than every other one,
// and whether the request holds all segments that explain them equally well. One of these is
// cleared if a target answers a request without the others.
func (s *Segments) isCause(segment request.Segment, held []request.Segment) bool {
	own := s.suspicions[segment].runs
	for name, other := range s.suspicions {
		if name == segment || !other.quarantined || !explains(other.runs, own) {
			continue
		}
		if !explains(own, other.runs) || !slices.Contains(held, name) {
			return false
		}
	}
	return true
}

// probeDue reports whether this daemon may test the quarantined segment now.
func (s *Segments) probeDue(now clock.Instant, segment request.Segment, suspect *suspicion) bool {
	due := suspect.probeAt()
	if now >= due && s.ProbeRank != nil {
		due = due.Add(time.Duration(s.ProbeRank(segment)) * probeStagger)
	}
	return now >= due
}

// probe records that a request is sent to test the quarantined segments.
func (s *Segments) probe(now clock.Instant, due []*suspicion) {
	for _, suspect := range due {
		suspect.probes++
		suspect.lastProbe = now
	}
	segmentProbes.Inc()
}
