package timeline

import (
	"sync"
	"time"
)

// DefaultSize is the number of events that a buffer without a size keeps.
const DefaultSize = 4096

// Buffer keeps the last events of one daemon. It implements Recorder. The
// exported fields are set before its first use.
type Buffer struct {
	Daemon        string
	Host          string
	FailureDomain string
	Size          int

	mu       sync.Mutex
	ring     []Event
	sequence uint64 // of the last event
	last     time.Time
}

// Record adds the event and drops the oldest one if the buffer is full.
func (b *Buffer) Record(e Event) {
	b.mu.Lock()
	defer b.mu.Unlock()
	// A clock that is set back must not reorder the events of one daemon.
	if now := time.Now().Round(0); now.After(b.last) {
		b.last = now
	}
	b.sequence++
	e.Time, e.Sequence = b.last, b.sequence
	e.Daemon, e.Host, e.FailureDomain = b.Daemon, b.Host, b.FailureDomain
	if len(b.ring) < b.size() {
		b.ring = append(b.ring, e)
		return
	}
	b.ring[b.start()] = e
}

func (b *Buffer) size() int {
	if b.Size <= 0 {
		return DefaultSize
	}
	return b.Size
}

// start returns where the oldest event was before the last call of Record.
func (b *Buffer) start() int {
	return int((b.sequence - 1) % uint64(b.size()))
}

// Events returns the events that the filter lets through, oldest first.
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
