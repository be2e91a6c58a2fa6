package link

import (
	"math/rand/v2"
	"net"
	"sync"
	"time"

	"github.com/pkg/errors"
)

// ErrCut is returned for calls over a link that a Fault cuts.
var ErrCut = errors.New("link cut by fault injection")

const (
	// segmentSize is the usual payload of one TCP segment on Ethernet.
	segmentSize = 1460
	// retransmission is the minimum retransmission timeout of Linux.
	retransmission = 200 * time.Millisecond
	// pendingSegments bounds what one direction of a delayed link holds.
	pendingSegments = 1024
)

// Fault describes the injected behaviour of the links of one client. Its zero
// value changes nothing.
type Fault struct {
	// Delay and Jitter are added to each direction: Delay plus a uniform part
	// of Jitter.
	Delay  time.Duration
	Jitter time.Duration
	// Loss is the probability that a segment is lost. TCP hides the loss, so it
	// shows as a retransmission delay.
	Loss float64
	// Cut tells whether the link to the address delivers nothing at present.
	Cut func(address string) bool
	// AppliesTo restricts delay, jitter and loss to some addresses; nil means all.
	AppliesTo func(address string) bool
	// Rand makes runs repeatable; nil means a fixed seed.
	Rand *rand.Rand
}

func (f *Fault) active() bool {
	return f.Delay > 0 || f.Jitter > 0 || f.Loss > 0 || f.Cut != nil
}

func (f *Fault) cut(address string) bool { return f.Cut != nil && f.Cut(address) }

// delays draws the delays of segments for all links of a client.
type delays struct {
	mu    sync.Mutex
	fault Fault
}

func newDelays(f Fault) *delays {
	if f.Rand == nil {
		f.Rand = rand.New(rand.NewPCG(1, 2))
	}
	return &delays{fault: f}
}

func (d *delays) next(address string, size int) time.Duration {
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
			t += retransmission
		}
	}
	return t
}

type segment struct {
	data []byte
	due  time.Time
	err  error
}

// faultConn delays both directions of a connection without reordering, and
// breaks it when data is due while the link is cut.
type faultConn struct {
	net.Conn
	address string
	delays  *delays
	out, in chan segment
	rest    []byte
	lastOut time.Time
	done    chan struct{}
	once    sync.Once
}

func newFaultConn(conn net.Conn, address string, d *delays) *faultConn {
	c := &faultConn{
		Conn: conn, address: address, delays: d, done: make(chan struct{}),
		out: make(chan segment, pendingSegments), in: make(chan segment, pendingSegments),
	}
	go c.send()
	go c.receive()
	return c
}

func (c *faultConn) Close() error {
	c.once.Do(func() { close(c.done) })
	return c.Conn.Close()
}

// wait returns false if the connection ended or the link is cut when the
// segment is due.
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
		last = later(last, time.Now().Add(c.delays.next(c.address, n)))
		select {
		case c.in <- segment{buffer[:n], last, err}:
		case <-c.done:
			return
		}
		if err != nil {
			return
		}
	}
}

func (c *faultConn) Write(p []byte) (int, error) {
	c.lastOut = later(c.lastOut, time.Now().Add(c.delays.next(c.address, len(p))))
	select {
	case c.out <- segment{data: append([]byte(nil), p...), due: c.lastOut}:
		return len(p), nil
	case <-c.done:
		return 0, net.ErrClosed
	}
}

func (c *faultConn) Read(p []byte) (int, error) {
	for len(c.rest) == 0 {
		select {
		case s := <-c.in:
			if !c.wait(s.due) {
				return 0, ErrCut
			}
			if s.err != nil {
				return 0, s.err
			}
			c.rest = s.data
		case <-c.done:
			return 0, net.ErrClosed
		}
	}
	n := copy(p, c.rest)
	c.rest = c.rest[n:]
	return n, nil
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
