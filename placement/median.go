package placement

import (
	"time"

	"rattanline.example/rattanline/clock"
)

// meanWaitTTL is how long a mean is cached, since each request needs it.
const meanWaitTTL = 20 * time.Millisecond

// meanWait is the mean wait in the queues of the engines of a service.
type meanWait struct {
	wait     time.Duration
	computed clock.Instant
}

// meanQueueWait returns the mean time that a request waits for others at the engines of the
// service that are warm and can be used, given what other daemons have in flight.
func (t *Table) meanQueueWait(service string, now clock.Instant, others map[string]Work) time.Duration {
	if m := t.meanWaits[service]; m.computed != 0 && now.Sub(m.computed) < meanWaitTTL {
		return m.wait
	}
	sum, engines := time.Duration(0), 0
	for _, target := range t.services[service] {
		if t.listed(target, now) && now >= target.downUntil && now >= t.coldUntil(target) {
			sum += queueWait(target, others[target.Name])
			engines++
		}
	}
	if t.meanWaits == nil {
		t.meanWaits = map[string]meanWait{}
	}
	m := meanWait{sum / time.Duration(max(engines, 1)), now}
	t.meanWaits[service] = m
	return m.wait
}
