// Package simulation holds in-memory fakes of the ports for tests in virtual
// time, where real sockets would keep time from advancing.
package simulation

import (
	"context"
	"strings"
	"sync"
	"time"

	"rattanline.example/rattanline/port"
)

// KeyValue is an in-memory key-value service with leases, watches, outages, lost
// responses and a count of calls.
type KeyValue struct {
	mu       sync.Mutex
	revision int64
	entries  map[string]port.Entry
	leases   map[int64]lease
	keys     map[string]int64 // lease of a key
	events   []port.Event
	changed  chan struct{}
	closed   chan struct{}
	next     int64
	down     bool
	lose     int // responses of commits to lose
	compact  int64
	blocked  map[string]bool
	frozen   map[string]chan struct{}
	calls    map[string]int
}

type lease struct {
	ttl     time.Duration
	expires time.Time
}

// NewKeyValue returns an empty service.
func NewKeyValue() *KeyValue {
	return &KeyValue{
		revision: 1, entries: map[string]port.Entry{}, leases: map[int64]lease{}, keys: map[string]int64{},
		changed: make(chan struct{}), closed: make(chan struct{}), blocked: map[string]bool{},
		frozen: map[string]chan struct{}{}, calls: map[string]int{},
	}
}

// Close ends all watches, so that a test can end.
func (s *KeyValue) Close() { close(s.closed) }

func (s *KeyValue) set(f func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	f()
	close(s.changed)
	s.changed = make(chan struct{})
}

// SetOutage starts or ends an outage of the service.
func (s *KeyValue) SetOutage(down bool) { s.set(func() { s.down = down }) }

// SetPartitioned cuts one daemon off, or connects it again.
func (s *KeyValue) SetPartitioned(name string, b bool) { s.set(func() { s.blocked[name] = b }) }

// LoseResponses loses the responses of the next n commits, which take effect.
func (s *KeyValue) LoseResponses(n int) { s.set(func() { s.lose = n }) }

// CompactAll forgets all events, so that watches must start again.
func (s *KeyValue) CompactAll() { s.set(func() { s.compact, s.events = s.revision, nil }) }

// Put writes a key as another program would.
func (s *KeyValue) Put(key string, value []byte) {
	s.set(func() { s.apply(port.Write{Key: key, Value: value}) })
}

// Freeze makes the calls of a daemon wait until Thaw.
func (s *KeyValue) Freeze(name string) { s.set(func() { s.frozen[name] = make(chan struct{}) }) }

// Thaw lets the calls of a frozen daemon go on.
func (s *KeyValue) Thaw(name string) {
	s.set(func() {
		close(s.frozen[name])
		delete(s.frozen, name)
	})
}

// CallCount returns the number of calls of a kind.
func (s *KeyValue) CallCount(kind string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls[kind]
}

// Entry returns a key without counting a call.
func (s *KeyValue) Entry(key string) port.Entry {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.entries[key]
}

// TotalCalls returns the number of calls of all kinds.
func (s *KeyValue) TotalCalls() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	sum := 0
	for _, n := range s.calls {
		sum += n
	}
	return sum
}

func (s *KeyValue) apply(w port.Write) {
	s.revision++
	e := port.Entry{Key: w.Key, Value: w.Value, Revision: s.revision}
	if w.Delete {
		delete(s.entries, w.Key)
	} else {
		s.entries[w.Key] = e
		s.keys[w.Key] = w.Lease
	}
	s.events = append(s.events, port.Event{Entry: e, Deleted: w.Delete})
}

// expire ends leases that are due. They don't expire during an outage.
func (s *KeyValue) expire(now time.Time) {
	for id, l := range s.leases {
		if now.Before(l.expires) {
			continue
		}
		s.drop(id)
	}
}

func (s *KeyValue) drop(id int64) {
	delete(s.leases, id)
	for key, owner := range s.keys {
		if _, ok := s.entries[key]; ok && owner == id {
			s.apply(port.Write{Key: key, Delete: true})
		}
	}
}

// Client is one daemon's connection.
type Client struct {
	Store *KeyValue
	Name  string // of the daemon
}

