package standin

import (
	"context"
	"encoding/json"
	"maps"
	"net/http"
	"sync"
	"time"
)

// KeyValueFault is the body of POST /admin/fault of the key-value service.
// CutWatches and Compact take effect once, when the faults are set.
type KeyValueFault struct {
	Fault
	// CutWatches closes the connections of all watches.
	CutWatches bool `json:"cut-watches"`
	// Compact deletes all events before the current revision.
	Compact bool `json:"compact"`
}

// Calls counts the calls of the key-value service. A watch counts as one call,
// however long it lasts.
type Calls struct {
	// Calls is the number of calls by kind.
	Calls map[string]int `json:"calls"`
	// Watching is the number of open watches.
	Watching int `json:"watching"`
}

// KeyValue stands in for the platform's key-value service. It is an in-memory etcd
// v3 HTTP/JSON gateway.
type KeyValue struct {
	http.Handler
	store         *store
	injector      *injector
	mu            sync.Mutex
	calls         Calls
	watchContext  context.Context
	cancelWatches context.CancelFunc
}

// NewKeyValue returns an empty key-value service.
func NewKeyValue() *KeyValue {
	k := &KeyValue{store: newStore(), injector: newInjector(), calls: Calls{Calls: map[string]int{}}}
	k.watchContext, k.cancelWatches = context.WithCancel(context.Background())
	m := http.NewServeMux()
	m.HandleFunc("POST /v3/kv/range", handle(k, "range", k.serveRange))
	m.HandleFunc("POST /v3/kv/put", handle(k, "put", k.servePut))
	m.HandleFunc("POST /v3/kv/deleterange", handle(k, "delete-range", k.serveDelete))
	m.HandleFunc("POST /v3/kv/txn", handle(k, "txn", k.store.transact))
	m.HandleFunc("POST /v3/kv/compaction", handle(k, "compaction", k.serveCompaction))
	m.HandleFunc("POST /v3/lease/grant", handle(k, "lease-grant", k.serveGrant))
	m.HandleFunc("POST /v3/lease/keepalive", handle(k, "lease-keepalive", k.serveKeepAlive))
	m.HandleFunc("POST /v3/lease/revoke", handle(k, "lease-revoke", k.serveRevoke))
	m.HandleFunc("POST /v3/kv/lease/revoke", handle(k, "lease-revoke", k.serveRevoke))
	m.HandleFunc("POST /v3/watch", k.serveWatch)
	m.HandleFunc("GET /admin/calls", func(w http.ResponseWriter, _ *http.Request) {
		writeJSON(w, http.StatusOK, k.Calls())
	})
	m.HandleFunc("/admin/fault", faultHandler(k.Fault, k.SetFault))
	k.Handler = m
	return k
}

// Calls returns the current counts.
func (k *KeyValue) Calls() Calls {
	k.mu.Lock()
	defer k.mu.Unlock()
	return Calls{Calls: maps.Clone(k.calls.Calls), Watching: k.calls.Watching}
}

// Fault returns the faults in force.
func (k *KeyValue) Fault() KeyValueFault { return KeyValueFault{Fault: k.injector.get()} }

// SetFault replaces the faults. An outage also closes the connections of all
// watches.
func (k *KeyValue) SetFault(f KeyValueFault) error {
	if err := k.injector.set(f.Fault); err != nil {
		return err
	}
	if f.Compact {
		k.store.mu.Lock()
		k.store.compact(k.store.revision)
		k.store.mu.Unlock()
	}
	if f.CutWatches || f.Outage != "" {
		k.mu.Lock()
		defer k.mu.Unlock()
		k.cancelWatches()
		k.watchContext, k.cancelWatches = context.WithCancel(context.Background())
	}
	return nil
}

func (k *KeyValue) count(kind string) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.calls.Calls[kind]++
}

// handle returns the handler of one kind of call. It calls run with the store
// locked.
func handle[Q, A any](k *KeyValue, kind string, run func(Q) (A, error)) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		k.count(kind)
		var q Q
		if err := decode(r, &q); err != nil {
			writeError(w, err)
			return
		}
		if !k.injector.before(w, r) {
			return
		}
		k.store.mu.Lock()
		a, err := run(q)
		k.store.mu.Unlock()
		k.injector.after()
		if err != nil {
			writeError(w, err)
			return
		}
		writeJSON(w, http.StatusOK, a)
	}
}

func (k *KeyValue) serveRange(q rangeRequest) (rangeResponse, error) {
	if len(q.Key) == 0 {
		return rangeResponse{}, errNoKey
	}
	return k.store.read(q), nil
}

