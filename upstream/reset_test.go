package upstream

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"syscall"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// newStalledTarget starts a target that accepts connections with a small receive buffer and
// reads nothing before the test does.
func newStalledTarget(t *testing.T) (address string, accepted <-chan net.Conn) {
	t.Helper()
	config := net.ListenConfig{Control: func(_, _ string, raw syscall.RawConn) error {
		return raw.Control(func(fd uintptr) {
			_ = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, 4096)
		})
	}}
	l, err := config.Listen(context.Background(), "tcp", "127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	t.Cleanup(func() { _ = l.Close() })
	conns := make(chan net.Conn, 1)
	go func() {
		if c, err := l.Accept(); err == nil {
			conns <- c
		}
	}()
	return l.Addr().String(), conns
}

// Guards against a request that reaches its target after it was given up, because the kernel
// goes on to send the bytes of a closed connection.
func TestRequestThatWasGivenUpIsNotSentOn(t *testing.T) {
	for name, size := range map[string]int{"small body": 16, "large body": 4 << 20} {
		t.Run(name, func(t *testing.T) {
			address, accepted := newStalledTarget(t)
			p := &Pool{}
			ctx, cancel := context.WithTimeout(context.Background(), 150*time.Millisecond)
			defer cancel()
			_, err := p.Send(ctx, Call{
				Address: address, Key: "target", Method: http.MethodPost, URI: "/", Host: "target", Body: []byte(strings.Repeat("x", size)),
			})
			qt.Assert(t, err, qt.ErrorIs, context.DeadlineExceeded)
			target := <-accepted
			defer func() { _ = target.Close() }()
			received, err := io.ReadAll(target)
			qt.Assert(t, err, qt.ErrorIs, syscall.ECONNRESET, qt.Commentf("%d bytes received", len(received)))
			qt.Assert(t, len(received) < 2<<20, qt.IsTrue, qt.Commentf("%d bytes received", len(received)))
		})
	}
}

// Guards against a target that answers before it has read a long body, and loses the rest of the body
// although all of it was sent.
func TestBodyArrivesAfterCompleteResponse(t *testing.T) {
	const size = 64 << 10
	address, accepted := newStalledTarget(t)
	received := make(chan error, 1)
	closed := make(chan bool)
	go func() {
		target := <-accepted
		defer func() { _ = target.Close() }()
		_, _ = io.WriteString(target, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
		<-closed
		request, err := http.ReadRequest(bufio.NewReader(target))
		if err == nil {
			_, err = io.ReadAll(request.Body)
		}
		received <- err
	}()
	p := &Pool{}
	reply, err := p.Send(context.Background(), Call{
		Address: address, Key: "target", NewConnection: true, Method: http.MethodPost, URI: "/", Host: "target", Body: []byte(strings.Repeat("x", size)),
	})
	qt.Assert(t, err, qt.IsNil)
	_, err = io.ReadAll(reply)
	qt.Assert(t, err, qt.IsNil)
	<-reply.upload.done
	qt.Assert(t, reply.Close(), qt.IsNil)
	close(closed)
	qt.Assert(t, <-received, qt.IsNil)
}

// answerAndReset answers on the connection without a length before it has read the body of the
// request, and then resets the connection.
func answerAndReset(target net.Conn) {
	_, _ = io.WriteString(target, "HTTP/1.1 200 OK\r\n\r\npart of the body")
	time.Sleep(20 * time.Millisecond) // the caller reads what has arrived, and goes on to write
	_ = target.(*net.TCPConn).SetLinger(0)
	_ = target.Close()
}

// Guards against a part of a response that counts as a complete one, because the connection was reset
// while the body of the request was being written: the kernel reports the reset once, to the writer,
// and the end of the input to the reader.
func TestResetDuringUploadIsNoEnd(t *testing.T) {
	const attempts = 20
	for range attempts {
		address, accepted := newStalledTarget(t)
		go func() { answerAndReset(<-accepted) }()
		p := &Pool{}
		reply, err := p.Send(t.Context(), Call{
			Address: address, Key: "target", Method: http.MethodPost, URI: "/", Host: "target", Body: []byte(strings.Repeat("x", 8<<20)),
		})
		qt.Assert(t, err, qt.IsNil)
		body, err := io.ReadAll(reply)
		qt.Assert(t, err, qt.IsNotNil, qt.Commentf("%q counts as complete", body))
		qt.Assert(t, reply.Complete(), qt.IsFalse)
		qt.Assert(t, reply.Close(), qt.IsNil)
	}
}

// Guards against the loss of a response that ends regularly with its connection, although the target
// reads the body of the request only later.
func TestResponseEndsBeforeUpload(t *testing.T) {
	address, accepted := newStalledTarget(t)
	ended := make(chan bool)
	go func() {
		target := <-accepted
		_, _ = io.WriteString(target, "HTTP/1.1 200 OK\r\n\r\nwhole body")
		_ = target.(*net.TCPConn).CloseWrite()
		<-ended
		_ = target.Close()
	}()
	p := &Pool{}
	reply, err := p.Send(t.Context(), Call{
		Address: address, Key: "target", Method: http.MethodPost, URI: "/", Host: "target", Body: []byte(strings.Repeat("x", 8<<20)),
	})
	qt.Assert(t, err, qt.IsNil)
	body, err := io.ReadAll(reply)
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, string(body), qt.Equals, "whole body")
	qt.Assert(t, reply.Complete(), qt.IsTrue)
	qt.Assert(t, reply.Close(), qt.IsNil)
	close(ended)
}
