package placement

import (
	"math"
	"slices"
	"time"
)

const (
	// longKey is the key of the order in which engines take long prompts.
	longKey = 0x9e3779b97f4a7c15
	// longFraction is the fraction of the pause aim for which an engine reads a long prompt at
	// least.
	longFraction = 0.25
	// longEngineFraction is the fraction of the engines that take long prompts, as a multiple of
	// the fraction of long prompts in the unread work. It is below one because long prompts wait
	// longer, so that more of them are in flight than corresponds to their work.
	longEngineFraction = 0.6
	// minLongWork is the fraction of the unread work from which on long prompts are kept apart.
	minLongWork = 0.1
	// shortPenalty is the advantage that an engine that takes long prompts needs to be chosen for
	// another one, as a fraction of the pause aim: a long prompt that isn't known yet may arrive
	// there before it.
	shortPenalty = 0.5
	// longPenalty is the advantage that another engine needs to be chosen for a long prompt, as a
	// multiple of the time for which it reads it: short ones that arrive meanwhile wait as long.
	longPenalty = 1
)

// promptMix is the unread prompt tokens at all engines of a service, and those of long prompts.
type promptMix struct{ long, all float64 }

func (m *promptMix) add(own, others Work) {
	m.long += own.Long + others.Long
	m.all += own.Prompt + others.Prompt
}

// addLong adds to the unread tokens of long prompts at the target, if the choice is for a long one.
func (t *Table) addLong(c Choice, tokens float64) {
	if !c.Long {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if target := t.targets[c.Target.Name]; target != nil {
		target.work.Long = max(target.work.Long+tokens, 0)
	}
}

// lengthSplit states which engines take long prompts.
//
// It answers a load in which few prompts take engines so long that the others there are late. All
// daemons order the engines alike, by rendezvous hashing, and let the first ones take the long
// prompts, as many as corresponds to the work in flight. So they agree but for the last few ones,
// and there are none as soon as no long prompt is in flight.
type lengthSplit struct {
	// firstRank is the lowest rank of an engine that takes long prompts.
	firstRank uint64
	engines   int
}

// splitByLength returns the split for the mix, given the ranks of all engines, which it reorders.
func splitByLength(mix promptMix, ranks []uint64) lengthSplit {
	if mix.long < minLongWork*mix.all || mix.long == 0 {
		return lengthSplit{}
	}
	n := int(math.Round(longEngineFraction * mix.long / mix.all * float64(len(ranks))))
	if n == 0 || n >= len(ranks) {
		return lengthSplit{}
	}
	slices.Sort(ranks)
	return lengthSplit{firstRank: ranks[len(ranks)-n], engines: n}
}

// takesLong reports whether the engine takes long prompts.
func (l lengthSplit) takesLong(target *targetState) bool {
	return l.engines > 0 && lengthRank(target) >= l.firstRank
}

// lengthRank returns the rank of an engine in the order in which engines take long prompts.
func lengthRank(target *targetState) uint64 { return rendezvousRank(longKey, target.hash) }

// readsLong reports whether an engine reads the unread tokens so long that others wait behind them.
func (q Query) readsLong(unread float64, s *engineSpeed) bool {
	return q.PauseAim > 0 && s.duration(unread).Seconds() > longFraction*q.PauseAim.Seconds()
}

// penalty returns the advantage that the engine needs because of the length of the prompt. Where
// the shared segments are large, their home needs none: the prompt is longer elsewhere, and short
// ones stay there for the segments.
func (l lengthSplit) penalty(q Query, target *targetState, c Choice, r ranking) time.Duration {
	if l.engines == 0 || q.PauseAim == 0 {
		return 0
	}
	switch takes := l.takesLong(target); {
	case c.Long && !takes && (r.copiesSmall || target != r.home):
		return longPenalty * (c.Wait - c.QueueWait - c.FetchTime)
	case !c.Long && takes && r.copiesSmall:
		return time.Duration(shortPenalty * float64(q.PauseAim))
	}
	return 0
}
