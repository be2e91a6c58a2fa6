package main

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

const (
	engineService, deskService = "hurma-llm", "guild-desk"
	healthPath                 = "/healthz"
	// coldTime and coldRate are cold_start_s and cold_per_s of the engines.
	coldTime = 3 * time.Second
	coldRate = 9.6
	// heartbeat is heartbeat_ms, at which a server writes its entry. Its entry is removed after
	// missedHeartbeats of silence.
	heartbeat        = 1200 * time.Millisecond
	missedHeartbeats = 3
	// promptTokensPerMs, firstEvent and eventInterval are the speed of an engine.
	promptTokensPerMs = 42.6
	firstEvent        = 25 * time.Millisecond
	eventInterval     = 24 * time.Millisecond
	tokensPerEvent    = 4
	deskWork          = 15 * time.Millisecond
	// coldOvershoot and coldSlack are cold_overshoot and cold_slack of the settings.
	coldOvershoot, coldSlack = 1.5, 5
	// coldBound is the number of requests that a cold engine gets in one second by the rules. At
	// more it crashes.
	coldBound = coldRate*coldOvershoot + coldSlack
	// poisonMark in a body makes a request crash the engine that runs it.
	poisonMark = "poison"
)

// run is a request that a server began to work on.
type run struct {
	request, path, server string
	at                    time.Time
	// cold is the number of requests that were sent and arrived in the second until then while the
	// server was cold; zero if it isn't cold.
	cold   int
	poison bool
}

// runLog holds the runs at all servers.
type runLog struct {
	mu   sync.Mutex
	list []run
}

func (l *runLog) add(r run) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.list = append(l.list, r)
}

func (l *runLog) all() []run {
	l.mu.Lock()
	defer l.mu.Unlock()
	return append([]run(nil), l.list...)
}

// server is a stand-in for a server of a service. Each start is a new incarnation.
type server struct {
	fleet         *fleet
	service, zone string
	address       string
	slots         int
	// crashAfter is the number of events after which a request with poisonMark crashes the
	// engine; negative if it doesn't.
	crashAfter atomic.Int64

	mu        sync.Mutex
	up        bool
	id        string
	born      int64
	sequence  int
	coldUntil time.Time
	listener  net.Listener
	conns     map[net.Conn]bool
	leaving   bool
	written   string // the entry without its sequence
	running   int
	// coldRuns holds the requests that the incarnation began to work on in the last second while it
	// was cold.
	coldRuns []coldRun
	ended    chan struct{}
}

func (f *fleet) addServer(service, zone string) error {
	s := &server{fleet: f, service: service, zone: zone, slots: 64}
	if service == deskService {
		s.slots = 6
	}
	s.crashAfter.Store(-1)
	f.servers = append(f.servers, s)
	return s.start(false)
}

// start starts a new incarnation at the address of the server.
func (s *server) start(cold bool) error {
	address := s.address
	if address == "" {
		address = "127.0.78.1:0"
	}
	l, err := net.Listen("tcp", address)
	if err != nil {
		return fmt.Errorf("listen for a server: %w", err)
	}
	s.mu.Lock()
	s.address, s.listener, s.up, s.id = l.Addr().String(), l, true, fmt.Sprintf("i-%08x", rand.Uint32())
	s.born, s.sequence, s.conns, s.ended = time.Now().UnixMilli(), 0, map[net.Conn]bool{}, make(chan struct{})
	s.running, s.coldRuns, s.coldUntil, s.leaving, s.written = 0, nil, time.Time{}, false, ""
	if cold {
		s.coldUntil = time.Now().Add(coldTime)
	}
	ended := s.ended
	s.mu.Unlock()
	s.fleet.record.add("server %s of %s started at %s", s.id, s.service, s.address)
	h := &http.Server{Handler: s, ReadHeaderTimeout: time.Minute, ConnState: s.connState}
	go func() { _ = h.Serve(l) }()
	s.beat()
	go func() {
		for {
			select {
			case <-ended:
				return
			case <-time.After(heartbeat):
				s.beat()
			}
		}
	}()
	return nil
}

func (s *server) connState(c net.Conn, state http.ConnState) {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch state {
	case http.StateNew:
		s.conns[c] = true
	case http.StateClosed, http.StateHijacked:
		delete(s.conns, c)
	case http.StateActive, http.StateIdle:
	}
}

// crash closes the listener and resets all connections, as the end of a process does. The entry is
// removed after some heartbeats.
func (s *server) crash() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.up {
		return
	}
	s.up = false
	_ = s.listener.Close()
	for c := range s.conns {
		if t, ok := c.(*net.TCPConn); ok {
			_ = t.SetLinger(0)
		}
		_ = c.Close()
	}
	close(s.ended)
	id := s.id
	s.fleet.record.add("server %s crashed", id)
	time.AfterFunc(missedHeartbeats*heartbeat, func() { s.fleet.store.remove("servers/" + id) })
}

// becomeCold makes the server cold again. Its entry and its health responses say so.
func (s *server) becomeCold() {
	s.mu.Lock()
	s.coldUntil = time.Now().Add(coldTime)
	id := s.id
	s.mu.Unlock()
	s.fleet.record.add("server %s becomes cold", id)
	s.beat()
}

func (s *server) coldLeft() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return max(time.Until(s.coldUntil), 0)
}

