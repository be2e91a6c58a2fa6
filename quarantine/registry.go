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
	// markLifetime is how long marks are kept. A quarantine that begins at the end of
	// one period lasts for another one, and is derived from the marks throughout.
	markLifetime = 2 * period
	// sameCrashWindow is the time within which reports of one crash name are the same
	// crash, observed by several daemons. A later crash of the target may have the
	// same name: a daemon that had nothing in flight there is not aware of the
	// restart.
	sameCrashWindow = 600 * time.Millisecond
	// defaultMaxMarks bounds the memory use. The crash of a full target adds one mark
	// for each request in flight there.
	defaultMaxMarks = 4096
)

// Registry holds the crash marks known to one daemon. Whether a request is
// quarantined depends only on the set of marks, so daemons with the same marks agree
// regardless of the order in which they received them. The zero value is ready for
// use. It is safe for concurrent use.
type Registry struct {
	// MaxMarks is the maximum number of marks, zero means 4096. The oldest ones are
	// evicted.
	MaxMarks int

	mu      sync.Mutex
	marks   map[uint64]map[string]Mark // by fingerprint and crash
	crashes map[string]map[uint64]bool // fingerprints by crash
	count   int                        // of marks
	digests Digests                    // of marks
}

// RecordCrash marks the requests that were in flight at a target when it crashed.
// The crash is named by target and, if it is known, incarnation, so that daemons
// that observe the same crash agree on its name.
func (r *Registry) RecordCrash(now time.Time, crash string, fingerprints []uint64) {
	r.record(now, crash, fingerprints, false)
}

// RecordLateCrash does the same for requests whose answers had gone on. Late marks count only
// towards a quarantine by three marks.
func (r *Registry) RecordLateCrash(now time.Time, crash string, fingerprints []uint64) {
	r.record(now, crash, fingerprints, true)
}

func (r *Registry) record(now time.Time, crash string, fingerprints []uint64, late bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.expire(now)
	crash = r.crashName(now, crash)
	marked := map[uint64]bool{}
	for _, f := range fingerprints {
		if len(r.counting(f)) > 0 {
			marked[f] = true
		}
	}
	for _, f := range fingerprints {
		others := len(marked)
		if marked[f] {
			others--
		}
		// The time has no monotonic clock reading, so that marks compare equal
		// after transmission.
		r.add(Mark{Fingerprint: f, Crash: crash, Alone: others == 0, Late: late, Expires: now.Add(markLifetime).UTC().Round(0)})
	}
	r.evictOldest()
}

// RecordAnswer records that a target has completed an answer to the request, which refutes its
// marks: callers may send the same content so often that it is in flight at most crashes.
func (r *Registry) RecordAnswer(fingerprint uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, m := range r.marks[fingerprint] {
		if !m.Answered {
			m.Answered = true
			r.add(m)
		}
	}
}

// crashName distinguishes the crash from an earlier one with the same name. Daemons
// that observe the same crash usually agree on the new name too: it contains the
// time rounded down to a multiple of twice sameCrashWindow.
func (r *Registry) crashName(now time.Time, crash string) string {
	for f := range r.crashes[crash] {
		if now.Sub(r.marks[f][crash].crashTime()) > sameCrashWindow {
			return fmt.Sprintf("%s@%d", crash, now.Truncate(2*sameCrashWindow).UnixMilli())
		}
	}
	return crash
}

// Marks returns all marks in a fixed order, oldest first, to be sent to other
// daemons.
func (r *Registry) Marks(now time.Time) []Mark {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.expire(now)
	return r.sorted(anyMark)
}

// Recent returns the marks of crashes within the given time span before now.
func (r *Registry) Recent(now time.Time, span time.Duration) []Mark {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.expire(now)
	return r.sorted(func(m Mark) bool { return now.Sub(m.crashTime()) <= span })
}

func anyMark(Mark) bool { return true }

// Merge adds the marks received from another daemon, and reports whether that changed anything.
func (r *Registry) Merge(now time.Time, marks []Mark) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.expire(now)
	before := r.digests
	for _, m := range marks {
		if now.Before(m.Expires) {
			r.add(m)
		}
	}
	r.evictOldest()
	return r.digests != before
}

// counting returns the marks of the request that count, oldest first.
func (r *Registry) counting(fingerprint uint64) []Mark {
	marks := make([]Mark, 0, len(r.marks[fingerprint]))
	for _, m := range r.marks[fingerprint] {
		if m.counts() {
			marks = append(marks, m)
		}
	}
	sort.Slice(marks, func(i, j int) bool { return older(marks[i], marks[j]) })
	return marks
}

// add adds the mark, or merges it with an existing one of the same request and crash.
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
		r.digests.toggle(old)
		m = m.merge(old)
	} else {
		r.count++
	}
	r.digests.toggle(m)
	r.marks[m.Fingerprint][m.Crash] = m
	r.crashes[m.Crash][m.Fingerprint] = true
}

func (r *Registry) remove(m Mark) {
	r.digests.toggle(m)
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

// evictOldest evicts the oldest marks in excess of MaxMarks.
func (r *Registry) evictOldest() {
	limit := r.MaxMarks
	if limit == 0 {
		limit = defaultMaxMarks
	}
	if r.count <= limit {
		return
	}
	for _, m := range r.sorted(anyMark)[:r.count-limit] {
		r.remove(m)
	}
}

// sorted returns the marks that match, oldest first.
func (r *Registry) sorted(match func(Mark) bool) []Mark {
	var list []Mark
	for _, marks := range r.marks {
		for _, m := range marks {
			if match(m) {
				list = append(list, m)
			}
		}
	}
	sort.Slice(list, func(i, j int) bool { return older(list[i], list[j]) })
	return list
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
