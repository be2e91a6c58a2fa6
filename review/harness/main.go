// Command harness runs the cases of the review: it starts the router's processes with the
// command of the deploy file, and stands in for the platform, the servers and the clients.
package main

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/signal"
	"path/filepath"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// contactTime is contact_ms of the settings.
const contactTime = 3 * time.Second

// timeLimit is how long a case may run.
const timeLimit = 117 * time.Second

// Exit codes.
const (
	held        = 0
	broken      = 1
	notRunnable = 2
)

// world is the deployment under test.
type world struct {
	subnet   int
	dir      string
	store    *store
	daemons  []*daemon
	servers  []*server
	services []string
	trouble  bool
	// moreRoutes is the number of routes besides the usual ones.
	moreRoutes int
	// passing is set once the machine of the hot tenant passes requests on.
	passing atomic.Bool
	begun   time.Time

	mu       sync.Mutex
	log      *os.File
	arrivals map[string][]arrival   // by request
	runs     map[string][]execution // by request
	crashes  []time.Time            // of servers, by the request that crashes them
	next     atomic.Int64
}

type execution struct {
	at      time.Time
	service string
}

type arrival struct {
	at         time.Time
	server, by string
}

func main() {
	if len(os.Args) != 3 {
		fmt.Fprintln(os.Stderr, "usage: harness CASE FOLDER")
		os.Exit(notRunnable)
	}
	run := map[string]func(*world) int{"memory": memory, "frozen-peer": frozenPeer, "poison": poison, "versions": versions}[os.Args[1]]
	if run == nil {
		fmt.Fprintln(os.Stderr, "no such case")
		os.Exit(notRunnable)
	}
	w := &world{
		subnet: freeSubnet(), trouble: os.Getenv("TROUBLE") != "0", begun: time.Now(),
		arrivals: map[string][]arrival{}, runs: map[string][]execution{}, store: newStore(),
	}
	var err error
	if w.log, err = os.Create(filepath.Join(os.Args[2], "record.txt")); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(notRunnable)
	}
	if w.dir, err = os.MkdirTemp("", "review-"); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(notRunnable)
	}
	time.AfterFunc(timeLimit, func() { w.finish(notRunnable, "the time is over") })
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGINT, syscall.SIGTERM, syscall.SIGHUP)
	go func() { w.finish(notRunnable, (<-signals).String()) }()
	w.finish(run(w), "")
}

// finish ends all processes and exits.
func (w *world) finish(code int, why string) {
	for _, d := range w.daemons {
		d.close()
	}
	if why != "" {
		w.record("%s", why)
	}
	w.record("exit %d", code)
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(w.dir)
	}
	os.Exit(code)
}

// freeSubnet returns the second part of loopback addresses that no other run uses.
func freeSubnet() int {
	for n := range 250 {
		subnet := 1 + (os.Getpid()+n)%250
		if l, err := net.Listen("tcp", fmt.Sprintf("127.%d.1.1:%d", subnet, controlPort)); err == nil {
			_ = l.Close()
			return subnet
		}
	}
	return 1
}

func (w *world) ip(n int) string { return fmt.Sprintf("127.%d.2.%d", w.subnet, n) }

// record writes a line to record.txt.
func (w *world) record(format string, args ...any) {
	line := fmt.Sprintf("%8.3f ", time.Since(w.begun).Seconds()) + fmt.Sprintf(format, args...) + "\n"
	w.mu.Lock()
	defer w.mu.Unlock()
	_, _ = w.log.WriteString(line)
}

// say writes a line to record.txt and to the output.
func (w *world) say(format string, args ...any) {
	w.record(format, args...)
	fmt.Printf(format+"\n", args...)
}

func (w *world) arrived(request, server, by string) {
	w.mu.Lock()
	w.arrivals[request] = append(w.arrivals[request], arrival{time.Now(), server, by})
	w.mu.Unlock()
	w.record("request %s reaches server %s from %s", request, server, by)
}

func (w *world) ran(request, server, service string) {
	w.mu.Lock()
	w.runs[request] = append(w.runs[request], execution{time.Now(), service})
	w.mu.Unlock()
	w.record("request %s runs at server %s", request, server)
}

// The tenants' keys.
const (
	mainKey  = "key-of-main-0001"
	otherKey = "key-of-other-0001"
)

