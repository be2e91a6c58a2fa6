package placement

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"rattanline.example/rattanline/clock"
	"rattanline.example/rattanline/request"
)

// Guards against a cache that grows without bound, or is searched through for each
// request, while one target gets many prompts in a short time.
func TestSegmentCacheBounded(t *testing.T) {
	var s segmentCache
	now := clock.Instant(time.Hour)
	for i := range 20 * maxSegments {
		now = now.Add(100 * time.Microsecond)
		s.add(now, []uint64{uint64(i)})
		qt.Assert(t, len(s.lastSent) <= maxSegments, qt.IsTrue, qt.Commentf("%d segments", len(s.lastSent)))
	}
}

// Guards against cached tokens behind a segment that is not cached, and against
// segments that count as cached for too long.
func TestCachedTokens(t *testing.T) {
	var segments []request.PromptSegment
	for i := range 4 {
		segments = append(segments, request.PromptSegment{ID: fmt.Sprint("s", i), Tokens: 10 << i})
	}
	keys := segmentKeys(segments)
	now := clock.Instant(time.Hour)
	var s segmentCache
	s.add(now, []uint64{keys[0], keys[1], keys[3]})
	qt.Check(t, s.cachedTokens(now, segments, keys), qt.Equals, 30)
	qt.Check(t, s.cachedTokens(now.Add(segmentLifetime), segments, keys), qt.Equals, 30)
	qt.Check(t, s.cachedTokens(now.Add(segmentLifetime+time.Millisecond), segments, keys), qt.Equals, 0)
}
