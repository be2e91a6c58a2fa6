package exchange

import (
	"slices"

	"rattanline.example/rattanline/clock"
	"rattanline.example/rattanline/mirror"
)

// The exchange has a hub-and-spoke topology. In a large fleet a few daemons of
// each failure domain are its hubs: each daemon calls the hubs of its own failure
// domain, and each hub also calls all other hubs and reports the aggregate of its
// failure domain, so that the number of calls per daemon does not grow with the
// fleet. In a small fleet each daemon is a hub that reports only itself.
const (
	// largeFleetSize is the number of daemons of the smallest large fleet.
	largeFleetSize = 16
	// hubsPerDomain is the number of hubs of a failure domain in a large fleet.
	hubsPerDomain = 2
	// pollerCount is the number of hubs in a large fleet that poll the key-value
	// service.
	pollerCount = 3
)

// isLarge reports whether the fleet is so large that only some daemons are hubs.
func (x *Exchange) isLarge() bool {
	return max(len(x.peers), len(x.Mirror.View().Members)-1)+1 >= largeFleetSize
}

// hubs returns the hubs of a failure domain, this daemon included if it is one.
// Daemons that are leaving, are not live or did not answer are skipped. Daemons
// without contact that the key-value service lists count as live until a call to
// them fails.
func (x *Exchange) hubs(domain string, now clock.Instant) []Status {
	var list []Status
	if self := x.self(); domain == self.Domain && !self.Leaving {
		list = append(list, self)
	}
	for _, p := range x.peers {
		if p.LastContact != 0 && p.Status.Domain == domain && !p.Status.Leaving && p.Live(now) && p.responsive(now) {
			list = append(list, p.Status)
		}
	}
	for name, m := range x.Mirror.View().Members {
		if p := x.peers[name]; name != x.Self.Name && m.Domain == domain && (p == nil || p.LastContact == 0 && p.responsive(now)) {
			list = append(list, Status{Member: m})
		}
	}
	slices.SortFunc(list, compareRank)
	return list[:min(len(list), hubsPerDomain)]
}

// isHub reports whether this daemon is a hub of its failure domain.
func (x *Exchange) isHub(now clock.Instant) bool {
	return slices.ContainsFunc(x.hubs(x.Self.Domain, now), func(s Status) bool { return s.Name == x.Self.Name })
}

// domains returns the failure domains of the known daemons in sorted order.
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

// IsHub reports whether this daemon is a hub. In a small fleet each daemon is one.
func (x *Exchange) IsHub() bool {
	x.mu.Lock()
	defer x.mu.Unlock()
	return !x.isLarge() || x.isHub(x.now())
}

// ShouldPoll reports whether this daemon should poll the key-value service. In a
// small fleet all daemons do. In a large fleet the pollerCount highest-ranked hubs
// that can reach it do, if possible in different failure domains. Higher-ranked
// hubs that cannot reach it keep trying. Without any hub all daemons poll.
func (x *Exchange) ShouldPoll() bool {
	x.mu.Lock()
	defer x.mu.Unlock()
	if !x.isLarge() {
		return true
	}
	now := x.now()
	var first, rest []Status
	for _, d := range x.domains() {
		if hubs := x.hubs(d, now); len(hubs) > 0 {
			first, rest = append(first, hubs[0]), append(rest, hubs[1:]...)
		}
	}
	slices.SortFunc(first, compareRank)
	slices.SortFunc(rest, compareRank)
	connected := 0
	for _, s := range append(first, rest...) {
		if s.Name == x.Self.Name {
			return true
		}
		if s.Connected {
			connected++
		}
		if connected == pollerCount {
			return false
		}
	}
	return len(first) == 0
}

// hubsInTurn returns the hubs to call in this round: one of this failure domain or, by a
// hub, also those of remoteHubs.
func (x *Exchange) hubsInTurn(now clock.Instant, kind roundKind) []Status {
	own := x.hubs(x.Self.Domain, now)
	if len(own) > 0 && !x.isHub(now) {
		return own[x.rounds%len(own):][:1]
	}
	return append(own, x.remoteHubs(now, kind)...) // own holds this daemon, which is not called, and the other hub
}

// addresses returns the names of the daemons to call in this round, by link
// address. The name of a seed is empty, since it is not known.
func (x *Exchange) addresses(now clock.Instant, kind roundKind) map[string]string {
	list := map[string]string{}
	add := func(s Status) {
		if s.Name != x.Self.Name && s.Link != "" && s.Link != x.Self.Link {
			list[s.Link] = s.Name
		}
	}
	if !x.isLarge() {
		for _, m := range x.Mirror.View().Members {
			add(Status{Member: m})
		}
		for _, p := range x.peers {
			add(p.Status)
		}
	} else {
		for _, s := range x.hubsInTurn(now, kind) {
			add(s)
		}
	}
	if len(list) == 0 {
		for _, s := range x.Seeds {
			add(Status{Member: mirror.Member{Link: s}})
		}
	}
	return list
}
