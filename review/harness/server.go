package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	// crashedTime is how long a server is away after a crash.
	crashedTime = 2 * time.Second
	// silenceTime is how long after its last heartbeat a server's entry is removed.
	silenceTime = 3600 * time.Millisecond
	// workTime is how long a plain server works on a request.
	workTime = 15 * time.Millisecond
	// poisonPath is the end of the path of the request that crashes a server.
	poisonPath = "/poison"
)

// server stands in for a server of a plain service. It runs each request for workTime.
type server struct {
	world   *world
	service string
	zone    string
	address string
	slots   int

	mu       sync.Mutex
	id       string
	starts   int
	http     *http.Server
	running  chan struct{}
	waiting  int
	crashing bool
}

func (s *server) start() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	address := s.address
	if address == "" {
		address = s.world.ip(200) + ":0"
	}
	l, err := net.Listen("tcp", address)
	if err != nil {
		return err
	}
	s.starts++
	s.address, s.crashing, s.waiting = l.Addr().String(), false, 0
	s.id = fmt.Sprintf("i-%s%s%d", s.service, s.zone[len(s.zone)-1:], s.starts)
	s.running = make(chan struct{}, s.slots)
	s.http = &http.Server{Handler: http.HandlerFunc(s.handle), IdleTimeout: 10 * time.Second}
	go func(h *http.Server) { _ = h.Serve(l) }(s.http)
	s.world.store.put("servers/"+s.id, map[string]any{
		"service": s.service, "address": s.address, "zone": s.zone, "version": "v1", "slots": s.slots, "state": "ready",
		"cold_remaining_ms": 0, "sequence": 1, "born": time.Now().UnixMilli(),
	})
	return nil
}

// crash ends the server at once: it resets its connections and refuses new ones. It is back
// after crashedTime with another id.
func (s *server) crash() {
	s.mu.Lock()
	if s.crashing {
		s.mu.Unlock()
		return
	}
	s.crashing = true
	id, h := s.id, s.http
	s.mu.Unlock()
	_ = h.Close()
	time.AfterFunc(silenceTime, func() { s.world.store.remove("servers/" + id) })
	time.AfterFunc(crashedTime, func() {
		if err := s.start(); err != nil {
			s.world.record("the server at %s doesn't start again: %v", s.address, err)
		}
	})
}

func (s *server) handle(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	id, running := s.id, s.running
	s.mu.Unlock()
	if r.URL.Path == "/healthz" {
		w.Header().Set("Instance-Id", id)
		return
	}
	request := r.Header.Get("Request-Id")
	w.Header().Set("Request-Id", request)
	if e := r.Header.Get("Expect-Instance"); e != "" && e != id {
		w.Header().Set("Instance-Id", id)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	s.world.arrived(request, id, r.RemoteAddr)
	s.mu.Lock()
	if s.waiting >= 4*s.slots {
		s.mu.Unlock()
		w.Header().Set("Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	s.waiting++
	s.mu.Unlock()
	select {
	case running <- struct{}{}:
	case <-r.Context().Done():
	}
	s.mu.Lock()
	s.waiting--
	load := fmt.Sprintf("%d,%d,%d", len(running), s.waiting, s.slots)
	s.mu.Unlock()
	if r.Context().Err() != nil {
		return
	}
	defer func() { <-running }()
	s.world.ran(request, id, s.service)
	time.Sleep(workTime)
	if strings.HasSuffix(r.URL.Path, poisonPath) {
		s.world.crashed(id)
		s.crash()
		panic(http.ErrAbortHandler)
	}
	answer := answerTo(request, len(body))
	w.Header().Set("Server-Signature", "sig-"+request)
	w.Header().Set("Server-Load", load)
	w.Header().Set("Content-Length", strconv.Itoa(len(answer)))
	_, _ = io.WriteString(w, answer)
}

// answerTo is the whole body of the answer to a request.
func answerTo(request string, size int) string {
	return fmt.Sprintf("answer to %s of %d bytes", request, size)
}