func (k *KeyValue) servePut(q putRequest) (putResponse, error) {
	_, err := k.store.transact(txnRequest{Success: []operation{{Put: &q}}})
	return putResponse{Header: k.store.header()}, err
}

func (k *KeyValue) serveDelete(q deleteRequest) (deleteResponse, error) {
	t, err := k.store.transact(txnRequest{Success: []operation{{Delete: &q}}})
	if err != nil {
		return deleteResponse{}, err
	}
	return deleteResponse{Header: t.Header, Deleted: t.Responses[0].Delete.Deleted}, nil
}

type compactionRequest struct {
	Revision integer `json:"revision"`
}

func (k *KeyValue) serveCompaction(q compactionRequest) (putResponse, error) {
	if int64(q.Revision) <= k.store.compacted {
		return putResponse{}, errCompacted
	}
	k.store.compact(int64(q.Revision))
	return putResponse{Header: k.store.header()}, nil
}

type leaseRequest struct {
	ID  integer `json:"ID"`
	TTL integer `json:"TTL"`
}

type leaseResponse struct {
	Header header  `json:"header"`
	ID     integer `json:"ID,omitempty"`
	TTL    integer `json:"TTL,omitempty"`
}

func (k *KeyValue) serveGrant(q leaseRequest) (leaseResponse, error) {
	ttl := max(q.TTL, 1)
	id, err := k.store.grant(int64(q.ID), time.Duration(ttl)*time.Second)
	return leaseResponse{Header: k.store.header(), ID: integer(id), TTL: ttl}, err
}

// result is the envelope of the responses to streaming calls.
type result[T any] struct {
	Result T `json:"result"`
}

func (k *KeyValue) serveKeepAlive(q leaseRequest) (result[leaseResponse], error) {
	ttl := k.store.keepAlive(int64(q.ID))
	return result[leaseResponse]{leaseResponse{
		Header: k.store.header(), ID: q.ID, TTL: integer(ttl / time.Second),
	}}, nil
}

func (k *KeyValue) serveRevoke(q leaseRequest) (putResponse, error) {
	if !k.store.revoke(int64(q.ID)) {
		return putResponse{}, errLeaseNotFound
	}
	return putResponse{Header: k.store.header()}, nil
}

type watchRequest struct {
	Create *struct {
		Key           []byte  `json:"key"`
		RangeEnd      []byte  `json:"range_end"`
		StartRevision integer `json:"start_revision"`
	} `json:"create_request"`
}

type watchResponse struct {
	Header          header  `json:"header"`
	Created         bool    `json:"created,omitempty"`
	Canceled        bool    `json:"canceled,omitempty"`
	CompactRevision integer `json:"compact_revision,omitempty"`
	Events          []event `json:"events,omitempty"`
}

func (k *KeyValue) serveWatch(w http.ResponseWriter, r *http.Request) {
	var q watchRequest
	k.mu.Lock()
	k.calls.Calls["watch"]++
	k.calls.Watching++
	cut := k.watchContext
	k.mu.Unlock()
	defer func() {
		k.mu.Lock()
		defer k.mu.Unlock()
		k.calls.Watching--
	}()
	if err := decode(r, &q); err != nil || q.Create == nil || len(q.Create.Key) == 0 {
		writeError(w, errNoKey)
		return
	}
	if !k.injector.before(w, r) {
		return
	}
	s := k.store
	s.mu.Lock()
	next := int64(q.Create.StartRevision)
	if next == 0 {
		next = s.revision + 1
	}
	first := watchResponse{Header: s.header(), Created: true}
	s.mu.Unlock()
	w.Header().Set("Content-Type", "application/json")
	send := func(x watchResponse) {
		_ = json.NewEncoder(w).Encode(result[watchResponse]{x})
		_ = http.NewResponseController(w).Flush()
	}
	send(first)
	for {
		s.mu.Lock()
		if next < s.compacted {
			x := watchResponse{Header: s.header(), Canceled: true, CompactRevision: integer(s.compacted)}
			s.mu.Unlock()
			send(x)
			// The gateway cancels the watch but leaves the stream open.
			select {
			case <-r.Context().Done():
				return
			case <-cut.Done():
				panic(http.ErrAbortHandler)
			}
		}
		x := watchResponse{Header: s.header(), Events: s.eventsSince(next, q.Create.Key, q.Create.RangeEnd)}
		next = max(next, s.revision+1)
		changed := s.changed
		s.mu.Unlock()
		if len(x.Events) > 0 {
			send(x)
		}
		select {
		case <-changed:
		case <-r.Context().Done():
			return
		case <-cut.Done():
			panic(http.ErrAbortHandler)
		}
	}
}
