package quarantine

import (
	"encoding/json"
	"fmt"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"

	"rattanline.example/rattanline/port"
)

// KeyPrefix is the key prefix of the entries that hold the crash marks of one request each.
const KeyPrefix = "rattanline/crash-marks/"

const (
	// maxStoredMarks bounds the marks in one entry. Three suffice for a quarantine.
	maxStoredMarks = 4
	// maxCrashName bounds the name of a crash in an entry, in bytes.
	maxCrashName = 256
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

// equal reports whether both hold the same marks.
func (s Suspect) equal(o Suspect) bool {
	return slices.EqualFunc(s.Marks, o.Marks, func(a, b Mark) bool {
		same := a.Expires.Equal(b.Expires)
		a.Expires = b.Expires // may differ in its location
		return same && a == b
	})
}

func keyOf(fingerprint uint64) string { return KeyPrefix + strconv.FormatUint(fingerprint, 16) }

// Fingerprint returns the fingerprint of the request whose marks the key holds.
func Fingerprint(key string) (uint64, error) {
	f, err := strconv.ParseUint(strings.TrimPrefix(key, KeyPrefix), 16, 64)
	if err != nil {
		return 0, fmt.Errorf("fingerprint in key %q: %w", key, err)
	}
	return f, nil
}

// write returns the write that stores the marks.
func (s Suspect) write() (port.Write, error) {
	list := make([]storedMark, 0, len(s.Marks))
	for _, m := range s.Marks {
		list = append(list, storedMark{m.Crash, m.Alone, m.Late, m.Expires})
	}
	value, err := json.Marshal(list)
	if err != nil {
		return port.Write{}, fmt.Errorf("encode crash marks: %w", err)
	}
	return port.Write{Key: keyOf(s.Fingerprint), Value: value}, nil
}

// DecodeSuspect decodes an entry. Other writers may have written it.
func DecodeSuspect(e port.Entry) (Suspect, error) {
	fingerprint, err := Fingerprint(e.Key)
	if err != nil {
		return Suspect{}, err
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
		if m.Crash == "" || len(m.Crash) > maxCrashName {
			return Suspect{}, errors.Errorf("name of a crash with %d bytes in %s", len(m.Crash), e.Key)
		}
		s.Marks = append(s.Marks, Mark{Fingerprint: fingerprint, Crash: m.Crash, Alone: m.Alone, Late: m.Late, Expires: m.Expires})
	}
	return s, nil
}
