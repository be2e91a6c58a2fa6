package quarantine

import (
	"encoding/json"
	"fmt"
	"slices"
	"sort"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"

	"rattanline.example/rattanline/port"
)

// SuspectPrefix is the key prefix of the entries that hold the crash marks of one request each.
const SuspectPrefix = "rattanline/crash-marks/"

const (
	// maxStoredMarks bounds the marks in one entry. Three suffice for a quarantine.
	maxStoredMarks = 4
	// maxStoredName bounds the name of a crash in an entry, in bytes.
	maxStoredName = 256
	// maxSuspects bounds the stored requests.
	maxSuspects = 64
)

// Suspect is a request that was in flight at several crashes.
type Suspect struct {
	Fingerprint uint64
	// Marks holds the newest marks of the request, oldest first.
	Marks []Mark
}

// storedMark is a Mark in an entry. Refuted ones aren't stored.
type storedMark struct {
	Crash   string    `json:"crash"`
	Alone   bool      `json:"alone,omitempty"`
	Late    bool      `json:"late,omitempty"`
	Expires time.Time `json:"expires"`
}

// SuspectRequests are the Contents of an Archive that holds the crash marks of suspect requests.
type SuspectRequests struct{ *Registry }

var _ Contents[Suspect] = SuspectRequests{}

// Prefix implements Contents.
func (SuspectRequests) Prefix() string { return SuspectPrefix }

// Known implements Contents.
func (r SuspectRequests) Known(now time.Time) map[string]Suspect {
	known := map[string]Suspect{}
	for _, s := range r.Suspects(now) {
		known[suspectKey(s.Fingerprint)] = s
	}
	return known
}

// Restore implements Contents.
func (r SuspectRequests) Restore(now time.Time, s Suspect) { r.RestoreMarks(now, s.Marks) }

// UpToDate implements Contents.
func (SuspectRequests) UpToDate(stored, known Suspect) bool {
	return slices.EqualFunc(stored.Marks, known.Marks, func(a, b Mark) bool {
		same := a.Expires.Equal(b.Expires)
		a.Expires = b.Expires // may differ in its location
		return same && a == b
	})
}

// Encode implements Contents.
func (SuspectRequests) Encode(s Suspect) ([]byte, error) {
	list := make([]storedMark, 0, len(s.Marks))
	for _, m := range s.Marks {
		list = append(list, storedMark{m.Crash, m.Alone, m.Late, m.Expires})
	}
	return json.Marshal(list)
}

// Decode implements Contents.
func (SuspectRequests) Decode(e port.Entry) (Suspect, error) { return DecodeSuspect(e) }

func suspectKey(fingerprint uint64) string {
	return SuspectPrefix + strconv.FormatUint(fingerprint, 16)
}

// DecodeSuspect decodes an entry under SuspectPrefix. Other writers may have written it.
func DecodeSuspect(e port.Entry) (Suspect, error) {
	fingerprint, err := strconv.ParseUint(strings.TrimPrefix(e.Key, SuspectPrefix), 16, 64)
	if err != nil {
		return Suspect{}, fmt.Errorf("fingerprint in key %q: %w", e.Key, err)
	}
	var list []storedMark
	if err := json.Unmarshal(e.Value, &list); err != nil {
		return Suspect{}, fmt.Errorf("decode crash marks %s: %w", e.Key, err)
	}
	if len(list) > maxStoredMarks {
		return Suspect{}, errors.Errorf("%d crash marks in %s", len(list), e.Key)
	}
	s := Suspect{Fingerprint: fingerprint}
	for _, m := range list {
		if m.Crash == "" || len(m.Crash) > maxStoredName {
			return Suspect{}, errors.Errorf("name of a crash with %d bytes in %s", len(m.Crash), e.Key)
		}
		s.Marks = append(s.Marks, Mark{Fingerprint: fingerprint, Crash: m.Crash, Alone: m.Alone, Late: m.Late, Expires: m.Expires})
	}
	return s, nil
}

// clockDifference is the largest difference of the wall clocks of two daemons.
const clockDifference = time.Minute

// RestoreMarks adds stored marks, and reports whether that changed anything. Marks of crashes in the
// future are ignored, since they would expire too late.
func (r *Registry) RestoreMarks(now time.Time, marks []Mark) bool {
	var plausible []Mark
	for _, m := range marks {
		if !m.crashTime().After(now.Add(clockDifference)) {
			plausible = append(plausible, m)
		}
	}
	return len(plausible) > 0 && r.Merge(now, plausible)
}

// Suspects returns the requests with two or more marks that count, those with the newest marks
// first if there are more than maxSuspects.
func (r *Registry) Suspects(now time.Time) []Suspect {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.expire(now)
	var list []Suspect
	for f := range r.marks {
		if marks := r.counting(f); len(marks) >= 2 {
			list = append(list, Suspect{f, marks[max(0, len(marks)-maxStoredMarks):]})
		}
	}
	newest := func(s Suspect) Mark { return s.Marks[len(s.Marks)-1] }
	sort.Slice(list, func(i, j int) bool { return older(newest(list[j]), newest(list[i])) })
	return list[:min(len(list), maxSuspects)]
}
