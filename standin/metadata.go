package standin

import (
	"context"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// MetadataFault is the body of POST /admin/fault of the metadata store. Compact
// takes effect once, when the faults are set.
type MetadataFault struct {
	Fault
	// Compact deletes the history up to the current revision.
	Compact bool `json:"compact"`
}

// metadataItem is a key with its value, or the removal of a key.
type metadataItem struct {
	Key      string `json:"key"`
	Value    []byte `json:"value,omitempty"`
	Revision int64  `json:"revision"`
	Created  int64  `json:"created,omitempty"`
	Lease    int64  `json:"lease_id,omitempty"`
	Deleted  bool   `json:"deleted,omitempty"`
	// At is the revision of the store when it answered, set only for a single key.
	At int64 `json:"at,omitempty"`
}

type metadataLease struct {
	ttl   time.Duration
	timer *time.Timer
}

// Metadata stands in for the metadata store of the platform's hosts. It holds keys
// with revisions and leases in memory, and answers watches by long polling. Put and
// Remove make the writes of operators and targets.
type Metadata struct {
	http.Handler
	injector *injector

	mu        sync.Mutex // callers of write, remove and notify hold it
	revision  int64
	era       int64
	compacted int64
	items     map[string]metadataItem
	history   []metadataItem
	leases    map[int64]*metadataLease
	changed   chan struct{}  // closed and replaced at each change
	calls     map[string]int // by method and path pattern
}

// NewMetadata returns an empty metadata store.
func NewMetadata() *Metadata {
	m := &Metadata{
		injector: newInjector(), revision: 1, era: 1, items: map[string]metadataItem{},
		leases: map[int64]*metadataLease{}, changed: make(chan struct{}), calls: map[string]int{},
	}
	mux := http.NewServeMux()
	for pattern, serve := range map[string]http.HandlerFunc{
		"GET /-/kv-key": m.serveKey, "GET /-/kv-range": m.serveRange, "GET /-/kv-watch": m.serveWatch,
		"POST /-/kv-txn": m.serveTransaction, "POST /-/kv-lease": m.serveLease,
		"POST /-/kv-keep/{id}": m.serveKeepAlive, "DELETE /-/kv-lease-end/{id}": m.serveRevoke,
	} {
		mux.HandleFunc(pattern, func(w http.ResponseWriter, r *http.Request) {
			m.mu.Lock()
			m.calls[pattern]++
			m.mu.Unlock()
			m.stateEra(w)
			if m.injector.before(w, r) {
				serve(w, r)
			}
		})
	}
	mux.HandleFunc("/admin/fault", faultHandler(m.Fault, m.SetFault))
	m.Handler = mux
	return m
}

// Fault returns the faults in force.
func (m *Metadata) Fault() MetadataFault { return MetadataFault{Fault: m.injector.get()} }

// SetFault replaces the faults.
func (m *Metadata) SetFault(f MetadataFault) error {
	if f.Compact {
		m.mu.Lock()
		m.compacted, m.history = m.revision, nil
		m.mu.Unlock()
	}
	return m.injector.set(f.Fault)
}

// Calls returns the number of calls by method and path pattern since the last use of
// Calls, and resets the counts.
func (m *Metadata) Calls() map[string]int {
	m.mu.Lock()
	defer m.mu.Unlock()
	calls := m.calls
	m.calls = map[string]int{}
	return calls
}

// Put writes a key as an operator or a target does, and returns its revision. In
// contrast to a transaction, it can write keys under op/ and servers/.
func (m *Metadata) Put(key, value string) int64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.revision++
	m.write(key, []byte(value), 0)
	m.notify()
	return m.revision
}

// Remove removes a key.
func (m *Metadata) Remove(key string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.revision++
	m.remove(key)
	m.notify()
}

func (m *Metadata) write(key string, value []byte, lease int64) {
	i := metadataItem{Key: key, Value: value, Revision: m.revision, Created: m.revision, Lease: lease}
	if old, ok := m.items[key]; ok {
		i.Created = old.Created
	}
	m.items[key] = i
	m.history = append(m.history, i)
}

func (m *Metadata) remove(key string) {
	if _, ok := m.items[key]; !ok {
		return
	}
	delete(m.items, key)
	m.history = append(m.history, metadataItem{Key: key, Revision: m.revision, Deleted: true})
}

func (m *Metadata) notify() {
	close(m.changed)
	m.changed = make(chan struct{})
}

