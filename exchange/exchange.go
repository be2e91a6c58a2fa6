package exchange

import (
	"cmp"
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/rs/zerolog"

	"rattanline.example/rattanline/clock"
	"rattanline.example/rattanline/mirror"
	"rattanline.example/rattanline/port"
	"rattanline.example/rattanline/quarantine"
)

const (
	// Interval is the pause between two rounds of calls.
	Interval = 400 * time.Millisecond
	// callTimeout bounds one call to a peer.
	callTimeout = 800 * time.Millisecond
	// LiveTime is how long a peer counts as live after its last message.
	LiveTime = 2500 * time.Millisecond
	// forgetTime is how long a silent peer is counted among those that may send.
	forgetTime = 30 * time.Second
	// reportTime is how long a peer's report counts.
	reportTime = 1500 * time.Millisecond
	// totalsTime is how long a sum of reports is used: each request asks for it.
	totalsTime = 100 * time.Millisecond
	// markTime is how long a mark is sent after its crash.
	markTime = 5 * time.Second
	// smallFleet is the number of peers below which every daemon polls the
	// key-value service, readersPerDomain how many of a failure domain do above it.
	smallFleet       = 16
	readersPerDomain = 2
	// fanOut bounds the calls of one round.
	fanOut = 16
)

// Peer is another daemon as it last described itself.
type Peer struct {
	Message Message
	Heard   clock.Instant
}

// Exchange talks to all peers. The exported fields are set before Run.
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
	// Reading tells whether this daemon polls the key-value service; the others
	// ask the Readers of their failure domain in each round.
	Reading func() bool
	Logger  zerolog.Logger

	mu    sync.Mutex
	peers map[string]*Peer // by name
	turn  int
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
		x.peers, x.wake = map[string]*Peer{}, make(chan struct{}, 1)
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
		case <-x.wake:
		case <-time.After(Interval + time.Duration(rand.Int64N(int64(Interval/8)))):
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
	select {
	case x.wake <- struct{}{}:
	default:
	}
}

// round calls peers in turn, and drops those that are gone.
func (x *Exchange) round(ctx context.Context) {
	for _, address := range x.addresses() {
		go x.call(ctx, address)
	}
	x.watch()
}

func (x *Exchange) addresses() []string {
	x.mu.Lock()
	defer x.mu.Unlock()
	now := clock.Now()
	var all []string
	add := func(a string) {
		if a != "" && a != x.Self.Link && !slices.Contains(all, a) {
			all = append(all, a)
		}
	}
	for _, m := range x.Mirror.View().Members {
		add(m.Link)
	}
	for name, p := range x.peers {
		if now.Sub(p.Heard) > forgetTime {
			delete(x.peers, name)
			continue
		}
		add(p.Message.Link)
	}
	if len(all) == 0 {
		for _, s := range x.Seeds {
			add(s)
		}
	}
	slices.Sort(all)
	if len(all) <= fanOut {
		return all
	}
	chosen := x.readers(now)
	for len(chosen) < fanOut {
		x.turn++
		if a := all[x.turn%len(all)]; !slices.Contains(chosen, a) {
			chosen = append(chosen, a)
		}
	}
	return chosen
}

// readers returns the addresses of the daemons of this failure domain that poll
// the key-value service.
func (x *Exchange) readers(now clock.Instant) []string {
	ranked := x.ranked(now)
	var list []string
	for _, name := range ranked[:min(len(ranked), readersPerDomain)] {
		if p := x.peers[name]; p != nil {
			list = append(list, p.Message.Link)
		}
	}
	return list
}

// ranked returns the names of the live daemons of this failure domain, this one
// included, in an order on which all agree.
func (x *Exchange) ranked(now clock.Instant) []string {
	names := []string{x.Self.Name}
	for name, p := range x.peers {
		if p.Message.Domain == x.Self.Domain && p.Live(now) && !p.Message.Leaving {
			names = append(names, name)
		}
	}
	slices.SortFunc(names, func(a, b string) int { return cmp.Compare(xxhash.Sum64String(a), xxhash.Sum64String(b)) })
	return names
}

