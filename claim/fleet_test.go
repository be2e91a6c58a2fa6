package claim_test

import (
	"bytes"
	"context"
	"encoding/gob"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/pkg/errors"

	"rattanline.example/rattanline/claim"
	"rattanline.example/rattanline/member"
	"rattanline.example/rattanline/port"
	"rattanline.example/rattanline/usage"
)

// memory is an in-memory key-value service with injected faults.
type memory struct {
	port.KeyValue
	mu       sync.Mutex
	revision int64
	values   map[string]port.Entry
	down     bool
	writes   int
	// fault returns the fault of the next commit: "lost" drops the response, "late"
	// also delays the write, "dropped" drops both.
	fault func() string
}

func newMemory() *memory {
	return &memory{values: map[string]port.Entry{}, fault: func() string { return "" }}
}

func (m *memory) setDown(down bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.down = down
}

func (m *memory) setFault(fault func() string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.fault = fault
}

func (m *memory) List(_ context.Context, prefix string) ([]port.Entry, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.down {
		return nil, port.ErrUnavailable
	}
	var entries []port.Entry
	for key, e := range m.values {
		if strings.HasPrefix(key, prefix) {
			entries = append(entries, e)
		}
	}
	slices.SortFunc(entries, func(x, y port.Entry) int { return strings.Compare(x.Key, y.Key) })
	return entries, nil
}

func (m *memory) Commit(_ context.Context, t port.Transaction) (port.Result, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.down {
		return port.Result{}, port.ErrUnavailable
	}
	switch m.fault() {
	case "lost":
		m.commit(t)
		return port.Result{}, port.ErrOutcomeUnknown
	case "dropped":
		return port.Result{}, port.ErrOutcomeUnknown
	case "late":
		time.AfterFunc(30*time.Millisecond, func() {
			m.mu.Lock()
			defer m.mu.Unlock()
			m.commit(t)
		})
		return port.Result{}, port.ErrOutcomeUnknown
	}
	return m.commit(t), nil
}

func (m *memory) commit(t port.Transaction) port.Result {
	for _, c := range t.Conditions {
		if m.values[c.Key].Revision != c.Revision {
			return port.Result{Revision: m.revision}
		}
	}
	if len(t.Writes) > 0 {
		m.revision++
		m.writes++
	}
	for _, w := range t.Writes {
		if delete(m.values, w.Key); !w.Delete {
			m.values[w.Key] = port.Entry{Key: w.Key, Value: bytes.Clone(w.Value), Revision: m.revision}
		}
	}
	return port.Result{Committed: true, Revision: m.revision}
}

const maxAnswerBytes = 1 << 20

// fleet connects claim services of several daemons in one process.
type fleet struct {
	t      testing.TB
	memory *memory
	mu     sync.Mutex
	nodes  []*node
	table  member.Table
	cut    bool // whether links between daemons are down
}

// node is one daemon. A restart replaces it by a node with another incarnation.
type node struct {
	*claim.Service
	fleet  *fleet
	member member.Member
	stop   context.CancelFunc
	dead   bool
}

func (n *node) isDead() bool {
	n.fleet.mu.Lock()
	defer n.fleet.mu.Unlock()
	return n.dead
}

func newFleet(t testing.TB, size int) *fleet {
	f := &fleet{t: t, memory: newMemory(), nodes: make([]*node, size)}
	for i := range size {
		f.start(i)
	}
	return f
}

var incarnation atomic.Int64

func (f *fleet) start(i int) *node {
	m := member.Member{Name: fmt.Sprint("d", i), Domain: "x", Incarnation: fmt.Sprint("run-", incarnation.Add(1)), LinkAddress: fmt.Sprint("d", i), State: member.Live}
	ctx, cancel := context.WithCancel(context.Background())
	n := &node{fleet: f, member: m, stop: cancel}
	n.Service = &claim.Service{
		Self: usage.Source{Daemon: m.Name, Incarnation: m.Incarnation}, KeyValue: f.memory, Link: fleetLink{f, n},
		View: f.currentView, WriteRate: 500, MaxAnswerBytes: maxAnswerBytes,
	}
	f.mu.Lock()
	f.nodes[i] = n
	f.table = f.table.With(m)
	f.mu.Unlock()
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = n.Run(ctx)
	}()
	f.t.Cleanup(func() { cancel(); <-done })
	return n
}

// kill stops a daemon. The table of members changes only when it is started again.
func (f *fleet) kill(i int) {
	f.mu.Lock()
	f.nodes[i].dead = true
	f.mu.Unlock()
	f.nodes[i].stop()
}

func (f *fleet) currentView() member.View {
	f.mu.Lock()
	defer f.mu.Unlock()
	return member.View{Tables: map[string]member.Table{"x": f.table}}
}

func (f *fleet) setCut(cut bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.cut = cut
}

// fleetLink calls receivers with values encoded and decoded by gob.
type fleetLink struct {
	fleet *fleet
	from  *node
}

// recode copies a value by encoding and decoding it with gob.
func recode(from, to any) error {
	var b bytes.Buffer
	if err := gob.NewEncoder(&b).Encode(from); err != nil {
		return err
	}
	return gob.NewDecoder(&b).Decode(to)
}

func (l fleetLink) Call(ctx context.Context, address, method string, args, reply any) error {
	l.fleet.mu.Lock()
	var to *node
	for _, n := range l.fleet.nodes {
		if n != nil && n.member.LinkAddress == address && !n.dead && !l.from.dead && !l.fleet.cut {
			to = n
		}
	}
	l.fleet.mu.Unlock()
	if to == nil {
		return errors.New("no connection")
	}
	var err error
	switch method {
	case "Claim.Append":
		err = answerCall(ctx, args, reply, to.Receiver().Append)
	case "Claim.Answer":
		err = answerCall(ctx, args, reply, to.Receiver().Answer)
	}
	if err == nil && to.isDead() {
		return errors.New("connection lost")
	}
	return err
}

// answerCall runs the method with a copy of the arguments. As with net/rpc, the
// method keeps running if its caller no longer waits.
func answerCall[A, R any](ctx context.Context, args, reply any, method func(A, *R) error) error {
	type result struct {
		reply R
		err   error
	}
	done := make(chan result, 1)
	go func() {
		var a A
		var r result
		if r.err = recode(args, &a); r.err == nil {
			r.err = method(a, &r.reply)
		}
		done <- r
	}()
	select {
	case r := <-done:
		if r.err != nil {
			return r.err
		}
		return recode(r.reply, reply)
	case <-ctx.Done():
		return ctx.Err()
	}
}

// faults returns a fault function for memory that returns random faults from the
// seed. The rate is the probability of a fault per commit.
func faults(seed uint64, rate float64) func() string {
	r := rand.New(rand.NewPCG(seed, 1))
	return func() string {
		if r.Float64() >= rate {
			return ""
		}
		return []string{"lost", "late", "dropped"}[r.IntN(3)]
	}
}
