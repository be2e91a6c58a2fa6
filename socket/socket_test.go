package socket

import (
	"net"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

func TestStateOf(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	defer func() { _ = l.Close() }()
	near, err := net.Dial("tcp", l.Addr().String())
	qt.Assert(t, err, qt.IsNil)
	far, err := l.Accept()
	qt.Assert(t, err, qt.IsNil)
	become := func(want State) {
		t.Helper()
		for deadline := time.Now().Add(time.Second); StateOf(near) != want; time.Sleep(time.Millisecond) {
			qt.Assert(t, time.Now().Before(deadline), qt.IsTrue)
		}
	}
	become(Idle)
	_, err = far.Write([]byte("x"))
	qt.Assert(t, err, qt.IsNil)
	become(Pending)
	var b [1]byte
	_, err = near.Read(b[:]) // the byte was not taken
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, b[0], qt.Equals, byte('x'))
	_ = far.Close()
	become(Closed)
	_ = near.Close()
	qt.Assert(t, StateOf(near), qt.Equals, Closed)
}
