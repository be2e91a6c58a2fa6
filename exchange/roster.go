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
	// LivenessTimeout is how long a peer counts as live after it was last heard of.
	LivenessTimeout = 2500 * time.Millisecond
	// listTime is how long after a peer's last message a hub lists it as live. It
	// leaves time for the list to reach the others within LiveTime.
	listTime = 1500 * time.Millisecond
	// directTime is how long a peer's own word goes before that of others.
	directTime = time.Second
	// forgetTime is how long a silent peer is counted among those that may send.
	forgetTime = 30 * time.Second
	// missedTime is how long a peer that did not answer is passed over.
	missedTime = 3 * time.Second
)

// Peer is another daemon as it is known here.
type Peer struct {
	Status Status
	// LastContact is when it was last heard of, by itself or by others.
	LastContact clock.Instant

	// spoke is when it last sent a message to this daemon, with its report.
	spoke  clock.Instant
	report Report
	// missed is when it last did not answer a call.
	missed clock.Instant
	// held is the digest of the list of daemons that the peer holds from here.
	held uint64
	// group is what the peer said as a hub, heardGroup when; listed holds the
	// daemons of its last list, whose digest is listedAs.
	group      *Group
	heardGroup clock.Instant
	listed     []Status
	listedAs   uint64
}

// Live tells whether the peer was heard of within the time in which it counts as
// live.
func (p Peer) Live(now clock.Instant) bool { return now.Sub(p.LastContact) <= LivenessTimeout }

// answering tells that nothing speaks against calling the peer.
func (p *Peer) answering(now clock.Instant) bool {
	return p.missed == 0 || now.Sub(p.missed) > missedTime || p.spoke > p.missed
}

// roster holds the known peers by name.
type roster map[string]*Peer

func (r roster) get(name string) *Peer {
	p := r[name]
	if p == nil {
		p = &Peer{}
		r[name] = p
	}
	return p
}

// heardOf takes what another daemon says of a peer.
func (r roster) heardOf(s Status, self string, now clock.Instant) {
	if s.Name == "" || s.Name == self {
		return
	}
	p := r.get(s.Name)
	p.LastContact = max(p.LastContact, now)
	if now.Sub(p.spoke) > directTime {
		p.Status = s
	}
}

// forget drops peers that were silent for long.
func (r roster) forget(now clock.Instant) {
	for name, p := range r {
		if now.Sub(max(p.LastContact, p.missed)) > forgetTime {
			delete(r, name)
		}
	}
}

// rank orders daemons so that all agree on it: those on large machines first,
// because they are the ones with time to spare for others.
func rank(a, b Status) int {
	if c := cmp.Compare(b.Cores, a.Cores); c != 0 {
		return c
	}
	return cmp.Compare(xxhash.Sum64String(a.Name), xxhash.Sum64String(b.Name))
}

// digest tells lists of daemons apart.
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

// listed returns the daemons that spoke lately and for which include holds, and
// this one, in a fixed order.
func (r roster) listed(self Status, now clock.Instant, include func(Status) bool) []Status {
	list := []Status{self}
	for _, p := range r {
		if now.Sub(p.spoke) <= listTime && include(p.Status) {
			list = append(list, p.Status)
		}
	}
	slices.SortFunc(list, func(a, b Status) int { return cmp.Compare(a.Name, b.Name) })
	return list
}
