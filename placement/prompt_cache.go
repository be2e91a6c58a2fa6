package placement

import (
	"slices"

	"rattanline.example/rattanline/clock"
	"rattanline.example/rattanline/request"
)

// promptCache holds how many tokens of a prompt each target is assumed to have
// cached. The slices are indexed like the usable targets.
type promptCache struct {
	assumed []int // tokens assumed to be cached
	sent    []int // tokens that this daemon sent to the target
	// largest and secondLargest are the indexes of the targets with the most cached
	// tokens, negative if there are none.
	largest, secondLargest int
}

// targetCache is the view of a promptCache from one target.
type targetCache struct {
	assumed, sent int
	// otherAssumed is the number of tokens cached by other, the target with the most besides this
	// one. It is nil if none has any.
	otherAssumed int
	other        *targetState
}

// cachedPrompt estimates how much of the prompt each target has cached: the
// segments that this daemon sent there, and at the homes of the ranking all shared segments.
func cachedPrompt(q Query, usable []*targetState, r ranking, now clock.Instant) promptCache {
	cache := promptCache{largest: -1, secondLargest: -1}
	if !q.Engine {
		return cache
	}
	cache.assumed, cache.sent = make([]int, len(usable)), make([]int, len(usable))
	keys := segmentKeys(q.Demand.Segments)
	for i, target := range usable {
		cache.sent[i] = target.segments.cachedTokens(now, q.Demand.Segments, keys)
		cache.assumed[i] = cache.sent[i]
	}
	for _, home := range []*targetState{r.home, r.origin} {
		if i := slices.Index(usable, home); i >= 0 {
			cache.assumed[i] = max(cache.assumed[i], sharedTokens(q.Demand.Segments))
		}
	}
	for i, tokens := range cache.assumed {
		switch {
		case tokens == 0:
		case cache.largest < 0 || tokens > cache.assumed[cache.largest]:
			cache.largest, cache.secondLargest = i, cache.largest
		case cache.secondLargest < 0 || tokens > cache.assumed[cache.secondLargest]:
			cache.secondLargest = i
		}
	}
	return cache
}

func (p promptCache) forTarget(i int, usable []*targetState) targetCache {
	if p.assumed == nil {
		return targetCache{}
	}
	other := p.largest
	if other == i {
		other = p.secondLargest
	}
	cache := targetCache{assumed: p.assumed[i], sent: p.sent[i]}
	if other >= 0 {
		cache.otherAssumed, cache.other = p.assumed[other], usable[other]
	}
	return cache
}

// sharedTokens returns the number of tokens in the segments that other requests
// may share: all but the last one.
func sharedTokens(segments []request.PromptSegment) int {
	tokens := 0
	for _, p := range segments[:max(len(segments)-1, 0)] {
		tokens += p.Tokens
	}
	return tokens
}
