package placement

import (
	"time"

	"rattanline.example/rattanline/clock"
)

const (
	// paceWeight is the weight of the newest stream in the mean time between events.
	paceWeight = 0.1
	// paceDecayTime is the time constant with which the pace of a target that receives no
	// streams approaches that of the others, so that it is tried again.
	paceDecayTime = 10 * time.Second
	// minPace and maxPace bound the pace of a target.
	minPace, maxPace = 0.5, 3.0
	// paceBaseWait is added to the wait at an engine before its pace applies: streams at an
	// engine get their events slowly also while no prompt waits there.
	paceBaseWait = 100 * time.Millisecond
)

// eventPace is the mean time between the events of the streams at a target. The engines of a
// service differ in speed and in how many streams they run.
type eventPace struct {
	interval time.Duration
	updated  clock.Instant
}

// add adds the mean time between the events of a stream.
func (p *eventPace) add(now clock.Instant, interval time.Duration) {
	if p.interval == 0 {
		p.interval = interval
	}
	p.interval += time.Duration(paceWeight * float64(interval-p.interval))
	p.updated = max(p.updated, now)
}

// penalty returns the minimum advantage that the target needs because of its pace, given the mean
// interval at all targets. It is negative for a target that is faster than the others.
func (p *eventPace) penalty(now clock.Instant, wait, mean time.Duration) time.Duration {
	return time.Duration((p.relative(now, mean) - 1) * float64(wait+paceBaseWait))
}

// relative returns the interval as a multiple of the mean of all targets.
func (p *eventPace) relative(now clock.Instant, mean time.Duration) float64 {
	if p.interval == 0 || mean == 0 {
		return 1
	}
	r := float64(p.interval)/float64(mean) - 1
	return min(max(1+r*clock.Decay(now, p.updated, paceDecayTime), minPace), maxPace)
}
