package edge

import (
	"context"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"rattanline.example/rattanline/config"
	"rattanline.example/rattanline/socket"
)

// connTracker counts the open connections of callers, and closes those that are
// idle for too long or on which the header of a request takes too long to arrive.
// The timeouts come from the configuration, which changes while the server runs.
type connTracker struct {
	idleTimeout, headerTimeout func() time.Duration

	open   atomic.Int64
	mu     sync.Mutex
	timers map[net.Conn]*time.Timer
}

// stateChanged is the http.Server.ConnState hook.
func (c *connTracker) stateChanged(conn net.Conn, state http.ConnState) {
	switch state {
	case http.StateNew:
		c.open.Add(1)
		callerConnections.Inc()
	case http.StateClosed, http.StateHijacked:
		c.open.Add(-1)
	case http.StateActive, http.StateIdle:
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.timers == nil {
		c.timers = map[net.Conn]*time.Timer{}
	}
	if t := c.timers[conn]; t != nil {
		t.Stop()
		delete(c.timers, conn)
	}
	switch state {
	case http.StateNew, http.StateActive:
		c.timers[conn] = time.AfterFunc(c.headerTimeout(), func() { c.expire(conn) })
	case http.StateIdle:
		c.timers[conn] = time.AfterFunc(c.idleTimeout(), func() { c.expire(conn) })
	case http.StateHijacked, http.StateClosed:
	}
}

// stopHeaderTimer wraps a handler. The header of a request has arrived when the
// handler is called, so the header timeout of its connection ends.
func (c *connTracker) stopHeaderTimer(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if conn, ok := r.Context().Value(connKey{}).(net.Conn); ok {
			c.stopTimer(conn)
		}
		next.ServeHTTP(w, r)
	})
}

func (c *connTracker) stopTimer(conn net.Conn) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if t := c.timers[conn]; t != nil {
		t.Stop()
		delete(c.timers, conn)
	}
}

func (c *connTracker) expire(conn net.Conn) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if _, ok := c.timers[conn]; !ok {
		return
	}
	delete(c.timers, conn)
	// Pending bytes may be a request that an overloaded host has not read yet.
	if socket.StateOf(conn) != socket.Pending {
		_ = conn.Close()
	}
}

type connKey struct{}

// connContext is the http.Server.ConnContext hook. It stores the connection in the
// context of its requests.
func (c *connTracker) connContext(ctx context.Context, conn net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, conn)
}

// callerGone reports whether the caller of a request has closed its connection. It
// looks at the connection itself, because net/http notices this late while the
// host is overloaded.
func (c *connTracker) callerGone(ctx context.Context) bool {
	conn, ok := ctx.Value(connKey{}).(net.Conn)
	return ok && socket.StateOf(conn) == socket.Closed
}

// takeAdmission reports whether the request with the context was admitted when its
// connection was accepted. It returns false for later requests on the connection.
func takeAdmission(ctx context.Context) bool {
	conn, ok := ctx.Value(connKey{}).(*peekedConn)
	if !ok {
		return false
	}
	admitted := conn.admitted
	conn.admitted = false
	return admitted
}

// Timeouts that apply while the configuration sets none.
const (
	defaultIdleTimeout = 60 * time.Second
	// maxHeaderTimeout applies while no header timeout is configured, and is the upper
	// bound of a configured one.
	maxHeaderTimeout = 10 * time.Second
)

func (d *Daemon) idleTimeout() time.Duration {
	return durationOr(d.limits().IdleTimeout, defaultIdleTimeout)
}

func (d *Daemon) headerTimeout() time.Duration {
	return durationOr(d.limits().HeaderTimeout, maxHeaderTimeout)
}

func (d *Daemon) limits() config.Limits {
	if x := d.mirror.View().Index; x != nil {
		return x.Document().Limits
	}
	return config.Limits{}
}

func durationOr(set config.Duration, fallback time.Duration) time.Duration {
	if set > 0 {
		return set.Std()
	}
	return fallback
}
