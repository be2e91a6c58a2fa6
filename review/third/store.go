package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// item is an item of the metadata store, or the removal of one.
type item struct {
	Key      string `json:"key"`
	Value    []byte `json:"value,omitempty"`
	Revision int64  `json:"revision"`
	Created  int64  `json:"created,omitempty"`
	Lease    int64  `json:"lease_id"`
	Deleted  bool   `json:"deleted,omitempty"`
	At       int64  `json:"at,omitempty"`
}

type lease struct {
	ttl time.Duration
	end time.Time
}

// content is what the store loses if it comes back from an older copy.
type content struct {
	revision int64
	items    map[string]item
	history  []item
	leases   map[int64]lease
}

func (c content) clone() content {
	return content{c.revision, maps.Clone(c.items), slices.Clone(c.history), maps.Clone(c.leases)}
}

// store stands in for the platform's metadata store.
type store struct {
	server  *http.Server
	address string

	mu      sync.Mutex
	now     content
	era     int64
	away    bool
	changed chan struct{} // closed and replaced at each change
}

func startStore() (*store, error) {
	s := &store{
		now:     content{revision: 1000, items: map[string]item{}, leases: map[int64]lease{}},
		era:     1,
		changed: make(chan struct{}),
	}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /-/kv-key", s.serveKey)
	mux.HandleFunc("GET /-/kv-range", s.serveRange)
	mux.HandleFunc("GET /-/kv-watch", s.serveWatch)
	mux.HandleFunc("POST /-/kv-txn", s.serveTransaction)
	mux.HandleFunc("POST /-/kv-lease", s.serveLease)
	mux.HandleFunc("POST /-/kv-keep/{id}", s.serveKeep)
	mux.HandleFunc("DELETE /-/kv-lease-end/{id}", s.serveEnd)
	s.address = l.Addr().String()
	s.server = &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		s.mu.Lock()
		away, era := s.away, s.era
		s.mu.Unlock()
		w.Header().Set("Store-Era", strconv.FormatInt(era, 10))
		if away {
			w.WriteHeader(http.StatusServiceUnavailable) // nothing was done
			return
		}
		mux.ServeHTTP(w, r)
	})}
	go func() { _ = s.server.Serve(l) }()
	go s.expireLeases()
	return s, nil
}

func (s *store) close() { _ = s.server.Close() }

func (s *store) notify() {
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *store) write(key string, value []byte, leaseID int64) {
	i := item{Key: key, Value: value, Revision: s.now.revision, Created: s.now.revision, Lease: leaseID}
	if old, ok := s.now.items[key]; ok {
		i.Created = old.Created
	}
	s.now.items[key] = i
	s.now.history = append(s.now.history, i)
}

func (s *store) remove(key string) {
	if _, ok := s.now.items[key]; ok {
		delete(s.now.items, key)
		s.now.history = append(s.now.history, item{Key: key, Revision: s.now.revision, Deleted: true})
	}
}

// put writes a key as an operator or a server does. It returns false if the store is away.
func (s *store) put(key string, value any) (int64, bool) {
	data, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.away {
		return 0, false
	}
	s.now.revision++
	s.write(key, data, 0)
	s.notify()
	return s.now.revision, true
}

// copy returns a copy of the content.
func (s *store) copy() content {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.now.clone()
}

// goAway makes the store refuse all calls.
func (s *store) goAway() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.away = true
	s.notify()
}

// comeBack makes the store serve again, from the copy if it isn't nil.
func (s *store) comeBack(from *content) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.away = false
	if from != nil {
		s.now = from.clone()
		s.era++
	}
	s.notify()
}

func (s *store) revision() int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.now.revision
}

