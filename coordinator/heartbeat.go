package coordinator

import (
	"context"
	"time"

	"rattanline.example/rattanline/member"
	"rattanline.example/rattanline/quarantine"
)

func (n *Node) heartbeatLoop(ctx context.Context) error {
	return every(ctx, n.Interval, n.wakeHeartbeat, func() { n.sendHeartbeat(ctx) })
}

// sendHeartbeat sends one heartbeat and applies the reply.
func (n *Node) sendHeartbeat(ctx context.Context) {
	n.readMarks()
	sent := time.Now()
	n.mu.Lock()
	to, ok := n.nextDestination(sent)
	if !ok {
		n.mu.Unlock()
		return
	}
	args := n.heartbeatArgs(to, sent)
	n.mu.Unlock()
	var reply HeartbeatReply
	err := n.send(ctx, to, args, &reply)
	n.mu.Lock()
	var marks []quarantine.Mark
	if err != nil {
		n.heartbeatFailed(to, time.Now())
	} else {
		marks = n.heartbeatAnswered(to, sent, args, reply)
	}
	n.mu.Unlock()
	n.mergeMarks(marks)
}

func (n *Node) send(ctx context.Context, to destination, args HeartbeatArgs, reply *HeartbeatReply) error {
	if to.self {
		return (&Receiver{node: n}).Heartbeat(args, reply)
	}
	ctx, cancel := context.WithTimeout(ctx, n.CallTimeout)
	defer cancel()
	return n.Link.Call(ctx, to.address, "Coordinator.Heartbeat", args, reply)
}

// heartbeatArgs returns the message to send. If the daemon follows the
// destination, it extends the promise to it. The caller holds the lock.
func (n *Node) heartbeatArgs(to destination, sent time.Time) HeartbeatArgs {
	f := &n.follower
	args := HeartbeatArgs{
		Name: n.Self.Name, Incarnation: n.Self.Incarnation, Domain: n.Self.Domain,
		Age: sent.Sub(n.started), Leaving: n.leaving,
		Epoch:   n.view.Load().Tables[n.Self.Domain].Epoch,
		Seen:    f.seen[to.seenKey()],
		Version: n.doc.Load().Version,
		Want:    f.wantVersion,
	}
	if args.Seen.Version == 0 {
		for domain, t := range n.view.Load().Tables {
			args.Epochs = append(args.Epochs, TableEpoch{Domain: domain, Epoch: t.Epoch})
		}
	}
	leader := to.contact
	if leader.Name == "" {
		return args
	}
	if f.outdatedRun == leader.runID() {
		args.Configuration = n.doc.Load()
	}
	if f.released.Name != "" && sent.Sub(f.releasedAt) > n.OwnerLease {
		// All shares granted by the former coordinator have expired.
		f.promise = f.promise.Release(f.released.runID())
	}
	if f.echo.Coordinator == leader.runID() {
		args.Echo = f.echo
		// A promise to a coordinator that doesn't respond would delay following
		// its successor, so a heartbeat after a failed one doesn't extend it.
		if f.failures == 0 && f.promise.Allows(leader.runID(), sent) {
			args.Follow = true
			f.promise = f.promise.Extend(leader.runID(), sent, n.FollowerLease)
		}
	}
	if args.Echo.Coordinator == "" || f.wantMember {
		self := n.Self
		args.Member = &self
	}
	if t, ok := n.view.Load().Tables[n.Self.Domain]; ok && f.wantTable {
		args.Table = &t
	}
	if f.marksRun != leader.runID() || f.marksVersion < n.feed.changed[marksItem] {
		args.Marks = n.marks
	}
	if n.Ledger != nil {
		args.Usage, args.Applied = n.Ledger.Report(f.source), n.Ledger.Applied()
	}
	return args
}

func (d destination) seenKey() string {
	if d.self {
		return "self"
	}
	return d.address
}

