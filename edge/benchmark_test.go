package edge

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/rs/zerolog"
)

// rawTarget starts a target that answers each request with the given number of
// events and pauses after each. It bypasses net/http's server to use little processor time,
// so that a profile shows the daemon. It returns the target's address.
func rawTarget(b *testing.B, events int, pause time.Duration) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	qt.Assert(b, err, qt.IsNil)
	b.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			go serveRaw(conn, events, pause)
		}
	}()
	return l.Addr().String()
}

func serveRaw(conn net.Conn, events int, pause time.Duration) {
	defer func() { _ = conn.Close() }()
	reader := bufio.NewReader(conn)
	for {
		q, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, q.Body)
		head := fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nRequest-Id: %s\r\nServer-Signature: s\r\nServer-Load: 1,0,64\r\nTransfer-Encoding: chunked\r\n\r\n", q.Header.Get("Request-Id"))
		if _, err := io.WriteString(conn, head); err != nil {
			return
		}
		for i := range events {
			event := fmt.Sprintf("id: %d\ndata: %s\n\n", i+1, strings.Repeat("x", 60))
			if _, err := fmt.Fprintf(conn, "%x\r\n%s\r\n", len(event), event); err != nil {
				return
			}
			time.Sleep(pause)
		}
		if _, err := io.WriteString(conn, "0\r\n\r\n"); err != nil {
			return
		}
	}
}

// BenchmarkStream measures requests with streams of ten events through a daemon with
// 140 listed targets.
func BenchmarkStream(b *testing.B) {
	r := newRig(b)
	r.configure(streamRoute("/s/", false))
	address := rawTarget(b, 10, time.Millisecond)
	var targets []*targetServer
	for i := range 140 {
		s := &targetServer{id: fmt.Sprint("engine-", i), service: "engine", address: address}
		r.list(s, "ready")
		targets = append(targets, s)
	}
	d := r.start()
	d.Logger = zerolog.New(io.Discard)
	r.awaitReady(targets...)
	time.Sleep(discoveryTime)
	b.ReportAllocs()
	b.ResetTimer()
	b.RunParallel(func(p *testing.PB) {
		conn, err := net.Dial("tcp", d.Settings.FrontendAddress)
		if err != nil {
			b.Error(err)
			return
		}
		defer func() { _ = conn.Close() }()
		reader := bufio.NewReader(conn)
		for n := 0; p.Next(); n++ {
			fmt.Fprintf(conn, "POST /s/x HTTP/1.1\r\nHost: %s\r\nRequest-Id: %016x\r\nModel: m\r\nToken-Usage: 1460,80\r\nPrefix-Hash: 5c1e07a2:800,91bd3f06:410,%x:250\r\nDeadline-Ms: 6000\r\nAuthorization: Token %s\r\nContent-Length: 0\r\n\r\n", routeHost, n, n, apiKey)
			response, err := http.ReadResponse(reader, nil)
			if err != nil {
				b.Error(err)
				return
			}
			if response.StatusCode != http.StatusOK {
				b.Errorf("status %d", response.StatusCode)
			}
			_, _ = io.Copy(io.Discard, response.Body)
		}
	})
}
