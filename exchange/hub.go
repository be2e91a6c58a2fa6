package exchange

import (
	"slices"

	"rattanline.example/rattanline/clock"
	"rattanline.example/rattanline/mirror"
)

// In a large fleet a few daemons of each failure domain are its hubs. Each
// daemon talks to the hubs of its own failure domain, and hubs talk to all other
// hubs and speak for their domain, so that the calls of a daemon don't grow with
// the fleet. In a small fleet each daemon is a hub that speaks for itself.
const (
	// smallFleet is the number of daemons below which each is a hub.
	smallFleet = 16
	// hubsPerDomain is how many hubs a failure domain has in a large fleet.
	hubsPerDomain = 2
	// readers is how many hubs of the whole fleet poll the key-value service.
	readers = 3
)

// large tells that only some daemons are hubs.
func (x *Exchange) large() bool {
	return max(len(x.peers), len(x.Mirror.View().Members)-1)+1 >= smallFleet
}

// hubs returns the hubs of a failure domain, this daemon among them if it is
// one. Daemons that don't answer or are leaving are passed over; those that the
// key-value service lists are taken to live until they don't answer.
func (x *Exchange) hubs(domain string, now clock.Instant) []Status {
	var list []Status
	if self := x.self(); domain == self.Domain && !self.Leaving {
		list = append(list, self)
	}
	for _, p := range x.peers {
		if p.LastContact != 0 && p.Status.Domain == domain && !p.Status.Leaving && p.Live(now) && p.answering(now) {
			list = append(list, p.Status)
		}
	}
	for name, m := range x.Mirror.View().Members {
		if p := x.peers[name]; name != x.Self.Name && m.Domain == domain && (p == nil || p.LastContact == 0 && p.answering(now)) {
			list = append(list, Status{Member: m})
		}
	}
	slices.SortFunc(list, rank)
	return list[:min(len(list), hubsPerDomain)]
}

// isHub tells whether this daemon is a isHub of its failure domain.
func (x *Exchange) isHub(now clock.Instant) bool {
	return slices.ContainsFunc(x.hubs(x.Self.Domain, now), func(s Status) bool { return s.Name == x.Self.Name })
}

// domains returns the failure domains of the known daemons, in order.
func (x *Exchange) domains() []string {
	domains := []string{x.Self.Domain}
	add := func(d string) {
		if d != "" && !slices.Contains(domains, d) {
			domains = append(domains, d)
		}
	}
	for _, p := range x.peers {
		add(p.Status.Domain)
	}
	for _, m := range x.Mirror.View().Members {
		add(m.Domain)
	}
	slices.Sort(domains)
	return domains
}

// IsHub tells whether this daemon speaks for others, or the fleet is small.
func (x *Exchange) IsHub() bool {
	x.mu.Lock()
	defer x.mu.Unlock()
	return !x.large() || x.isHub(x.now())
}

// ShouldPoll tells whether this daemon polls the key-value service: in small fleets
// all do, in others the best hubs that reach it, each of another failure domain as
// far as possible. A better hub that doesn't reach it goes on trying.
func (x *Exchange) ShouldPoll() bool {
	x.mu.Lock()
	defer x.mu.Unlock()
	if !x.large() {
		return true
	}
	now := x.now()
	var first, rest []Status
	for _, d := range x.domains() {
		if hubs := x.hubs(d, now); len(hubs) > 0 {
			first, rest = append(first, hubs[0]), append(rest, hubs[1:]...)
		}
	}
	slices.SortFunc(first, rank)
	slices.SortFunc(rest, rank)
	connected := 0
	for _, s := range append(first, rest...) {
		if s.Name == x.Self.Name {
			return true
		}
		if s.Connected {
			connected++
		}
		if connected == readers {
			return false
		}
	}
	return len(first) == 0
}

// addresses returns the daemons to call in this round: names by link address,
// an empty name if it isn't known.
func (x *Exchange) addresses(now clock.Instant) map[string]string {
	list := map[string]string{}
	add := func(s Status) {
		if s.Name != x.Self.Name && s.Link != "" && s.Link != x.Self.Link {
			list[s.Link] = s.Name
		}
	}
	hubs := func(domain string) {
		for _, s := range x.hubs(domain, now) {
			add(s)
		}
	}
	if !x.large() {
		for _, m := range x.Mirror.View().Members {
			add(Status{Member: m})
		}
		for _, p := range x.peers {
			add(p.Status)
		}
	} else if hubs(x.Self.Domain); x.isHub(now) || len(list) == 0 {
		for _, d := range x.domains() {
			hubs(d)
		}
	}
	if len(list) == 0 {
		for _, s := range x.Seeds {
			add(Status{Member: mirror.Member{Link: s}})
		}
	}
	return list
}
