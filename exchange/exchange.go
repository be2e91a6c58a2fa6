package exchange

import (
	"context"
	"math"
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
	// Interval is the pause between two rounds of calls in a small fleet, and the longest
	// one in a large fleet. A random delay of up to an eighth of it is added.
	Interval = 400 * time.Millisecond
	// minLargeFleetInterval is the shortest pause between two rounds in a large fleet, where
	// a report passes through up to two hubs until it arrives.
	minLargeFleetInterval = 100 * time.Millisecond
	// maxHubCallRate is the number of calls per second and core of its host that the daemons
	// of its failure domain make to a hub if Interval allows.
	maxHubCallRate = 250
	// maxReportedTargetRate is the number of targets per second whose work is reported in
	// the messages of one call after the other if Interval allows, as their size grows with
	// the number of targets.
	maxReportedTargetRate = 1500
	// minInterval is the minimum pause between two rounds, also if Announce was
	// called.
	minInterval = 50 * time.Millisecond
	// callTimeout bounds one call to a peer.
	callTimeout = 800 * time.Millisecond
	// maxProofAge is the time since this daemon's mirror was known to be complete
	// above which it asks its peers for changes.
	maxProofAge = 1500 * time.Millisecond
)

// Exchange exchanges messages with peers. The exported fields are set before Run.
type Exchange struct {
	Self   mirror.Member
	Link   port.Link
	Mirror *mirror.Mirror
	Marks  *quarantine.Registry
	// Segments may be nil.
	Segments *quarantine.Segments
	// Seeds are the link addresses to call while no peer is known.
	Seeds []string
	// Status reports whether this daemon is ready and whether it is leaving.
	Status func() (ready, leaving bool)
	// Room returns the processor time that this daemon's host has left; nil if it isn't measured.
	Room func() Room
	// Report returns the load of this daemon.
	Report func() Report
	// Polling reports whether this daemon polls the key-value service. A daemon
	// that does not poll asks its peers for changes in each round.
	Polling func() bool
	// Connected reports whether the last call to the key-value service succeeded.
	Connected func() bool
	Logger    zerolog.Logger

	now   func() clock.Instant // replaced in tests
	mu    sync.Mutex
	peers peerTable
	wake  chan struct{}
	// rounds counts the rounds of calls.
	rounds int
	// live holds the last logged liveness by name of the peer.
	live map[string]bool
	// totals is the sum of the reports of other daemons, as computed at totalsAt.
	totals   Report
	totalsAt clock.Instant

	confirmation confirmation
}

func (x *Exchange) init() {
	x.mu.Lock()
	defer x.mu.Unlock()
	if x.peers == nil {
		if x.now == nil {
			x.now = clock.Now
		}
		x.peers, x.wake = peerTable{}, make(chan struct{}, 1)
		x.live = map[string]bool{}
	}
}

// Run calls peers until the context ends.
func (x *Exchange) Run(ctx context.Context) error {
	x.init()
	for urgent := true; ctx.Err() == nil; {
		pause := x.round(ctx, urgent)
		select {
		case <-ctx.Done():
		case <-time.After(minInterval):
		}
		select {
		case <-ctx.Done():
		case <-x.wake:
			urgent = true
		case <-time.After(pause - minInterval + time.Duration(rand.Int64N(int64(pause/8)))):
			urgent = false
		}
	}
	return nil
}

// SetSeeds replaces Seeds. It is safe to call during Run.
func (x *Exchange) SetSeeds(seeds []string) {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.Seeds = seeds
}

// Announce starts the next round as soon as minInterval has passed since the last
// round. It is called after changes that the other daemons should receive soon.
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

// round starts the calls of one round and drops peers that were silent for longer
// than peerRetention. It returns the pause until the next round. An urgent round announces a
// change.
func (x *Exchange) round(ctx context.Context, urgent bool) time.Duration {
	kind := roundKind{urgent: urgent, polling: x.Polling()} // Polling may call this exchange
	x.mu.Lock()
	now := x.now()
	x.peers.evict(now)
	list, pause := x.addresses(now, kind), x.interval(now)
	x.rounds++
	x.logLiveness(now)
	x.decideConfirmation(now)
	x.mu.Unlock()
	for address, name := range list {
		go func() {
			x.confirmBy(address, x.call(ctx, address, name))
		}()
	}
	return pause
}

// hubCallRate returns how many calls per second may be made to the hubs together, given the
// one on the smallest host. It returns zero if there is none.
func hubCallRate(hubs []Status) float64 {
	smallest := math.Inf(1)
	for _, s := range hubs {
		cores := s.Cores
		if cores <= 0 {
			cores = 1 // not known
		}
		smallest = min(smallest, cores)
	}
	if len(hubs) == 0 {
		return 0
	}
	return maxHubCallRate * smallest * float64(len(hubs))
}

// interval returns the pause between two rounds.
func (x *Exchange) interval(now clock.Instant) time.Duration {
	rate := hubCallRate(x.hubs(x.Self.Domain, now))
	if !x.isLarge() || rate == 0 {
		return Interval
	}
	daemons := 1
	for _, p := range x.peers {
		if p.Status.Domain == x.Self.Domain {
			daemons++
		}
	}
	byCalls := float64(daemons) / rate
	byTargets := float64(len(x.Mirror.View().Targets)) / maxReportedTargetRate
	pause := time.Duration(max(byCalls, byTargets) * float64(time.Second))
	return min(max(pause, minLargeFleetInterval), Interval)
}

