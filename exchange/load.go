package exchange

import (
	"slices"
	"time"

	"rattanline.example/rattanline/clock"
)

const (
	// reportTTL is the age above which a received report is ignored.
	reportTTL = 1500 * time.Millisecond
	// totalsTTL is how long a sum of reports is cached, since each request needs
	// it.
	totalsTTL = 50 * time.Millisecond
)

// Totals returns the sum of the newest reports of all other daemons. Callers
// must not modify it.
func (x *Exchange) Totals() Report {
	x.mu.Lock()
	defer x.mu.Unlock()
	return x.otherTotals(x.now())
}

func (x *Exchange) otherTotals(now clock.Instant) Report {
	if now.Sub(x.totalsAt) < totalsTTL {
		return x.totals
	}
	x.totalsAt = now
	switch {
	case !x.isLarge():
		x.totals = x.directTotals(now, func(Status) bool { return true })
	case x.isHub(now):
		x.totals = x.directTotals(now, x.sameDomain)
		for _, p := range x.newestGroups(now) {
			x.totals.add(p.group.Report)
		}
	default:
		x.totals = x.hubTotals(now)
	}
	return x.totals
}

// sameDomain reports whether a daemon is in the failure domain of this daemon.
func (x *Exchange) sameDomain(s Status) bool { return s.Domain == x.Self.Domain }

// directTotals sums the reports that the included peers sent about themselves.
func (x *Exchange) directTotals(now clock.Instant, include func(Status) bool) Report {
	sum := newReport()
	for _, p := range x.peers {
		if now.Sub(p.lastMessage) <= reportTTL && include(p.Status) {
			sum.add(p.report)
		}
	}
	return sum
}

// newestGroups returns, for each other failure domain, the hub whose report on it
// is the newest.
func (x *Exchange) newestGroups(now clock.Instant) map[string]*Peer {
	newest := map[string]*Peer{}
	for _, p := range x.peers {
		if p.group == nil || p.group.Domain == "" || p.group.Domain == x.Self.Domain || now.Sub(p.groupReceived) > reportTTL {
			continue
		}
		if o := newest[p.group.Domain]; o == nil || o.groupReceived < p.groupReceived {
			newest[p.group.Domain] = p
		}
	}
	return newest
}

// hubTotals returns the newest report of a hub on all other daemons, empty if
// there is none.
func (x *Exchange) hubTotals(now clock.Instant) Report {
	if p := x.newestFleetHub(now); p != nil {
		return p.group.Report
	}
	return newReport()
}

// newestFleetHub returns the hub that last sent a report on all other daemons.
func (x *Exchange) newestFleetHub(now clock.Instant) *Peer {
	var newest *Peer
	for _, p := range x.peers {
		if p.group != nil && p.group.Domain == "" && now.Sub(p.groupReceived) <= reportTTL && (newest == nil || newest.groupReceived < p.groupReceived) {
			newest = p
		}
	}
	return newest
}

// group aggregates the daemons of this failure domain for the other hubs.
func (x *Exchange) group(now clock.Instant, own Report) *Group {
	g := &Group{Domain: x.Self.Domain, Daemons: x.peers.recentDaemons(x.self(), now, x.sameDomain), Report: x.directTotals(now, x.sameDomain)}
	g.Report.add(own)
	g.Digest, g.Rooms = digest(g.Daemons), roomsOf(g.Daemons)
	return g
}

// fleet aggregates all daemons, without the load of the caller. It returns nil if
// this daemon is not a hub, although the caller takes it for one, and has no report
// of a hub.
func (x *Exchange) fleet(now clock.Instant, own Report, caller string) *Group {
	g := &Group{Report: newReport()}
	if x.isHub(now) {
		g.Daemons = x.peers.recentDaemons(x.self(), now, x.sameDomain)
	} else if p := x.newestFleetHub(now); p != nil {
		g.Daemons = slices.Clone(p.groupDaemons)
	} else {
		return nil
	}
	g.Report.add(x.otherTotals(now))
	g.Report.add(own)
	for _, p := range x.newestGroups(now) {
		g.Daemons = append(g.Daemons, p.groupDaemons...)
	}
	if p := x.peers[caller]; p != nil && x.sameDomain(p.Status) && now.Sub(p.lastMessage) <= reportTTL {
		g.Report = g.Report.without(p.report)
	}
	g.Digest, g.Rooms = digest(g.Daemons), roomsOf(g.Daemons)
	return g
}
