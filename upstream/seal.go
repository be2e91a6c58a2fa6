package upstream

import (
	"crypto/tls"
	"net"
	"net/http/httptrace"
	"sync"

	"github.com/pkg/errors"
)

var errSealed = errors.New("connection sealed after its request was given up")

// sealedConn counts writes and can forbid further ones. net/http writes a
// request in its own goroutine, which may still be about to start when
// RoundTrip returns an error; sealing makes "nothing was written" final.
type sealedConn struct {
	net.Conn
	mu     sync.Mutex
	writes uint64
	sealed bool
}

// Write implements net.Conn.
func (c *sealedConn) Write(p []byte) (int, error) {
	c.mu.Lock()
	if c.sealed {
		c.mu.Unlock()
		return 0, errSealed
	}
	c.writes++ // before the write: a failed write may have sent a part
	c.mu.Unlock()
	return c.Conn.Write(p)
}

func (c *sealedConn) count() uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.writes
}

func (c *sealedConn) seal() uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.sealed = true
	return c.writes
}

// writeWatch tells whether one request may have written to a connection.
type writeWatch struct {
	mu     sync.Mutex
	conn   *sealedConn
	before uint64
	// written tells that an earlier connection was written, or that the
	// connection isn't one of ours.
	written bool
	given   bool // the request was given up
}

func (w *writeWatch) trace() *httptrace.ClientTrace {
	return &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) {
		conn := info.Conn
		if t, ok := conn.(*tls.Conn); ok {
			conn = t.NetConn()
		}
		c, ok := conn.(*sealedConn)
		w.mu.Lock()
		defer w.mu.Unlock()
		switch {
		case !ok:
			w.written = true
		case w.given:
			c.seal()
		default:
			if w.conn != nil && w.conn.count() > w.before {
				w.written = true
			}
			w.conn, w.before = c, c.count()
		}
	}}
}

// giveUp forbids further writes and tells whether any may have happened.
func (w *writeWatch) giveUp() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.given = true
	if w.conn != nil && w.conn.seal() > w.before {
		w.written = true
	}
	return w.written
}