// beat writes the entry of the server.
func (s *server) beat() {
	cold := s.coldLeft()
	s.mu.Lock()
	if !s.up {
		s.mu.Unlock()
		return
	}
	state := "ready"
	if s.leaving {
		state = "draining"
	}
	content := fmt.Sprintf(`"service":%q,"address":%q,"zone":%q,"version":"v1","slots":%d,"state":%q,"cold_remaining_ms":%d,"born":%d`,
		s.service, s.address, s.zone, s.slots, state, cold.Milliseconds(), s.born)
	s.sequence++
	entry := fmt.Sprintf(`{%s,"sequence":%d}`, content, s.sequence)
	id, changed := s.id, content != s.written
	s.mu.Unlock()
	// The entry changes only when more than the sequence changes.
	if changed && s.fleet.store.put("servers/"+id, entry) {
		s.mu.Lock()
		s.written = content
		s.mu.Unlock()
	}
}

// leaveTime is how long a leaving server serves after its report.
const leaveTime = 4 * time.Second

// drain reports that the server is leaving. It serves for leaveTime, and is then gone.
func (s *server) drain() {
	s.mu.Lock()
	s.leaving = true
	s.mu.Unlock()
	s.fleet.record.add("server %s reports draining", s.id)
	s.beat()
	time.AfterFunc(leaveTime, func() {
		s.fleet.store.remove("servers/" + s.id)
		s.crash()
	})
}

// enter begins a request. It returns the incarnation, and whether the server has room.
func (s *server) enter() (id string, running int, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.running >= 4*s.slots {
		return s.id, s.running, false
	}
	s.running++
	return s.id, s.running, true
}

func (s *server) leave(id string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.id == id { // the count of an incarnation ends with it
		s.running--
	}
}

// coldRun is when a request was sent by its client, and when it arrived at a cold server.
type coldRun struct{ sent, arrived time.Time }

// begin counts a request that the server begins to work on. It returns the number of those that were sent
// and arrived in the last second while the server is cold, zero if it isn't.
func (s *server) begin(request string) int {
	now := time.Now()
	sent := s.fleet.sentAt(request)
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.service != engineService || !now.Before(s.coldUntil) {
		s.coldRuns = nil
		return 0
	}
	s.coldRuns = append(s.coldRuns, coldRun{sent, now})
	for now.Sub(s.coldRuns[0].arrived) >= time.Second {
		s.coldRuns = s.coldRuns[1:]
	}
	inside := 0
	for _, r := range s.coldRuns {
		if now.Sub(r.sent) < time.Second {
			inside++
		}
	}
	return inside
}

// ServeHTTP answers as PROTOCOL.md says.
func (s *server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	id, running, room := s.enter()
	h := w.Header()
	h.Set("Server-Load", fmt.Sprintf("%d,%d,%d", min(running, s.slots), max(running-s.slots, 0), s.slots))
	if room {
		defer s.leave(id)
	}
	if r.URL.Path == healthPath {
		h.Set("Instance-Id", id)
		if left := s.coldLeft(); left > 0 {
			h.Set("Cold-Start-Ms", strconv.FormatInt(left.Milliseconds(), 10))
		}
		return
	}
	request := r.Header.Get("Request-Id")
	h.Set("Request-Id", request)
	body, err := io.ReadAll(r.Body)
	switch expected := r.Header.Get("Expect-Instance"); {
	case err != nil:
		panic(http.ErrAbortHandler)
	case expected != "" && expected != id:
		s.fleet.record.add("%s rejects %s: meant for %s", id, request, expected)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	case !room:
		h.Set("Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	poison := strings.Contains(string(body), poisonMark)
	recent := s.begin(request)
	s.fleet.runs.add(run{request, r.URL.Path, id, time.Now(), recent, poison})
	s.fleet.record.add("%s runs %s %s%s%s", id, request, r.URL.Path, map[bool]string{true: ", poison"}[poison], map[bool]string{true: ", cold"}[recent > 0])
	if float64(recent) > coldBound {
		s.fleet.record.add("%s is cold and got %d requests in one second", id, recent)
		s.crash()
		panic(http.ErrAbortHandler)
	}
	h.Set("Server-Signature", "signed-by-"+id)
	if s.service == deskService {
		time.Sleep(deskWork)
		_, _ = io.WriteString(w, "done "+request)
		return
	}
	s.stream(w, r, poison)
}

// stream answers with events, one for tokensPerEvent tokens.
func (s *server) stream(w http.ResponseWriter, r *http.Request, poison bool) {
	prompt, output, _ := strings.Cut(r.Header.Get("Token-Usage"), ",")
	in, _ := strconv.Atoi(prompt)
	out, _ := strconv.Atoi(output)
	if !pause(r, firstEvent+time.Duration(float64(in)/promptTokensPerMs*float64(time.Millisecond))) {
		return
	}
	w.Header().Set("Content-Type", "text/event-stream")
	control := http.NewResponseController(w)
	for i := range max(out/tokensPerEvent, 1) {
		if after := s.crashAfter.Load(); poison && after >= 0 && int64(i) >= after {
			go s.crash()
			select {} // the process is gone
		}
		if i > 0 && !pause(r, eventInterval) {
			return
		}
		_, _ = fmt.Fprintf(w, "id: %d\ndata: %s-%d\n\n", i+1, r.Header.Get("Request-Id"), i+1)
		if control.Flush() != nil {
			return
		}
	}
}

// pause waits, and returns false if the caller leaves meanwhile.
func pause(r *http.Request, d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-r.Context().Done():
		return false
	}
}
