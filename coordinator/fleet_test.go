package coordinator

import (
	"bytes"
	"context"
	"encoding/gob"
	"fmt"
	"os"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/pkg/errors"
	"github.com/rs/zerolog"

	"rattanline.example/rattanline/config"
	"rattanline.example/rattanline/member"
	"rattanline.example/rattanline/port"
	"rattanline.example/rattanline/simulation"
	"rattanline.example/rattanline/usage"
)

const configurationKey = "rattanline/config"

// fleet is a set of nodes on an in-memory platform and links.
type fleet struct {
	c        *qt.C
	store    *simulation.KeyValue
	links    *links
	nodes    map[string]*runningNode
	starts   int               // number of daemon starts, for their incarnations
	versions map[string]uint64 // the highest configuration version seen by daemon run
}

type runningNode struct {
	*Node
	cancel context.CancelFunc
	done   chan struct{}
}

// simulate runs f with virtual time. The test ends only when all goroutines have
// stopped.
func simulate(t *testing.T, f func(c *qt.C, fl *fleet)) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		fl := &fleet{c: c, store: simulation.NewKeyValue(), links: newLinks(), nodes: map[string]*runningNode{}, versions: map[string]uint64{}}
		defer func() {
			for _, n := range fl.nodes {
				n.cancel()
			}
			fl.store.Close()
			for _, n := range fl.nodes {
				<-n.done
			}
		}()
		f(c, fl)
	})
}

// start runs a daemon named like "a1" in failure domain "a".
func (fl *fleet) start(name string, change ...func(*Node)) *runningNode {
	fl.starts++
	incarnation := fmt.Sprint("run-", fl.starts)
	n := &Node{
		Self: member.Member{
			Name: name, Host: "host-" + name, Domain: name[:1], Incarnation: incarnation, LinkAddress: name + ":1",
		},
		KeyValue:            &simulation.Client{Store: fl.store, Name: name},
		Link:                &link{links: fl.links, name: name},
		Ledger:              usage.NewLedger(usage.Source{Daemon: name, Incarnation: incarnation}, func(string) float64 { return 1 }),
		ConfigurationKey:    configurationKey,
		DecodeConfiguration: decode,
	}
	for _, domain := range []string{"a", "b", "c"} {
		n.Peers = append(n.Peers, domain+"1:1", domain+"2:1")
	}
	if os.Getenv("RATTANLINE_TEST_LOG") != "" {
		n.Logger = zerolog.New(os.Stderr).Hook(zerolog.HookFunc(func(e *zerolog.Event, _ zerolog.Level, _ string) {
			e.Time("t", time.Now()).Str("daemon", name)
		}))
	}
	for _, f := range change {
		f(n)
	}
	ctx, cancel := context.WithCancel(context.Background())
	r := &runningNode{Node: n, cancel: cancel, done: make(chan struct{})}
	fl.links.register(name, n.Receiver())
	fl.nodes[name] = r
	go func() {
		defer close(r.done)
		_ = n.Run(ctx)
	}()
	return r
}

// startAll runs the daemons 1 to size in each domain and waits until the fleet
// is settled.
func (fl *fleet) startAll(domains string, size int, change ...func(*Node)) {
	for _, d := range domains {
		for i := 1; i <= size; i++ {
			fl.start(fmt.Sprintf("%c%d", d, i), change...)
		}
	}
	fl.until(20*time.Second, "all members live and counted", func() bool { return fl.settled(size) })
}

// settled reports whether every daemon sees size live members in all domains,
// and has authority with the follower leases of size counted members.
func (fl *fleet) settled(size int) bool {
	for _, n := range fl.nodes {
		if len(n.View().Tables) < len(fl.domains()) {
			return false
		}
		for _, t := range n.View().Tables {
			if len(t.Live()) != size {
				return false
			}
		}
		s, ok := n.Authority(time.Now())
		if !ok || s.Leases != size || s.Counted != size {
			return false
		}
	}
	return true
}

func (fl *fleet) domains() map[string]bool {
	domains := map[string]bool{}
	for _, n := range fl.nodes {
		domains[n.Self.Domain] = true
	}
	return domains
}

// crash stops a daemon that can send no more messages.
func (fl *fleet) crash(name string) {
	fl.links.cut(name, "*")
	fl.store.SetPartitioned(name, true)
	fl.nodes[name].cancel()
	<-fl.nodes[name].done
	delete(fl.nodes, name)
	fl.links.heal(name, "*")
	fl.links.register(name, nil)
	fl.store.SetPartitioned(name, false)
}

