package exchange

import (
	"time"

	"rattanline.example/rattanline/clock"
)

// Bytes between failure domains are expensive, and in a large fleet most of them would be reports
// of hubs: the work at each target, several times a second. Hubs of different failure domains
// therefore compress their links, and don't call a domain whose report just arrived with a call
// from there.

// newGroupFraction is the age of a report, as a fraction of the interval between two rounds, up to
// which its failure domain isn't called.
const newGroupFraction = 0.75

// roundKind is what the calls of a round depend on besides the state of the exchange.
type roundKind struct {
	// urgent rounds announce a change.
	urgent bool
	// polling is what Exchange.Polling returns.
	polling bool
}

// Compresses reports whether the link to the address is compressed: it leads to another failure
// domain of a large fleet, and to a daemon that accepts that.
func (x *Exchange) Compresses(address string) bool {
	x.mu.Lock()
	defer x.mu.Unlock()
	if !x.isLarge() {
		return false
	}
	for _, p := range x.peers {
		if p.Status.Link == address {
			return p.Status.Compression && p.Status.Domain != x.Self.Domain
		}
	}
	for _, m := range x.Mirror.View().Members {
		if m.Link == address {
			return m.Compression && m.Domain != x.Self.Domain
		}
	}
	return false
}

// remoteHubs returns the hubs of the other failure domains to call in this round, one of each
// domain. A domain whose report is new is left out, unless the round is urgent. A daemon that
// gets the content of the key-value service from its peers calls all domains: the content is only
// in replies, and any domain may be the first to have a change.
func (x *Exchange) remoteHubs(now clock.Instant, kind roundKind) []Status {
	fresh := time.Duration(newGroupFraction * float64(x.interval(now)))
	groups := x.newestGroups(now)
	var list []Status
	for _, d := range x.domains() {
		hubs := x.hubs(d, now)
		if d == x.Self.Domain || len(hubs) == 0 {
			continue
		}
		p := groups[d]
		isNew := p != nil && now.Sub(p.groupReceived) < fresh
		if isNew && kind.polling && !kind.urgent {
			continue
		}
		list = append(list, hubs[x.rounds%len(hubs)])
	}
	return list
}
