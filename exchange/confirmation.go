package exchange

import (
	"sync/atomic"
	"time"

	"rattanline.example/rattanline/clock"
)

// confirmTime is how long a daemon that has just started waits for its peers before it acts by the
// content of the key-value service.
const confirmTime = time.Second

// confirmation decides whether a daemon that has just started acts by the content of the key-value
// service. If the service came back from a copy a moment ago, its content is older than what the other
// daemons act by, so one of them is asked first. It answers the load of restarts in that moment, and
// costs other restarts one call.
type confirmation struct {
	confirmed atomic.Bool
	// since is when the daemon first had content, zero before.
	since clock.Instant
	// asked holds the addresses of the peers that were asked since, whether they answered or not.
	asked map[string]bool
}

// begin records that the daemon has content.
func (c *confirmation) begin(now clock.Instant) {
	if c.since == 0 {
		c.since, c.asked = now, map[string]bool{}
	}
}

// decide confirms the content if all known peers have been asked, which may be none, or the time for it
// has passed.
func (c *confirmation) decide(now clock.Instant, peers map[string]string) {
	all := true
	for address := range peers {
		all = all && c.asked[address]
	}
	if all || now.Sub(c.since) >= confirmTime {
		c.confirmed.Store(true)
	}
}

// Confirmed reports whether this daemon may act by the content of its mirror. A service that states no
// era doesn't come back from copies.
func (x *Exchange) Confirmed() bool {
	at := x.Mirror.View().Position
	return x.confirmation.confirmed.Load() || at.Revision > 0 && at.Era == 0
}

// decideConfirmation is called with the lock held. What was confirmed once stays so if the service
// begins to state an era.
func (x *Exchange) decideConfirmation(now clock.Instant) {
	c := &x.confirmation
	switch {
	case c.confirmed.Load() || x.Mirror.View().Position.Revision == 0:
	case x.Confirmed():
		c.confirmed.Store(true)
	default:
		c.begin(now)
		c.decide(now, x.addresses(now, roundKind{urgent: true}))
	}
}

// confirmBy records that a peer was asked, and its reply, nil if there was none. A peer that acts by
// a configuration, and reads the same era of the service, confirms the content.
func (x *Exchange) confirmBy(address string, reply *Message) {
	x.mu.Lock()
	defer x.mu.Unlock()
	at := x.Mirror.View().Position
	if x.Confirmed() || at.Revision == 0 || reply != nil && reply.Era < at.Era {
		return
	}
	c, now := &x.confirmation, x.now()
	c.begin(now)
	c.asked[address] = true
	if reply != nil && reply.Version > 0 {
		c.confirmed.Store(true)
	}
	x.decideConfirmation(now)
}

// version returns Message.Version of this daemon.
func (x *Exchange) version() uint64 {
	if v := x.Mirror.View(); v.Position.Era > 0 && x.Confirmed() {
		return v.Version()
	}
	return 0
}

// addNewerThanService adds to a reply what the caller can't read from the key-value service, because
// that came back from a copy and wasn't written again yet.
func (x *Exchange) addNewerThanService(call Message, reply *Message) {
	v := x.Mirror.View()
	if v.Position.Era == 0 || reply.Version == 0 {
		return
	}
	starting, behind := call.Version == 0, call.Version < reply.Version
	if e, isAhead := v.Configuration(); behind && (starting || isAhead || call.Era > v.Position.Era) {
		reply.Configuration = &e
	}
	if now := x.now(); starting || v.Settling(now) {
		reply.Carried = v.Carried(now)
	}
}
