package edge

import (
	"net"
	"net/http"
	"sync"
	"time"
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
	if _, idle := c.timers[conn]; idle {
		delete(c.timers, conn)
		_ = conn.Close()
	}
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
