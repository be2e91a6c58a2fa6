package link

import (
	"net"
	"net/rpc"
	"sync"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/cenkalti/backoff/v5"

	"rattanline.example/rattanline/socket"
)

// countingConn counts the bytes on the wire, including the overhead of TLS.
type countingConn struct {
	net.Conn
	sent, received []*metrics.Counter
	// writeTimeout bounds each write, so that a stalled peer doesn't block the
	// connection for all callers; zero means no bound.
	writeTimeout time.Duration
	bytesRead    atomic.Int64 // in total
}

func (c *countingConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	for _, m := range c.received {
		m.Add(n)
	}
	c.bytesRead.Add(int64(n))
	return n, err
}

func (c *countingConn) Write(p []byte) (int, error) {
	if c.writeTimeout > 0 {
		_ = c.SetWriteDeadline(time.Now().Add(c.writeTimeout))
	}
	// Count before the write, because the peer's reply may be read before Write
	// returns.
	for _, m := range c.sent {
		m.Add(len(p))
	}
	n, err := c.Conn.Write(p)
	if err != nil {
		_ = socket.Reset(c.Conn)
	}
	return n, err
}

// errorRecordingConn records the first read error, for instance the TLS alert of a
// server that rejected the certificate. net/rpc reports only ErrShutdown for calls
// after that error.
type errorRecordingConn struct {
	net.Conn
	readErr atomic.Pointer[error]
}

func (c *errorRecordingConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if err != nil {
		c.readErr.CompareAndSwap(nil, &err)
	}
	return n, err
}

// connection is an established connection to a peer.
type connection struct {
	client *rpc.Client
	wire   *countingConn
	stream *errorRecordingConn
	// verified is set once a reply was received. With TLS 1.3 a client detects only
	// after its handshake that the server rejected its certificate.
	verified atomic.Bool
	closed   atomic.Bool
	pending  atomic.Int64 // calls that have not returned
	lastUsed atomic.Int64 // start of the last call, as Unix time in ns
}

// reset closes the connection so that calls that were given up don't reach the peer later.
func (c *connection) reset() {
	if !c.closed.Swap(true) {
		_ = socket.Reset(c.wire.Conn)
		_ = c.client.Close() // its connection is closed already
	}
}

func (c *connection) close() {
	if !c.closed.Swap(true) {
		_ = c.client.Close()
	}
}

// peer is the state of one address: at most one connection, and the backoff after
// failed attempts to connect.
type peer struct {
	mu      sync.Mutex
	conn    *connection
	evicted bool          // removed from Client.peers; a later call creates a new peer
	dialing chan struct{} // closed when the running dial ends; nil if none runs
	lastErr error
	retryAt time.Time // no dial is attempted before this time
	backoff *backoff.ExponentialBackOff
	// sent and received count the bytes of this peer.
	sent, received *metrics.Counter
}

func newBackoff() *backoff.ExponentialBackOff {
	b := backoff.NewExponentialBackOff()
	b.InitialInterval = 50 * time.Millisecond
	b.MaxInterval = time.Second
	b.RandomizationFactor = 0.5
	b.Reset()
	return b
}

// recordFailure records a failed attempt to connect and starts the next backoff.
// The caller holds p.mu.
func (p *peer) recordFailure(err error) {
	p.lastErr = err
	p.retryAt = time.Now().Add(p.backoff.NextBackOff())
}

// replace closes the connection after an error, so that the next call dials. An
// error on a connection that never received a reply counts as a failed attempt to
// connect.
func (p *peer) replace(c *connection, err error) {
	p.mu.Lock()
	if p.conn == c {
		p.conn = nil
		if !c.verified.Load() {
			if r := c.stream.readErr.Load(); r != nil {
				err = *r
			}
			p.recordFailure(err)
		}
	}
	p.mu.Unlock()
	c.reset()
}

// recordSuccess resets the backoff at the first reply on the connection.
func (p *peer) recordSuccess(c *connection) {
	if c.verified.Swap(true) {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.backoff.Reset()
	p.lastErr = nil
}
