package edge

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"rattanline.example/rattanline/setting"
)

// hijack answers with raw bytes, in which it replaces ID by the request ID, and
// closes the connection, by a reset if reset is set.
func hijack(raw string, reset bool) http.HandlerFunc {
	return func(w http.ResponseWriter, q *http.Request) {
		conn, _, err := http.NewResponseController(w).Hijack()
		if err != nil {
			return
		}
		_, _ = io.WriteString(conn, strings.ReplaceAll(raw, "ID", q.Header.Get("Request-Id")))
		if reset {
			time.Sleep(20 * time.Millisecond)
			_ = conn.(*net.TCPConn).SetLinger(0)
		}
		_ = conn.Close()
	}
}

// notRun answers with the status and states that the request was not run. The status
// 421 states it without a header.
func notRun(status int) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Del("Request-Id")
		if status != http.StatusMisdirectedRequest {
			w.Header().Set("Not-Executed", "1")
		}
		w.WriteHeader(status)
	}
}

// fail answers with a status that comes from the target itself.
func fail(status int) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(status) }
}

// Guards against requests that run twice, refusals of requests that may have run, and
// responses that are not the target's own. Each case gives the fault of one target,
// and the status for the caller with and without another, healthy target.
func TestAttempts(t *testing.T) {
	unsigned := func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Del("Server-Signature")
		_, _ = io.WriteString(w, "forged")
	}
	encoded := func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Encoding", "gzip")
		_, _ = io.WriteString(w, "packed")
	}
	truncated := hijack("HTTP/1.1 200 OK\r\nRequest-Id: ID\r\nServer-Signature: s\r\nContent-Length: 9\r\n\r\nok", false)
	for name, c := range map[string]struct {
		bad http.HandlerFunc
		// The expected statuses: for idempotent requests with and without a healthy
		// target, then for other requests with and without one.
		idempotent, alone, once, onceAlone int
	}{
		"overloaded":               {notRun(503), 200, 503, 200, 503},
		"too many requests":        {notRun(429), 200, 503, 200, 503},
		"misdirected":              {notRun(421), 200, 503, 200, 503},
		"error":                    {fail(500), 200, 500, 500, 500},
		"not found":                {fail(404), 404, 404, 404, 404},
		"503 without Not-Executed": {fail(503), 200, 502, 502, 502},
		"429 without Not-Executed": {fail(429), 200, 502, 502, 502},
		"no response":              {hijack("", false), 200, 502, 502, 502},
		"reset":                    {hijack("", true), 200, 502, 502, 502},
		"truncated":                {truncated, 200, 502, 502, 502},
		"malformed":                {hijack("\x00\x01\r\n\r\n", false), 200, 502, 502, 502},
		"without Server-Signature": {unsigned, 200, 502, 502, 502},
		"compressed":               {encoded, 200, 502, 502, 502},
	} {
		for _, healthy := range []bool{true, false} {
			t.Run(fmt.Sprintf("%s, healthy %t", name, healthy), func(t *testing.T) {
				r := newRig(t)
				bad := r.serve("desk", "i-bad", c.bad)
				targets := []*targetServer{bad}
				good := &targetServer{}
				if healthy {
					good = r.serve("desk", "i-good", nil)
					targets = append(targets, good)
				}
				r.configure(plainRoute("/any/", "idempotent"), plainRoute("/once/", "non_idempotent"))
				d := r.start()
				r.awaitReady(targets...)
				for path, want := range map[string][2]int{"/any/": {c.idempotent, c.alone}, "/once/": {c.once, c.onceAlone}} {
					sent := len(bad.requests())
					for i := 0; len(bad.requests()) == sent; i++ { // until the bad target is selected
						qt.Assert(t, i < 150, qt.IsTrue) // a target that failed is tried again after 4.6 s
						ran := len(good.requests())
						a := ask(t, d, "POST", path, "body")
						if len(bad.requests()) == sent {
							time.Sleep(50 * time.Millisecond) // a failed target is not selected for a while
							continue
						}
						if healthy {
							assertStatus(t, a, want[0])
						} else {
							assertStatus(t, a, want[1])
						}
						if path == "/once/" && a.status != 200 {
							qt.Assert(t, len(good.requests()), qt.Equals, ran)
						}
						if a.status == 503 {
							qt.Assert(t, a.header.Get("Retry-After"), qt.Not(qt.Equals), "")
						}
						if a.status == 502 {
							qt.Assert(t, a.header.Get("Server-Signature"), qt.Equals, "")
						}
					}
				}
			})
		}
	}
}

