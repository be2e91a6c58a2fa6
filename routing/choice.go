package routing

import (
	"math/rand/v2"
	"time"
)

// Candidate is a target at which the daemon has slots.
type Candidate struct {
	Target string
	// Local tells that the target is in the daemon's own failure domain.
	Local bool
	// Free and InFlight count the daemon's slots there.
	Free     int
	InFlight int
	// Latency is the expected time of a request; zero if unknown.
	Latency time.Duration
	// Failing tells that the last attempts there failed.
	Failing bool
}

// wait is the expected time until a further request is done: batching targets
// slow down with the share of their slots in use.
func (c Candidate) wait() time.Duration {
	return c.Latency * time.Duration(c.InFlight+1) / time.Duration(c.InFlight+c.Free)
}

// Choose returns the candidate with the shortest expected wait among those with a
// free slot. A candidate of another failure domain must be better by more than
// the slack, and a failing one is chosen only if there is no other. It returns
// false if none has a free slot.
func Choose(candidates []Candidate, slack time.Duration, r *rand.Rand) (Candidate, bool) {
	var local, remote, failing []Candidate
	for _, c := range candidates {
		switch {
		case c.Free <= 0:
		case c.Failing:
			failing = append(failing, c)
		case c.Local:
			local = append(local, c)
		default:
			remote = append(remote, c)
		}
	}
	l, hasLocal := shortest(local, r)
	o, hasRemote := shortest(remote, r)
	switch {
	case hasLocal && hasRemote && l.wait() > o.wait()+slack:
		return o, true
	case hasLocal:
		return l, true
	case hasRemote:
		return o, true
	}
	return shortest(failing, r)
}

// shortest compares two random candidates. Comparing all would send every
// daemon's next request to the same target.
func shortest(c []Candidate, r *rand.Rand) (Candidate, bool) {
	if len(c) == 0 {
		return Candidate{}, false
	}
	i := r.IntN(len(c))
	a := c[i]
	if len(c) > 1 {
		if b := c[(i+1+r.IntN(len(c)-1))%len(c)]; b.wait() < a.wait() {
			return b, true
		}
	}
	return a, true
}
