package placement

import (
	"slices"
	"time"

	"rattanline.example/rattanline/clock"
)

// summaryTTL is how long a summary is cached, since each request needs it.
const summaryTTL = 20 * time.Millisecond

// summary describes all engines of a service that are warm and can be used.
type summary struct {
	// queueWait is the median time that a request waits for others. Few engines with very long
	// prompts change the mean, but leave the others as idle as they are.
	queueWait time.Duration
	// eventInterval is the mean time between the events of their streams, zero if there were
	// none.
	eventInterval time.Duration
	// lengths states which engines take long prompts.
	lengths  lengthSplit
	computed clock.Instant
}

// summarize returns the summary of the engines of the service, given what other daemons have in
// flight.
func (t *Table) summarize(service string, now clock.Instant, others map[string]Work) summary {
	if s := t.summaries[service]; s.computed != 0 && now.Sub(s.computed) < summaryTTL {
		return s
	}
	queued := t.queuedBuffer[:0]
	intervals, measured := time.Duration(0), 0
	var mix promptMix
	ranks := t.rankBuffer[:0]
	for _, target := range t.services[service] {
		if !t.listed(target, now) || now < target.downUntil || now < t.coldUntil(target) {
			continue
		}
		queued = append(queued, queuedWork(target, others[target.Name]))
		mix.add(target.work, others[target.Name])
		ranks = append(ranks, lengthRank(target))
		if target.pace.interval > 0 {
			intervals += target.pace.interval
			measured++
		}
	}
	t.queuedBuffer, t.rankBuffer = queued, ranks // reuse the grown buffers
	s := summary{
		queueWait: t.speed(service).duration(median(queued)), eventInterval: intervals / time.Duration(max(measured, 1)), computed: now,
	}
	if t.Engines != nil && t.Engines(service).copiesFast() {
		s.lengths = splitByLength(mix, ranks)
	}
	if t.summaries == nil {
		t.summaries = map[string]summary{}
	}
	t.summaries[service] = s
	return s
}

// median returns the value in the middle, zero if there are none. It sorts the values in place.
func median(values []float64) float64 {
	if len(values) == 0 {
		return 0
	}
	slices.Sort(values)
	return (values[(len(values)-1)/2] + values[len(values)/2]) / 2
}
