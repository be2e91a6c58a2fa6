package measure

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"time"

	"rattanline.example/rattanline/config"
	"rattanline.example/rattanline/dispatch"
	"rattanline.example/rattanline/limit"
	"rattanline.example/rattanline/member"
	"rattanline.example/rattanline/slot"
	"rattanline.example/rattanline/usage"
)

// Fleet is a set of daemons that exchange their usage through one coordinator in
// each failure domain. The exported fields must be set before Start.
type Fleet struct {
	Document   config.Document
	Network    *Network
	Domains    []string
	Daemons    int // in all failure domains
	Times      dispatch.Times
	WarmUpTime time.Duration // see FixedLimit
	// Isolated turns off the exchange of usage.
	Isolated bool

	mu               sync.Mutex
	document         config.Document
	view             member.View
	epoch            int64
	nodes            map[string]*Node
	simulatedTargets map[string]*SimulatedTarget
	// shares are the fractions of the limits that owners may grant, by daemon.
	shares       map[string]member.Share
	unauthorized map[string]bool
	wait         sync.WaitGroup
}

// failureDetectionTime is the time from Kill until the fleet marks a daemon as silent, in
// place of a coordinator. The daemon's owner lease has expired by then.
const failureDetectionTime = 3 * time.Second

// Node is one daemon of the fleet.
type Node struct {
	Member     member.Member
	Dispatcher *dispatch.Dispatcher
	Ledger     *usage.Ledger

	fleet     *Fleet
	endpoint  *Endpoint
	self      usage.Source
	aggregate *usage.Aggregate // used while the daemon is its domain's coordinator
	stop      context.CancelFunc
}

// Start starts all daemons. They run until the context ends.
func (f *Fleet) Start(ctx context.Context) {
	f.document = f.Document
	f.nodes, f.simulatedTargets = map[string]*Node{}, map[string]*SimulatedTarget{}
	f.shares, f.unauthorized = map[string]member.Share{}, map[string]bool{}
	for _, t := range f.Document.Targets {
		f.simulatedTargets[t.Name] = NewSimulatedTarget(t)
	}
	for i := range f.Daemons {
		domain := f.Domains[i%len(f.Domains)]
		f.add(member.Member{Name: fmt.Sprintf("daemon-%02d", i), Domain: domain, Incarnation: "1"})
	}
	for _, n := range f.Nodes() {
		n.run(ctx)
	}
}

// Wait returns when all daemons have ended.
func (f *Fleet) Wait() { f.wait.Wait() }

// Launch starts a daemon, or a new incarnation of one, in the running fleet.
func (f *Fleet) Launch(ctx context.Context, m member.Member) *Node {
	n := f.add(m)
	n.run(ctx)
	return n
}

func (f *Fleet) add(m member.Member) *Node {
	m.Host, m.LinkAddress, m.State, m.Counted = m.Name, m.Name, member.Live, true
	n := &Node{Member: m, fleet: f, self: usage.Source{Daemon: m.Name, Incarnation: m.Incarnation}}
	n.endpoint = f.Network.Join(m.Name, m.Domain)
	n.Ledger = usage.NewLedger(n.self, f.share)
	n.aggregate = usage.NewAggregate(n.self)
	n.Dispatcher = &dispatch.Dispatcher{
		Self: n.self, Domain: m.Domain, Address: m.Name, Ledger: n.Ledger, Link: n.endpoint,
		View:          f.View,
		Authority:     func(time.Time) (member.Share, bool) { return f.authority(m.Name) },
		Configuration: f.Configuration,
		Load:          func(ctx context.Context, t config.Target) (limit.Load, error) { return f.load(ctx, t) },
		NewLimit: func(t config.Target) dispatch.Limit {
			return &FixedLimit{Cold: t.ColdLimit, Max: t.MaxLimit, WarmUpTime: f.WarmUpTime}
		},
		Times: f.Times,
	}
	n.registerHandlers()
	f.mu.Lock()
	defer f.mu.Unlock()
	f.nodes[m.Name] = n
	f.setMember(m)
	return n
}

func (f *Fleet) setMember(m member.Member) {
	f.epoch++
	t := f.view.Tables[m.Domain].With(m).WithEpoch(member.Epoch{Revision: f.epoch}, "")
	t.Domain = m.Domain
	f.view = f.view.WithTable(t)
}

