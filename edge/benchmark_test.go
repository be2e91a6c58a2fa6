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

	"rattanline.example/rattanline/mirror"
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

// fleetSize and targetCount are the numbers of daemons and targets in the benchmarks.
const fleetSize, targetCount = 75, 140

// startInFleet starts a daemon whose store lists other daemons and targets that share
// one address. Requests on the route "/s/" go to these targets.
func startInFleet(b *testing.B, address string) *process {
	b.Helper()
	r := newRig(b)
	r.configure(streamRoute("/s/", false))
	var targets []*targetServer
	for i := range targetCount {
		s := &targetServer{id: fmt.Sprint("engine-", i), service: "engine", address: address}
		r.list(s, "ready")
		targets = append(targets, s)
	}
	for i := range fleetSize - 1 {
		m := mirror.Member{Name: fmt.Sprint("other-", i), Link: fmt.Sprintf("127.99.99.%d:1", i), Domain: "zone-b", Cores: 0.1, Incarnation: "x"}
		w, err := m.Entry()
		qt.Assert(b, err, qt.IsNil)
		r.store.Put(w.Key, string(w.Value))
	}
	d := r.start()
	d.Logger = zerolog.New(io.Discard)
	r.awaitReady(targets...)
	time.Sleep(discoveryTime)
	return d
}

// rawRequest returns the n-th request on the route "/s/". 300 requests share a segment
// of their prompts with others.
func rawRequest(n, bodyLength int) string {
	return fmt.Sprintf("POST /s/x HTTP/1.1\r\nHost: %s\r\nRequest-Id: %016x\r\nModel: m\r\nToken-Usage: 1460,80\r\nPrefix-Hash: 5c1e07a2:800,%x:410,%x:250\r\n"+
		"Deadline-Ms: 6000\r\nAuthorization: Token %s\r\nContent-Length: %d\r\n\r\n%s", routeHost, n, n%300, n, apiKey, bodyLength, strings.Repeat("x", bodyLength))
}

// requestOn sends the n-th request on the connection and checks the status of its
// response.
func requestOn(b *testing.B, conn net.Conn, reader *bufio.Reader, n, bodyLength, status int) {
	if _, err := io.WriteString(conn, rawRequest(n, bodyLength)); err != nil {
		b.Error(err)
		return
	}
	response, err := http.ReadResponse(reader, nil)
	if err != nil {
		b.Error(err)
		return
	}
	if response.StatusCode != status {
		b.Errorf("status %d", response.StatusCode)
	}
	_, _ = io.Copy(io.Discard, response.Body)
}

// benchmarkNewConns measures requests to the daemon, each on a new connection.
func benchmarkNewConns(b *testing.B, d *process, status int) {
	b.ReportAllocs()
	reader := bufio.NewReader(nil)
	for n := 0; b.Loop(); n++ {
		conn, err := net.Dial("tcp", d.Settings.FrontendAddress)
		if err != nil {
			b.Fatal(err)
		}
		reader.Reset(conn)
		requestOn(b, conn, reader, n, 4000, status)
		_ = conn.Close()
	}
}

// BenchmarkNewConnection measures requests with streams of four events, each on a new
// connection.
func BenchmarkNewConnection(b *testing.B) {
	benchmarkNewConns(b, startInFleet(b, rawTarget(b, 4, 0)), http.StatusOK)
}

// BenchmarkRefusal measures requests to an overloaded daemon, each on a new connection.
func BenchmarkRefusal(b *testing.B) {
	r := newRig(b)
	r.configure(streamRoute("/s/", false))
	d, _ := overloadedDaemon(b, r)
	d.Logger = zerolog.New(io.Discard)
	benchmarkNewConns(b, d, http.StatusServiceUnavailable)
}

// BenchmarkStream measures requests with streams of ten events through a daemon with
// 140 listed targets.
func BenchmarkStream(b *testing.B) {
	d := startInFleet(b, rawTarget(b, 10, time.Millisecond))
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
			requestOn(b, conn, reader, n, 0, http.StatusOK)
		}
	})
}
