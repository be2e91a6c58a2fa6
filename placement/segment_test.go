package placement

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

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

// Guards against a target table that is locked without end: of two requests that wait for its lock,
// the one that read the clock first may get it last, while the cache is full of newer segments.
func TestSegmentCacheWithOlderTime(t *testing.T) {
	for _, later := range []time.Duration{time.Nanosecond, time.Millisecond, time.Hour} {
		var s segmentCache
		now := clock.Instant(time.Hour)
		s.add(now.Add(later), numberedKeys(0, maxSegments))
		done := make(chan struct{})
		go func() {
			s.add(now, numberedKeys(maxSegments, 1))
			close(done)
		}()
		select {
		case <-done:
		case <-time.After(time.Second):
			t.Fatalf("no end with segments that are %s newer", later)
		}
		qt.Check(t, len(s.lastSent), qt.Equals, maxSegments/2)
	}
}

// Guards against a cache that grows without bound, or searches without end, for any values of the clock.
func TestSegmentCacheWithAnyTimes(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var s segmentCache
		for range rapid.IntRange(1, 20).Draw(t, "prompts") {
			now := clock.Instant(rapid.Int64().Draw(t, "now"))
			first, n := rapid.IntRange(0, 3*maxSegments).Draw(t, "first"), rapid.IntRange(0, 2*maxSegments).Draw(t, "segments")
			s.add(now, numberedKeys(first, n))
			if len(s.lastSent) > maxSegments {
				t.Fatalf("%d segments", len(s.lastSent))
			}
		}
	})
}

// Guards against a long prompt that loses its own beginning, without which nothing of it counts as
// cached, because requests with it are added.
func TestSegmentCacheKeepsLongPrompt(t *testing.T) {
	const shared = 393
	var s segmentCache
	now := clock.Instant(time.Hour)
	for i := range 1000 {
		now = now.Add(time.Millisecond)
		s.add(now, append(numberedKeys(0, shared), uint64(shared+i)))
		for _, key := range numberedKeys(0, shared) {
			qt.Assert(t, s.lastSent[key], qt.Equals, now)
		}
	}
}

// numberedKeys returns n consecutive keys.
func numberedKeys(first, n int) []uint64 {
	keys := make([]uint64, n)
	for i := range keys {
		keys[i] = uint64(first + i)
	}
	return keys
}
