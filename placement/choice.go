package placement

import (
	"math/rand/v2"
	"time"

	"rattanline.example/rattanline/clock"
	"rattanline.example/rattanline/mirror"
	"rattanline.example/rattanline/request"
)

// Query describes a request that needs a target.
type Query struct {
	Service string
	// Engine reports whether the targets of the service are inference engines,
	// which process and cache prompts.
	Engine bool
	Demand request.Demand
	// PauseAim is the longest time between two events with which a stream has its full value,
	// zero if there is none.
	PauseAim time.Duration
	// Aim is the time to the first event within which the answer has its full value, zero if there
	// is none.
	Aim time.Duration
	// Avoid names the targets that the request was already sent to.
	Avoid []string
	// Retry reports whether the request was sent to a target before.
	Retry bool
	// Wide compares many engines instead of few, as for an account that is due more than it
	// receives, and gives preferred ones no advantage.
	Wide bool
	// Anywhere gives targets in the failure domain of this daemon no advantage, as for a request
	// that would be refused there.
	Anywhere bool
	// Elsewhere leaves out the targets in the failure domain of this daemon, if there are others.
	Elsewhere bool
	// Isolated asks for the target with the fewest requests in flight among those that are warm
	// and show no faults.
	Isolated bool
	// Allowed reports whether the request may be sent to the target. A nil function allows all.
	Allowed func(mirror.Target) bool
}

// Choice is the target chosen for a request.
type Choice struct {
	Target mirror.Target
	// Wait is the expected time until the target begins to answer, QueueWait the
	// portion of it that other requests cause.
	Wait, QueueWait time.Duration
	// MedianQueueWait is the median time that a request waits for others at the engines of the
	// service. What each engine has in flight is known with a delay in which it changes
	// much; the median of all changes slowly.
	MedianQueueWait time.Duration
	// PromptTokens is the number of prompt tokens that the target has to process.
	PromptTokens float64
	// Long reports whether short prompts would wait long behind PromptTokens.
	Long bool
	// Work is PromptTokens and the work of the requests before it, in prompt tokens.
	Work float64
	// StartDelay is the time to the first event of a response that comes on top of Wait.
	StartDelay time.Duration
	// FetchTime is the portion of Wait in which cached tokens are copied from CacheHolder.
	FetchTime time.Duration
	// WorkTime is how long the target is expected to work on the request, zero if it is not
	// known. It is an inference engine then, or states no load.
	WorkTime time.Duration
	// statedPace is the pace in WorkTime that the target stated.
	statedPace float64
	// CacheHolder is the address of another target that has more of the prompt
	// cached, empty if none is known.
	CacheHolder string
	Cold        bool
	// Near states that targets in the failure domain of this daemon had an advantage.
	Near bool
}

// Choose returns the target with the lowest cost: its expected wait plus
// penalties. It returns false if no target can be used.
func (t *Table) Choose(q Query) (Choice, bool) {
	now := clock.Now()
	others := t.PeerWork()
	daemons := t.Daemons()
	t.mu.Lock()
	defer t.mu.Unlock()
	t.updatePeerLeaving()
	usable := t.usable(q, now, t.connectionShare(q.Service, len(daemons)))
	if len(usable) == 0 {
		return Choice{}, false
	}
	if q.Engine && q.PauseAim > 0 && q.longPrompt(t.speed(q.Service)) {
		q.Wide = true
	}
	ranked := t.rank(q, usable)
	compared := t.compare(q, ranked, now, daemons)
	cached := cachedPrompt(q, compared.targets, ranked, now)
	var engines summary
	if q.Engine {
		engines = t.summarize(q.Service, now, others)
	}
	var best Choice
	var bestTarget *targetState
	var bestCost, farCost time.Duration
	for i, target := range compared.targets {
		c := t.estimate(target, q, now, others[target.Name], ranked, cached.forTarget(i, compared.targets))
		c.Cold = now < t.coldUntil(target)
		c.Long = q.Engine && q.readsLong(c.PromptTokens, t.speed(q.Service))
		cost := t.cost(q, target, c, others[target.Name], engines, now)
		cost += engines.lengths.penalty(q, target, c, ranked)
		switch {
		case q.Isolated:
			cost += isolationPenalty(target, others[target.Name], c.Cold)
		case compared.hasPreferred() && !compared.preferred(i) && !q.Wide:
			cost += ranked.copyPenalty(q, t.speed(q.Service))
		}
		if i == compared.near && bestTarget != nil { // the near ones were compared
			farCost = farPenalty(q, best)
		}
		cost += farCost
		// Idle targets often have equal costs. A random choice spreads the load.
		if bestTarget == nil || cost < bestCost || cost == bestCost && rand.IntN(2) == 0 {
			best, bestTarget, bestCost = c, target, cost
		}
	}
	if bestTarget == nil {
		return Choice{}, false
	}
	best.MedianQueueWait, best.Near = engines.queueWait, ranked.near > 0
	if q.Engine {
		t.countEngine(best, engines.lengths.takesLong(bestTarget))
	}
	if best.Cold {
		bestTarget.nextCold = now.Add(t.coldInterval(bestTarget, daemons))
	}
	return best, true
}

// cost returns the expected wait of the request at the target, and the advantages that the target
// needs to be chosen.
func (t *Table) cost(q Query, target *targetState, c Choice, others Work, engines summary, now clock.Instant) time.Duration {
	cost := c.Wait + t.penalty(target)
	cost += time.Duration(fetchCostFactor * float64(c.FetchTime))
	cost += target.faults.penalty(now, c.Wait, q.Engine)
	cost += target.pace.penalty(now, c.Wait, engines.eventInterval)
	if q.Engine {
		cost += target.pacePenalty(now, c.Wait)
	}
	return cost + c.pauseCost(q.PauseAim, target.work.Requests+others.Requests)
}
