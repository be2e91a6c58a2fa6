// Package rollout moves the requests of a service to targets of a new version. A small share of
// the requests goes to the new version until a sequential test of its answers, compared with
// those of the old version, shows whether it is as good. One daemon decides and writes each step
// to the key-value service; each daemon applies the step that it reads there.
package rollout

import (
	"maps"
	"math"
	"time"
)

// Sample counts answers of the targets of one version on one route.
type Sample struct {
	// Answers counts all answers, Failures those that were errors or broke off.
	Answers, Failures int
	// Refusals counts the requests that a target refused, or that didn't reach it, besides.
	Refusals int
	// Timed counts the answers whose times were compared with those of old targets, Slow those
	// of them that took several times as long.
	Timed, Slow int
	// Firsts counts the answers with a time to the first event. FirstLog is the sum of the
	// logarithms of the ratios of that time to the expected one.
	Firsts   int
	FirstLog float64
	// Intervals counts the answers with a time between events, IntervalLog is the sum of the
	// logarithms of that time in seconds.
	Intervals   int
	IntervalLog float64
}

func (s Sample) plus(o Sample) Sample {
	return Sample{
		Answers: s.Answers + o.Answers, Failures: s.Failures + o.Failures, Refusals: s.Refusals + o.Refusals,
		Timed: s.Timed + o.Timed, Slow: s.Slow + o.Slow,
		Firsts: s.Firsts + o.Firsts, FirstLog: s.FirstLog + o.FirstLog,
		Intervals: s.Intervals + o.Intervals, IntervalLog: s.IntervalLog + o.IntervalLog,
	}
}

func (s Sample) minus(o Sample) Sample {
	return Sample{
		Answers: max(s.Answers-o.Answers, 0), Failures: max(s.Failures-o.Failures, 0), Refusals: max(s.Refusals-o.Refusals, 0),
		Timed: max(s.Timed-o.Timed, 0), Slow: max(s.Slow-o.Slow, 0),
		Firsts: max(s.Firsts-o.Firsts, 0), FirstLog: s.FirstLog - o.FirstLog,
		Intervals: max(s.Intervals-o.Intervals, 0), IntervalLog: s.IntervalLog - o.IntervalLog,
	}
}

// Evidence is what one or more daemons saw since the order with the revision Order.
type Evidence struct {
	Order int64
	// Old and New hold the answers of the old and the new versions by route.
	Old, New map[string]Sample
	// Targets holds the numbers of bad answers of the targets of the new version by name.
	Targets map[string]int
	// Requests counts the requests that were assigned to a target, Exposed those to the new
	// version.
	Requests, Exposed int
}

func newEvidence(order int64) Evidence {
	return Evidence{Order: order, Old: map[string]Sample{}, New: map[string]Sample{}, Targets: map[string]int{}}
}

// Clone returns a copy that shares no maps.
func (e Evidence) Clone() Evidence {
	e.Old, e.New, e.Targets = maps.Clone(e.Old), maps.Clone(e.New), maps.Clone(e.Targets)
	return e
}

// With returns the sum of e and o. Only evidence on the newer order counts.
func (e Evidence) With(o Evidence) Evidence {
	switch {
	case o.Order < e.Order:
		return e
	case o.Order > e.Order:
		return o.Clone()
	}
	sum := newEvidence(e.Order)
	sum.Requests, sum.Exposed = e.Requests+o.Requests, e.Exposed+o.Exposed
	for _, part := range []Evidence{e, o} {
		for route, s := range part.Old {
			sum.Old[route] = sum.Old[route].plus(s)
		}
		for route, s := range part.New {
			sum.New[route] = sum.New[route].plus(s)
		}
		for name, bad := range part.Targets {
			sum.Targets[name] += bad
		}
	}
	return sum
}

// Without returns e minus evidence that was added to it before, with no count below zero.
func (e Evidence) Without(o Evidence) Evidence {
	if o.Order != e.Order {
		return e
	}
	rest := newEvidence(e.Order).With(e) // e may have no maps
	rest.Requests, rest.Exposed = max(e.Requests-o.Requests, 0), max(e.Exposed-o.Exposed, 0)
	for route, s := range o.Old {
		rest.Old[route] = e.Old[route].minus(s)
	}
	for route, s := range o.New {
		rest.New[route] = e.New[route].minus(s)
	}
	for name, bad := range o.Targets {
		rest.Targets[name] = max(e.Targets[name]-bad, 0)
	}
	return rest
}

const (
	// minReferenceAnswers is the number of answers of old targets on a route from which on
	// times are compared with theirs.
	minReferenceAnswers = 10
	// slowFactor is the ratio to the mean time of old targets above which an answer is slow.
	slowFactor = 2.5
	// uncachedFactor is the ratio to the expected time without cached tokens above which an
	// answer may be slow.
	uncachedFactor = 1.5
	// baseWait is added to the expected time to the first event, which may be zero.
	baseWait = 20 * time.Millisecond
)

// Answer is the outcome of one attempt at a target.
type Answer struct {
	Route, Target string
	// Failed reports an error or a response that broke off, Refused that the target didn't run
	// the request.
	Failed, Refused bool
	// Untimed reports that times and refusals say nothing of the version, as while the target was
	// cold.
	Untimed bool
	// Expected is the expected time to the first event, and Uncached the one if the target had
	// none of the prompt cached, as targets that have just started. First is the actual time,
	// zero if it is not known, and Interval the mean time between events, zero if there were few.
	Expected, Uncached, First, Interval time.Duration
}

func (a Answer) firstLog() float64 { return math.Log(float64(a.First) / float64(a.Expected+baseWait)) }

func (a Answer) intervalLog() float64 { return math.Log(a.Interval.Seconds()) }

// slow reports whether the answer took several times as long as those in the reference, the
// answers of old targets on the route. It returns false for compared if they are too few.
func (a Answer) slow(reference Sample) (slow, compared bool) {
	limit := math.Log(slowFactor)
	if a.First > 0 && reference.Firsts >= minReferenceAnswers {
		compared = true
		slow = a.firstLog() > reference.FirstLog/float64(reference.Firsts)+limit && float64(a.First) > uncachedFactor*float64(a.Uncached)
	}
	if a.Interval > 0 && reference.Intervals >= minReferenceAnswers {
		compared = true
		slow = slow || a.intervalLog() > reference.IntervalLog/float64(reference.Intervals)+limit
	}
	return slow, compared
}

// sample returns the answer as a sample of one.
func (a Answer) sample(reference Sample) Sample {
	switch {
	case a.Refused && a.Untimed:
		return Sample{}
	case a.Refused:
		return Sample{Refusals: 1}
	}
	s := Sample{Answers: 1}
	if a.Failed {
		s.Failures = 1
		return s
	}
	if a.Untimed {
		return s
	}
	if slow, compared := a.slow(reference); compared {
		s.Timed = 1
		if slow {
			s.Slow = 1
		}
	}
	if a.First > 0 {
		s.Firsts, s.FirstLog = 1, a.firstLog()
	}
	if a.Interval > 0 {
		s.Intervals, s.IntervalLog = 1, a.intervalLog()
	}
	return s
}

// add counts an answer. The reference holds the answers of old targets, of all daemons, by route.
func (e *Evidence) add(a Answer, isNew bool, reference map[string]Sample) {
	s := a.sample(reference[a.Route])
	if !isNew {
		e.Old[a.Route] = e.Old[a.Route].plus(s)
		return
	}
	e.New[a.Route] = e.New[a.Route].plus(s)
	if bad := s.Failures + s.Refusals + s.Slow; bad > 0 {
		e.Targets[a.Target] += bad
	}
}