func answer(w http.ResponseWriter, status int, body any) {
	data, err := json.Marshal(body)
	if err != nil {
		panic(err)
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_, _ = w.Write(data)
}

func (s *store) serveKey(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	i, ok := s.now.items[r.URL.Query().Get("key")]
	i.At = s.now.revision
	s.mu.Unlock()
	if !ok {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	answer(w, http.StatusOK, i)
}

const pageItems = 500

func (s *store) serveRange(w http.ResponseWriter, r *http.Request) {
	prefix, after := r.URL.Query().Get("path_prefix"), r.URL.Query().Get("after")
	s.mu.Lock()
	items, at := []item{}, s.now.revision
	for key, i := range s.now.items {
		if strings.HasPrefix(key, prefix) && key > after {
			items = append(items, i)
		}
	}
	s.mu.Unlock()
	slices.SortFunc(items, func(a, b item) int { return strings.Compare(a.Key, b.Key) })
	more := len(items) > pageItems
	answer(w, http.StatusOK, map[string]any{"items": items[:min(len(items), pageItems)], "has_more": more, "at": at})
}

func (s *store) serveWatch(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, _ := strconv.ParseInt(q.Get("after"), 10, 64)
	wait, _ := strconv.Atoi(q.Get("wait_ms"))
	ctx, cancel := context.WithTimeout(r.Context(), time.Duration(wait)*time.Millisecond)
	defer cancel()
	for {
		s.mu.Lock()
		at, away, changed := s.now.revision, s.away, s.changed
		events := []item{}
		for _, i := range s.now.history {
			if i.Revision > after && strings.HasPrefix(i.Key, q.Get("path_prefix")) {
				events = append(events, i)
			}
		}
		s.mu.Unlock()
		switch {
		case away:
			panic(http.ErrAbortHandler) // a waiting watch is cut
		case after > at:
			w.WriteHeader(http.StatusGone) // a revision that the store doesn't have
			return
		case len(events) > 0 || ctx.Err() != nil:
			answer(w, http.StatusOK, map[string]any{"events": events, "at": at})
			return
		}
		select {
		case <-changed:
		case <-ctx.Done():
		}
	}
}

func (s *store) serveTransaction(w http.ResponseWriter, r *http.Request) {
	var t struct {
		Expected []struct {
			Key      string `json:"key"`
			Revision int64  `json:"revision"`
		} `json:"expected_revision"`
		Write []struct {
			Key   string `json:"key"`
			Value []byte `json:"value"`
			Lease int64  `json:"lease_id"`
		} `json:"write"`
		Remove []string `json:"remove"`
	}
	data, err := io.ReadAll(r.Body)
	if err == nil {
		err = json.Unmarshal(data, &t)
	}
	if err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, e := range t.Expected {
		if s.now.items[e.Key].Revision != e.Revision {
			items := []item{}
			for _, e := range t.Expected {
				if i, ok := s.now.items[e.Key]; ok {
					items = append(items, i)
				}
			}
			answer(w, http.StatusPreconditionFailed, map[string]any{"items": items})
			return
		}
	}
	for _, x := range t.Write {
		if strings.HasPrefix(x.Key, "op/") || strings.HasPrefix(x.Key, "servers/") {
			w.WriteHeader(http.StatusForbidden)
			return
		}
		if _, ok := s.now.leases[x.Lease]; x.Lease != 0 && !ok {
			w.WriteHeader(http.StatusNotFound)
			return
		}
	}
	s.now.revision++
	for _, x := range t.Write {
		s.write(x.Key, x.Value, x.Lease)
	}
	for _, key := range t.Remove {
		s.remove(key)
	}
	s.notify()
	answer(w, http.StatusOK, map[string]any{"revision": s.now.revision})
}

func (s *store) serveLease(w http.ResponseWriter, r *http.Request) {
	var b struct {
		TTL int64 `json:"ttl_ms"`
	}
	if err := json.NewDecoder(r.Body).Decode(&b); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	s.now.revision++
	id, ttl := s.now.revision, time.Duration(b.TTL)*time.Millisecond
	s.now.leases[id] = lease{ttl, time.Now().Add(ttl)}
	s.mu.Unlock()
	answer(w, http.StatusOK, map[string]any{"lease_id": id, "ttl_ms": b.TTL})
}

func (s *store) serveKeep(w http.ResponseWriter, r *http.Request) {
	id, _ := strconv.ParseInt(r.PathValue("id"), 10, 64)
	s.mu.Lock()
	l, ok := s.now.leases[id]
	if ok {
		l.end = time.Now().Add(l.ttl)
		s.now.leases[id] = l
	}
	s.mu.Unlock()
	if !ok {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	answer(w, http.StatusOK, map[string]any{"ttl_ms": l.ttl.Milliseconds()})
}

func (s *store) serveEnd(w http.ResponseWriter, r *http.Request) {
	id, _ := strconv.ParseInt(r.PathValue("id"), 10, 64)
	s.mu.Lock()
	s.endLease(id)
	s.mu.Unlock()
	w.WriteHeader(http.StatusOK)
}

func (s *store) endLease(id int64) {
	if _, ok := s.now.leases[id]; !ok {
		return
	}
	delete(s.now.leases, id)
	s.now.revision++
	for key, i := range s.now.items {
		if i.Lease == id {
			s.remove(key)
		}
	}
	s.notify()
}

// expireLeases ends the leases that were not renewed in time. They pause while the store is away.
func (s *store) expireLeases() {
	for last := time.Now(); ; last = time.Now() {
		time.Sleep(100 * time.Millisecond)
		s.mu.Lock()
		for id, l := range s.now.leases {
			if s.away {
				l.end = l.end.Add(time.Since(last))
				s.now.leases[id] = l
			} else if time.Now().After(l.end) {
				s.endLease(id)
			}
		}
		s.mu.Unlock()
	}
}

func (i item) String() string { return fmt.Sprintf("%s@%d", i.Key, i.Revision) }
