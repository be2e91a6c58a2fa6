package exchange

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"rattanline.example/rattanline/clock"
	"rattanline.example/rattanline/mirror"
	"rattanline.example/rattanline/port"
	"rattanline.example/rattanline/quarantine"
)

const (
	// Interval is the pause between two rounds of calls, minInterval that after a
	// change that others should know at once.
	Interval    = 400 * time.Millisecond
	minInterval = 50 * time.Millisecond
	// callTimeout bounds one call to a peer.
	callTimeout = 800 * time.Millisecond
	// markTime is how long a mark is sent after its crash.
	markTime = 5 * time.Second
	// freshTime is the age of the proof above which a daemon asks its peers for
	// their copy.
	freshTime = 1500 * time.Millisecond
)

// Exchange talks to peers. The exported fields are set before Run.
type Exchange struct {
	Self   mirror.Member
	Link   port.Link
	Mirror *mirror.Mirror
	Marks  *quarantine.Registry
	// Seeds are link addresses to ask while no peer is known.
	Seeds []string
	// Status tells whether this daemon is ready, and whether it is leaving.
	Status func() (ready, leaving bool)
	Report func() Report
	// Polling tells whether this daemon polls the key-value service; the others
	// ask their hubs in each round.
	Polling func() bool
	// Connected tells whether the last call of the key-value service succeeded.
	Connected func() bool
	Logger    zerolog.Logger

	now   func() clock.Instant // replaced in tests
	mu    sync.Mutex
	peers roster
	wake  chan struct{}
	live  map[string]bool
	// totals is the sum of the reports at the moment summed.
	totals Report
	summed clock.Instant
}

func (x *Exchange) init() {
	x.mu.Lock()
	defer x.mu.Unlock()
	if x.peers == nil {
		if x.now == nil {
			x.now = clock.Now
		}
		x.peers, x.wake = roster{}, make(chan struct{}, 1)
		x.live = map[string]bool{}
	}
}

// Run calls peers until the context ends.
func (x *Exchange) Run(ctx context.Context) error {
	x.init()
	for ctx.Err() == nil {
		x.round(ctx)
		select {
		case <-ctx.Done():
		case <-time.After(minInterval):
		}
		select {
		case <-ctx.Done():
		case <-x.wake:
		case <-time.After(Interval - minInterval + time.Duration(rand.Int64N(int64(Interval/8)))):
		}
	}
	return nil
}

// SetSeeds replaces the seeds.
func (x *Exchange) SetSeeds(seeds []string) {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.Seeds = seeds
}

// Announce starts a round at once.
func (x *Exchange) Announce() {
	x.init()
	x.announce()
}

func (x *Exchange) announce() {
	select {
	case x.wake <- struct{}{}:
	default:
	}
}

// round calls the peers whose turn it is, and drops those that are gone.
func (x *Exchange) round(ctx context.Context) {
	x.mu.Lock()
	now := x.now()
	x.peers.forget(now)
	list := x.addresses(now)
	x.watch(now)
	x.mu.Unlock()
	for address, name := range list {
		go x.call(ctx, address, name)
	}
}

// call sends this daemon's message to a peer and takes its reply. Calls that
// take long overlap with the next round.
func (x *Exchange) call(ctx context.Context, address, name string) {
	limited, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	asked := x.now()
	message := x.message(!x.Polling() || x.Mirror.Age(asked) > freshTime, name)
	var reply Message
	if err := x.Link.Call(limited, address, Service+".Swap", message, &reply); err != nil {
		x.missed(ctx, name, err)
		return
	}
	x.take(reply, asked, true)
}

// missed notes that a peer did not answer, so that another is called instead.
func (x *Exchange) missed(ctx context.Context, name string, err error) {
	if name == "" || ctx.Err() != nil {
		return
	}
	x.mu.Lock()
	defer x.mu.Unlock()
	now := x.now()
	p := x.peers.get(name)
	if p.answering(now) {
		x.Logger.Info().Err(err).Str("dependency", "peer").Str("peer", name).Dur("silent", now.Sub(p.spoke)).Msg("peer does not answer")
	}
	p.missed = now
}

// self returns the status of this daemon.
func (x *Exchange) self() Status {
	s := Status{Member: x.Self, Connected: x.Connected()}
	s.Ready, s.Leaving = x.Status()
	return s
}

