package claim

import (
	"context"
	"sync"
	"time"
)

// attemptState is the state of an attempt at its claiming daemon.
type attemptState string

const (
	attemptRunning  attemptState = "running" // claimed, or waiting for its claim
	attemptAnswered attemptState = "answered"
	attemptNotSent  attemptState = "not-sent" // not run and never will be
	attemptLost     attemptState = "lost"     // never recorded at this daemon, or dropped
)

// entryOverheadBytes is the assumed size of an attemptEntry without its response.
const entryOverheadBytes = 256

type attemptEntry struct {
	key     Digest
	state   attemptState
	answer  Answer
	done    chan struct{} // closed when the state is no longer running
	size    int64
	expires time.Time
}

// answerStore stores the responses to claimed requests, up to maxBytes, and the
// attempts that were not run. An attempt without an entry counts as lost.
type answerStore struct {
	mu       sync.Mutex
	maxBytes int64
	size     int64
	entries  map[Digest]*attemptEntry
	// endedOrder lists the attempts whose entries may be dropped, oldest first.
	endedOrder []Digest
}

func (a *answerStore) start(key, attempt Digest) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.entries == nil {
		a.entries = map[Digest]*attemptEntry{}
	}
	a.entries[attempt] = &attemptEntry{key: key, state: attemptRunning, done: make(chan struct{})}
}

// end records the end of a running attempt. It then drops expired entries, and the
// oldest ones until the size is at most maxBytes. An attempt that has ended keeps
// its state: an answered one cannot become not sent.
func (a *answerStore) end(now time.Time, expiry time.Duration, attempt Digest, state attemptState, answer Answer) {
	a.mu.Lock()
	defer a.mu.Unlock()
	e := a.entries[attempt]
	if e == nil || e.state != attemptRunning {
		return
	}
	e.state, e.answer, e.expires = state, answer, now.Add(expiry)
	e.size = entryOverheadBytes + int64(len(answer.Body))
	for name, values := range answer.Header {
		e.size += int64(len(name))
		for _, v := range values {
			e.size += int64(len(v))
		}
	}
	a.size += e.size
	a.endedOrder = append(a.endedOrder, attempt)
	close(e.done)
	for len(a.endedOrder) > 0 {
		oldest := a.entries[a.endedOrder[0]]
		if a.size <= a.maxBytes && now.Before(oldest.expires) {
			break
		}
		a.size -= oldest.size
		delete(a.entries, a.endedOrder[0])
		a.endedOrder = a.endedOrder[1:]
	}
}

// get returns the state of the attempt, lost if it does not belong to the key.
func (a *answerStore) get(key, attempt Digest) (attemptState, Answer, <-chan struct{}) {
	a.mu.Lock()
	defer a.mu.Unlock()
	e := a.entries[attempt]
	if e == nil || e.key != key {
		return attemptLost, Answer{}, nil
	}
	return e.state, e.answer, e.done
}

// wait returns the state once the attempt has ended, or running if the context
// ends first.
func (a *answerStore) wait(ctx context.Context, key, attempt Digest) (attemptState, Answer) {
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
