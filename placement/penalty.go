package placement

import "time"

const (
	// fetchCostFactor scales the cost of a fetch beyond its duration: a fetch
	// occupies the links of both engines, and the copy evicts cached segments that
	// the engine must then process again.
	fetchCostFactor = 7
	// nonPreferredPenalty is the advantage that an engine needs to be chosen although
	// it isn't a preferred target of the prompt: other daemons don't know that it then
	// holds a copy of the shared segments.
	nonPreferredPenalty = 150 * time.Millisecond
	// remotePenalty is the advantage that a target in another failure domain needs to
	// be chosen.
	remotePenalty = 4 * time.Millisecond
	// removedPenalty is the advantage that a target whose entry was removed needs to
	// be chosen.
	removedPenalty = 150 * time.Millisecond
	// isolatedRequestPenalty is the advantage that a target needs for each request in flight
	// there to be chosen for a request that may crash it.
	isolatedRequestPenalty = time.Second
	// isolatedColdPenalty is the advantage that a cold target needs for that.
	isolatedColdPenalty = 5 * time.Minute
)

// isolationPenalty returns the advantage that a target needs to be chosen for a request that
// may crash it.
func isolationPenalty(target *targetState, others Work, cold bool) time.Duration {
	p := isolatedRequestPenalty * time.Duration(target.work.Requests+others.Requests)
	if cold {
		p += isolatedColdPenalty
	}
	return p
}

func (t *Table) penalty(target *targetState) time.Duration {
	var p time.Duration
	if target.Domain != t.Domain {
		p += remotePenalty
	}
	if target.Removed != 0 {
		p += removedPenalty
	}
	return p
}
