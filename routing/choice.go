package routing

import (
	"math/rand/v2"
	"time"
)

// Candidate is a target at which the daemon has slots.
type Candidate struct {
	Target string
	// Local reports whether the target is in the failure domain of the daemon.
	Local bool
	// Free and InFlight are the numbers of idle and busy slots that the daemon holds
	// at the target.
	Free     int
	InFlight int
	// Latency is the expected duration of a request, zero if it is unknown.
	Latency time.Duration
	// Failing reports whether the most recent attempts at the target failed.
	Failing bool
}

// expectedWait returns the expected time until one more request is complete. It
// grows with the fraction of slots in use, because batching targets slow down with
// the size of the batch.
func (c Candidate) expectedWait() time.Duration {
	return c.Latency * time.Duration(c.InFlight+1) / time.Duration(c.InFlight+c.Free)
}

// Choose returns a candidate with a free slot and a short expected wait: the better
// of two random local ones, or of two random ones in other failure domains if its
// wait is shorter by more than the slack. A failing candidate is chosen only if
// there is no other. Choose returns false if no candidate has a free slot.
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
	l, hasLocal := betterOfTwo(local, r)
	o, hasRemote := betterOfTwo(remote, r)
	switch {
	case hasLocal && hasRemote && l.expectedWait() > o.expectedWait()+slack:
		return o, true
	case hasLocal:
		return l, true
	case hasRemote:
		return o, true
	}
	return betterOfTwo(failing, r)
}

// betterOfTwo returns the candidate with the shorter wait of two random ones (the
// power of two choices). Comparing all candidates would send the next request of
// every daemon to the same target.
func betterOfTwo(candidates []Candidate, r *rand.Rand) (Candidate, bool) {
	if len(candidates) == 0 {
		return Candidate{}, false
	}
	i := r.IntN(len(candidates))
	a := candidates[i]
	if len(candidates) > 1 {
		if b := candidates[(i+1+r.IntN(len(candidates)-1))%len(candidates)]; b.expectedWait() < a.expectedWait() {
			return b, true
		}
	}
	return a, true
}
