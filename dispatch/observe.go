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
	urgent    bool
}

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

// observeBusy notes that all slots of the target are busy. It is called before
// and after each change, because an observation may begin and end in between:
// the successes of a full target would else be sent without that note.
func (d *Dispatcher) observeBusy(target string) {
	if total, busy := d.holder.Count(target); busy == total {
		d.observation(target).Saturated = true
	}
}

// observeEnd takes the result of an attempt. After a crash, an overload or a
// change of incarnation the owner is told at once, and until it has answered
// this daemon starts nothing new at a target that may be cold.
func (d *Dispatcher) observeEnd(target string, t port.Attempt) {
	d.observeBusy(target)
	o := d.observation(target)
	switch t.Result {
	case port.Succeeded:
		o.Successes++
		if t.FirstByte > 0 {
			o.firstByte += t.FirstByte
			o.timed++
		}
		d.failing[target] = false
		d.latency[target] += (t.Total - d.latency[target]) / 8
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
	d.dirty = d.dirty || o.urgent
}

// restore takes back the observations of a renewal that failed. It may have
// been processed, so successes, which raise a limit, are not repeated.
func (d *Dispatcher) restore(observations map[string]limit.Observation) {
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
