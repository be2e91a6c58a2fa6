package coordinator

import (
	"context"
	"time"

	"rattanline.example/rattanline/usage"
)

// peer is the state of the exchange with another coordinator.
type peer struct {
	theirs  Seen      // the last version applied of its feed
	ours    Seen      // the last version of this daemon's feed that it applied
	holds   usage.Ack // what it holds of this domain's totals
	version uint64    // of the configuration that it holds
	met     bool      // the version is known
	busy    bool
	dropped bool // its waiting requests were cleared
}

// exchange calls the other coordinators. Of two domains the one with the lower
// name calls, since the reply carries the same content; the other one calls if
// it heard nothing for a while.
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
		unheard := now.Sub(c.heard)
		n.dropWaiting(ro, c, unheard)
		calls := n.Self.Domain < c.Domain || unheard > 5*n.Interval
		// A coordinator that doesn't respond is called less often.
		pause := now.Sub(c.called) < min(unheard/4, 2*time.Second)
		if c.peer.busy || !calls || pause {
			continue
		}
		c.peer.busy, c.called = true, now
		args := n.exchangeArgs(ro, c, now)
		n.calls.Go(func() { n.exchangeWith(ctx, ro, c, args) })
	}
}

func (n *Node) exchangeArgs(ro *role, c *contact, now time.Time) ExchangeArgs {
	args := ExchangeArgs{
		From:    ro.contact(n, now),
		Seen:    c.peer.theirs,
		Version: n.doc.Load().Version,
		Feed:    n.feedFor(c.peer.ours, c.peer.version, true),
		Held:    ro.aggregate.DomainAck(c.Domain),
	}
	if !c.peer.met {
		// Its version isn't known yet; the reply shows whether it lacks this one.
		args.Feed.Configuration, args.Feed.Change = nil, nil
	}
	if ro.restored && c.Domain != n.Self.Domain {
		args.Usage = usage.DomainReport{Domain: n.Self.Domain, Report: ro.aggregate.DomainReport(c.peer.holds)}
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
	c.peer.busy = false
	if err != nil || n.role != ro {
		n.mu.Unlock()
		return
	}
	n.takeExchange(ro, reply.ExchangeArgs, time.Now())
	n.mu.Unlock()
	n.mergeMarks(reply.Feed.Marks)
}

// takeExchange takes over what another coordinator sent.
func (n *Node) takeExchange(ro *role, args ExchangeArgs, now time.Time) {
	n.apply(args.Feed)
	if args.From.Name == "" {
		// It is coordinator no longer; its feed names the successor if it knows.
		return
	}
	n.learn(args.From, true)
	c := n.contacts[args.From.Name]
	c.peer.theirs = Seen{Incarnation: args.Feed.Incarnation, Version: args.Feed.Version}
	c.peer.ours, c.peer.holds, c.peer.version = args.Seen, args.Held, args.Version
	c.peer.met = true
	if args.From.Domain == n.Self.Domain {
		n.meet(args.From, now)
		return
	}
	n.reached(now)
	best, _ := n.contacts.best(args.From.Domain, now)
	if args.Usage.Domain == args.From.Domain && best.Name == args.From.Name {
		// Of a split domain only one coordinator's totals are taken, because
		// both contain those of the time before the split.
		ro.aggregate.ApplyDomain(args.Usage)
		c.peer.dropped = false
	}
}

// dropWaiting clears the waiting requests of a domain that isn't heard, so
// that its accounts don't hold back those that can be served.
func (n *Node) dropWaiting(ro *role, c *contact, unheard time.Duration) {
	if unheard < freshContact || c.peer.dropped || c.Domain == n.Self.Domain {
		return
	}
	if best, _ := n.contacts.best(c.Domain, time.Now()); best.Name == c.Name {
		c.peer.dropped = true
		ro.aggregate.ClearDomainWaiting(c.Domain)
	}
}

// Exchange answers another coordinator with the same content.
func (r *Receiver) Exchange(args ExchangeArgs, reply *ExchangeReply) error {
	n := r.node
	n.mu.Lock()
	ro, now := n.role, time.Now()
	if ro == nil {
		reply.Feed = n.feedFor(args.Seen, args.Version, false)
		reply.Version = n.doc.Load().Version
		n.mu.Unlock()
		return nil
	}
	n.takeExchange(ro, args, now)
	if n.role == ro {
		reply.ExchangeArgs = n.exchangeArgs(ro, n.contacts[args.From.Name], now)
	}
	n.mu.Unlock()
	n.mergeMarks(args.Feed.Marks)
	return nil
}
