package edge

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/rs/zerolog"

	"rattanline.example/rattanline/platform"
	"rattanline.example/rattanline/setting"
	"rattanline.example/rattanline/standin"
)

// Names in the configuration of the rig.
const (
	routeHost = "fleet.example"
	apiKey    = "key-of-shop"
)

// rig is a test fleet on loopback with stand-ins for the store and the targets.
type rig struct {
	t       testing.TB
	store   *standin.Metadata
	address string // of the store
	version int
	daemons []*process
}

// process is one daemon of the rig.
type process struct {
	*Daemon
	stop func()        // starts the shutdown, as SIGTERM does
	done chan struct{} // closed when Run has returned
	log  logBuffer
}

func newRig(t testing.TB) *rig {
	t.Helper()
	if one, ok := t.(*testing.T); ok {
		one.Parallel()
	}
	r := &rig{t: t, store: standin.NewMetadata()}
	s := httptest.NewServer(r.store)
	r.address = strings.TrimPrefix(s.URL, "http://")
	t.Cleanup(func() {
		for _, d := range r.daemons {
			d.stop()
		}
		for _, d := range r.daemons {
			<-d.done
		}
		s.CloseClientConnections()
		s.Close()
	})
	return r
}

// start starts a daemon. Its grace time is 900 ms unless change sets another.
func (r *rig) start(change ...func(*setting.HostSettings)) *process {
	r.t.Helper()
	return r.startDaemon(&Daemon{}, change...)
}

// startDaemon starts the daemon. Unless it has a TimerLateness, its timers count as being on time,
// because it would otherwise refuse requests while other tests keep this host busy.
func (r *rig) startDaemon(d *Daemon, change ...func(*setting.HostSettings)) *process {
	r.t.Helper()
	if d.TimerLateness == nil {
		d.TimerLateness = func(time.Duration) time.Duration { return 0 }
	}
	n := len(r.daemons)
	ip := freeIP()
	m := setting.HostSettings{
		Name: fmt.Sprint("machine-", n), IP: ip, FailureDomain: "zone-a",
		FrontendAddress: ip + ":7001", ReadyAddress: ip + ":7002", DirectoryAddress: ip + ":7003",
		LinkAddress: ip + ":7004", OverflowAddress: ip + ":7005", StoreAddress: r.address, MemoryMB: 128,
		GraceTime: 900 * time.Millisecond, RevokeTime: 5 * time.Second,
		RetryRatio: 0.2, RetryWindow: 100 * time.Millisecond, RetrySlack: 50,
	}
	for _, c := range change {
		c(&m)
	}
	ctx, cancel := context.WithCancel(context.Background())
	p := &process{Daemon: d, stop: cancel, done: make(chan struct{})}
	d.Settings, d.Logger = m, zerolog.New(zerolog.MultiLevelWriter(zerolog.NewTestWriter(r.t), &p.log))
	r.daemons = append(r.daemons, p)
	go func() {
		defer close(p.done)
		if err := p.Run(ctx); err != nil {
			r.t.Error(err)
		}
	}()
	return p
}

// loopback counts the loopback addresses handed out. Each daemon has an address of its
// own, because a port that was free a moment ago may be taken by a connection of
// another test.
var loopback atomic.Uint32

func freeIP() string {
	n := loopback.Add(1)
	return fmt.Sprintf("127.%d.%d.%d", 1+os.Getpid()%250, n/250, 1+n%250)
}

// route is a route of the configuration in the format that operators write.
type route map[string]any

// plainRoute returns a route to the service "desk".
func plainRoute(prefix, kind string) route {
	return route{
		"name": "r" + prefix, "host": routeHost, "path_prefix": prefix, "route_type": kind,
		"timeout_ms": 2000, "target_latency_ms": 500, "service": "desk", "max_attempts": 2, "public": true,
	}
}

// streamRoute returns a route for streams to the service "engine".
func streamRoute(prefix string, resumable bool) route {
	return route{
		"name": "r" + prefix, "host": routeHost, "path_prefix": prefix, "route_type": "streaming", "resumable": resumable,
		"timeout_ms": 3000, "target_latency_ms": 1000, "service": "engine", "max_attempts": 2, "sticky": true,
	}
}

// with returns a copy of the route with the field set to the value.
func (r route) with(field string, value any) route {
	c := route{field: value}
	for k, v := range r {
		if k != field {
			c[k] = v
		}
	}
	return c
}

// configure writes a configuration with the routes and one account.
func (r *rig) configure(routes ...route) { r.configureKeys([]string{apiKey}, routes...) }

func (r *rig) configureKeys(keys []string, routes ...route) {
	r.t.Helper()
	r.version += 3
	data, err := json.Marshal(map[string]any{
		"version": r.version, "routes": routes,
		"services": []any{
			map[string]any{"name": "desk", "health_path": "/healthz", "max_connections": 100},
			map[string]any{
				"name": "engine", "health_path": "/healthz", "max_connections": 100, "cold_start_s": 3, "cold_per_s": 9,
				"engine": map[string]any{"slots": 64},
			},
		},
		"tenants": []any{map[string]any{"name": "shop", "api_keys": keys}},
		"limits":  map[string]any{"max_header_bytes": 16384, "max_body_bytes": 1 << 20, "header_timeout_ms": 1500, "idle_timeout_ms": 5000, "tokens_per_s": 230000},
	})
	qt.Assert(r.t, err, qt.IsNil)
	r.store.Put("op/config", string(data))
}

// targetServer is a stand-in for a target.
type targetServer struct {
	id, service, address string
	mu                   sync.Mutex
	seen                 []*http.Request
	bodies               []string
}

