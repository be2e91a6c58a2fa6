package coordinator

import (
	"math/rand/v2"
	"time"

	"rattanline.example/rattanline/member"
	"rattanline.example/rattanline/usage"
)

const (
	// maxFailures is the number of consecutive heartbeats without a reply after
	// which the daemon looks for another coordinator. Fewer can be due to packet
	// loss on the link.
	maxFailures = 3
	// leaderRetry is how long a coordinator that didn't respond is not called.
	leaderRetry = time.Second
	// rankRetry is how long a candidate that didn't respond is skipped. It must
	// exceed the call timeouts of all unreachable candidates together, or the
	// first reachable one never takes over.
	rankRetry = 10 * time.Second
	// probeInterval is the interval at which a daemon without a coordinator
	// calls the coordinators of other domains and the configured peers, to find
	// the successor and new configuration.
	probeInterval = time.Second
)

// followerState is the state of a daemon as a follower of its domain's
// coordinator, which it calls the leader.
type followerState struct {
	leader       Contact
	lastAnswered time.Time // when the last answered heartbeat was sent
	failures     int       // consecutive heartbeats without a reply
	promise      member.Promise
	echo         Echo
	released     Contact // a former coordinator that no longer uses its follower leases
	releasedAt   time.Time
	source       usage.Source         // of the leader's aggregate
	seen         map[string]Seen      // by destination, see seenKey
	avoidedAt    map[string]time.Time // by link address, when it didn't respond or was no coordinator
	wantMember   bool                 // the leader requested this daemon's member entry
	wantTable    bool                 // the leader requested the table
	outdatedRun  string               // run of a coordinator that holds an older configuration
	wantVersion  uint64               // newest configuration version known to exist
	candidate    bool                 // no better ranked daemon responds
	startDelay   time.Duration
	lastProbe    time.Time
	probeIndex   int
	marksRun     string // coordinator's run that received the crash marks
	marksVersion uint64 // feed version of the crash marks that it received
}

func newFollowerState(now time.Time) followerState {
	return followerState{
		lastAnswered: now,
		seen:         map[string]Seen{},
		avoidedAt:    map[string]time.Time{},
		// Daemons that start together without a member table have no rank, so a
		// random delay separates their campaigns.
		startDelay: time.Duration(rand.Int64N(int64(time.Second))),
	}
}

// destination is where the next heartbeat goes.
type destination struct {
	address string
	contact Contact // set if the daemon is assumed to be the coordinator
	self    bool
	domain  string // of the daemon at the address, empty if unknown
}

// nextDestination returns where the next heartbeat goes, and false if there is
// no daemon to call.
func (n *Node) nextDestination(now time.Time) (destination, bool) {
	f := &n.follower
	if n.role != nil {
		return destination{contact: n.role.contact(n, now), self: true, domain: n.Self.Domain}, true
	}
	if f.leader.Name != "" && f.failures < maxFailures && !f.avoided(f.leader.Address, now, leaderRetry) {
		return destination{address: f.leader.Address, contact: f.leader, domain: n.Self.Domain}, true
	}
	if c, ok := n.alternativeLeader(now); ok {
		// One heartbeat without a reply is enough to try the next coordinator.
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

// alternativeLeader returns the coordinator of this domain to try next.
func (n *Node) alternativeLeader(now time.Time) (Contact, bool) {
	usable := contacts{}
	for name, c := range n.contacts {
		if name != n.Self.Name && !n.follower.avoided(c.Address, now, leaderRetry) {
			usable[name] = c
		}
	}
	return usable.best(n.Self.Domain, now)
}

// probeDestination returns the coordinators of other domains and the configured
// peers in turn, and false if there are none.
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

// firstCandidate returns the best ranked daemon of the domain that isn't known
// to be unresponsive. If that is this daemon, it becomes the candidate unless it
// is leaving, and the result is false. Without a table, and so without a rank,
// this daemon becomes a candidate after a delay, and the result is a destination
// to probe.
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
