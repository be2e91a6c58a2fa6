package edge

import (
	"sync"
	"time"

	"rattanline.example/rattanline/clock"
)

const (
	// silenceTime is how long a peer may answer none of the requests that wait for it until it
	// is probed. A probe takes a peer a fraction of the time of a request.
	silenceTime = 100 * time.Millisecond
	// probeAnswerTime is how long the answer to a probe is awaited until a silent peer gets no
	// more requests.
	probeAnswerTime = 100 * time.Millisecond
	// probeInterval is the interval between two probes of a peer.
	probeInterval = 200 * time.Millisecond
)

// breaker decides which peers get requests, by their answers to earlier ones: one that answers
// neither requests nor a probe gets none until it answers a probe. It answers the load of a
// daemon that passes on hundreds of requests a second while a peer is frozen or cut off: the
// kernel of a frozen peer goes on to accept connections. The zero value is ready for use. It is
// safe for concurrent use.
type breaker struct {
	mu       sync.Mutex
	circuits map[string]*circuit // by address of the peer
}

// circuit is what is known of one peer.
type circuit struct {
	waiting   int           // requests without a part of their answers
	contactAt clock.Instant // when the peer last sent something, or the first of the waiting requests began
	open      bool          // the peer gets no requests
	probedAt  clock.Instant // zero if no probe was sent since contactAt
}

func (b *breaker) circuit(address string) *circuit {
	if b.circuits == nil {
		b.circuits = map[string]*circuit{}
	}
	c := b.circuits[address]
	if c == nil {
		c = &circuit{}
		b.circuits[address] = c
	}
	return c
}

// began records a request that is passed on to the peer.
func (b *breaker) began(address string, now clock.Instant) {
	b.mu.Lock()
	defer b.mu.Unlock()
	c := b.circuit(address)
	if c.waiting++; c.waiting == 1 {
		c.contactAt = max(c.contactAt, now)
	}
}

// ended records that a request waits no longer.
func (b *breaker) ended(address string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	c := b.circuit(address)
	if c.waiting--; c.waiting == 0 && !c.open {
		delete(b.circuits, address)
	}
}

// recordContact records that the peer sent something.
func (b *breaker) recordContact(address string, now clock.Instant) {
	b.mu.Lock()
	defer b.mu.Unlock()
	c := b.circuit(address)
	c.contactAt, c.open, c.probedAt = now, false, 0
	if c.waiting == 0 {
		delete(b.circuits, address)
	}
}

// unreachable records that no connection to the peer could be opened.
func (b *breaker) unreachable(address string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.circuit(address).open = true
}

// check reports whether the peer gets requests, and whether it is to be probed now.
func (b *breaker) check(address string, now clock.Instant) (usable, probe bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	c := b.circuits[address]
	if c == nil {
		return true, false
	}
	silent := c.waiting > 0 && now.Sub(c.contactAt) >= silenceTime
	if silent && c.probedAt != 0 && now.Sub(c.probedAt) >= probeAnswerTime {
		c.open = true
	}
	probe = (silent || c.open) && (c.probedAt == 0 || now.Sub(c.probedAt) >= probeInterval)
	if probe {
		c.probedAt = now
	}
	return !c.open, probe
}
