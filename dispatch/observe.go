package dispatch

import (
	"time"

	"rattanline.example/rattanline/limit"
	"rattanline.example/rattanline/port"
)

// observation collects the attempts at a target until the next renewal.
type observation struct {
	limit.Observation
	firstByte time.Duration // sum over the timed successes
	timed     int           // successes whose first byte was timed
	urgent    bool          // must be sent to the owner at once
}

// message returns the observation as a renewal carries it, with the mean time to
// the first byte.
func (o *observation) message() limit.Observation {
	m := o.Observation
	if o.timed > 0 {
		m.FirstByte = o.firstByte / time.Duration(o.timed)
	}
	return m
}

func (d *Dispatcher) observation(target string) *observation {
	if d.observed[target] == nil {
		d.observed[target] = &observation{}
	}
	return d.observed[target]
}

// observeSaturation records the target as saturated if all its held slots are busy.
// It must be called after each start and before each end of a request. An
// observation may begin and be sent between the two, and would otherwise report the
// successes of a saturated target as those of one that has idle slots.
func (d *Dispatcher) observeSaturation(target string) {
	if total, busy := d.holder.Count(target); busy == total {
		d.observation(target).Saturated = true
	}
}

// observeEnd records the result of an attempt. A crash, an overload or a change of
// incarnation is reported to the owner at once. After a crash or a change of
// incarnation the target may be cold, so it is frozen until the owner has answered.
func (d *Dispatcher) observeEnd(target string, t port.Attempt) {
	d.observeSaturation(target)
	o := d.observation(target)
	switch t.Result {
	case port.Succeeded:
		o.Successes++
		if t.FirstByte > 0 {
			o.firstByte += t.FirstByte
			o.timed++
		}
		d.failing[target] = false
		d.latencies[target] += (t.Total - d.latencies[target]) / 8
	case port.Failed:
		o.Failures++
		d.failing[target] = true
	case port.Overloaded:
		o.Overloads++
		o.urgent = true
	case port.Crashed:
		o.Crashes++
		o.urgent = true
		d.failing[target] = true
		d.holder.Freeze(target)
	}
	if t.Incarnation != "" {
		o.Incarnation = t.Incarnation
		if known := d.holder.State(target).Incarnation; known != "" && known != t.Incarnation {
			o.urgent = true
			d.holder.Freeze(target)
		}
	}
	d.renewalDue = d.renewalDue || o.urgent
}

// restoreObservations schedules observations to be sent again whose renewal failed or
// went to a former owner of the target. The owner may have processed a failed renewal,
// so successes, which raise a limit, are not repeated.
func (d *Dispatcher) restoreObservations(observations map[string]limit.Observation) {
	for target, lost := range observations {
		if lost.Failures+lost.Overloads+lost.Crashes == 0 && lost.Incarnation == "" {
			continue
		}
		o := d.observation(target)
		o.Failures += lost.Failures
		o.Overloads += lost.Overloads
		o.Crashes += lost.Crashes
		if o.Incarnation == "" {
			o.Incarnation = lost.Incarnation
		}
		if lost.Crashes > 0 {
			d.holder.Freeze(target)
		}
	}
}
