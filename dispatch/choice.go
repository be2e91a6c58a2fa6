package dispatch

import (
	"time"
)

// Candidate is a target at which this daemon holds free slots.
type Candidate struct {
	Target   string
	Local    bool // in this daemon's failure domain
	Free     int
	InFlight int
	Latency  time.Duration // moving average of the duration of successful requests, zero if unknown
	Failing  bool          // the last attempt failed
}

// ChooseMostFree returns the best candidate, or false if there are none. It prefers
// targets whose last attempt didn't fail, then those in this daemon's failure
// domain, then those with the most free slots.
func ChooseMostFree(candidates []Candidate) (Candidate, bool) {
	var best Candidate
	for i, c := range candidates {
		if i == 0 || better(c, best) {
			best = c
		}
	}
	return best, len(candidates) > 0
}

func better(x, y Candidate) bool {
	switch {
	case x.Failing != y.Failing:
		return !x.Failing
	case x.Local != y.Local:
		return x.Local
	default:
		return x.Free > y.Free
	}
}

// candidates returns the targets of the service that have a slot on which a request
// may start now.
func (d *Dispatcher) candidates(now time.Time, name string) []Candidate {
	var candidates []Candidate
	for _, target := range d.holder.Targets() {
		t, ok := d.index.targets[target]
		if !ok || t.Service != name || d.index.closed[target] {
			continue
		}
		_, free := d.holder.Free(now, target)
		if free == 0 {
			continue
		}
		_, busy := d.holder.Count(target)
		candidates = append(candidates, Candidate{
			Target: target, Local: t.FailureDomain == d.Domain, Free: free, InFlight: busy,
			Latency: d.latencies[target], Failing: d.failing[target],
		})
	}
	return candidates
}
