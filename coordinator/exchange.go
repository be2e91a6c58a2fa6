package coordinator

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"rattanline.example/rattanline/usage"
)

// peer is the state of the exchange with another coordinator.
type peer struct {
	received       Seen      // last version of the peer's feed that was applied
	acknowledged   Seen      // last version of this daemon's feed that the peer applied
	heldUsage      usage.Ack // version of this domain's totals that the peer holds
	version        uint64    // of the configuration that the peer holds
	versionKnown   bool
	calling        bool
	waitingCleared bool // the waiting requests of its domain were cleared
}

// exchange calls the other coordinators. Of two domains, the one with the lower
// name calls, because the reply carries the other domain's report. The other
// coordinator calls only after 5 intervals without contact, and so does each of
// two coordinators of one domain.
func (n *Node) exchange(ctx context.Context) {
	n.mu.Lock()
	defer n.mu.Unlock()
	ro, now := n.role, time.Now()
	if ro == nil {
		return
	}
	for name, c := range n.contacts {
		if name == n.Self.Name {
			continue
		}
		sinceContact := now.Sub(c.lastContact)
		n.clearSilentDomain(ro, c, sinceContact)
		calls := n.Self.Domain < c.Domain || sinceContact > 5*n.Interval
		// A coordinator that doesn't respond is called less often, down to once
		// in 2 s.
		pause := now.Sub(c.lastCall) < min(sinceContact/4, 2*time.Second)
		if c.peer.calling || !calls || pause {
			continue
		}
		c.peer.calling, c.lastCall = true, now
		args := n.exchangeArgs(ro, c, now)
		n.exchanges.Go(func() { n.exchangeWith(ctx, ro, c, args) })
	}
}

func (n *Node) exchangeArgs(ro *role, c *contact, now time.Time) ExchangeArgs {
	args := ExchangeArgs{
		From:    ro.contact(n, now),
		Seen:    c.peer.received,
		Version: n.doc.Load().Version,
		Feed:    n.feedFor(c.peer.acknowledged, c.peer.version, true),
		Held:    ro.aggregate.DomainAck(c.Domain),
	}
	if !c.peer.versionKnown {
		// The peer's configuration version isn't known before the first reply, so
		// the configuration isn't sent yet.
		args.Feed.Configuration, args.Feed.Change = nil, nil
	}
	if ro.restored && c.Domain != n.Self.Domain {
		args.Usage = usage.DomainReport{Domain: n.Self.Domain, Report: ro.aggregate.DomainReport(c.peer.heldUsage)}
	}
	return args
}

func (n *Node) exchangeWith(ctx context.Context, ro *role, c *contact, args ExchangeArgs) {
	ctx, cancel := context.WithTimeout(ctx, n.CallTimeout)
	defer cancel()
	var reply ExchangeReply
	n.mu.Lock()
	address := c.Address
	n.mu.Unlock()
	err := n.Link.Call(ctx, address, "Coordinator.Exchange", args, &reply)
	n.mu.Lock()
	c.peer.calling = false
	if err != nil || n.role != ro {
		n.mu.Unlock()
		return
	}
	n.applyExchange(ro, reply.ExchangeArgs, time.Now())
	n.mu.Unlock()
	n.mergeMarks(reply.Feed.Marks)
}

// applyExchange applies the report of another coordinator. The caller holds the
// lock.
func (n *Node) applyExchange(ro *role, args ExchangeArgs, now time.Time) {
	n.apply(args.Feed)
	if !args.From.isComplete() {
		// The sender is no longer coordinator. Its feed contains the successor, if
		// it knows one.
		return
	}
	n.updateContact(args.From, true)
	c := n.contacts[args.From.Name]
	c.peer.received = Seen{Incarnation: args.Feed.Incarnation, Version: args.Feed.Version}
	c.peer.acknowledged, c.peer.heldUsage, c.peer.version = args.Seen, args.Held, args.Version
	c.peer.versionKnown = true
	if args.From.Domain == n.Self.Domain {
		n.resolveConflict(args.From, now)
		return
	}
	n.noteOutsideContact(now)
	best, _ := n.contacts.best(args.From.Domain, now)
	if args.Usage.Domain == args.From.Domain && best.Name == args.From.Name {
		// Only one coordinator's totals are applied for a partitioned domain,
		// because both contain the totals from before the partition.
		ro.aggregate.ApplyDomain(args.Usage)
		c.peer.waitingCleared = false
	}
}

// clearSilentDomain clears the waiting requests of a domain whose coordinator
// doesn't respond, so that its accounts don't delay accounts that can be served.
func (n *Node) clearSilentDomain(ro *role, c *contact, sinceContact time.Duration) {
	if sinceContact < contactFreshness || c.peer.waitingCleared || c.Domain == n.Self.Domain {
		return
	}
	if best, _ := n.contacts.best(c.Domain, time.Now()); best.Name == c.Name {
		c.peer.waitingCleared = true
		ro.aggregate.ClearDomainWaiting(c.Domain)
	}
}

// Exchange applies the report of another coordinator and replies with this
// daemon's report. A daemon that isn't coordinator replies only with its feed
// and configuration version.
func (r *Receiver) Exchange(args ExchangeArgs, reply *ExchangeReply) error {
	if !args.From.isComplete() {
		return errors.Errorf("exchange from %q of failure domain %q", args.From.Name, args.From.Domain)
	}
	if r.handleExchange(args, reply) {
		r.node.mergeMarks(args.Feed.Marks)
	}
	return nil
}

// handleExchange reports whether the report was applied.
func (r *Receiver) handleExchange(args ExchangeArgs, reply *ExchangeReply) bool {
	n := r.node
	n.mu.Lock()
	defer n.mu.Unlock()
	ro, now := n.role, time.Now()
	if ro == nil {
		reply.Feed = n.feedFor(args.Seen, args.Version, false)
		reply.Version = n.doc.Load().Version
		return false
	}
	n.applyExchange(ro, args, now)
	if n.role == ro {
		reply.ExchangeArgs = n.exchangeArgs(ro, n.contacts[args.From.Name], now)
	}
	return true
}
