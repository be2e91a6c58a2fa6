package standin

import (
	"sort"
	"sync"
	"time"
)

const (
	// maxValue is the maximum size of a value in bytes, as in the key-value service.
	maxValue = 1 << 20
	// maxOperations is the maximum number of operations, and of comparisons, in a
	// transaction, as in the key-value service.
	maxOperations = 128
	// maxHistory is the number of events retained for watches. Older events are
	// compacted.
	maxHistory = 20_000
)

// gatewayError is an error response of the gateway with its gRPC code.
type gatewayError struct {
	code    int
	message string
}

func (e *gatewayError) Error() string { return e.message }

// The gRPC codes that the gateway uses.
const (
	codeInvalid    = 3
	codeNotFound   = 5
	codeOutOfRange = 11
)

// The errors of the gateway, with the messages of etcd.
var (
	errTooLarge      = &gatewayError{codeInvalid, "etcdserver: request is too large"}
	errNoKey         = &gatewayError{codeInvalid, "etcdserver: key is not provided"}
	errDuplicateKey  = &gatewayError{codeInvalid, "etcdserver: duplicate key given in txn request"}
	errTooMany       = &gatewayError{codeInvalid, "etcdserver: too many operations in txn request"}
	errLeaseNotFound = &gatewayError{codeNotFound, "etcdserver: requested lease not found"}
	errLeaseExists   = &gatewayError{codeInvalid, "etcdserver: lease already exists"}
	errCompacted     = &gatewayError{codeOutOfRange, "etcdserver: mvcc: required revision has been compacted"}
)

// keyValue is an entry in the JSON encoding of the gateway.
type keyValue struct {
	Key            []byte  `json:"key,omitempty"`
	CreateRevision integer `json:"create_revision,omitempty"`
	ModRevision    integer `json:"mod_revision,omitempty"`
	Version        integer `json:"version,omitempty"`
	Value          []byte  `json:"value,omitempty"`
	Lease          integer `json:"lease,omitempty"`
}

type event struct {
	Type string   `json:"type,omitempty"` // empty for a put
	KV   keyValue `json:"kv"`
}

type lease struct {
	ttl     time.Duration
	expires time.Time
	timer   *time.Timer
	keys    map[string]bool
}

// store is the state of the key-value service: entries with revisions, leases
// and the events since the last compaction. Callers of its methods hold mu, except
// for expire, which locks it.
type store struct {
	mu        sync.Mutex
	revision  int64
	compacted int64
	entries   map[string]keyValue
	leases    map[int64]*lease
	lastLease int64
	history   []event
	changed   chan struct{} // closed and replaced at each change
}

func newStore() *store {
	return &store{
		revision: 1, entries: map[string]keyValue{}, leases: map[int64]*lease{},
		lastLease: 7587000000000000000, changed: make(chan struct{}),
	}
}

// inRange reports whether the key is in the range, as the gateway defines it: an
// empty end means the single key from, and an end of one zero byte means all keys
// from there on.
func inRange(key string, from, end []byte) bool {
	switch {
	case len(end) == 0:
		return key == string(from)
	case len(end) == 1 && end[0] == 0:
		return key >= string(from)
	}
	return key >= string(from) && key < string(end)
}

func (s *store) find(from, end []byte) []keyValue {
	if len(end) == 0 {
		if e, ok := s.entries[string(from)]; ok {
			return []keyValue{e}
		}
		return nil
	}
	var found []keyValue
	for k, e := range s.entries {
		if inRange(k, from, end) {
			found = append(found, e)
		}
	}
	sort.Slice(found, func(i, j int) bool { return string(found[i].Key) < string(found[j].Key) })
	return found
}

