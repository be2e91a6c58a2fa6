package limit

import "time"

// health decides when a target is ejected and when an ejected one is probed.
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

func (h *health) availableProbes() int {
	if h.due {
		return 1
	}
	return 0
}

// observe updates the health with the results of attempts. It reports whether the
// target must be treated as cold: it was ejected, or a probe succeeded.
func (h *health) observe(now time.Time, o Observation) bool {
	if h.ejected {
		return h.observeProbe(now, o)
	}
	if o.Successes > 0 {
		h.failures = 0
	} else {
		h.failures += o.Failures
	}
	if o.Crashes == 0 && h.failures < ejectFailures {
		return false
	}
	h.eject(now)
	return true
}

// observeProbe handles results of an ejected target. It ignores results before a
// probe is due, which are of requests that were in flight at the ejection.
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

// eject ejects the target and doubles the probe interval, which is reset only
// after a full round of successes. A target that crashes at each start is thus
// probed less and less often.
func (h *health) eject(now time.Time) {
	h.interval = min(max(2*h.interval, minProbeInterval), maxProbeInterval)
	h.ejected, h.due, h.failures = true, false, 0
	h.probeAt = now.Add(h.interval)
}

func (h *health) recovered() { h.interval = 0 }
