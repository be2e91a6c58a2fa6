package standin

import (
	"sync"
	"time"
)

// lagged keeps the history of a value, and returns the value as it was lag ago.
type lagged[T any] struct {
	mu      sync.Mutex
	lag     time.Duration
	history []version[T] // oldest first, at least one after the first set
}

type version[T any] struct {
	since time.Time
	value T
}

func (l *lagged[T]) setLag(d time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.lag = d
}

func (l *lagged[T]) set(now time.Time, v T) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.prune(now)
	l.history = append(l.history, version[T]{now, v})
}

// get returns the value that was current at now minus the lag, and its age. The age
// is less than the lag if there is no value that old.
func (l *lagged[T]) get(now time.Time) (T, time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.prune(now)
	if len(l.history) == 0 {
		var zero T
		return zero, 0
	}
	return l.history[0].value, min(l.lag, now.Sub(l.history[0].since))
}

// prune removes the versions that had already been replaced at now minus the lag.
func (l *lagged[T]) prune(now time.Time) {
	n := 0
	for n+1 < len(l.history) && !l.history[n+1].since.After(now.Add(-l.lag)) {
		n++
	}
	l.history = l.history[n:]
}
