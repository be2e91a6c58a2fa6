package edge

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"rattanline.example/rattanline/socket"
)

// callers closes connections of callers that stay unused. The time comes from
// the configuration, which changes while the server runs.
type callers struct {
	idle func() time.Duration

	mu     sync.Mutex
	timers map[net.Conn]*time.Timer
}

func (c *callers) changed(conn net.Conn, state http.ConnState) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.timers == nil {
		c.timers = map[net.Conn]*time.Timer{}
	}
	if t := c.timers[conn]; t != nil {
		t.Stop()
		delete(c.timers, conn)
	}
	if state == http.StateIdle {
		c.timers[conn] = time.AfterFunc(c.idle(), func() { c.expire(conn) })
	}
}

func (c *callers) expire(conn net.Conn) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if _, idle := c.timers[conn]; !idle {
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

// defaultIdle is kept while the configuration sets no time.
const defaultIdle = 60 * time.Second

func (d *Daemon) idleTime() time.Duration {
	if x := d.mirror.View().Index; x != nil {
		if idle := x.Document().Limits.IdleTimeout.Std(); idle > 0 {
			return idle
		}
	}
	return defaultIdle
}
