package placement

import (
	"time"

	"rattanline.example/rattanline/clock"
	"rattanline.example/rattanline/request"
)

const (
	// segmentLifetime is how long a target is assumed to cache a segment after its
	// last use.
	segmentLifetime = 8 * time.Second
	// maxSegments is the number of tracked segments per target beyond which old ones
	// are evicted.
	maxSegments = 512
)

// segmentCache tracks which prompt segments were sent to a target, and when.
type segmentCache struct{ lastSent map[string]clock.Instant }

func (s *segmentCache) add(now clock.Instant, segments []request.PromptSegment) {
	if s.lastSent == nil {
		s.lastSent = map[string]clock.Instant{}
	}
	for _, segment := range segments {
		s.lastSent[segment.ID] = now
	}
	if len(s.lastSent) > maxSegments {
		s.expire(now)
	}
}

// expire evicts segments that are no longer assumed to be cached, then
// progressively younger ones while more than half of maxSegments are left.
func (s *segmentCache) expire(now clock.Instant) {
	for age := segmentLifetime; len(s.lastSent) > maxSegments/2 && age > 0; age -= segmentLifetime / 4 {
		for id, at := range s.lastSent {
			if now.Sub(at) > age {
				delete(s.lastSent, id)
			}
		}
	}
}

// cachedTokens returns how many tokens of the prompt the target is assumed to have
// cached. Only a prefix is reusable: counting stops at the first segment that is
// not cached.
func (s *segmentCache) cachedTokens(now clock.Instant, segments []request.PromptSegment) int {
	tokens := 0
	for _, segment := range segments {
		at, ok := s.lastSent[segment.ID]
		if !ok || now.Sub(at) > segmentLifetime {
			break
		}
		tokens += segment.Tokens
	}
	return tokens
}