// Guards against callers that wait longer than the route's timeout, and against
// requests that continue at the target after their caller has disconnected.
func TestTimeoutAndDisconnect(t *testing.T) {
	r := newRig(t)
	ended := make(chan struct{}, 4)
	desk := r.serve("desk", "i-desk", func(_ http.ResponseWriter, q *http.Request) {
		<-q.Context().Done()
		ended <- struct{}{}
	})
	r.configure(plainRoute("/slow/", "non_idempotent").with("timeout_ms", 300))
	d := r.start()
	r.awaitReady(desk)
	began := time.Now()
	assertStatus(t, ask(t, d, "POST", "/slow/", ""), 504)
	took := time.Since(began)
	qt.Assert(t, took > 250*time.Millisecond && took < 600*time.Millisecond, qt.IsTrue, qt.Commentf("%s", took))
	<-ended

	conn, err := net.Dial("tcp", d.Settings.FrontendAddress)
	qt.Assert(t, err, qt.IsNil)
	fmt.Fprintf(conn, "POST /slow/ HTTP/1.1\r\nHost: %s\r\nRequest-Id: left\r\nContent-Length: 0\r\n\r\n", routeHost)
	r.await("sent", func() bool { return len(desk.requests()) == 2 })
	left := time.Now()
	_ = conn.Close()
	<-ended
	qt.Assert(t, time.Since(left) < 200*time.Millisecond, qt.IsTrue)
}

// events writes the events whose IDs are in the range from..to, inclusive, and
// flushes each.
func events(w http.ResponseWriter, from, to int) {
	w.Header().Set("Content-Type", "text/event-stream")
	for id := from; id <= to; id++ {
		fmt.Fprintf(w, "id: %d\ndata: event %d\n\n", id, id)
		_ = http.NewResponseController(w).Flush()
	}
}

func wholeStream(to int) string {
	var b strings.Builder
	for id := 1; id <= to; id++ {
		fmt.Fprintf(&b, "id: %d\ndata: event %d\n\n", id, id)
	}
	return b.String()
}