// Reader tells whether this daemon is one that polls the key-value service: in
// small fleets all do, in others a few of each failure domain.
func (x *Exchange) Reader() bool {
	x.mu.Lock()
	defer x.mu.Unlock()
	if len(x.peers) < smallFleet {
		return true
	}
	rank := slices.Index(x.ranked(clock.Now()), x.Self.Name)
	return rank < readersPerDomain
}

// call sends this daemon's message to a peer and takes its reply. Calls that
// take long overlap with the next round.
func (x *Exchange) call(ctx context.Context, address string) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	asked := clock.Now()
	message := x.message(!x.Reading() || x.behind(asked))
	var reply Message
	if err := x.Link.Call(ctx, address, Service+".Swap", message, &reply); err != nil {
		return // watch reports peers that fall silent
	}
	x.take(reply, asked, true)
}

// freshTime is the age of the proof above which a daemon asks its peers for
// their copy.
const freshTime = 1500 * time.Millisecond

func (x *Exchange) behind(now clock.Instant) bool { return x.Mirror.Age(now) > freshTime }

func (x *Exchange) message(want bool) Message {
	now := clock.Now()
	ready, leaving := x.Status()
	return Message{
		Name: x.Self.Name, Incarnation: x.Self.Incarnation, Link: x.Self.Link, Frontend: x.Self.Frontend,
		Domain: x.Self.Domain, Ready: ready, Leaving: leaving,
		Revision: x.Mirror.View().Revision, ProofAge: x.Mirror.Age(now), Want: want,
		Report: x.Report(), Marks: x.Marks.Recent(time.Now(), markTime),
	}
}

// take learns from a message. The proof that it carries counts from asked,
// which is zero for messages that weren't asked for.
func (x *Exchange) take(m Message, asked clock.Instant, answered bool) {
	now := clock.Now()
	if m.Name == "" || m.Name == x.Self.Name {
		return
	}
	x.Marks.Merge(time.Now(), m.Marks)
	if answered {
		x.Mirror.Adopt(m.Revision, m.Entries, m.Changes, m.Complete, asked.Add(-m.ProofAge))
	}
	m.Entries, m.Changes, m.Marks = nil, nil, nil
	x.mu.Lock()
	defer x.mu.Unlock()
	p := x.peers[m.Name]
	if p == nil {
		p = &Peer{}
		x.peers[m.Name] = p
	}
	p.Message, p.Heard = m, now
}

// watch logs peers that appear and fall silent.
func (x *Exchange) watch() {
	x.mu.Lock()
	defer x.mu.Unlock()
	now := clock.Now()
	for name, p := range x.peers {
		alive := now.Sub(p.Heard) <= LiveTime
		if alive == x.live[name] {
			continue
		}
		x.live[name] = alive
		event := "dependency lost"
		if alive {
			event = "dependency regained"
		}
		x.Logger.Info().Str("dependency", "peer").Str("peer", name).Str("incarnation", p.Message.Incarnation).
			Dur("silent", now.Sub(p.Heard)).Msg(event)
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
		peers = append(peers, *p)
	}
	return peers
}

// Totals returns the sum of the newest reports of the other daemons. Callers
// must not change it.
func (x *Exchange) Totals() Report {
	x.mu.Lock()
	defer x.mu.Unlock()
	now := clock.Now()
	if now.Sub(x.summed) < totalsTime {
		return x.totals
	}
	x.summed, x.totals = now, newReport()
	for _, p := range x.peers {
		if now.Sub(p.Heard) <= reportTime {
			x.totals.add(p.Message.Report)
		}
	}
	return x.totals
}

// Live tells whether the peer spoke within the time in which it counts as live.
func (p Peer) Live(now clock.Instant) bool { return now.Sub(p.Heard) <= LiveTime }

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
	*reply = x.message(false)
	if v := x.Mirror.View(); m.Want && v.Revision > m.Revision {
		if reply.Changes, reply.Complete = v.Since(m.Revision); !reply.Complete {
			reply.Entries = v.Entries()
		}
		reply.Revision = v.Revision
	}
	return nil
}