// call sends this daemon's message to a peer, processes the reply and returns it, nil if there is
// none. A slow call may overlap with the next round.
func (x *Exchange) call(ctx context.Context, address, name string) *Message {
	limited, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	sentAt := x.now()
	message := x.newMessage(!x.Polling() || x.Mirror.Age(sentAt) > maxProofAge, name)
	var reply Message
	if err := x.Link.Call(limited, address, Service+".Swap", message, &reply); err != nil {
		x.recordFailure(ctx, name, err)
		return nil
	}
	x.receive(reply, sentAt, true)
	return &reply
}

// recordFailure records that a peer did not answer, so that another is chosen as
// hub.
func (x *Exchange) recordFailure(ctx context.Context, name string, err error) {
	if name == "" || ctx.Err() != nil {
		return
	}
	x.mu.Lock()
	defer x.mu.Unlock()
	now := x.now()
	p := x.peers.getOrCreate(name)
	if p.responsive(now) {
		x.Logger.Info().Err(err).Str("dependency", "peer").Str("peer", name).Dur("silent", now.Sub(p.lastMessage)).Msg("peer does not answer")
	}
	p.lastFailure = now
}

// self returns the status of this daemon.
func (x *Exchange) self() Status {
	s := Status{Member: x.Self, Connected: x.Connected()}
	s.Ready, s.Leaving = x.Status()
	if x.Room != nil {
		s.Room = x.Room()
	}
	return s
}

// newMessage returns the message of this daemon to a peer.
func (x *Exchange) newMessage(want bool, to string) Message {
	now := x.now()
	at, age := x.Mirror.Proof(now)
	m := Message{
		Era: at.Era, Revision: at.Revision, ProofAge: age, Want: want, Version: x.version(),
		Report: x.Report(),
	}
	if x.Segments != nil {
		m.Segments, m.SegmentsDigest = x.Segments.Marks(now)
	}
	x.mu.Lock()
	defer x.mu.Unlock()
	m.From = x.self()
	if x.isLarge() && x.isHub(now) {
		m.Group = x.group(now, m.Report)
	}
	x.omitHeldList(m.Group, to)
	p := x.peers[to]
	x.addMarks(&m, p)
	if p != nil {
		m.Held = p.groupDigest
	}
	if p != nil && p.segmentsDigest == m.SegmentsDigest {
		m.Segments = quarantine.SegmentMarks{}
	}
	return m
}

// omitHeldList drops the list of daemons from g if the receiver already holds it.
func (x *Exchange) omitHeldList(g *Group, to string) {
	if p := x.peers[to]; g != nil && p != nil && p.heldDigest == g.Digest {
		g.Daemons = nil
	}
}

// receive merges a message of a peer into the state of this daemon. The content of
// the key-value service is adopted only from replies, because m.ProofAge counts
// back from sentAt, when this daemon sent the call.
func (x *Exchange) receive(m Message, sentAt clock.Instant, isReply bool) {
	now := x.now()
	if m.From.Name == "" || m.From.Name == x.Self.Name {
		return
	}
	x.Mirror.LearnEra(m.Era)
	learned := x.Marks.Merge(time.Now(), m.Marks)
	learned = x.Segments != nil && x.Segments.Merge(now, m.Segments) || learned
	if isReply {
		proof := min(sentAt.Add(-m.ProofAge), now) // no mirror is known to be complete in the future
		x.Mirror.Adopt(m.content(), proof)
	}
	x.mu.Lock()
	defer x.mu.Unlock()
	p := x.peers.getOrCreate(m.From.Name)
	if (learned || p.Status.withoutRoom() != m.From.withoutRoom()) && x.isLarge() && x.isHub(now) {
		x.announce() // passes the change on without waiting for Interval
	}
	p.segmentsDigest = m.SegmentsDigest
	p.marks = m.knownMarks()
	p.Status, p.LastContact, p.lastMessage, p.report, p.heldDigest = m.From, now, now, m.Report, m.Held
	g := m.Group
	if m.Fleet != nil {
		g = m.Fleet
	}
	if p.group, p.groupReceived = g, now; g == nil {
		return
	}
	if g.Daemons != nil {
		p.groupDaemons, p.groupDigest = g.Daemons, g.Digest
	}
	if g.Digest != p.groupDigest {
		return // The peer sends the list with its next message.
	}
	x.peers.updateRooms(p, g.Rooms, x.Self.Name, now)
}

// logLiveness logs changes in the liveness of peers from which this daemon
// received a message.
func (x *Exchange) logLiveness(now clock.Instant) {
	for name, p := range x.peers {
		alive := p.Live(now)
		if alive == x.live[name] || p.lastMessage == 0 {
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

// Peers returns the peers with at least one contact, including silent peers that
// are not evicted yet.
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

// Receiver serves the calls of other daemons.
type Receiver struct{ exchange *Exchange }

// Receiver returns the receiver to register at the link server under Service.
func (x *Exchange) Receiver() *Receiver {
	x.init()
	return &Receiver{exchange: x}
}

// Swap merges a peer's message and replies with the message of this daemon.
func (r *Receiver) Swap(m Message, reply *Message) error {
	x := r.exchange
	x.receive(m, 0, false)
	*reply = x.newMessage(false, m.From.Name)
	if v := x.Mirror.View(); m.Want && v.Position.After(m.position()) {
		if reply.Changes, reply.Complete = v.Since(m.position(), x.now()); !reply.Complete {
			reply.Entries = v.Entries()
		}
		reply.Era, reply.Revision = v.Position.Era, v.Position.Revision
	}
	x.addNewerThanService(m, reply)
	x.mu.Lock()
	defer x.mu.Unlock()
	if m.Group == nil && x.isLarge() {
		reply.Fleet = x.fleet(x.now(), reply.Report, m.From.Name)
		x.omitHeldList(reply.Fleet, m.From.Name)
		reply.Group = nil
	}
	return nil
}
