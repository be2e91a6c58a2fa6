// Package socket inspects connections without reading from them, and resets them.
package socket

import (
	"net"
	"syscall"
)

// State is the state of a connection as seen by its reader.
type State int

// The states of a connection.
const (
	Idle    State = iota // open, no unread bytes
	Pending              // unread bytes have arrived
	Closed               // closed by the peer, or it can't be inspected
)

// StateOf returns the state of a TCP connection, also of one that a connection with a
// method NetConn, such as a tls.Conn, wraps.
func StateOf(c net.Conn) State {
	t, ok := unwrap(c).(*net.TCPConn)
	if !ok {
		return Closed
	}
	raw, err := t.SyscallConn()
	if err != nil {
		return Closed
	}
	state := Closed
	err = raw.Control(func(fd uintptr) {
		var b [1]byte
		n, _, err := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		switch {
		case err == syscall.EAGAIN:
			state = Idle
		case err == nil && n > 0:
			state = Pending
		}
	})
	if err != nil {
		return Closed
	}
	return state
}
