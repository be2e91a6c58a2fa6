package timeline

import (
	"sync"
	"time"
)

// DefaultSize is the number of events that a Buffer holds if its Size is not set.
const DefaultSize = 4096

// Buffer is a ring buffer of the last events of one daemon. It implements Recorder.
// Its exported fields must be set before the first use.
type Buffer struct {
	Daemon        string
	Host          string
	FailureDomain string
	Size          int // in events; DefaultSize if not positive

	mu       sync.Mutex
	ring     []Event
	sequence uint64 // of the last event
	lastTime time.Time
}

// Record adds the event. If the buffer is full, it replaces the oldest event.
func (b *Buffer) Record(e Event) {
	b.mu.Lock()
	defer b.mu.Unlock()
	// A clock that is set back must not reorder the events of one daemon.
	if now := time.Now().Round(0); now.After(b.lastTime) {
		b.lastTime = now
	}
	b.sequence++
	e.Time, e.Sequence = b.lastTime, b.sequence
	e.Daemon, e.Host, e.FailureDomain = b.Daemon, b.Host, b.FailureDomain
	if len(b.ring) < b.size() {
		b.ring = append(b.ring, e)
		return
	}
	b.ring[b.writeIndex()] = e
}

func (b *Buffer) size() int {
	if b.Size <= 0 {
		return DefaultSize
	}
	return b.Size
}

// writeIndex returns the index in the full ring for the event that has the current
// sequence number. It held the oldest event before.
func (b *Buffer) writeIndex() int {
	return int((b.sequence - 1) % uint64(b.size()))
}

// Events returns the events that match the filter, oldest first.
func (b *Buffer) Events(f Filter) []Event {
	b.mu.Lock()
	defer b.mu.Unlock()
	var events []Event
	oldest := 0
	if len(b.ring) == b.size() {
		oldest = int(b.sequence % uint64(b.size()))
	}
	for i := range b.ring {
		if e := b.ring[(oldest+i)%len(b.ring)]; f.Match(e) {
			events = append(events, e)
		}
	}
	return events
}
