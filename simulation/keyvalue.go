// Package simulation provides an in-memory fake of port.KeyValue for tests in virtual
// time, in which real sockets would keep the time from advancing.
package simulation

import (
	"context"
	"strings"
	"sync"
	"time"

	"rattanline.example/rattanline/port"
)

// KeyValue is an in-memory key-value service with leases and watches. It simulates
// outages, partitions and lost responses, and counts the calls.
type KeyValue struct {
	mu              sync.Mutex
	revision        int64
	entries         map[string]port.Entry
	leases          map[int64]lease
	keyLeases       map[string]int64 // lease of each key, zero for none
	events          []port.Event
	changed         chan struct{} // closed and replaced at each change and call
	closed          chan struct{} // closed by Close
	lastLease       int64
	down            bool
	responsesToLose int // number of commits whose responses are lost
	compacted       int64
	partitioned     map[string]bool          // by daemon
	frozen          map[string]chan struct{} // by daemon; closed by Thaw
	calls           map[string]int           // by kind
}

type lease struct {
	ttl     time.Duration
	expires time.Time
}

// NewKeyValue returns an empty key-value service.
func NewKeyValue() *KeyValue {
	return &KeyValue{
		revision: 1, entries: map[string]port.Entry{}, leases: map[int64]lease{}, keyLeases: map[string]int64{},
		changed: make(chan struct{}), closed: make(chan struct{}), partitioned: map[string]bool{},
		frozen: map[string]chan struct{}{}, calls: map[string]int{},
	}
}

// Close ends all watches, so that their goroutines end with the test.
func (s *KeyValue) Close() { close(s.closed) }

// update changes the state by f and wakes up the watches.
func (s *KeyValue) update(f func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	f()
	close(s.changed)
	s.changed = make(chan struct{})
}

// SetOutage starts or ends an outage of the service.
func (s *KeyValue) SetOutage(down bool) { s.update(func() { s.down = down }) }

// SetPartitioned disconnects a daemon from the service, or connects it again.
func (s *KeyValue) SetPartitioned(name string, partitioned bool) {
	s.update(func() { s.partitioned[name] = partitioned })
}

// LoseResponses loses the responses of the next n commits, which take effect.
func (s *KeyValue) LoseResponses(n int) { s.update(func() { s.responsesToLose = n }) }

// CompactAll deletes all events. A watch that starts at an older revision and finds
// no newer event fails with port.ErrCompacted.
func (s *KeyValue) CompactAll() { s.update(func() { s.compacted, s.events = s.revision, nil }) }

// Put writes a key as another program would, without a lease and without counting a
// call.
func (s *KeyValue) Put(key string, value []byte) {
	s.update(func() { s.apply(port.Write{Key: key, Value: value}) })
}

// Freeze suspends the new calls of a daemon until Thaw. Open watches continue.
func (s *KeyValue) Freeze(name string) { s.update(func() { s.frozen[name] = make(chan struct{}) }) }

// Thaw resumes the calls of a frozen daemon.
func (s *KeyValue) Thaw(name string) {
	s.update(func() {
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

// Entry returns the entry of a key without counting a call.
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
		s.keyLeases[w.Key] = w.Lease
	}
	s.events = append(s.events, port.Event{Entry: e, Deleted: w.Delete})
}

// expire revokes leases whose time to live has passed. As only calls that reach the
// service run it, leases don't expire during an outage.
func (s *KeyValue) expire(now time.Time) {
	for id, l := range s.leases {
		if now.Before(l.expires) {
			continue
		}
		s.revoke(id)
	}
}

// revoke ends a lease and deletes its keys.
func (s *KeyValue) revoke(id int64) {
	delete(s.leases, id)
	for key, owner := range s.keyLeases {
		if _, ok := s.entries[key]; ok && owner == id {
			s.apply(port.Write{Key: key, Delete: true})
		}
	}
}

// Client is the connection of one daemon to the service.
type Client struct {
	Store *KeyValue
	Name  string // name of the daemon
}

// call runs f on the locked store after a latency of 2 ms, and counts it under
// kind. It injects the outages, partitions, lost responses and suspensions.
func (c *Client) call(ctx context.Context, kind string, f func(s *KeyValue)) error {
	s := c.Store
	s.mu.Lock()
	s.calls[kind]++
	frozen, down := s.frozen[c.Name], s.down || s.partitioned[c.Name]
	s.mu.Unlock()
	if frozen != nil {
		// A call of a frozen daemon takes effect when the daemon resumes, even if
		// its deadline has passed by then, because the request may already have
		// been sent.
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
	if s.responsesToLose > 0 && kind == "commit" {
		s.responsesToLose--
		return port.ErrOutcomeUnknown
	}
	return ctx.Err()
}

// Get implements port.KeyValue.
func (c *Client) Get(ctx context.Context, key string) (e port.Entry, err error) {
	err = c.call(ctx, "get", func(s *KeyValue) { e = s.entries[key] })
	return e, err
}

// List implements port.KeyValue.
func (c *Client) List(ctx context.Context, prefix string) (es []port.Entry, err error) {
	err = c.call(ctx, "list", func(s *KeyValue) {
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
	err = c.call(ctx, "commit", func(s *KeyValue) {
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
	err = c.call(ctx, "grant", func(s *KeyValue) {
		s.lastLease++
		id = s.lastLease
		s.leases[id] = lease{ttl: ttl, expires: time.Now().Add(ttl)}
	})
	return id, err
}

// RenewLease implements port.KeyValue.
func (c *Client) RenewLease(ctx context.Context, id int64) (ttl time.Duration, err error) {
	err = c.call(ctx, "renew", func(s *KeyValue) {
		if l, ok := s.leases[id]; ok {
			s.leases[id] = lease{ttl: l.ttl, expires: time.Now().Add(l.ttl)}
			ttl = l.ttl
		}
	})
	return ttl, err
}

// RevokeLease implements port.KeyValue.
func (c *Client) RevokeLease(ctx context.Context, id int64) error {
	return c.call(ctx, "revoke", func(s *KeyValue) { s.revoke(id) })
}

// Watch implements port.KeyValue.
func (c *Client) Watch(ctx context.Context, prefix string, after int64, handle func(port.Event)) error {
	if err := c.call(ctx, "watch", func(*KeyValue) {}); err != nil {
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
		unavailable, compacted, changed := s.down || s.partitioned[c.Name], s.compacted > after && len(due) == 0, s.changed
		after = s.revision
		s.mu.Unlock()
		if unavailable {
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
