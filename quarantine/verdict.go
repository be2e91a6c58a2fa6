package quarantine

import "time"

// Quarantined reports whether the request must not be sent to any target.
func (r *Registry) Quarantined(now time.Time, fingerprint uint64) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.quarantined(now, fingerprint)
}

// Marked reports whether the request may have crashed a target and must not run
// at a target together with another marked request.
func (r *Registry) Marked(now time.Time, fingerprint uint64) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, m := range r.marks[fingerprint] {
		if m.counts() && now.Before(m.crashTime().Add(period)) {
			return true
		}
	}
	return r.quarantined(now, fingerprint)
}

// quarantined reports whether a crash within the last period justifies a
// quarantine: it is at least the third crash of the request within one period, or
// the second one, the request was the only marked one at the target, and neither
// crash was late.
func (r *Registry) quarantined(now time.Time, fingerprint uint64) bool {
	marks := r.counting(fingerprint)
	for i, m := range marks {
		if now.Before(m.crashTime().Add(period)) && r.suffices(m, marks[:i]) {
			return true
		}
	}
	return false
}

// suffices reports whether the mark justifies a quarantine together with the former ones of the
// same request.
func (r *Registry) suffices(m Mark, former []Mark) bool {
	all, early := 1, 0
	for _, f := range former {
		if m.crashTime().Sub(f.crashTime()) >= period {
			continue
		}
		all++
		if !f.Late {
			early++
		}
	}
	return all >= 3 || early == 1 && !m.Late && r.alone(m)
}

// alone reports whether no other request in flight at the crash had been marked
// before. The daemon that created the mark knew only its own requests at the
// target, so the marks of other daemons for the same crash are checked too.
func (r *Registry) alone(m Mark) bool {
	if !m.Alone {
		return false
	}
	for f := range r.crashes[m.Crash] {
		if f == m.Fingerprint {
			continue
		}
		for crash, other := range r.marks[f] {
			if crash != m.Crash && other.counts() && other.crashTime().Before(m.crashTime()) && m.crashTime().Sub(other.crashTime()) < period {
				return false
			}
		}
	}
	return true
}
