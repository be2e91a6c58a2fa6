package edge

import (
	"bytes"
	"context"
	"net"
	"runtime"
	"syscall"
	"time"

	"github.com/pkg/errors"

	"rattanline.example/rattanline/gateway"
)

const (
	// acceptPollInterval is the interval between two checks of hasCapacity.
	acceptPollInterval = 5 * time.Millisecond
	// maxPeekBytes is how much of a request is read to refuse it unparsed.
	maxPeekBytes = 64 << 10
	// maxAcceptTime is how long connections are accepted in a row before other goroutines
	// run. All that are ready run then, and new connections wait meanwhile.
	maxAcceptTime = 10 * time.Millisecond
	// deferAcceptSeconds is how long a connection on which nothing was received may stay
	// in the kernel before it is accepted.
	deferAcceptSeconds = 1
)

// callerListener accepts connections from callers while hasCapacity returns true. An
// overloaded daemon refuses requests on new connections here, before net/http starts a
// goroutine and parses them, because that takes most of the time of a refusal.
type callerListener struct {
	*net.TCPListener
	hasCapacity func() bool
	// shedding reports whether requests on new connections must be decided about. It is
	// called once for each.
	shedding func() bool
	// decide decides about the request in data.
	decide func(data []byte) gateway.Verdict
	// passOn takes over a connection on which data was received.
	passOn func(conn net.Conn, data []byte, to gateway.PassOn)

	// The following fields are used only by Accept, which http.Server calls from one
	// goroutine.
	buffer    [maxPeekBytes]byte
	yieldedAt time.Time
}

// listenDeferred listens on the address for connections that the kernel holds back until
// bytes have arrived on them, because a request that has arrived can be refused at once.
func listenDeferred(address string) (*net.TCPListener, error) {
	config := net.ListenConfig{
		// Requests have deadlines and idle connections time out, so keep-alive probes
		// would find nothing else.
		KeepAlive: -1,
		Control: func(_, _ string, raw syscall.RawConn) error {
			return raw.Control(func(fd uintptr) {
				// If it fails, connections are accepted early, and more requests are parsed
				// before they are refused.
				_ = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, syscall.TCP_DEFER_ACCEPT, deferAcceptSeconds)
			})
		},
	}
	l, err := config.Listen(context.Background(), "tcp", address)
	if err != nil {
		return nil, err
	}
	t, ok := l.(*net.TCPListener)
	if !ok {
		_ = l.Close()
		return nil, errors.Errorf("listener is a %T", l)
	}
	return t, nil
}

// Accept implements net.Listener.
func (l *callerListener) Accept() (net.Conn, error) {
	for {
		if time.Since(l.yieldedAt) > maxAcceptTime {
			runtime.Gosched()
			l.yieldedAt = time.Now()
		}
		conn, err := l.AcceptTCP()
		if err != nil {
			return nil, err
		}
		if !l.shedding() {
			return conn, nil
		}
		peeked := l.peek(conn)
		if peeked == nil {
			continue
		}
		for !l.hasCapacity() {
			time.Sleep(acceptPollInterval)
		}
		return peeked, nil
	}
}

// peek reads what has arrived on a new connection, without waiting for more. If that is
// a request that is not served here, peek refuses it or passes the connection on, and
// returns nil. Otherwise it returns a connection on which all that has arrived can be read.
func (l *callerListener) peek(conn *net.TCPConn) net.Conn {
	raw, err := conn.SyscallConn()
	if err != nil {
		return conn // closed; its next read fails
	}
	n := 0
	var verdict gateway.Verdict = gateway.Undecided{}
	// It only fails if the connection is closed, so that its next read fails as well.
	_ = raw.Read(func(fd uintptr) bool {
		if n, err = syscall.Read(int(fd), l.buffer[:]); err != nil || n == 0 {
			n = 0 // nothing has arrived, or the next read returns the same
			return true
		}
		verdict = l.decide(l.buffer[:n])
		if _, ok := verdict.(gateway.Refuse); ok {
			// The response fits into the empty send buffer.
			_, _ = syscall.Write(int(fd), gateway.OverloadedResponse())
		}
		return true
	})
	if n == 0 {
		return conn
	}
	switch v := verdict.(type) {
	case gateway.Refuse:
		_ = conn.Close() // nothing is left to send or to receive
		return nil
	case gateway.PassOn:
		l.passOn(conn, bytes.Clone(l.buffer[:n]), v)
		return nil
	case gateway.Serve:
		return &peekedConn{TCPConn: conn, unread: bytes.Clone(l.buffer[:n]), admitted: true}
	default:
		return &peekedConn{TCPConn: conn, unread: bytes.Clone(l.buffer[:n])}
	}
}

// peekedConn is a connection of which the first bytes have been read.
type peekedConn struct {
	*net.TCPConn
	unread []byte
	// admitted reports whether the first request was admitted. It is used by one
	// goroutine at a time.
	admitted bool
}

// Read implements net.Conn.
func (c *peekedConn) Read(p []byte) (int, error) {
	if len(c.unread) > 0 {
		n := copy(p, c.unread)
		c.unread = c.unread[n:]
		return n, nil
	}
	return c.TCPConn.Read(p)
}

// NetConn returns the connection that the bytes were read from.
func (c *peekedConn) NetConn() net.Conn { return c.TCPConn }