// Guards against events that are lost, duplicated, merged or partial, and against
// broken streams that look complete to the caller.
func TestStreams(t *testing.T) {
	cut := func(broken *atomic.Bool, w http.ResponseWriter, q *http.Request) {
		if q.Header.Get("Last-Event-Id") != "" {
			var last int
			_, _ = fmt.Sscan(q.Header.Get("Last-Event-Id"), &last)
			events(w, last+1, 6)
			return
		}
		if !broken.CompareAndSwap(false, true) {
			events(w, 1, 6)
			return
		}
		events(w, 1, 3)
		_, _ = io.WriteString(w, "id: 4\ndata: ev") // the stream breaks within an event
		_ = http.NewResponseController(w).Flush()
		panic(http.ErrAbortHandler)
	}
	for _, resumable := range []bool{true, false} {
		t.Run(fmt.Sprintf("resumable %t", resumable), func(t *testing.T) {
			r := newRig(t)
			var broken atomic.Bool
			breaking := func(w http.ResponseWriter, q *http.Request) { cut(&broken, w, q) }
			one, two := r.serve("engine", "i-1", breaking), r.serve("engine", "i-2", breaking)
			r.configure(streamRoute("/chat/", resumable))
			d := r.start()
			r.awaitReady(one, two)
			a := ask(t, d, "POST", "/chat/", "prompt", "Authorization", "Token "+apiKey, "Token-Usage", "10,10")
			assertStatus(t, a, 200)
			if resumable {
				qt.Assert(t, a.err, qt.IsNil)
				qt.Assert(t, a.body, qt.Equals, wholeStream(6))
				first := one.requests()
				if len(first) == 0 || first[0].Header.Get("Last-Event-Id") != "" {
					first = two.requests()
				}
				qt.Assert(t, a.header.Get("Request-Id"), qt.Equals, first[0].Header.Get("Request-Id"))
				return
			}
			qt.Assert(t, a.err, qt.IsNotNil)
			qt.Assert(t, a.body, qt.Equals, wholeStream(3))
		})
	}
	t.Run("forwarded as they arrive", func(t *testing.T) {
		r := newRig(t)
		next := make(chan struct{})
		slow := r.serve("engine", "i-1", func(w http.ResponseWriter, _ *http.Request) {
			for id := 1; id <= 3; id++ {
				events(w, id, id)
				<-next
			}
		})
		r.configure(streamRoute("/chat/", false))
		d := r.start()
		r.awaitReady(slow)
		response := openStream(t, d)
		reader := bufio.NewReader(response.Body)
		for id := 1; id <= 3; id++ {
			for _, want := range []string{fmt.Sprintf("id: %d\n", id), fmt.Sprintf("data: event %d\n", id), "\n"} {
				line, err := reader.ReadString('\n')
				qt.Assert(t, err, qt.IsNil)
				qt.Assert(t, line, qt.Equals, want)
			}
			next <- struct{}{}
		}
		_, err := reader.ReadByte()
		qt.Assert(t, err, qt.Equals, io.EOF)
	})
}

// Guards against a request that crashes one target after the other. After the second
// crash every daemon refuses it, and other requests are served.
func TestCrashingRequest(t *testing.T) {
	r := newRig(t)
	crashes := r.serveCrashing(4)
	r.configure(plainRoute("/once/", "non_idempotent"))
	one := r.start()
	two := r.start()
	r.awaitReady()
	r.await("targets", func() bool { return one.table.Known("i-3") && two.table.Known("i-3") })
	r.await("peers", func() bool { return len(one.exchange.Peers()) == 1 && len(two.exchange.Peers()) == 1 })
	for range 2 {
		assertStatus(t, ask(t, one, "POST", "/once/", "poison"), 502)
		time.Sleep(2200 * time.Millisecond) // longer than the 600 ms within which crashes of one target count as one
	}
	qt.Assert(t, crashes.Load(), qt.Equals, int32(2))
	for _, d := range []*process{one, two} {
		assertStatus(t, ask(t, d, "POST", "/once/", "poison"), 503)
		assertStatus(t, ask(t, d, "POST", "/once/", "harmless"), 200)
	}
	qt.Assert(t, crashes.Load(), qt.Equals, int32(2))
}

// Guards against retries beyond the fleet's budget.
func TestRetryBudget(t *testing.T) {
	r := newRig(t)
	bad := r.serve("desk", "i-1", fail(500))
	other := r.serve("desk", "i-2", fail(500))
	r.configure(plainRoute("/any/", "idempotent"))
	d := r.start(func(m *setting.HostSettings) { m.RetrySlack, m.RetryWindow = 10, 30*time.Second })
	r.awaitReady(bad, other)
	const asked = 50
	for range asked {
		assertStatus(t, ask(t, d, "GET", "/any/", ""), 500)
	}
	extra := len(bad.requests()) + len(other.requests()) - asked
	qt.Assert(t, extra > 0 && float64(extra) <= 0.2*asked+10, qt.IsTrue, qt.Commentf("%d retries", extra))
}
