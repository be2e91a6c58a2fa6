package exchange

import (
	"cmp"
	"encoding/binary"
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"rattanline.example/rattanline/clock"
)

const (
	// LivenessTimeout is how long a peer counts as live after the last contact.
	LivenessTimeout = 2500 * time.Millisecond
	// listTTL is how long after a peer's last message a hub lists it as live. The
	// list then still reaches the other daemons within LivenessTimeout.
	listTTL = 1500 * time.Millisecond
	// directStatusTTL is how long the status that a peer sent itself takes precedence
	// over its status in the lists of hubs.
	directStatusTTL = time.Second
	// peerRetention is how long a peer is kept after its last contact or failed call,
	// since a silent peer may still send messages. It counts in the fleet size until
	// then.
	peerRetention = 30 * time.Second
	// callFailureBackoff is how long a peer is skipped in the choice of hubs after a
	// failed call.
	callFailureBackoff = 3 * time.Second
)

// Peer is what this daemon knows of another daemon.
type Peer struct {
	Status Status
	// LastContact is when this daemon last received a message from the peer, or a
	// list of daemons that contains it.
	LastContact clock.Instant

	// lastMessage is when this daemon last received a message from the peer.
	lastMessage clock.Instant
	report      Report
	// lastFailure is when a call to the peer last failed.
	lastFailure clock.Instant
	// heldDigest is the digest of the list of daemons that the peer last received
	// from this daemon.
	heldDigest uint64
	// group is what the peer last reported as a hub, nil if it reported only
	// itself.
	group         *Group
	groupReceived clock.Instant
	// segmentsDigest is the digest of what the peer last knew against prompt segments.
	segmentsDigest uint64
	// marks is what the peer last stated about the crash marks that it knows.
	marks knownMarks
	// groupDaemons is the last list of daemons received from the peer, groupDigest
	// its digest.
	groupDaemons []Status
	groupDigest  uint64
}

// Live reports whether the last contact with the peer is within LivenessTimeout.
func (p Peer) Live(now clock.Instant) bool { return now.Sub(p.LastContact) <= LivenessTimeout }

// responsive reports whether no call to the peer failed within callFailureBackoff,
// or the peer sent a message after the failure.
func (p *Peer) responsive(now clock.Instant) bool {
	return p.lastFailure == 0 || now.Sub(p.lastFailure) > callFailureBackoff || p.lastMessage > p.lastFailure
}

// peerTable holds the known peers by name.
type peerTable map[string]*Peer

func (t peerTable) getOrCreate(name string) *Peer {
	p := t[name]
	if p == nil {
		p = &Peer{}
		t[name] = p
	}
	return p
}

// recordStatus records a peer in the list of a hub as a contact. It adopts the
// peer's status from the list unless the peer itself sent a message within
// directStatusTTL.
func (t peerTable) recordStatus(s Status, self string, now clock.Instant) {
	if s.Name == "" || s.Name == self {
		return
	}
	p := t.getOrCreate(s.Name)
	p.LastContact = max(p.LastContact, now)
	if now.Sub(p.lastMessage) > directStatusTTL {
		p.Status = s
	}
}

// evict drops peers without contact or failed call within peerRetention.
func (t peerTable) evict(now clock.Instant) {
	for name, p := range t {
		if now.Sub(max(p.LastContact, p.lastFailure)) > peerRetention {
			delete(t, name)
		}
	}
}

// compareRank orders daemons by their preference as hubs. All daemons compute the
// same order: the most cores first, since those have spare processor time, then
// by hash of the name.
func compareRank(a, b Status) int {
	if c := cmp.Compare(b.Cores, a.Cores); c != 0 {
		return c
	}
	return cmp.Compare(xxhash.Sum64String(a.Name), xxhash.Sum64String(b.Name))
}

// digest returns a hash of a list of daemons, by which changes of the list are
// detected.
func digest(list []Status) uint64 {
	d := xxhash.New()
	for _, s := range list {
		for _, field := range []string{s.Name, s.Incarnation, s.Link, s.Frontend, s.Domain} {
			_, _ = d.WriteString(field)
			_, _ = d.Write([]byte{0})
		}
		flags := byte(0)
		if s.Ready {
			flags |= 1
		}
		if s.Leaving {
			flags |= 2
		}
		if s.Connected {
			flags |= 4
		}
		_, _ = d.Write(append(binary.BigEndian.AppendUint64(nil, math.Float64bits(s.Cores)), flags))
	}
	return d.Sum64()
}

// recentDaemons returns this daemon and the included daemons whose last message is
// at most listTTL old, in order of their names.
func (t peerTable) recentDaemons(self Status, now clock.Instant, include func(Status) bool) []Status {
	list := []Status{self}
	for _, p := range t {
		if now.Sub(p.lastMessage) <= listTTL && include(p.Status) {
			list = append(list, p.Status)
		}
	}
	slices.SortFunc(list, func(a, b Status) int { return cmp.Compare(a.Name, b.Name) })
	return list
}
