package link

import (
	"net"
	"net/rpc"
	"sync"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/cenkalti/backoff/v5"
)

// countingConn counts the bytes on the wire, below TLS.
type countingConn struct {
	net.Conn
	sent, received []*metrics.Counter
	// writeTimeout bounds each write, so that a stalled peer doesn't block the
	// connection for all callers.
	writeTimeout time.Duration
	total        atomic.Int64
}

func (c *countingConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	for _, m := range c.received {
		m.Add(n)
	}
	c.total.Add(int64(n))
	return n, err
}

func (c *countingConn) Write(p []byte) (int, error) {
	if c.writeTimeout > 0 {
		_ = c.SetWriteDeadline(time.Now().Add(c.writeTimeout))
	}
	// Counted before the write: the peer's reply may be read before Write returns.
	for _, m := range c.sent {
		m.Add(len(p))
	}
	n, err := c.Conn.Write(p)
	if err != nil {
		_ = c.Conn.Close()
	}
	return n, err
}

// reasonConn keeps the first read error, for instance the TLS alert of a server
// that rejected the certificate: net/rpc reports later calls as ErrShutdown only.
type reasonConn struct {
	net.Conn
	reason atomic.Pointer[error]
}

func (c *reasonConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if err != nil {
		c.reason.CompareAndSwap(nil, &err)
	}
	return n, err
}

// connection is one established connection to a peer.
type connection struct {
	client *rpc.Client
	wire   *countingConn
	stream *reasonConn
	// proven is set once a reply was received. With TLS 1.3 a client learns
	// only after its handshake that the server rejected it.
	proven  atomic.Bool
	closed  atomic.Bool
	pending atomic.Int64
	used    atomic.Int64
}

func (c *connection) close() {
	if !c.closed.Swap(true) {
		_ = c.client.Close()
	}
}

// peer is the state of one address: at most one connection, and the backoff.
type peer struct {
	mu      sync.Mutex
	conn    *connection
	gone    bool // forgotten by the client, which has or will have another
	dialing chan struct{}
	failed  error
	retryAt time.Time
	backoff *backoff.ExponentialBackOff
	// sent and received are labelled with the address.
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

// fail records that no usable connection could be made.
func (p *peer) fail(err error) {
	p.failed = err
	p.retryAt = time.Now().Add(p.backoff.NextBackOff())
}

// replace drops the connection after a fault, so that the next call dials.
func (p *peer) replace(c *connection, err error) {
	p.mu.Lock()
	if p.conn == c {
		p.conn = nil
		if !c.proven.Load() {
			if r := c.stream.reason.Load(); r != nil {
				err = *r
			}
			p.fail(err)
		}
	}
	p.mu.Unlock()
	c.close()
}

func (p *peer) succeeded(c *connection) {
	if c.proven.Swap(true) {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.backoff.Reset()
	p.failed = nil
}
