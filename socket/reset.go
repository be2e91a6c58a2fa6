package socket

import (
	"context"
	"net"

	"golang.org/x/sys/unix"
)

// Reset closes a connection and discards what its peer hasn't received. A regular close leaves
// such bytes to the kernel, which goes on to send them: they may arrive many seconds later,
// once a link that was cut works again.
func Reset(c net.Conn) error {
	c = unwrap(c)
	if t, ok := c.(*net.TCPConn); ok {
		_ = t.SetLinger(0) // it only fails on a closed connection
	}
	return c.Close()
}

// unwrap returns the connection that a connection with a method NetConn wraps.
func unwrap(c net.Conn) net.Conn {
	for {
		wrapper, ok := c.(interface{ NetConn() net.Conn })
		if !ok {
			return c
		}
		c = wrapper.NetConn()
	}
}

// Dialer opens connections whose Close resets them if the peer hasn't received all bytes, for
// clients that close a connection to give up a request.
type Dialer struct{ net.Dialer }

// DialContext has the signature of http.Transport.DialContext.
func (d *Dialer) DialContext(ctx context.Context, network, address string) (net.Conn, error) {
	c, err := d.Dialer.DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	if t, ok := c.(*net.TCPConn); ok {
		return &dialedConn{t}, nil
	}
	return c, nil
}

// dialedConn is a connection opened by Dialer.
type dialedConn struct{ *net.TCPConn }

// Close implements net.Conn.
func (c *dialedConn) Close() error {
	if unacknowledged(c.TCPConn) {
		return Reset(c.TCPConn)
	}
	return c.TCPConn.Close()
}

// NetConn returns the connection that c wraps.
func (c *dialedConn) NetConn() net.Conn { return c.TCPConn }

// unacknowledged reports whether the connection holds bytes that its peer hasn't acknowledged.
func unacknowledged(c *net.TCPConn) bool {
	raw, err := c.SyscallConn()
	if err != nil {
		return false // closed
	}
	bytes := 0
	err = raw.Control(func(fd uintptr) {
		if n, err := unix.IoctlGetInt(int(fd), unix.SIOCOUTQ); err == nil {
			bytes = n
		}
	})
	return err == nil && bytes > 0
}
