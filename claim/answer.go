package claim

import (
	"context"
	"sync"
	"time"
)

// attemptState is what the claiming daemon knows of one of its attempts.
type attemptState string

const (
	attemptRunning  attemptState = "running" // claimed, or waiting for its claim
	attemptAnswered attemptState = "answered"
	attemptNotSent  attemptState = "not-sent"
	attemptLost     attemptState = "lost" // not known, or no longer
)

// entryOverhead is the assumed size of an entry without its response.
const entryOverhead = 256

type entry struct {
	key     Digest
	state   attemptState
	answer  Answer
	ended   chan struct{} // closed when the state is no longer running
	size    int64
	expires time.Time
}

// answers keeps the responses to claimed requests, bounded in bytes, and the
// attempts that were not sent. Without its entry an attempt is lost.
type answers struct {
	mu      sync.Mutex
	max     int64
	size    int64
	entries map[Digest]*entry
	// ended lists entries that may be dropped, oldest first.
	ended []Digest
}

func (a *answers) start(key, attempt Digest) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.entries == nil {
		a.entries = map[Digest]*entry{}
	}
	a.entries[attempt] = &entry{key: key, state: attemptRunning, ended: make(chan struct{})}
}

// end records the end of a running attempt. An attempt that was answered stays
// answered: only a running one can turn out as not sent.
func (a *answers) end(now time.Time, expiry time.Duration, attempt Digest, state attemptState, answer Answer) {
	a.mu.Lock()
	defer a.mu.Unlock()
	e := a.entries[attempt]
	if e == nil || e.state != attemptRunning {
		return
	}
	e.state, e.answer, e.expires = state, answer, now.Add(expiry)
	e.size = entryOverhead + int64(len(answer.Body))
	for name, values := range answer.Header {
		e.size += int64(len(name))
		for _, v := range values {
			e.size += int64(len(v))
		}
	}
	a.size += e.size
	a.ended = append(a.ended, attempt)
	close(e.ended)
	for len(a.ended) > 0 {
		oldest := a.entries[a.ended[0]]
		if a.size <= a.max && now.Before(oldest.expires) {
			break
		}
		a.size -= oldest.size
		delete(a.entries, a.ended[0])
		a.ended = a.ended[1:]
	}
}

// get returns the state of the attempt if it belongs to the key.
func (a *answers) get(key, attempt Digest) (attemptState, Answer, <-chan struct{}) {
	a.mu.Lock()
	defer a.mu.Unlock()
	e := a.entries[attempt]
	if e == nil || e.key != key {
		return attemptLost, Answer{}, nil
	}
	return e.state, e.answer, e.ended
}

// wait returns the state once the attempt has ended, or running when the
// context ends before.
func (a *answers) wait(ctx context.Context, key, attempt Digest) (attemptState, Answer) {
	state, answer, ended := a.get(key, attempt)
	if state != attemptRunning {
		return state, answer
	}
	select {
	case <-ended:
		state, answer, _ = a.get(key, attempt)
		return state, answer
	case <-ctx.Done():
		return attemptRunning, Answer{}
	}
}
