package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// heartbeat is heartbeat_ms of the sheet.
const heartbeat = 1200 * time.Millisecond

// kind is what the servers of a service have in common.
type kind struct {
	service string
	slots   int
	work    time.Duration // of a plain request
	events  int           // of a stream, zero for plain services
	gap     time.Duration // between two events
}

// server stands in for a server of a service. It answers a request after its work or, on streaming
// routes, with events at even intervals.
type server struct {
	kind
	id, zone, address string
	store             *store
	record            *record

	http     *http.Server
	sequence atomic.Int64
	born     int64
	stopped  chan struct{}
	stopOnce sync.Once
}

// run is a request that a server began to work on.
type run struct {
	id, server, tenant, path string
	at, end                  time.Time
	complete                 bool
}

func (s *server) start() error {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	s.address, s.born, s.stopped = l.Addr().String(), time.Now().UnixMilli(), make(chan struct{})
	s.http = &http.Server{Handler: s, IdleTimeout: 30 * time.Second}
	go func() { _ = s.http.Serve(l) }()
	s.beat()
	go func() {
		for {
			select {
			case <-s.stopped:
				return
			case <-time.After(heartbeat):
				s.beat()
			}
		}
	}()
	return nil
}

func (s *server) stop() {
	s.stopOnce.Do(func() {
		close(s.stopped)
		_ = s.http.Close()
	})
}

// beat writes the entry of the server.
func (s *server) beat() {
	s.store.put("servers/"+s.id, map[string]any{
		"service": s.service, "address": s.address, "zone": s.zone, "version": "v1", "slots": s.slots, "state": "ready",
		"cold_remaining_ms": 0, "sequence": s.sequence.Add(1), "born": s.born,
	})
}

// ServeHTTP implements http.Handler.
func (s *server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == "/healthz" {
		w.Header().Set("Instance-Id", s.id)
		w.Header().Set("Server-Load", fmt.Sprintf("0,0,%d", s.slots))
		return
	}
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		return
	}
	id := r.Header.Get("Request-Id")
	w.Header().Set("Request-Id", id)
	if expected := r.Header.Get("Expect-Instance"); expected != "" && expected != s.id {
		w.Header().Set("Instance-Id", s.id)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	begun := run{id: id, server: s.id, tenant: r.Header.Get("Tenant"), path: r.URL.Path, at: time.Now()}
	index := s.record.began(begun)
	w.Header().Set("Server-Signature", "sig."+s.id+"."+id)
	if s.events == 0 {
		time.Sleep(s.work)
		_, err := io.WriteString(w, "answer to "+id)
		s.record.ended(index, err == nil)
		return
	}
	w.Header().Set("Content-Type", "text/event-stream")
	control := http.NewResponseController(w)
	for n := 1; n <= s.events; n++ {
		select {
		case <-time.After(s.gap):
		case <-r.Context().Done():
			s.record.ended(index, false)
			return
		}
		if _, err := fmt.Fprintf(w, "id: %d\ndata: %s-%d\n\n", n, id, n); err != nil || control.Flush() != nil {
			s.record.ended(index, false)
			return
		}
	}
	s.record.ended(index, true)
}
