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

// callers closes connections of callers that stay unused, or on which the head of
// a request takes too long. The times come from the configuration, which changes
// while the server runs.
type callers struct {
	idle, header func() time.Duration

	open   atomic.Int64
	mu     sync.Mutex
	timers map[net.Conn]*time.Timer
}

func (c *callers) changed(conn net.Conn, state http.ConnState) {
	switch state {
	case http.StateNew:
		c.open.Add(1)
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
		c.timers[conn] = time.AfterFunc(c.header(), func() { c.expire(conn) })
	case http.StateIdle:
		c.timers[conn] = time.AfterFunc(c.idle(), func() { c.expire(conn) })
	case http.StateHijacked, http.StateClosed:
	}
}

// acceptPause is the pause between two looks whether there is room.
const acceptPause = 5 * time.Millisecond

// bounded accepts connections while there is room for them.
type bounded struct {
	net.Listener
	room func() bool
}

// Accept implements net.Listener.
func (b bounded) Accept() (net.Conn, error) {
	for !b.room() {
		time.Sleep(acceptPause)
	}
	return b.Listener.Accept()
}

// headed lets a handler serve requests, whose heads have arrived.
func (c *callers) headed(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if conn, ok := r.Context().Value(connKey{}).(net.Conn); ok {
			c.stop(conn)
		}
		next.ServeHTTP(w, r)
	})
}

func (c *callers) stop(conn net.Conn) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if t := c.timers[conn]; t != nil {
		t.Stop()
		delete(c.timers, conn)
	}
}

func (c *callers) expire(conn net.Conn) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if _, waits := c.timers[conn]; !waits {
		return
	}
	delete(c.timers, conn)
	// A request may have arrived that an overloaded machine hasn't read yet.
	if socket.StateOf(conn) != socket.Pending {
		_ = conn.Close()
	}
}

type connKey struct{}

// keep makes the connection of a request known to its handler.
func (c *callers) keep(ctx context.Context, conn net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, conn)
}

// left tells that the caller of a request has closed its connection. The server
// learns that late while the machine is overloaded.
func (c *callers) left(ctx context.Context) bool {
	conn, ok := ctx.Value(connKey{}).(net.Conn)
	return ok && socket.StateOf(conn) == socket.Closed
}

// The times that hold while the configuration sets none. The header time also
// bounds that of the configuration.
const (
	defaultIdle   = 60 * time.Second
	maxHeaderTime = 10 * time.Second
)

func (d *Daemon) idleTime() time.Duration {
	return callerTime(d.limits().IdleTimeout, defaultIdle)
}

func (d *Daemon) headerTime() time.Duration {
	return callerTime(d.limits().HeaderTimeout, maxHeaderTime)
}

func (d *Daemon) limits() config.Limits {
	if x := d.mirror.View().Index; x != nil {
		return x.Document().Limits
	}
	return config.Limits{}
}

func callerTime(set config.Duration, fallback time.Duration) time.Duration {
	if set > 0 {
		return set.Std()
	}
	return fallback
}