// put writes the entry at the revision. The caller advances the revision once per
// transaction, by commit.
func (s *store) put(revision int64, key, value []byte, leaseID int64) {
	k := string(key)
	old, exists := s.entries[k]
	if l := s.leases[int64(old.Lease)]; l != nil {
		delete(l.keys, k)
	}
	e := keyValue{
		Key: key, Value: value, Lease: integer(leaseID),
		CreateRevision: old.CreateRevision, ModRevision: integer(revision), Version: old.Version + 1,
	}
	if !exists {
		e.CreateRevision = integer(revision)
	}
	if l := s.leases[leaseID]; l != nil {
		l.keys[k] = true
	}
	s.entries[k] = e
	s.history = append(s.history, event{KV: e})
}

func (s *store) remove(revision int64, from, end []byte) int {
	found := s.find(from, end)
	for _, e := range found {
		if l := s.leases[int64(e.Lease)]; l != nil {
			delete(l.keys, string(e.Key))
		}
		delete(s.entries, string(e.Key))
		s.history = append(s.history, event{
			Type: "DELETE", KV: keyValue{Key: e.Key, ModRevision: integer(revision)},
		})
	}
	return len(found)
}

// commit advances the store to the revision and wakes up the watches.
func (s *store) commit(revision int64) {
	s.revision = revision
	if n := len(s.history) - maxHistory; n > 0 {
		s.compact(int64(s.history[n].KV.ModRevision))
	}
	close(s.changed)
	s.changed = make(chan struct{})
}

// compact deletes the events before the revision. The events of the revision
// itself remain, as in etcd.
func (s *store) compact(revision int64) {
	s.compacted = max(s.compacted, min(revision, s.revision))
	n := sort.Search(len(s.history), func(i int) bool {
		return int64(s.history[i].KV.ModRevision) >= s.compacted
	})
	s.history = append([]event(nil), s.history[n:]...)
}

// eventsSince returns the events in the range from the revision on, up to and
// including the newest revision.
func (s *store) eventsSince(revision int64, from, end []byte) []event {
	n := sort.Search(len(s.history), func(i int) bool {
		return int64(s.history[i].KV.ModRevision) >= revision
	})
	var found []event
	for _, e := range s.history[n:] {
		if inRange(string(e.KV.Key), from, end) {
			found = append(found, e)
		}
	}
	return found
}

func (s *store) grant(id int64, ttl time.Duration) (int64, error) {
	if id == 0 {
		s.lastLease++
		id = s.lastLease
	}
	if s.leases[id] != nil {
		return 0, errLeaseExists
	}
	l := &lease{ttl: ttl, expires: time.Now().Add(ttl), keys: map[string]bool{}}
	l.timer = time.AfterFunc(ttl, func() { s.expire(id, l) })
	s.leases[id] = l
	return id, nil
}

// keepAlive renews the lease and returns its time to live, zero if the lease has
// expired or was revoked.
func (s *store) keepAlive(id int64) time.Duration {
	l := s.leases[id]
	if l == nil || !time.Now().Before(l.expires) {
		return 0
	}
	l.expires = time.Now().Add(l.ttl)
	l.timer.Reset(l.ttl)
	return l.ttl
}

func (s *store) expire(id int64, l *lease) {
	s.mu.Lock()
	defer s.mu.Unlock()
	// The timer may have fired while the lease was renewed or revoked.
	if s.leases[id] == l && !time.Now().Before(l.expires) {
		s.revoke(id)
	}
}

// revoke ends the lease and deletes its keys in one revision. It returns false if
// there is no such lease.
func (s *store) revoke(id int64) bool {
	l := s.leases[id]
	if l == nil {
		return false
	}
	l.timer.Stop()
	delete(s.leases, id)
	if len(l.keys) == 0 {
		return true
	}
	revision := s.revision + 1
	keys := make([]string, 0, len(l.keys))
	for k := range l.keys {
		keys = append(keys, k)
	}
	sort.Strings(keys)
	for _, k := range keys {
		s.remove(revision, []byte(k), nil)
	}
	s.commit(revision)
	return true
}
