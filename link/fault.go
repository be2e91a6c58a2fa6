package link

import (
	"math/rand/v2"
	"net"
	"sync"
	"time"

	"github.com/pkg/errors"
)

// ErrCut is returned for calls over a link that is cut by a Fault.
var ErrCut = errors.New("link cut by fault injection")

const (
	// segmentSize is the usual payload of a TCP segment on Ethernet, in bytes.
	segmentSize = 1460
	// retransmissionTimeout is the minimum retransmission timeout of Linux.
	retransmissionTimeout = 200 * time.Millisecond
	// maxPendingChunks bounds the number of chunks in transit in one direction of a
	// delayed link.
	maxPendingChunks = 1024
)

// Fault describes the faults that are injected into the links of one client. The
// zero value injects none.
type Fault struct {
	// Delay is added to each write and each read, so that it applies to both
	// directions.
	Delay time.Duration
	// Jitter is the upper bound of a further delay, which is drawn from a uniform
	// distribution for each write and each read.
	Jitter time.Duration
	// Loss is the probability that a TCP segment is lost, from 0 to below 1. TCP
	// repeats lost segments, so each loss adds a retransmission timeout to the delay.
	Loss float64
	// Cut reports whether the link to the address currently delivers nothing; nil
	// means that no link is cut.
	Cut func(address string) bool
	// AppliesTo restricts Delay, Jitter and Loss to the addresses for which it
	// returns true; nil means all.
	AppliesTo func(address string) bool
	// Rand is the source of jitter and losses; nil means one with a fixed seed, so
	// that runs are repeatable.
	Rand *rand.Rand
}

func (f *Fault) active() bool {
	return f.Delay > 0 || f.Jitter > 0 || f.Loss > 0 || f.Cut != nil
}

func (f *Fault) cut(address string) bool { return f.Cut != nil && f.Cut(address) }

// delayGenerator draws the random delays of chunks for all links of a client.
type delayGenerator struct {
	mu    sync.Mutex
	fault Fault
}

func newDelayGenerator(f Fault) *delayGenerator {
	if f.Rand == nil {
		f.Rand = rand.New(rand.NewPCG(1, 2))
	}
	return &delayGenerator{fault: f}
}

// draw returns the delay of size bytes sent to or received from the address.
func (d *delayGenerator) draw(address string, size int) time.Duration {
	f := &d.fault
	if f.AppliesTo != nil && !f.AppliesTo(address) {
		return 0
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	t := f.Delay
	if f.Jitter > 0 {
		t += time.Duration(f.Rand.Int64N(int64(f.Jitter)))
	}
	for s := 0; s < size; s += segmentSize {
		for f.Loss > 0 && f.Loss < 1 && f.Rand.Float64() < f.Loss {
			t += retransmissionTimeout
		}
	}
	return t
}

// chunk is the data of one write or read of a delayed connection.
type chunk struct {
	data []byte
	due  time.Time // when the data is passed on
	err  error     // error of the read, which Read returns instead of the data
}

// faultConn delays both directions of a connection without reordering. It closes
// the connection if data becomes due while the link is cut.
type faultConn struct {
	net.Conn
	address string
	delays  *delayGenerator
	out, in chan chunk
	unread  []byte    // received data that Read has not returned yet
	lastDue time.Time // due time of the last written chunk
	done    chan struct{}
	once    sync.Once
}

func newFaultConn(conn net.Conn, address string, d *delayGenerator) *faultConn {
	c := &faultConn{
		Conn: conn, address: address, delays: d, done: make(chan struct{}),
		out: make(chan chunk, maxPendingChunks), in: make(chan chunk, maxPendingChunks),
	}
	go c.send()
	go c.receive()
	return c
}

func (c *faultConn) Close() error {
	c.once.Do(func() { close(c.done) })
	return c.Conn.Close()
}

// wait blocks until the due time of a chunk. It returns false if the connection
// was closed in the meantime, or if the link is cut at the due time.
func (c *faultConn) wait(due time.Time) bool {
	t := time.NewTimer(time.Until(due))
	defer t.Stop()
	select {
	case <-t.C:
	case <-c.done:
		return false
	}
	if c.delays.fault.cut(c.address) {
		_ = c.Close()
		return false
	}
	return true
}

func (c *faultConn) send() {
	for {
		select {
		case s := <-c.out:
			if !c.wait(s.due) {
				return
			}
			if _, err := c.Conn.Write(s.data); err != nil {
				_ = c.Close()
				return
			}
		case <-c.done:
			return
		}
	}
}

func (c *faultConn) receive() {
	var last time.Time
	for {
		buffer := make([]byte, 16<<10)
		n, err := c.Conn.Read(buffer)
		last = later(last, time.Now().Add(c.delays.draw(c.address, n)))
		select {
		case c.in <- chunk{buffer[:n], last, err}:
		case <-c.done:
			return
		}
		if err != nil {
			return
		}
	}
}

func (c *faultConn) Write(p []byte) (int, error) {
	c.lastDue = later(c.lastDue, time.Now().Add(c.delays.draw(c.address, len(p))))
	select {
	case c.out <- chunk{data: append([]byte(nil), p...), due: c.lastDue}:
		return len(p), nil
	case <-c.done:
		return 0, net.ErrClosed
	}
}

func (c *faultConn) Read(p []byte) (int, error) {
	for len(c.unread) == 0 {
		select {
		case s := <-c.in:
			if !c.wait(s.due) {
				return 0, ErrCut
			}
			if s.err != nil {
				return 0, s.err
			}
			c.unread = s.data
		case <-c.done:
			return 0, net.ErrClosed
		}
	}
	n := copy(p, c.unread)
	c.unread = c.unread[n:]
	return n, nil
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
