package limit

import "time"

// health decides when a target is ejected and when it is probed.
type health struct {
	ejected  bool
	due      bool // the next probe may start
	failures int  // consecutive
	interval time.Duration
	probeAt  time.Time
}

func (h *health) advance(now time.Time) {
	h.due = h.ejected && !now.Before(h.probeAt)
}

func (h *health) probes() int {
	if h.due {
		return 1
	}
	return 0
}

// observe returns true if the target must be treated as cold: it was ejected, or
// a probe succeeded.
func (h *health) observe(now time.Time, o Observation) bool {
	if h.ejected {
		return h.observeProbe(now, o)
	}
	if o.Successes > 0 {
		h.failures = 0
	} else {
		h.failures += o.Failures
	}
	if o.Crashes == 0 && h.failures < ejectAfter {
		return false
	}
	h.eject(now)
	return true
}

// observeProbe ignores what ends before a probe was due: it is from requests
// that were in flight when the target was ejected.
func (h *health) observeProbe(now time.Time, o Observation) bool {
	switch {
	case !h.due:
		return false
	case o.Crashes+o.Failures > 0:
		h.eject(now)
		return false
	case o.Successes > 0:
		h.ejected, h.due, h.failures = false, false, 0
		return true
	}
	return false
}

// eject doubles the interval until the target proves itself by a full round of
// successes, so that one that crashes at each start is probed ever more rarely.
func (h *health) eject(now time.Time) {
	h.interval = min(max(2*h.interval, probeMin), probeMax)
	h.ejected, h.due, h.failures = true, false, 0
	h.probeAt = now.Add(h.interval)
}

func (h *health) recovered() { h.interval = 0 }