// leave stops a daemon gracefully.
func (fl *fleet) leave(name string) {
	n := fl.nodes[name]
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	// A disconnected daemon can't publish that it is leaving, and stops anyway.
	_ = n.Leave(ctx)
	n.cancel()
	<-n.done
	delete(fl.nodes, name)
	fl.links.register(name, nil)
}

// until advances the time in steps, checking the shares and configuration
// versions at each, until the condition holds. It returns the time taken.
func (fl *fleet) until(limit time.Duration, what string, condition func() bool) time.Duration {
	fl.c.Helper()
	start := time.Now()
	for !condition() {
		if time.Since(start) > limit {
			fl.c.Fatalf("not within %v: %s\n%s", limit, what, fl.describe())
		}
		fl.step()
	}
	return time.Since(start)
}

func (fl *fleet) run(d time.Duration) {
	fl.c.Helper()
	for end := time.Now().Add(d); time.Now().Before(end); {
		fl.step()
	}
}

func (fl *fleet) step() {
	fl.c.Helper()
	time.Sleep(50 * time.Millisecond)
	synctest.Wait()
	fl.checkShares()
	fl.checkVersions()
}

// checkVersions checks that no daemon returns to a lower configuration version.
func (fl *fleet) checkVersions() {
	fl.c.Helper()
	for name, n := range fl.nodes {
		v := n.Configuration().Version
		if v < fl.versions[n.Self.Incarnation] {
			fl.c.Fatalf("%s returned from configuration version %d to %d", name, fl.versions[n.Self.Incarnation], v)
		}
		fl.versions[n.Self.Incarnation] = v
	}
}

// checkShares checks that the shares of the coordinators of a domain never add
// up to more than the limit of a target. Each daemon may use the share that it
// received last, so the largest valid share of each coordinator is added.
func (fl *fleet) checkShares() {
	fl.c.Helper()
	now := time.Now()
	for domain := range fl.domains() {
		for _, limit := range []int{1, 7, 8} {
			granted := map[string]int{}
			for _, n := range fl.nodes {
				run := n.auth.Load().from
				if s, ok := n.Authority(now); ok && n.Self.Domain == domain {
					granted[run] = max(granted[run], s.Limit(limit))
				}
			}
			sum := 0
			for _, slots := range granted {
				sum += slots
			}
			if sum > limit {
				fl.c.Fatalf("shares of domain %s add up to %d of %d: %v\n%s", domain, sum, limit, granted, fl.describe())
			}
		}
	}
}

func (fl *fleet) describe() string {
	var b strings.Builder
	for name, n := range fl.nodes {
		s, ok := n.Authority(time.Now())
		leader, confirmed := n.Coordinator()
		t := n.View().Tables[n.Self.Domain]
		fmt.Fprintf(&b, "%s follows %s (confirmed %v), share %v %v, version %d, epoch %v:", name, leader, confirmed, s, ok, n.Configuration().Version, t.Epoch)
		for _, m := range t.Members {
			fmt.Fprintf(&b, " %s/%s/%v", m.Name, m.State, m.Counted)
		}
		fmt.Fprintln(&b, "; domains", n.View().Domains())
	}
	return b.String()
}

// leader returns the name of the daemon that is coordinator of the domain.
func (fl *fleet) leader(domain string) string {
	for name, n := range fl.nodes {
		if n.Self.Domain == domain && n.isCoordinator() {
			return name
		}
	}
	return ""
}

// writeConfiguration writes a configuration version to the platform, as a daemon
// does for an operator.
func (fl *fleet) writeConfiguration(version uint64) {
	fl.store.Put(configurationKey, []byte(fmt.Sprint(version)))
}

func decode(value []byte) (config.Document, error) {
	var version uint64
	_, err := fmt.Sscan(string(value), &version)
	accounts := []config.Account{{Name: "x"}, {Name: "y"}}
	return config.Document{Version: version, Accounts: accounts}, err
}

func (fl *fleet) allHave(version uint64) func() bool {
	return func() bool {
		for _, n := range fl.nodes {
			if n.Configuration().Version < version {
				return false
			}
		}
		return true
	}
}

// links carries calls between the daemons through gob, as net/rpc does.
type links struct {
	mu        sync.Mutex
	receivers map[string]*Receiver
	broken    map[[2]string]bool
	frozen    map[string]chan struct{}
	delay     time.Duration
	streams   map[string]*stream // by type of message
	bytes     map[string]int     // by method, with a suffix for calls between domains
}

