package placement

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"rattanline.example/rattanline/clock"
	"rattanline.example/rattanline/request"
)

const (
	// segmentLifetime is how long a target is assumed to cache a segment after its
	// last use.
	segmentLifetime = 8 * time.Second
	// maxSegments is the maximum number of tracked segments per target. Beyond it, half of
	// them are evicted.
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

// add records that a prompt was sent. Of a prompt with more than maxSegments segments only the
// first ones are tracked.
func (s *segmentCache) add(now clock.Instant, keys []uint64) {
	if s.lastSent == nil {
		s.lastSent = map[uint64]clock.Instant{}
	}
	keys = keys[:min(len(keys), maxSegments)]
	for _, key := range keys {
		s.lastSent[key] = now
	}
	if len(s.lastSent) > maxSegments {
		s.evict(max(maxSegments/2, len(keys)))
	}
}

// evict leaves only the most recently used segments. They are counted, not compared with the
// current time, which may have been read before that of other segments.
func (s *segmentCache) evict(left int) {
	oldestFirst := slices.SortedFunc(maps.Keys(s.lastSent), func(a, b uint64) int {
		return cmp.Compare(s.lastSent[a], s.lastSent[b])
	})
	for _, key := range oldestFirst[:max(len(oldestFirst)-left, 0)] {
		delete(s.lastSent, key)
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