// message returns what this daemon tells a peer.
func (x *Exchange) message(want bool, to string) Message {
	now := x.now()
	m := Message{
		Revision: x.Mirror.View().Revision, ProofAge: x.Mirror.Age(now), Want: want,
		Report: x.Report(), Marks: x.Marks.Recent(time.Now(), markTime),
	}
	x.mu.Lock()
	defer x.mu.Unlock()
	m.From = x.self()
	if x.large() && x.isHub(now) {
		m.Group = x.group(now, m.Report)
	}
	x.shorten(m.Group, to)
	if p := x.peers[to]; p != nil {
		m.Held = p.listedAs
	}
	return m
}

// shorten leaves out the list of daemons that the receiver holds.
func (x *Exchange) shorten(g *Group, to string) {
	if p := x.peers[to]; g != nil && p != nil && p.held == g.Digest {
		g.Daemons = nil
	}
}

// take learns from a message. The proof that it carries counts from asked,
// which is zero for messages that weren't asked for.
func (x *Exchange) take(m Message, asked clock.Instant, answered bool) {
	now := x.now()
	if m.From.Name == "" || m.From.Name == x.Self.Name {
		return
	}
	x.Marks.Merge(time.Now(), m.Marks)
	if answered {
		x.Mirror.Adopt(m.Revision, m.Entries, m.Changes, m.Complete, asked.Add(-m.ProofAge))
	}
	x.mu.Lock()
	defer x.mu.Unlock()
	p := x.peers.get(m.From.Name)
	if p.Status != m.From && x.large() && x.isHub(now) {
		x.announce()
	}
	p.Status, p.LastContact, p.spoke, p.report, p.held = m.From, now, now, m.Report, m.Held
	g := m.Group
	if m.Fleet != nil {
		g = m.Fleet
	}
	if p.group, p.heardGroup = g, now; g == nil {
		return
	}
	if g.Daemons != nil {
		p.listed, p.listedAs = g.Daemons, g.Digest
	}
	if g.Digest != p.listedAs {
		return // the list comes with the next message
	}
	for _, s := range p.listed {
		x.peers.heardOf(s, x.Self.Name, now)
	}
}

// watch logs peers that appear and fall silent, if this daemon talks to them.
func (x *Exchange) watch(now clock.Instant) {
	for name, p := range x.peers {
		alive := p.Live(now)
		if alive == x.live[name] || p.spoke == 0 {
			continue
		}
		x.live[name] = alive
		event := "dependency lost"
		if alive {
			event = "dependency regained"
		}
		x.Logger.Info().Str("dependency", "peer").Str("peer", name).Str("incarnation", p.Status.Incarnation).
			Dur("silent", now.Sub(p.LastContact)).Msg(event)
	}
	for name := range x.live {
		if x.peers[name] == nil {
			delete(x.live, name)
		}
	}
}

// Peers returns all peers heard of in the last time, silent ones included.
func (x *Exchange) Peers() []Peer {
	x.mu.Lock()
	defer x.mu.Unlock()
	peers := make([]Peer, 0, len(x.peers))
	for _, p := range x.peers {
		if p.LastContact != 0 {
			peers = append(peers, *p)
		}
	}
	return peers
}

// Receiver answers calls of other daemons.
type Receiver struct{ exchange *Exchange }

// Receiver returns what is registered at the link server under Service.
func (x *Exchange) Receiver() *Receiver {
	x.init()
	return &Receiver{exchange: x}
}

// Swap takes a peer's message and replies with this daemon's own.
func (r *Receiver) Swap(m Message, reply *Message) error {
	x := r.exchange
	x.take(m, 0, false)
	*reply = x.message(false, m.From.Name)
	if v := x.Mirror.View(); m.Want && v.Revision > m.Revision {
		if reply.Changes, reply.Complete = v.Since(m.Revision, x.now()); !reply.Complete {
			reply.Entries = v.Entries()
		}
		reply.Revision = v.Revision
	}
	x.mu.Lock()
	defer x.mu.Unlock()
	if m.Group == nil && x.large() {
		reply.Fleet = x.fleet(x.now(), reply.Report, m.From.Name)
		x.shorten(reply.Fleet, m.From.Name)
		reply.Group = nil
	}
	return nil
}