func (n *Node) heartbeatFailed(to destination, now time.Time) {
	f := &n.follower
	if to.contact.Name != "" {
		if f.failures++; f.failures < maxFailures {
			return
		}
	}
	f.avoidedAt[to.address] = now
}

func (n *Node) heartbeatAnswered(to destination, sent time.Time, args HeartbeatArgs, reply HeartbeatReply) []quarantine.Mark {
	f := &n.follower
	marks := n.apply(reply.Feed)
	delete(f.avoidedAt, to.address)
	if !to.self {
		f.seen[to.seenKey()] = Seen{Incarnation: reply.Feed.Incarnation, Version: reply.Feed.Version}
	}
	n.noteOutsideContact(sent.Add(-reply.Reach))
	if to.domain != "" && to.domain != n.Self.Domain {
		n.noteOutsideContact(sent)
	}
	if reply.Released.Name != "" && f.released != reply.Released {
		f.released, f.releasedAt = reply.Released, time.Now()
	}
	n.updateContact(reply.Contact, reply.Coordinator && !to.self)
	if !reply.Coordinator {
		n.redirected(to, reply)
		return marks
	}
	if to.self {
		// The role may have ended during the call; the next heartbeat then goes
		// elsewhere.
		to.contact = reply.Contact
	}
	f.leader, f.lastAnswered, f.failures, f.candidate = reply.Contact, sent, 0, false
	f.echo = Echo{Coordinator: reply.Contact.runID(), Stamp: reply.Stamp}
	f.wantMember, f.wantTable, f.outdatedRun = reply.WantMember, reply.WantTable, ""
	if reply.Version < n.doc.Load().Version {
		f.outdatedRun = reply.Contact.runID()
	}
	if args.Marks != nil || n.marks == nil {
		f.marksRun, f.marksVersion = reply.Contact.runID(), n.feed.changed[marksItem]
	}
	if reply.Accepted {
		n.auth.Store(&authority{share: reply.Share, until: sent.Add(n.OwnerLease), from: reply.Contact.runID()})
	}
	if n.Ledger != nil && reply.Source.Daemon != "" {
		f.source = reply.Source
		n.Ledger.Acknowledge(reply.Source, reply.Ack)
		if reply.Usage.Writer.Daemon != "" {
			n.Ledger.Apply(reply.Usage)
		}
	}
	return marks
}

// redirected handles the reply of a daemon that isn't the coordinator.
func (n *Node) redirected(to destination, reply HeartbeatReply) {
	f := &n.follower
	now := time.Now()
	if to.contact.Name != "" {
		f.avoidedAt[to.address] = now
		f.failures = maxFailures
	}
	if to.domain == n.Self.Domain && to.contact.Name == "" {
		// A better ranked daemon responds, so it takes over and not this one.
		f.candidate = false
	}
	c := reply.Contact
	if c.Domain != n.Self.Domain || c.Name == n.Self.Name || c.Name == "" {
		return
	}
	if reply.Heard < n.CampaignAfter && c.Address != to.address {
		// The replying daemon had recent contact with the coordinator, so this
		// one calls it again without waiting for leaderRetry.
		delete(f.avoidedAt, c.Address)
	}
}

// Refresh waits until this daemon holds the configuration version, which a
// caller or operator has seen at another daemon, or a newer one. It returns the
// error of ctx if that ends first.
func (n *Node) Refresh(ctx context.Context, version uint64) error {
	n.init()
	for n.doc.Load().Version < version {
		n.mu.Lock()
		n.follower.wantVersion = max(n.follower.wantVersion, version)
		leads := n.role != nil
		n.mu.Unlock()
		if leads {
			n.fetchConfiguration(ctx)
		} else {
			n.sendHeartbeat(ctx)
		}
		if n.doc.Load().Version >= version {
			break
		}
		if !sleep(ctx, n.Interval) {
			return ctx.Err()
		}
	}
	return nil
}

// table returns this domain's table.
func (n *Node) table() member.Table { return n.view.Load().Tables[n.Self.Domain] }
