package coordinator

import (
	"context"
	"time"

	"rattanline.example/rattanline/member"
)

// Receiver handles the net/rpc calls of other daemons.
type Receiver struct {
	node *Node
}

// Heartbeat handles the heartbeat of a daemon. Any daemon replies with its feed
// and the coordinator it knows; only the coordinator of the caller's domain
// counts the caller as a follower.
func (r *Receiver) Heartbeat(args HeartbeatArgs, reply *HeartbeatReply) error {
	n := r.node
	if args.Want > n.doc.Load().Version && n.isCoordinator() {
		ctx, cancel := context.WithTimeout(context.Background(), n.CallTimeout/2)
		n.fetchConfiguration(ctx)
		cancel()
	}
	r.handleHeartbeat(args, reply)
	n.mergeMarks(args.Marks)
	return nil
}

func (r *Receiver) handleHeartbeat(args HeartbeatArgs, reply *HeartbeatReply) {
	n := r.node
	n.mu.Lock()
	defer n.mu.Unlock()
	now := time.Now()
	if n.role != nil && args.Domain == n.Self.Domain {
		n.role.receiveHeartbeat(n, args, reply, now)
	} else {
		n.redirect(args.Domain, reply, now)
	}
	reply.Released = n.releasedTerm
	reply.Reach = now.Sub(*n.outsideContact.Load())
	if args.Configuration != nil {
		n.adoptConfiguration(*args.Configuration)
	}
	reply.Version = n.doc.Load().Version
	if args.Name != n.Self.Name || args.Incarnation != n.Self.Incarnation {
		reply.Feed = n.feedFor(args.Seen, args.Version, false).without(args.Epochs)
	}
}

func (n *Node) isCoordinator() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.role != nil
}

// redirect sets the coordinator of the caller's domain in the reply, if known.
func (n *Node) redirect(domain string, reply *HeartbeatReply, now time.Time) {
	if domain == n.Self.Domain && n.follower.leader.Name != "" {
		reply.Contact, reply.Heard = n.follower.leader, now.Sub(n.follower.lastAnswered)
		return
	}
	if c, ok := n.contacts.best(domain, now); ok {
		reply.Contact, reply.Heard = c, now.Sub(n.contacts[c.Name].lastContact)
	}
}

// receiveHeartbeat handles the heartbeat of a daemon of this domain. The caller
// holds the lock.
func (ro *role) receiveHeartbeat(n *Node, args HeartbeatArgs, reply *HeartbeatReply, now time.Time) {
	reply.Coordinator = true
	reply.Contact = ro.contact(n, now)
	reply.Stamp = int64(now.Sub(n.started))
	if ro.replacedRuns[args.Name] == args.Incarnation {
		// This is a delayed message of a run that a newer run has replaced.
		return
	}
	s, known := ro.statuses[args.Name]
	if !known || s.Member.Incarnation != args.Incarnation {
		if args.Member == nil {
			reply.WantMember = true
			return
		}
		if known {
			ro.replacedRuns[args.Name] = s.Member.Incarnation
			ro.followers.Drop(args.Name)
		}
		s = member.Status{Started: now.Add(-args.Age)}
	}
	if args.Member != nil {
		s.Member = *args.Member
	}
	if s.Epoch != args.Epoch {
		s.EpochSince = now
	}
	s.LastContact, s.Leaving, s.Gone, s.Epoch = now, args.Leaving, args.Gone, args.Epoch
	ro.statuses[args.Name], ro.versions[args.Name] = s, args.Version
	if args.Table != nil {
		n.adoptTable(*args.Table)
	}
	table := n.table()
	switch {
	case args.Gone:
		ro.followers.Drop(args.Name)
		ro.aggregate.ApplyReport(args.Usage)
		ro.aggregate.Retire(args.Name)
		return
	case table.Epoch.Less(args.Epoch):
		// A follower lease counts only under a table at least as new as the
		// follower's, because the newer table may count more members.
		reply.WantTable = true
	case args.Follow && args.Echo.Coordinator == reply.Contact.runID():
		ro.followers.Renew(args.Name, args.Incarnation, n.started.Add(time.Duration(args.Echo.Stamp)))
	}
	m, ok := table.Find(args.Name)
	reply.Accepted = ok && m.Incarnation == args.Incarnation && !reply.WantTable
	reply.Share = ro.followers.Share(table, now)
	ro.exchangeUsage(args, reply)
}

func (ro *role) exchangeUsage(args HeartbeatArgs, reply *HeartbeatReply) {
	if args.Usage.Writer.Daemon == "" {
		return
	}
	reply.Source = ro.source
	reply.Ack = ro.aggregate.ApplyReport(args.Usage)
	if ro.restored {
		reply.Usage = ro.aggregate.ReportFor(args.Name, args.Applied)
	}
}
