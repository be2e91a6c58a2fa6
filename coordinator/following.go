package coordinator

import (
	"math/rand/v2"
	"time"

	"rattanline.example/rattanline/member"
	"rattanline.example/rattanline/usage"
)

const (
	// failuresAllowed is how many heartbeats in a row may be lost on a link
	// with packet loss before the daemon looks for another coordinator.
	failuresAllowed = 3
	// leaderRetry is how long a coordinator that didn't respond is passed over.
	leaderRetry = time.Second
	// rankRetry is how long a daemon that didn't respond is passed over in the
	// rank. All daemons that are out of reach, and take the call timeout each,
	// must be found so within it, or the first reachable one never takes over.
	rankRetry = 10 * time.Second
	// probeInterval is the interval of calls to other domains by a daemon that
	// hears no coordinator, to learn the successor and of configuration.
	probeInterval = time.Second
)

// following is how a daemon follows the coordinator of its domain.
type following struct {
	leader     Contact
	heard      time.Time // when the last answered heartbeat was sent
	failed     int       // heartbeats lost in a row
	promise    member.Promise
	echo       Echo
	released   Contact // a former coordinator that uses its leases no longer
	releasedAt time.Time
	source     usage.Source // of the leader's aggregate
	seen       map[string]Seen
	avoid      map[string]time.Time // link addresses that didn't respond, when
	wantMember bool
	wantTable  bool
	want       uint64
	candidate  bool // no better ranked daemon responds
	startDelay time.Duration
	probed     time.Time
	probe      int
	marksTo    string
	marksSent  uint64
}

func newFollowing(now time.Time) following {
	return following{
		heard: now,
		seen:  map[string]Seen{},
		avoid: map[string]time.Time{},
		// Daemons that start together without a member table have no rank.
		startDelay: time.Duration(rand.Int64N(int64(time.Second))),
	}
}

// destination is where the next heartbeat goes.
type destination struct {
	address string
	contact Contact // set if it is believed to be the coordinator
	self    bool
	domain  string // of the daemon at the address, empty if not known
}

// next returns where the next heartbeat goes, false if there is nobody to call.
func (n *Node) next(now time.Time) (destination, bool) {
	f := &n.follow
	if n.role != nil {
		return destination{contact: n.role.contact(n, now), self: true, domain: n.Self.Domain}, true
	}
	if f.leader.Name != "" && f.failed < failuresAllowed && !f.avoided(f.leader.Address, now, leaderRetry) {
		return destination{address: f.leader.Address, contact: f.leader, domain: n.Self.Domain}, true
	}
	if c, ok := n.otherLeader(now); ok {
		f.leader, f.failed = c, failuresAllowed-1
		return destination{address: c.Address, contact: c, domain: n.Self.Domain}, true
	}
	if now.Sub(f.probed) >= probeInterval {
		f.probed = now
		if d, ok := n.outsider(); ok {
			return d, true
		}
	}
	return n.firstCandidate(now)
}

// otherLeader returns the coordinator of the own domain to try next.
func (n *Node) otherLeader(now time.Time) (Contact, bool) {
	usable := contacts{}
	for name, c := range n.contacts {
		if name != n.Self.Name && !n.follow.avoided(c.Address, now, leaderRetry) {
			usable[name] = c
		}
	}
	return usable.best(n.Self.Domain, now)
}

// outsider returns a daemon of another domain, or one of the peers, in turn.
func (n *Node) outsider() (destination, bool) {
	var all []destination
	for _, domain := range n.view.Load().Domains() {
		if c, ok := n.contacts.best(domain, time.Now()); ok && domain != n.Self.Domain {
			all = append(all, destination{address: c.Address, domain: domain})
		}
	}
	for _, p := range n.Peers {
		if p != n.Self.LinkAddress {
			all = append(all, destination{address: p})
		}
	}
	if len(all) == 0 {
		return destination{}, false
	}
	n.follow.probe++
	return all[n.follow.probe%len(all)], true
}

// firstCandidate returns the best ranked daemon of the domain that may respond.
// If that is this daemon, it becomes a candidate itself.
func (n *Node) firstCandidate(now time.Time) (destination, bool) {
	table, ok := n.view.Load().Tables[n.Self.Domain]
	if !ok {
		n.follow.candidate = now.Sub(n.started) >= n.CampaignAfter+n.follow.startDelay
		return n.outsider()
	}
	for _, m := range member.Rank("coordinator/"+n.Self.Domain, table.Live()) {
		if m.Name == n.Self.Name {
			break
		}
		if !n.follow.avoided(m.LinkAddress, now, rankRetry) {
			return destination{address: m.LinkAddress, domain: n.Self.Domain}, true
		}
	}
	n.follow.candidate = !n.leaving
	return destination{}, false
}

func (f *following) avoided(address string, now time.Time, retry time.Duration) bool {
	at, ok := f.avoid[address]
	return ok && now.Sub(at) < retry
}
