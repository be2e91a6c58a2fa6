package quarantine

import (
	"fmt"
	"sort"
	"sync"
	"time"
)

const (
	// period is how long a mark counts towards a quarantine, and how long a
	// quarantine lasts. It must be the same in all daemons.
	period = 10 * time.Minute
	// markLife is how long marks are kept: a quarantine that begins at the end
	// of one period lasts another, and is derived from its marks.
	markLife = 2 * period
	// sameCrash is the time within which crashes of one name are the same one, as
	// several daemons see it. A target that crashes again after it may have the
	// same name: a daemon that had nothing in flight there doesn't know of the
	// restart.
	sameCrash = 600 * time.Millisecond
	// defaultMarks bounds the memory. A crash of a full target adds as many marks
	// as it had requests in flight.
	defaultMarks = 4096
)

// Registry holds the marks of one daemon. The verdict depends on the set of
// marks only, so daemons that have the same marks agree whatever the order in
// which they learned them. The zero value is ready; it is safe for concurrent
// use.
type Registry struct {
	// MaxMarks bounds the marks kept, zero means 4096. The oldest are dropped.
	MaxMarks int

	mu      sync.Mutex
	marks   map[uint64]map[string]Mark // by fingerprint and crash
	crashes map[string]map[uint64]bool
	count   int
}

// at returns the time of the crash that made the mark.
func (m Mark) at() time.Time { return m.Expires.Add(-markLife) }

// RecordCrash marks the requests that were in flight at a target when it crashed. The
// crash is named by target and incarnation, so that daemons that see the same
// one agree on its name.
func (r *Registry) RecordCrash(now time.Time, crash string, fingerprints []uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.expire(now)
	crash = r.name(now, crash)
	marked := map[uint64]bool{}
	for _, f := range fingerprints {
		if len(r.marks[f]) > 0 {
			marked[f] = true
		}
	}
	for _, f := range fingerprints {
		others := len(marked)
		if marked[f] {
			others--
		}
		// Without monotonic clock reading, so that marks compare equal after
		// they were sent.
		r.add(Mark{Fingerprint: f, Crash: crash, Alone: others == 0, Expires: now.Add(markLife).UTC().Round(0)})
	}
	r.bound()
}

// name tells the crash apart from an earlier one of the same name. Daemons that
// see the same crash mostly agree on the new name too.
func (r *Registry) name(now time.Time, crash string) string {
	for f := range r.crashes[crash] {
		if now.Sub(r.marks[f][crash].at()) > sameCrash {
			return fmt.Sprintf("%s@%d", crash, now.Truncate(2*sameCrash).UnixMilli())
		}
	}
	return crash
}

// Quarantined tells that the request must not be sent to any target.
func (r *Registry) Quarantined(now time.Time, fingerprint uint64) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.quarantined(now, fingerprint)
}

// Marked tells that the request may have crashed a target and must not run
// beside another marked one.
func (r *Registry) Marked(now time.Time, fingerprint uint64) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, m := range r.marks[fingerprint] {
		if now.Before(m.at().Add(period)) {
			return true
		}
	}
	return r.quarantined(now, fingerprint)
}

// quarantined looks for a mark in the last period that is the second and was
// alone, or at least the third, within the period before it.
func (r *Registry) quarantined(now time.Time, fingerprint uint64) bool {
	marks := make([]Mark, 0, len(r.marks[fingerprint]))
	for _, m := range r.marks[fingerprint] {
		marks = append(marks, m)
	}
	sort.Slice(marks, func(i, j int) bool { return older(marks[i], marks[j]) })
	for i, m := range marks {
		if !now.Before(m.at().Add(period)) {
			continue
		}
		n := 1
		for _, former := range marks[:i] {
			if m.at().Sub(former.at()) < period {
				n++
			}
		}
		if n >= 3 || n == 2 && r.alone(m) {
			return true
		}
	}
	return false
}

// alone tells that no other request in flight at the crash had been marked
// before. The daemon that made the mark knew only its own requests there, so
// those that others marked at the same crash are looked at too.
func (r *Registry) alone(m Mark) bool {
	if !m.Alone {
		return false
	}
	for f := range r.crashes[m.Crash] {
		if f == m.Fingerprint {
			continue
		}
		for crash, other := range r.marks[f] {
			if crash != m.Crash && other.at().Before(m.at()) && m.at().Sub(other.at()) < period {
				return false
			}
		}
	}
	return true
}

// Marks returns all marks in a fixed order, for other daemons.
func (r *Registry) Marks(now time.Time) []Mark {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.expire(now)
	return r.sorted()
}

// Recent returns the marks of crashes in the last time span.
func (r *Registry) Recent(now time.Time, span time.Duration) []Mark {
	var recent []Mark
	for _, m := range r.Marks(now) {
		if now.Sub(m.at()) <= span {
			recent = append(recent, m)
		}
	}
	return recent
}

// Merge adds the marks of another daemon.
func (r *Registry) Merge(now time.Time, marks []Mark) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.expire(now)
	for _, m := range marks {
		if now.Before(m.Expires) {
			r.add(m)
		}
	}
	r.bound()
}

// add unites the mark with one of the same request and crash. Both rules, the
// later expiry and alone only if all say so, don't depend on the order.
func (r *Registry) add(m Mark) {
	if r.marks == nil {
		r.marks, r.crashes = map[uint64]map[string]Mark{}, map[string]map[uint64]bool{}
	}
	if r.marks[m.Fingerprint] == nil {
		r.marks[m.Fingerprint] = map[string]Mark{}
	}
	if r.crashes[m.Crash] == nil {
		r.crashes[m.Crash] = map[uint64]bool{}
	}
	old, known := r.marks[m.Fingerprint][m.Crash]
	if known {
		m.Alone = m.Alone && old.Alone
		if old.Expires.After(m.Expires) {
			m.Expires = old.Expires
		}
	} else {
		r.count++
	}
	r.marks[m.Fingerprint][m.Crash] = m
	r.crashes[m.Crash][m.Fingerprint] = true
}

func (r *Registry) remove(m Mark) {
	delete(r.marks[m.Fingerprint], m.Crash)
	if len(r.marks[m.Fingerprint]) == 0 {
		delete(r.marks, m.Fingerprint)
	}
	delete(r.crashes[m.Crash], m.Fingerprint)
	if len(r.crashes[m.Crash]) == 0 {
		delete(r.crashes, m.Crash)
	}
	r.count--
}

func (r *Registry) expire(now time.Time) {
	for _, marks := range r.marks {
		for _, m := range marks {
			if !now.Before(m.Expires) {
				r.remove(m)
			}
		}
	}
}

// bound drops the oldest marks beyond MaxMarks.
func (r *Registry) bound() {
	most := r.MaxMarks
	if most == 0 {
		most = defaultMarks
	}
	if r.count <= most {
		return
	}
	for _, m := range r.sorted()[:r.count-most] {
		r.remove(m)
	}
}

func (r *Registry) sorted() []Mark {
	all := make([]Mark, 0, r.count)
	for _, marks := range r.marks {
		for _, m := range marks {
			all = append(all, m)
		}
	}
	sort.Slice(all, func(i, j int) bool { return older(all[i], all[j]) })
	return all
}

func older(a, b Mark) bool {
	switch {
	case !a.Expires.Equal(b.Expires):
		return a.Expires.Before(b.Expires)
	case a.Crash != b.Crash:
		return a.Crash < b.Crash
	}
	return a.Fingerprint < b.Fingerprint
}