func newLinks() *links {
	return &links{
		receivers: map[string]*Receiver{}, broken: map[[2]string]bool{},
		frozen: map[string]chan struct{}{}, delay: 3 * time.Millisecond, bytes: map[string]int{}, streams: map[string]*stream{},
	}
}

func (l *links) register(name string, receiver any) {
	l.mu.Lock()
	defer l.mu.Unlock()
	r, _ := receiver.(*Receiver)
	l.receivers[name] = r
}

func (l *links) cut(x, y string)  { l.set(x, y, true) }
func (l *links) heal(x, y string) { l.set(x, y, false) }

func (l *links) set(x, y string, broken bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.broken[[2]string{x, y}], l.broken[[2]string{y, x}] = broken, broken
}

// freeze makes all calls from and to the daemon wait until thaw.
func (l *links) freeze(name string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.frozen[name] = make(chan struct{})
}

func (l *links) thaw(name string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	close(l.frozen[name])
	delete(l.frozen, name)
}

func (l *links) wait(ctx context.Context, name string) error {
	l.mu.Lock()
	ch := l.frozen[name]
	l.mu.Unlock()
	if ch == nil {
		return nil
	}
	select {
	case <-ch:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// isBroken reports whether calls between two daemons fail. Links can be cut
// between daemons, domains and all others ("*"), but cutting off a domain keeps
// the links within it.
func (l *links) isBroken(x, y string) bool {
	for _, p := range [][2]string{{x, y}, {x, y[:1]}, {x[:1], y}, {x[:1], y[:1]}, {x, "*"}, {"*", y}, {x[:1], "*"}, {"*", y[:1]}} {
		within := x[:1] == y[:1] && (p[0] == x[:1] || p[1] == y[:1])
		if l.broken[p] && !within {
			return true
		}
	}
	return false
}

type link struct {
	links *links
	name  string
}

func (l *link) Call(ctx context.Context, address, method string, args, reply any) error {
	to, _, _ := strings.Cut(address, ":")
	if err := l.links.wait(ctx, l.name); err != nil {
		return err
	}
	time.Sleep(l.links.delay)
	l.links.mu.Lock()
	r, broken := l.links.receivers[to], l.links.isBroken(l.name, to)
	l.links.mu.Unlock()
	if broken {
		<-ctx.Done()
		return ctx.Err()
	}
	if r == nil {
		return errors.New("connection refused")
	}
	if err := l.links.wait(ctx, to); err != nil {
		return err
	}
	kind := method
	if to[:1] != l.name[:1] {
		kind += " between domains"
	}
	var err error
	switch a := args.(type) {
	case HeartbeatArgs:
		err = dispatch(l, kind, a, reply, r.Heartbeat)
	case ExchangeArgs:
		err = dispatch(l, kind, a, reply, r.Exchange)
	}
	time.Sleep(l.links.delay)
	if werr := l.links.wait(ctx, l.name); werr != nil {
		return werr
	}
	return err
}

func dispatch[A, R any](l *link, kind string, args A, reply any, method func(A, *R) error) error {
	var in A
	var out R
	l.roundTrip(kind, args, &in)
	err := method(in, &out)
	l.roundTrip(kind, out, reply)
	return err
}

// stream carries the messages of one type between all daemons. As on a
// connection, gob sends the description of the type only once.
type stream struct {
	buffer  bytes.Buffer
	encoder *gob.Encoder
	decoder *gob.Decoder
}

// roundTrip encodes and decodes a message with gob and counts its bytes.
func (l *link) roundTrip(kind string, from, to any) {
	l.links.mu.Lock()
	defer l.links.mu.Unlock()
	key := fmt.Sprintf("%T", from)
	s := l.links.streams[key]
	if s == nil {
		s = &stream{}
		s.encoder, s.decoder = gob.NewEncoder(&s.buffer), gob.NewDecoder(&s.buffer)
		l.links.streams[key] = s
	}
	if err := s.encoder.Encode(from); err != nil {
		panic(err)
	}
	l.links.bytes[kind] += s.buffer.Len()
	if err := s.decoder.Decode(to); err != nil {
		panic(err)
	}
}

// bytesOf returns the number of bytes of all messages whose kind contains the
// text.
func (l *links) bytesOf(kind string) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	sum := 0
	for k, n := range l.bytes {
		if strings.Contains(k, kind) {
			sum += n
		}
	}
	return sum
}

var _ port.Link = (*link)(nil)
