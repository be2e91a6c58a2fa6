package placement

import (
	"slices"
	"time"

	"rattanline.example/rattanline/request"
)

const (
	// minNearEngines is the number of usable engines from which on a failure domain has homes of
	// its own. Fewer can't balance the load of the domain.
	minNearEngines = 6
	// maxRefillTime is the time in which an engine has to be able to copy as much as its memory
	// holds from engines of other failure domains, so that each domain may have copies of its own.
	// If they push each other out, an engine copies about that much in segmentLifetime.
	maxRefillTime = segmentLifetime / 8
	// remoteCopyFactor is how many times longer a copy between failure domains takes.
	remoteCopyFactor = 2
	// minNearSegments is how many segments as large as the least shared one of a prompt the memory
	// of an engine has to hold so that each failure domain has a home for it. Larger ones would
	// push each other out.
	minNearSegments = 256
	// farSlackFraction is the fraction of the time left until the latency aim that a target in
	// another failure domain has to save.
	farSlackFraction = 0.25
)

// EngineTraits is what the configuration declares about each engine of a service. Values that it
// doesn't declare are zero.
type EngineTraits struct {
	// CopyRate is the rate at which it copies cached tokens from an engine of its failure domain,
	// in tokens per second.
	CopyRate float64
	// MemoryTokens is the number of tokens that it holds.
	MemoryTokens int
}

// copiesFast reports whether the engines copy cached tokens so fast from other failure domains
// that it takes them little time.
func (e EngineTraits) copiesFast() bool {
	return e.CopyRate > 0 && e.MemoryTokens > 0 &&
		remoteCopyFactor*float64(e.MemoryTokens)/e.CopyRate <= maxRefillTime.Seconds()
}

// ranking is the usable targets of a request in the order in which they are compared.
type ranking struct {
	targets []*targetState
	// near is the number of the first targets, which have an advantage because they are in the
	// failure domain of this daemon. It is zero without such an advantage.
	near int
	// preferredNear and preferredFar are how many of the near and of the other targets, first of
	// each, should hold the shared segments of the prompt.
	preferredNear, preferredFar int
	// home is the target that is assumed to hold the shared segments, nil if there is none.
	home *targetState
	// origin is the home for the whole fleet if it isn't near, nil otherwise. It is assumed to hold
	// the shared segments too.
	origin *targetState
	// copyRate is the rate at which engines copy cached tokens, in tokens per second.
	copyRate float64
	// copiesSmall reports whether copies of the shared segments take little time and memory.
	copiesSmall bool
}

// rank orders the usable targets of the request.
//
// It answers a load on engines in several failure domains between which bytes are dear: requests
// stay in the failure domain of their daemon as long as its engines serve them in time. Each
// domain has a home for each shared prompt; what that misses, it copies from the home for the
// whole fleet.
func (t *Table) rank(q Query, usable []*targetState) ranking {
	if q.Elsewhere {
		usable = t.leaveOutNear(usable)
	}
	r := ranking{targets: usable, copyRate: fetchTokensPerSecond}
	if e := t.engineTraits(q); e.copiesFast() && e.holdsMany(q.Demand) {
		r.copiesSmall, r.copyRate = true, e.CopyRate
		r.near = t.nearFirst(q, usable)
	}
	near, far := usable[:r.near], usable[r.near:]
	r.preferredNear = preferFirst(near, preferredTargets(q, near))
	r.preferredFar = preferFirst(far, preferredTargets(q, far))
	switch {
	case r.preferredNear+r.preferredFar == 0:
	case r.preferredNear == 0:
		r.home = far[0]
	default:
		r.home = near[0]
		if key := q.homeKey(); rendezvousRank(key, far[0].hash) > rendezvousRank(key, near[0].hash) {
			r.origin = far[0]
		}
	}
	return r
}

// engineTraits returns what is declared about the engines that the request needs.
func (t *Table) engineTraits(q Query) EngineTraits {
	if !q.Engine || t.Engines == nil {
		return EngineTraits{}
	}
	return t.Engines(q.Service)
}

// holdsMany reports whether an engine holds many segments as large as the least shared one of the
// prompt.
func (e EngineTraits) holdsMany(d request.Demand) bool {
	if len(d.Segments) < 2 {
		return true
	}
	return minNearSegments*d.Segments[len(d.Segments)-2].Tokens <= e.MemoryTokens
}

// nearFirst moves the engines in the failure domain of this daemon to the front, if they have an
// advantage for the request, and returns their number.
func (t *Table) nearFirst(q Query, usable []*targetState) int {
	if q.Isolated || q.Anywhere {
		return 0
	}
	near := 0
	for i, target := range usable {
		if target.Domain == t.Domain {
			usable[near], usable[i] = target, usable[near]
			near++
		}
	}
	if near < minNearEngines || near == len(usable) {
		return 0
	}
	return near
}

// leaveOutNear returns the targets in other failure domains than that of this daemon, or all if there
// are none.
func (t *Table) leaveOutNear(targets []*targetState) []*targetState {
	far := slices.DeleteFunc(slices.Clone(targets), func(target *targetState) bool { return target.Domain == t.Domain })
	if len(far) == 0 {
		return targets
	}
	return far
}

// farPenalty returns the advantage that an engine in another failure domain needs over the best
// near one. It falls as the request gets later at the near one, to nothing if it would be late.
func farPenalty(q Query, near Choice) time.Duration {
	slack := q.Aim - near.StartDelay - near.Wait
	return max(time.Duration(farSlackFraction*float64(slack)), 0)
}

// copyPenalty returns the advantage that an engine needs to be chosen although it isn't a preferred
// target of the prompt.
func (r ranking) copyPenalty(q Query, s *engineSpeed) time.Duration {
	if !r.copiesSmall {
		return nonPreferredPenalty
	}
	read := s.duration(float64(sharedTokens(q.Demand.Segments)))
	return min(fetchCostFactor*read, nonPreferredPenalty)
}

// copyTime returns the time in which an engine copies cached tokens from another one.
func (r ranking) copyTime(tokens int, remote bool) time.Duration {
	took := time.Duration(float64(tokens) / r.copyRate * float64(time.Second))
	if remote && r.copiesSmall {
		took *= remoteCopyFactor
	}
	return took
}