func (s *targetServer) requests() []*http.Request {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]*http.Request(nil), s.seen...)
}

// serve starts a target of the service that answers with the handler, or with
// its id if that is nil, and lists it.
func (r *rig) serve(service, id string, handler http.HandlerFunc) *targetServer {
	r.t.Helper()
	s := &targetServer{id: id, service: service}
	if handler == nil {
		handler = func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, id) }
	}
	h := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, q *http.Request) {
		body, _ := io.ReadAll(q.Body)
		s.mu.Lock()
		s.seen, s.bodies = append(s.seen, q.Clone(context.Background())), append(s.bodies, string(body))
		s.mu.Unlock()
		w.Header().Set("Request-Id", q.Header.Get("Request-Id"))
		w.Header().Set("Server-Signature", "signed-by-"+id)
		handler(w, q)
	}))
	r.t.Cleanup(func() {
		h.CloseClientConnections()
		h.Close()
	})
	s.address = strings.TrimPrefix(h.URL, "http://")
	r.list(s, "ready")
	return s
}

// list writes the target's entry.
func (r *rig) list(s *targetServer, state string) {
	r.store.Put("servers/"+s.id, fmt.Sprintf(
		`{"service":%q,"address":%q,"zone":"zone-a","version":"v1","slots":8,"state":%q,"cold_remaining_ms":0,"sequence":1}`,
		s.service, s.address, state,
	))
}

// awaitReady waits until the daemons are ready and have received the configuration
// and the targets.
func (r *rig) awaitReady(targets ...*targetServer) {
	r.t.Helper()
	for _, d := range r.daemons {
		r.await("ready", func() bool {
			response, err := http.Get("http://" + d.Settings.ReadyAddress + platform.ReadyPath)
			if err != nil {
				return false
			}
			_ = response.Body.Close()
			return response.StatusCode == http.StatusOK && d.mirror.View().Index.Version() == uint64(r.version)
		})
		// The full retry slack is available after one window. Tests with a window above
		// 1 s don't wait for it.
		r.await("retries", func() bool { return d.started.Since() > d.Settings.RetryWindow || d.Settings.RetryWindow > time.Second })
		for _, s := range targets {
			r.await("target "+s.id, func() bool { return d.table.Known(s.id) })
		}
	}
}

// await waits until the condition holds.
func (r *rig) await(what string, condition func() bool) {
	r.t.Helper()
	for deadline := time.Now().Add(10 * time.Second); !condition(); time.Sleep(5 * time.Millisecond) {
		if time.Now().After(deadline) {
			r.t.Fatalf("not in time: %s", what)
		}
	}
}

// answer is the response that a caller received.
type answer struct {
	status int
	header http.Header
	body   string
	err    error // of reading the body
}

var requestNumber struct {
	sync.Mutex
	n int
}

// ask sends one request as a caller does, on a new connection.
func ask(t *testing.T, d *process, method, path, body string, header ...string) answer {
	t.Helper()
	q, err := http.NewRequest(method, "http://"+d.Settings.FrontendAddress+path, strings.NewReader(body))
	qt.Assert(t, err, qt.IsNil)
	requestNumber.Lock()
	requestNumber.n++
	q.Header.Set("Request-Id", fmt.Sprintf("%016x", requestNumber.n))
	requestNumber.Unlock()
	q.Host, q.Close = routeHost, true
	for i := 0; i+1 < len(header); i += 2 {
		q.Header.Set(header[i], header[i+1])
	}
	client := &http.Client{Transport: &http.Transport{DisableCompression: true}}
	response, err := client.Do(q)
	if err != nil {
		return answer{err: err}
	}
	defer func() { _ = response.Body.Close() }()
	data, err := io.ReadAll(response.Body)
	return answer{status: response.StatusCode, header: response.Header, body: string(data), err: err}
}

// openStream sends a request for a stream and returns the response with an unread
// body.
func openStream(t *testing.T, d *process) *http.Response {
	t.Helper()
	q, err := http.NewRequest("POST", "http://"+d.Settings.FrontendAddress+"/chat/", nil)
	qt.Assert(t, err, qt.IsNil)
	q.Host = routeHost
	q.Header.Set("Request-Id", "stream")
	q.Header.Set("Authorization", "Token "+apiKey)
	response, err := http.DefaultClient.Do(q)
	qt.Assert(t, err, qt.IsNil)
	t.Cleanup(func() { _ = response.Body.Close() })
	return response
}

func assertStatus(t *testing.T, a answer, status int) {
	t.Helper()
	qt.Assert(t, a.status, qt.Equals, status, qt.Commentf("%v %s", a.err, a.body))
}

// serveRaw starts a target of the service that reads the head of a request only, answers with the raw
// bytes, in which it replaces ID by the request ID, and resets the connection.
func (r *rig) serveRaw(service, id, raw string) *targetServer {
	r.t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	qt.Assert(r.t, err, qt.IsNil)
	r.t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer func() { _ = c.Close() }()
				_ = c.(*net.TCPConn).SetLinger(0)
				q, err := http.ReadRequest(bufio.NewReaderSize(c, 512))
				if err != nil {
					return
				}
				_, _ = io.WriteString(c, strings.ReplaceAll(raw, "ID", q.Header.Get("Request-Id")))
				time.Sleep(20 * time.Millisecond) // the daemon reads what has arrived, and goes on to write
			}()
		}
	}()
	s := &targetServer{id: id, service: service, address: l.Addr().String()}
	r.list(s, "ready")
	return s
}
