package quarantine

import (
	"slices"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"rattanline.example/rattanline/clock"
	"rattanline.example/rattanline/request"
)

const (
	// maxSuspicions bounds the segments that are suspect at a time.
	maxSuspicions = 1024
	// maxNewSuspicions bounds the segments that become suspect by one crash.
	maxNewSuspicions = 128
	// expiryInterval is the interval between two checks for expired suspicions.
	expiryInterval = time.Second
)

// Segments finds prompt segments that crash the targets that answer them, whatever else the
// prompt holds, and quarantines them. A segment is suspect if requests with it were
// interrupted by crashes before their answers went on, and cleared once a target has answered
// one. Daemons exchange what they know as a set, so that those with the same knowledge agree.
// The exported fields are set before the first call. It is safe for concurrent use.
type Segments struct {
	// Daemon is the name of this daemon in logs and marks.
	Daemon string
	// ProbeRank returns the position of this daemon in the order in which the live daemons may
	// probe the segment. A nil function means the first one.
	ProbeRank func(request.Segment) int
	// Changed is called after a change that other daemons should receive soon. It may be nil.
	Changed func()
	// Quarantined is called after a segment was quarantined on strong evidence, so that running
	// requests with it should be aborted before they crash their targets. It may be nil.
	Quarantined func(request.Segment)
	Logger      zerolog.Logger

	mu sync.Mutex
	// strong holds the segments for which Quarantined is to be called.
	strong     []request.Segment
	suspicions map[request.Segment]*suspicion
	answered   answeredSegments
	// cleared holds the segments whose answers are sent to other daemons, and since when.
	cleared  map[request.Segment]clock.Instant
	expireAt clock.Instant // when expired suspicions are dropped next
}

// RecordCrash records the requests that a crash interrupted before their answers went on.
func (s *Segments) RecordCrash(target string, interrupted []Interruption) {
	changed, created := false, 0
	s.mu.Lock()
	defer s.unlock(&changed)
	longest := 0
	for _, i := range interrupted {
		longest = max(longest, len(i.Segments))
	}
	for at := range longest { // no request may use up maxNewSuspicions alone
		for _, i := range interrupted {
			if at >= len(i.Segments) {
				continue
			}
			segment := i.Segments[at]
			if s.suspicions[segment] == nil {
				if created == maxNewSuspicions {
					continue
				}
				created++
			}
			r := run{request: i.Request, target: target, daemon: s.Daemon, sent: i.Sent, ended: i.Ended}
			changed = s.record(segment, r) || changed
		}
	}
	if changed {
		s.evaluate()
	}
}

// record adds a run to the suspicion against a segment, unless a target has answered a request
// with it since the run was sent. It reports whether the suspicion is new or has changed.
func (s *Segments) record(segment request.Segment, r run) bool {
	if s.answered.last(segment) > r.sent {
		return false
	}
	suspect := s.suspicions[segment]
	if suspect == nil {
		if s.suspicions == nil {
			s.suspicions = map[request.Segment]*suspicion{}
		}
		if len(s.suspicions) >= maxSuspicions && !s.dropWeakest() {
			return false
		}
		suspect = &suspicion{}
		s.suspicions[segment] = suspect
	}
	var changed bool
	if suspect.runs, changed = addRun(suspect.runs, r); changed {
		suspect.lastCrash = max(suspect.lastCrash, r.ended)
	}
	return changed
}

// dropWeakest drops the segment with the fewest runs that isn't quarantined, of these the one
// with the oldest crash. It reports whether there was one.
func (s *Segments) dropWeakest() bool {
	var weakest request.Segment
	var least *suspicion
	for segment, suspect := range s.suspicions {
		if suspect.quarantined {
			continue
		}
		if least == nil || len(suspect.runs) < len(least.runs) || len(suspect.runs) == len(least.runs) && suspect.lastCrash < least.lastCrash {
			weakest, least = segment, suspect
		}
	}
	if least == nil {
		return false
	}
	delete(s.suspicions, weakest)
	return true
}

// RecordAnswer records that the answer of a target to a request with the segments went on.
func (s *Segments) RecordAnswer(now clock.Instant, segments []request.Segment) {
	changed := false
	s.mu.Lock()
	defer s.unlock(&changed)
	for _, segment := range segments {
		s.answered.add(segment, now)
		changed = s.clear(segment, now, now, "answered") || changed
	}
}

// Answered reports whether targets are known to have answered all segments.
func (s *Segments) Answered(segments []request.Segment) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return !slices.ContainsFunc(segments, func(segment request.Segment) bool { return s.answered.last(segment) == 0 })
}

// Lift ends the quarantine of a segment on behalf of an operator, and reports whether there was
// one.
func (s *Segments) Lift(now clock.Instant, segment request.Segment) bool {
	lifted := false
	s.mu.Lock()
	defer s.unlock(&lifted)
	if suspect := s.suspicions[segment]; suspect == nil || !suspect.quarantined {
		return false
	}
	s.answered.add(segment, now)
	lifted = s.clear(segment, now, now, "lifted by an operator")
	return lifted
}

// clear drops the runs that were sent before the segment was answered, and reports whether the
// suspicion has ended.
func (s *Segments) clear(segment request.Segment, answered, now clock.Instant, why string) bool {
	suspect := s.suspicions[segment]
	if suspect == nil {
		return false
	}
	suspect.runs = slices.DeleteFunc(suspect.runs, func(r run) bool { return r.sent < answered })
	if len(suspect.runs) > 0 {
		return false
	}
	s.drop(segment, why)
	s.relayAnswer(segment, now)
	return true
}

// relayAnswer sends other daemons the last answer to the segment for answerRelayTime.
func (s *Segments) relayAnswer(segment request.Segment, now clock.Instant) {
	if s.cleared == nil {
		s.cleared = map[request.Segment]clock.Instant{}
	}
	if len(s.cleared) < maxSuspicions {
		s.cleared[segment] = now
	}
}

// drop ends a suspicion.
func (s *Segments) drop(segment request.Segment, why string) {
	if s.suspicions[segment].quarantined {
		releasedSegments.Inc()
		s.Logger.Warn().Str("segment", segment.ID).Str("model", segment.Model).Str("cause", why).Msg("prompt segment released from quarantine")
	}
	delete(s.suspicions, segment)
}

// expire ends the suspicions that are too old.
func (s *Segments) expire(now clock.Instant) {
	if now < s.expireAt {
		return
	}
	s.expireAt = now.Add(expiryInterval)
	for segment, suspect := range s.suspicions {
		if suspect.expired(now) {
			s.drop(segment, "expired")
		}
	}
}

// unlock unlocks s, and then calls Changed after a change, and Quarantined. These may lock what
// other goroutines hold while they call methods of s.
func (s *Segments) unlock(changed *bool) {
	strong := s.strong
	s.strong = nil
	s.mu.Unlock()
	if *changed && s.Changed != nil {
		s.Changed()
	}
	if s.Quarantined != nil {
		for _, segment := range strong {
			s.Quarantined(segment)
		}
	}
}
