package coordinator

import (
	"math/rand/v2"
	"time"

	"rattanline.example/rattanline/member"
	"rattanline.example/rattanline/usage"
)

const (
	// maxFailures is how many heartbeats in a row may be lost on a link
	// with packet loss before the daemon looks for another coordinator.
	maxFailures = 3
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

// followerState is how a daemon follows the coordinator of its domain.
type followerState struct {
	leader       Contact
	lastAnswered time.Time // when the last answered heartbeat was sent
	failures     int       // heartbeats lost in a row
	promise      member.Promise
	echo         Echo
	released     Contact // a former coordinator that uses its leases no longer
	releasedAt   time.Time
	source       usage.Source // of the leader's aggregate
	seen         map[string]Seen
	avoidedAt    map[string]time.Time // link addresses that didn't respond, when
	wantMember   bool
	wantTable    bool
	outdatedRun  string // run of a coordinator that holds an older configuration
	wantVersion  uint64
	candidate    bool // no better ranked daemon responds
	startDelay   time.Duration
	lastProbe    time.Time
	probeIndex   int
	marksRun     string
	marksVersion uint64
}

func newFollowerState(now time.Time) followerState {
	return followerState{
		lastAnswered: now,
		seen:         map[string]Seen{},
		avoidedAt:    map[string]time.Time{},
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

// nextDestination returns where the nextDestination heartbeat goes, false if there is nobody to call.
func (n *Node) nextDestination(now time.Time) (destination, bool) {
	f := &n.follower
	if n.role != nil {
		return destination{contact: n.role.contact(n, now), self: true, domain: n.Self.Domain}, true
	}
	if f.leader.Name != "" && f.failures < maxFailures && !f.avoided(f.leader.Address, now, leaderRetry) {
		return destination{address: f.leader.Address, contact: f.leader, domain: n.Self.Domain}, true
	}
	if c, ok := n.alternativeLeader(now); ok {
		f.leader, f.failures = c, maxFailures-1
		return destination{address: c.Address, contact: c, domain: n.Self.Domain}, true
	}
	if now.Sub(f.lastProbe) >= probeInterval {
		f.lastProbe = now
		if d, ok := n.probeDestination(); ok {
			return d, true
		}
	}
	return n.firstCandidate(now)
}

// alternativeLeader returns the coordinator of the own domain to try next.
func (n *Node) alternativeLeader(now time.Time) (Contact, bool) {
	usable := contacts{}
	for name, c := range n.contacts {
		if name != n.Self.Name && !n.follower.avoided(c.Address, now, leaderRetry) {
			usable[name] = c
		}
	}
	return usable.best(n.Self.Domain, now)
}

// probeDestination returns a daemon of another domain, or one of the peers, in turn.
func (n *Node) probeDestination() (destination, bool) {
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
	n.follower.probeIndex++
	return all[n.follower.probeIndex%len(all)], true
}

// firstCandidate returns the best ranked daemon of the domain that may respond.
// If that is this daemon, it becomes a candidate itself.
func (n *Node) firstCandidate(now time.Time) (destination, bool) {
	table, ok := n.view.Load().Tables[n.Self.Domain]
	if !ok {
		n.follower.candidate = now.Sub(n.started) >= n.CampaignAfter+n.follower.startDelay
		return n.probeDestination()
	}
	for _, m := range member.Rank("coordinator/"+n.Self.Domain, table.Live()) {
		if m.Name == n.Self.Name {
			break
		}
		if !n.follower.avoided(m.LinkAddress, now, rankRetry) {
			return destination{address: m.LinkAddress, domain: n.Self.Domain}, true
		}
	}
	n.follower.candidate = !n.leaving
	return destination{}, false
}

func (f *followerState) avoided(address string, now time.Time, retry time.Duration) bool {
	at, ok := f.avoidedAt[address]
	return ok && now.Sub(at) < retry
}
