package exchange

import (
	"slices"
	"time"

	"rattanline.example/rattanline/clock"
)

const (
	// reportTime is how long a report counts.
	reportTime = 1500 * time.Millisecond
	// totalsTime is how long a sum of reports is used: each request asks for it.
	totalsTime = 100 * time.Millisecond
)

// Totals returns the sum of the newest reports of the other daemons. Callers
// must not change it.
func (x *Exchange) Totals() Report {
	x.mu.Lock()
	defer x.mu.Unlock()
	return x.others(x.now())
}

func (x *Exchange) others(now clock.Instant) Report {
	if now.Sub(x.summed) < totalsTime {
		return x.totals
	}
	x.summed = now
	switch {
	case !x.large():
		x.totals = x.direct(now, func(Status) bool { return true })
	case x.isHub(now):
		x.totals = x.direct(now, x.near)
		for _, p := range x.groups(now) {
			x.totals.add(p.group.Report)
		}
	default:
		x.totals = x.told(now)
	}
	return x.totals
}

// near tells that a daemon is of this failure domain.
func (x *Exchange) near(s Status) bool { return s.Domain == x.Self.Domain }

// direct sums up what peers said of themselves.
func (x *Exchange) direct(now clock.Instant, include func(Status) bool) Report {
	sum := newReport()
	for _, p := range x.peers {
		if now.Sub(p.spoke) <= reportTime && include(p.Status) {
			sum.add(p.report)
		}
	}
	return sum
}

// groups returns the hub of each other failure domain that spoke for it last.
func (x *Exchange) groups(now clock.Instant) map[string]*Peer {
	newest := map[string]*Peer{}
	for _, p := range x.peers {
		if p.group == nil || p.group.Domain == "" || p.group.Domain == x.Self.Domain || now.Sub(p.heardGroup) > reportTime {
			continue
		}
		if o := newest[p.group.Domain]; o == nil || o.heardGroup < p.heardGroup {
			newest[p.group.Domain] = p
		}
	}
	return newest
}

// told returns what the hubs last told of all other daemons.
func (x *Exchange) told(now clock.Instant) Report {
	if p := x.teller(now); p != nil {
		return p.group.Report
	}
	return newReport()
}

// teller returns the hub that last told of all other daemons.
func (x *Exchange) teller(now clock.Instant) *Peer {
	var newest *Peer
	for _, p := range x.peers {
		if p.group != nil && p.group.Domain == "" && now.Sub(p.heardGroup) <= reportTime && (newest == nil || newest.heardGroup < p.heardGroup) {
			newest = p
		}
	}
	return newest
}

// group sums up the daemons of this failure domain, for other hubs.
func (x *Exchange) group(now clock.Instant, own Report) *Group {
	g := &Group{Domain: x.Self.Domain, Daemons: x.peers.listed(x.self(), now, x.near), Report: x.direct(now, x.near)}
	g.Report.add(own)
	g.Digest = digest(g.Daemons)
	return g
}

// fleet sums up all daemons but the caller; it returns nil if this daemon, which
// the caller takes for a hub, doesn't know them.
func (x *Exchange) fleet(now clock.Instant, own Report, caller string) *Group {
	g := &Group{Report: newReport()}
	if x.isHub(now) {
		g.Daemons = x.peers.listed(x.self(), now, x.near)
	} else if p := x.teller(now); p != nil {
		g.Daemons = slices.Clone(p.listed)
	} else {
		return nil
	}
	g.Report.add(x.others(now))
	g.Report.add(own)
	for _, p := range x.groups(now) {
		g.Daemons = append(g.Daemons, p.listed...)
	}
	if p := x.peers[caller]; p != nil && x.near(p.Status) && now.Sub(p.spoke) <= reportTime {
		g.Report = g.Report.without(p.report)
	}
	g.Digest = digest(g.Daemons)
	return g
}