func (m *Metadata) serveKey(w http.ResponseWriter, r *http.Request) {
	m.mu.Lock()
	defer m.mu.Unlock()
	i, ok := m.items[r.URL.Query().Get("key")]
	if !ok {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	i.At = m.revision
	writeJSON(w, http.StatusOK, i)
}

// metadataPageSize is the maximum number of items in a range response. It is small,
// so that tests cover responses of several pages.
const metadataPageSize = 20

func (m *Metadata) serveRange(w http.ResponseWriter, r *http.Request) {
	m.mu.Lock()
	defer m.mu.Unlock()
	prefix, after := r.URL.Query().Get("path_prefix"), r.URL.Query().Get("after")
	items := []metadataItem{}
	for key, i := range m.items {
		if strings.HasPrefix(key, prefix) && key > after {
			items = append(items, i)
		}
	}
	slices.SortFunc(items, func(x, y metadataItem) int { return strings.Compare(x.Key, y.Key) })
	more := len(items) > metadataPageSize
	writeJSON(w, http.StatusOK, struct {
		Items   []metadataItem `json:"items"`
		HasMore bool           `json:"has_more"`
		At      int64          `json:"at"`
	}{items[:min(len(items), metadataPageSize)], more, m.revision})
}

func (m *Metadata) serveWatch(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, _ := strconv.ParseInt(q.Get("after"), 10, 64)
	wait, _ := strconv.Atoi(q.Get("wait_ms"))
	ctx, cancel := context.WithTimeout(r.Context(), time.Duration(wait)*time.Millisecond)
	defer cancel()
	era := m.Era()
	for {
		m.mu.Lock()
		if m.era != era {
			m.mu.Unlock()
			panic(http.ErrAbortHandler) // the store went away while the watch waited
		}
		compacted, at, changed := m.compacted, m.revision, m.changed
		events := []metadataItem{}
		for _, i := range m.history {
			if i.Revision > after && strings.HasPrefix(i.Key, q.Get("path_prefix")) {
				events = append(events, i)
			}
		}
		m.mu.Unlock()
		if after < compacted || after > at {
			w.WriteHeader(http.StatusGone)
			return
		}
		if len(events) > 0 || ctx.Err() != nil {
			writeJSON(w, http.StatusOK, struct {
				Events []metadataItem `json:"events"`
				At     int64          `json:"at"`
			}{events, at})
			return
		}
		select {
		case <-changed:
		case <-ctx.Done():
		}
	}
}

func (m *Metadata) serveTransaction(w http.ResponseWriter, r *http.Request) {
	var t struct {
		Conditions []struct {
			Key      string `json:"key"`
			Revision int64  `json:"revision"`
		} `json:"expected_revision"`
		Writes []struct {
			Key   string `json:"key"`
			Value []byte `json:"value"`
			Lease int64  `json:"lease_id"`
		} `json:"write"`
		Remove []string `json:"remove"`
	}
	if !readJSON(w, r, &t) {
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, c := range t.Conditions {
		if m.items[c.Key].Revision != c.Revision {
			w.WriteHeader(http.StatusPreconditionFailed)
			return
		}
	}
	for _, x := range t.Writes {
		if strings.HasPrefix(x.Key, "op/") || strings.HasPrefix(x.Key, "servers/") {
			w.WriteHeader(http.StatusForbidden)
			return
		}
		if x.Lease != 0 && m.leases[x.Lease] == nil {
			w.WriteHeader(http.StatusNotFound)
			return
		}
	}
	m.revision++
	for _, x := range t.Writes {
		m.write(x.Key, x.Value, x.Lease)
	}
	for _, key := range t.Remove {
		m.remove(key)
	}
	m.notify()
	m.injector.after()
	writeJSON(w, http.StatusOK, struct {
		Revision int64 `json:"revision"`
	}{m.revision})
}

type leaseBody struct {
	ID  int64 `json:"lease_id,omitempty"`
	TTL int64 `json:"ttl_ms"`
}

func (m *Metadata) serveLease(w http.ResponseWriter, r *http.Request) {
	var b leaseBody
	if !readJSON(w, r, &b) {
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.revision++
	id := m.revision
	l := &metadataLease{ttl: time.Duration(b.TTL) * time.Millisecond}
	l.timer = time.AfterFunc(l.ttl, func() { m.revoke(id) })
	m.leases[id] = l
	writeJSON(w, http.StatusOK, leaseBody{ID: id, TTL: b.TTL})
}

func (m *Metadata) serveKeepAlive(w http.ResponseWriter, r *http.Request) {
	id, _ := strconv.ParseInt(r.PathValue("id"), 10, 64)
	m.mu.Lock()
	defer m.mu.Unlock()
	l := m.leases[id]
	if l == nil {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	l.timer.Reset(l.ttl)
	writeJSON(w, http.StatusOK, leaseBody{TTL: l.ttl.Milliseconds()})
}

func (m *Metadata) serveRevoke(w http.ResponseWriter, r *http.Request) {
	id, _ := strconv.ParseInt(r.PathValue("id"), 10, 64)
	m.revoke(id)
	w.WriteHeader(http.StatusOK)
}

// revoke ends a lease and removes its keys, when it expires or on request.
func (m *Metadata) revoke(id int64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	l := m.leases[id]
	if l == nil {
		return
	}
	l.timer.Stop()
	delete(m.leases, id)
	m.revision++
	for key, i := range m.items {
		if i.Lease == id {
			m.remove(key)
		}
	}
	m.notify()
}
