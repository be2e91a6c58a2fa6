package gateway

import "time"

// minIntervalEvents is the number of events from which on their mean interval shows how fast
// the target is.
const minIntervalEvents = 6

// eventTimes measures when the events of a stream are received.
type eventTimes struct {
	count        int
	first, last  time.Time
	longestPause time.Duration
}

// add records an event.
func (t *eventTimes) add(now time.Time) {
	if t.count == 0 {
		t.first = now
	} else {
		t.longestPause = max(t.longestPause, now.Sub(t.last))
	}
	t.count, t.last = t.count+1, now
}

// interval returns the mean time between two events, zero if there are too few.
func (t *eventTimes) interval() time.Duration {
	if t.count < minIntervalEvents {
		return 0
	}
	return t.last.Sub(t.first) / time.Duration(t.count-1)
}

// recordEvent records that an event of a stream was received.
func (c *call) recordEvent(now time.Time) {
	c.events.add(now)
	c.longestPause = max(c.longestPause, c.events.longestPause)
	c.RecordEvent()
}
