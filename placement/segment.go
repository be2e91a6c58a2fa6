package placement

import (
	"time"

	"github.com/cespare/xxhash/v2"

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

// segmentCache tracks which prompt segments were sent to a target, and when. Segments
// are identified by the hash of their ID.
type segmentCache struct{ lastSent map[uint64]clock.Instant }

// segmentKeys returns the keys of the segments in a segmentCache.
func segmentKeys(segments []request.PromptSegment) []uint64 {
	keys := make([]uint64, len(segments))
	for i, s := range segments {
		keys[i] = xxhash.Sum64String(s.ID)
	}
	return keys
}

func (s *segmentCache) add(now clock.Instant, keys []uint64) {
	if s.lastSent == nil {
		s.lastSent = map[uint64]clock.Instant{}
	}
	for _, key := range keys {
		s.lastSent[key] = now
	}
	if len(s.lastSent) > maxSegments {
		s.expire(now)
	}
}

// expire evicts segments that are no longer assumed to be cached, then
// progressively younger ones until at most half of maxSegments are left.
func (s *segmentCache) expire(now clock.Instant) {
	for age := segmentLifetime; len(s.lastSent) > maxSegments/2; age /= 2 {
		for key, at := range s.lastSent {
			if now.Sub(at) >= age {
				delete(s.lastSent, key)
			}
		}
	}
}

// cachedTokens returns how many tokens of the prompt with the segments and their keys
// the target is assumed to have cached. Only a prefix is reusable: counting stops at the
// first segment that is not cached.
func (s *segmentCache) cachedTokens(now clock.Instant, segments []request.PromptSegment, keys []uint64) int {
	tokens := 0
	for i, segment := range segments {
		at, ok := s.lastSent[keys[i]]
		if !ok || now.Sub(at) > segmentLifetime {
			break
		}
		tokens += segment.Tokens
	}
	return tokens
}