// SetState changes the state of a daemon in its member table.
func (f *Fleet) SetState(name string, s member.State) {
	f.mu.Lock()
	defer f.mu.Unlock()
	m, _ := f.view.Find(name)
	m.State = s
	f.setMember(m)
}

// Kill ends a daemon without any message to others. It cancels no request of a Client;
// that is left to the caller. The daemon is marked as silent after failureDetectionTime.
func (f *Fleet) Kill(name string) {
	f.Network.Leave(name)
	f.mu.Lock()
	n := f.nodes[name]
	delete(f.nodes, name)
	f.mu.Unlock()
	n.stop()
	time.AfterFunc(failureDetectionTime, func() { f.markSilent(n.Member) })
}

// markSilent marks a killed daemon silent unless it has been launched again.
func (f *Fleet) markSilent(m member.Member) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if current, _ := f.view.Find(m.Name); current.Incarnation != m.Incarnation {
		return
	}
	m.State = member.Silent
	f.setMember(m)
	if c, ok := coordinator(f.view, m.Domain); ok && f.nodes[c.Name] != nil {
		f.nodes[c.Name].aggregate.Retire(m.Name)
	}
}

// Node returns the running daemon with the name, or nil.
func (f *Fleet) Node(name string) *Node {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.nodes[name]
}

// Nodes returns the running daemons sorted by name.
func (f *Fleet) Nodes() []*Node {
	f.mu.Lock()
	defer f.mu.Unlock()
	var nodes []*Node
	for _, n := range f.nodes {
		nodes = append(nodes, n)
	}
	slices.SortFunc(nodes, func(x, y *Node) int {
		if x.Member.Name < y.Member.Name {
			return -1
		}
		return 1
	})
	return nodes
}

// Target returns the simulated target with the name, or nil.
func (f *Fleet) Target(target string) *SimulatedTarget {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.simulatedTargets[target]
}

// View returns the member tables, which all daemons share.
func (f *Fleet) View() member.View {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.view
}

// Configuration returns the current document.
func (f *Fleet) Configuration() config.Document {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.document
}

// Configure replaces the current document and increments its version.
func (f *Fleet) Configure(d config.Document) {
	f.mu.Lock()
	defer f.mu.Unlock()
	d.Version = f.document.Version + 1
	f.document = d
}

func (f *Fleet) share(account string) float64 {
	for _, a := range f.Document.Accounts {
		if a.Name == account {
			return a.Share
		}
	}
	return 0
}

// SetAuthority sets the share of the limits that a daemon may grant as an owner, and
// whether it may own targets at all.
func (f *Fleet) SetAuthority(name string, share member.Share, valid bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.shares[name], f.unauthorized[name] = share, !valid
}

func (f *Fleet) authority(name string) (member.Share, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.shares[name], !f.unauthorized[name]
}

func (f *Fleet) load(ctx context.Context, t config.Target) (limit.Load, error) {
	simulated := f.Target(t.Name)
	if simulated == nil {
		return limit.Load{}, errNoTarget
	}
	return simulated.Load(ctx)
}

func (n *Node) registerHandlers() {
	owner := n.Dispatcher.OwnerReceiver().(*dispatch.OwnerReceiver)
	holder := n.Dispatcher.HolderReceiver().(*dispatch.HolderReceiver)
	n.endpoint.Handle("Owner.Renew", func(args, reply any) error {
		return owner.Renew(args.(slot.Renewal), reply.(*slot.RenewalReply))
	})
	n.endpoint.Handle("Holder.Grant", func(args, reply any) error {
		return holder.Grant(args.(slot.Grant), reply.(*bool))
	})
	n.endpoint.Handle("Coordinator.Heartbeat", n.heartbeat)
	n.endpoint.Handle("Coordinator.Exchange", n.exchange)
}

func (n *Node) run(ctx context.Context) {
	ctx, n.stop = context.WithCancel(ctx)
	n.fleet.wait.Go(func() { _ = n.Dispatcher.Run(ctx) })
	if !n.fleet.Isolated {
		n.fleet.wait.Go(func() { n.exchangeLoop(ctx) })
	}
}