func (c *Client) do(ctx context.Context, kind string, f func(s *KeyValue)) error {
	s := c.Store
	s.mu.Lock()
	s.calls[kind]++
	frozen, down := s.frozen[c.Name], s.down || s.blocked[c.Name]
	s.mu.Unlock()
	if frozen != nil {
		// A call of a frozen daemon takes effect when it resumes, even if its
		// deadline has passed by then: it may be on its way already.
		<-frozen
	}
	if down {
		select {
		case <-ctx.Done():
		case <-time.After(300 * time.Millisecond):
		}
		return port.ErrUnavailable
	}
	time.Sleep(2 * time.Millisecond)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire(time.Now())
	f(s)
	close(s.changed)
	s.changed = make(chan struct{})
	if s.lose > 0 && kind == "commit" {
		s.lose--
		return port.ErrOutcomeUnknown
	}
	return ctx.Err()
}

// Get implements port.KeyValue.
func (c *Client) Get(ctx context.Context, key string) (e port.Entry, err error) {
	err = c.do(ctx, "get", func(s *KeyValue) { e = s.entries[key] })
	return e, err
}

// List implements port.KeyValue.
func (c *Client) List(ctx context.Context, prefix string) (es []port.Entry, err error) {
	err = c.do(ctx, "list", func(s *KeyValue) {
		for key, e := range s.entries {
			if strings.HasPrefix(key, prefix) {
				es = append(es, e)
			}
		}
	})
	return es, err
}

// Commit implements port.KeyValue.
func (c *Client) Commit(ctx context.Context, t port.Transaction) (r port.Result, err error) {
	err = c.do(ctx, "commit", func(s *KeyValue) {
		r = port.Result{Committed: true, Revision: s.revision}
		for _, cond := range t.Conditions {
			if s.entries[cond.Key].Revision != cond.Revision {
				r.Committed = false
				return
			}
		}
		for _, w := range t.Writes {
			if _, ok := s.leases[w.Lease]; !ok && w.Lease != 0 {
				r.Committed = false
				return
			}
			s.apply(w)
		}
		r.Revision = s.revision
	})
	if err != nil {
		return port.Result{}, err
	}
	return r, nil
}

// GrantLease implements port.KeyValue.
func (c *Client) GrantLease(ctx context.Context, ttl time.Duration) (id int64, err error) {
	err = c.do(ctx, "grant", func(s *KeyValue) {
		s.next++
		id = s.next
		s.leases[id] = lease{ttl: ttl, expires: time.Now().Add(ttl)}
	})
	return id, err
}

// RenewLease implements port.KeyValue.
func (c *Client) RenewLease(ctx context.Context, id int64) (ttl time.Duration, err error) {
	err = c.do(ctx, "renew", func(s *KeyValue) {
		if l, ok := s.leases[id]; ok {
			s.leases[id] = lease{ttl: l.ttl, expires: time.Now().Add(l.ttl)}
			ttl = l.ttl
		}
	})
	return ttl, err
}

// RevokeLease implements port.KeyValue.
func (c *Client) RevokeLease(ctx context.Context, id int64) error {
	return c.do(ctx, "revoke", func(s *KeyValue) { s.drop(id) })
}

// Watch implements port.KeyValue.
func (c *Client) Watch(ctx context.Context, prefix string, after int64, handle func(port.Event)) error {
	if err := c.do(ctx, "watch", func(*KeyValue) {}); err != nil {
		return err
	}
	for {
		s := c.Store
		s.mu.Lock()
		var due []port.Event
		for _, e := range s.events {
			if e.Entry.Revision > after && strings.HasPrefix(e.Entry.Key, prefix) {
				due = append(due, e)
			}
		}
		broken, compacted, changed := s.down || s.blocked[c.Name], s.compact > after && len(due) == 0, s.changed
		after = s.revision
		s.mu.Unlock()
		if broken {
			return port.ErrUnavailable
		}
		if compacted {
			return port.ErrCompacted
		}
		for _, e := range due {
			handle(e)
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return ctx.Err()
		case <-s.closed:
			return port.ErrUnavailable
		}
	}
}

var _ port.KeyValue = (*Client)(nil)