// build starts the store, the servers and the machines, and waits until they are ready.
func (w *world) build(zones []string, services []string, slots int) bool {
	address, err := w.store.serve(w.ip(1))
	if err != nil {
		w.say("store: %v", err)
		return false
	}
	w.services = services
	w.configure(7, services[0])
	for _, service := range services {
		for _, zone := range []string{"kyushu-a", "kyushu-b", "kyushu-c"} {
			s := &server{world: w, service: service, zone: zone, slots: slots}
			w.servers = append(w.servers, s)
			if err := s.start(); err != nil {
				w.say("server: %v", err)
				return false
			}
		}
	}
	if w.daemons, err = newDaemons(w.dir, w.subnet, address, zones); err != nil {
		w.say("settings: %v", err)
		return false
	}
	for _, d := range w.daemons {
		if err := d.start(); err != nil {
			w.say("start %s: %v", d.name, err)
			return false
		}
	}
	for _, d := range w.daemons {
		if !d.awaitReady(10 * time.Second) {
			w.say("%s isn't ready", d.name)
			return false
		}
	}
	w.record("all machines are ready")
	return true
}

// configure writes a version of the configuration, with all routes to the service. The store
// has acknowledged it when configure returns.
func (w *world) configure(version int, service string) {
	var named []any
	for _, s := range w.services {
		named = append(named, map[string]any{"name": s, "health_path": "/healthz", "max_connections": 110, "protocol": "h1", "tls": false, "cold_start_s": 0, "cold_per_s": 0})
	}
	route := func(name, prefix, kind string, timeout, attempts int) map[string]any {
		return map[string]any{
			"name": name, "host": "shop.example", "path_prefix": prefix, "route_type": kind, "timeout_ms": timeout, "target_latency_ms": 120,
			"priority": 2, "service": service, "max_attempts": attempts, "public": false, "sticky": false, "resumable": false,
		}
	}
	w.record("version %d of the configuration sends requests to %s", version, service)
	routes := []any{
		route("reserve", "/reserve/", "non_idempotent", 800, 1), route("lookup", "/lookup/", "idempotent", 800, 2),
		route("upload", "/upload/", "non_idempotent", 6000, 1),
	}
	for n := range w.moreRoutes {
		routes = append(routes, route(fmt.Sprintf("more-%d", n), fmt.Sprintf("/more-%d/", n), "idempotent", 800, 2))
	}
	w.store.put("op/config", map[string]any{
		"version":  version,
		"routes":   routes,
		"services": named,
		"limits":   map[string]any{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000, "tokens_per_s": 230000},
		"tenants": []any{
			map[string]any{"name": "main", "api_keys": []string{mainKey}},
			map[string]any{"name": "other", "api_keys": []string{otherKey}},
		},
	})
	w.record("version %d is acknowledged", version)
}

// sent is a request of a client and its answer.
type sent struct {
	id       string
	machine  *daemon
	at       time.Time
	took     time.Duration
	status   int // zero if there was no complete answer
	err      error
	genuine  bool // a success with the server's signature and whole body
	deadline time.Duration
}

// outgoing is a request as a client sends it.
type outgoing struct {
	method, path, key string
	body              io.Reader // sent in chunks
	size              int
	deadline          time.Duration
}

// send sends one request to the machine on a new connection, and records the answer.
func (w *world) send(d *daemon, o outgoing) sent {
	s := sent{id: fmt.Sprintf("%08x%08x", w.subnet, w.next.Add(1)), machine: d, at: time.Now(), deadline: o.deadline}
	ctx, cancel := context.WithTimeout(context.Background(), o.deadline)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, o.method, "http://"+d.address(frontendPort)+o.path, o.body)
	if err != nil {
		panic(err)
	}
	r.Host = "shop.example"
	r.Header.Set("Request-Id", s.id)
	r.Header.Set("Deadline-Ms", fmt.Sprint(o.deadline.Milliseconds()))
	r.Header.Set("Authorization", "Token "+o.key)
	w.record("request %s %s %s sent to %s", s.id, o.method, o.path, d.name)
	transport := &http.Transport{
		DisableKeepAlives: true, DisableCompression: true,
		DialContext: (&net.Dialer{Timeout: time.Second}).DialContext,
	}
	defer transport.CloseIdleConnections()
	answer, err := transport.RoundTrip(r)
	var body []byte
	if err == nil {
		body, err = io.ReadAll(answer.Body)
		_ = answer.Body.Close()
	}
	s.took, s.err = time.Since(s.at), err
	if err == nil {
		s.status = answer.StatusCode
		s.genuine = s.status == 200 && answer.Header.Get("Server-Signature") == "sig-"+s.id && bytes.Equal(body, []byte(answerTo(s.id, o.size)))
		w.record("request %s answered %d after %d ms %s", s.id, s.status, s.took.Milliseconds(), bytes.TrimSpace(body[:min(len(body), 120)]))
	} else {
		w.record("request %s not answered after %d ms: %v", s.id, s.took.Milliseconds(), err)
	}
	return s
}
