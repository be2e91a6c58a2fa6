package coordinator

import (
	"context"
	"fmt"
	"time"

	"rattanline.example/rattanline/member"
	"rattanline.example/rattanline/port"
)

// publishInterval is the minimum time between two writes of the table. It
// batches changes, such as daemons that start together.
const publishInterval = 300 * time.Millisecond

func (n *Node) timing() member.Timing {
	return member.Timing{SilentAfter: n.SilentAfter, RemoveAfter: n.RemoveAfter, FollowerLease: n.FollowerLease, OwnerLease: n.OwnerLease}
}

func (n *Node) inputs(now time.Time, confirmed bool) member.Inputs {
	return member.Inputs{
		Now: now, Coordinator: n.Self.Name, TermStart: n.role.began, Confirmed: confirmed,
		Statuses: n.role.statuses, Unlisted: func(host string) bool { return n.hosts.unlisted(host, now) },
	}
}

func (n *Node) ownTable() member.Table {
	t := n.table()
	t.Domain = n.Self.Domain
	return t
}

// decideUnconfirmed installs a changed table while the platform is down. Members
// can be removed and change their state, but none starts to be counted. The
// caller holds the lock.
func (n *Node) decideUnconfirmed(now time.Time) {
	if n.role.confirmed(now) && !n.platform.failing {
		return
	}
	t := n.ownTable()
	if t.Epoch == (member.Epoch{}) {
		// Without any table the domain has no counted members, so there are no
		// follower leases to hold.
		return
	}
	next, changed := n.timing().Next(t, n.inputs(now, false))
	if !changed {
		return
	}
	epoch := member.Epoch{Revision: t.Epoch.Revision, Minor: t.Epoch.Minor + 1}
	n.installTable(next.WithEpoch(epoch, n.Self.Name))
}

func (n *Node) installTable(t member.Table) {
	n.adoptTable(t)
	n.record("table-published", t.Epoch.String())
	for name, s := range n.role.statuses {
		// The status of a stopped daemon is kept until it is older than
		// RemoveAfter, because without it the daemon could become a member again.
		if _, ok := t.Find(name); !ok && s.Gone && time.Since(s.LastContact) > n.RemoveAfter {
			delete(n.role.statuses, name)
		}
	}
}

func (n *Node) tableKey() string { return "rattanline/domains/" + n.Self.Domain }

// readTable reads the published table and its revision.
func (n *Node) readTable(ctx context.Context, ro *role) error {
	e, err := n.KeyValue.Get(ctx, n.tableKey())
	if err != nil {
		return fmt.Errorf("read table: %w", err)
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	ro.tableRead, ro.tableRevision = true, e.Revision
	n.adoptTableEntry(e)
	return nil
}

func (n *Node) adoptTableEntry(e port.Entry) {
	if e.Revision == 0 {
		return
	}
	t, err := decodeTable(e)
	if err != nil {
		n.Logger.Error().Err(err).Str("key", e.Key).Msg("failed to decode a member table")
		return
	}
	n.adoptTable(t)
}

// publish writes the next table if it differs from the one in force. The write
// is conditional on an unchanged table and on the coordinator's record having
// the revision of this term, so that it fails if it is delayed until after a
// successor took over.
func (n *Node) publish(ctx context.Context, ro *role) error {
	n.mu.Lock()
	now := time.Now()
	t := n.ownTable()
	next, changed := n.timing().Next(t, n.inputs(now, true))
	unpublished := t.Epoch.Minor > 0
	term := ro.term.Revision
	due := now.Sub(ro.published) >= publishInterval
	valid := ro.confirmed(now)
	n.mu.Unlock()
	if !changed && !unpublished || !due || !valid {
		return nil
	}
	next = next.WithEpoch(member.Epoch{}, n.Self.Name)
	value, err := encodeTable(next)
	if err != nil {
		return err
	}
	ro.published = now
	result, err := n.KeyValue.Commit(ctx, port.Transaction{
		Conditions: []port.Condition{
			{Key: n.tableKey(), Revision: ro.tableRevision},
			{Key: n.recordKey(), Revision: term},
		},
		Writes: []port.Write{{Key: n.tableKey(), Value: value}},
	})
	if err != nil || !result.Committed {
		// The table is read again before the next write.
		ro.tableRead = false
		if err != nil {
			return fmt.Errorf("write table: %w", err)
		}
		return n.checkRecord(ctx, ro)
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	ro.tableRevision = result.Revision
	if n.role == ro {
		n.installTable(next.WithEpoch(member.Epoch{Revision: result.Revision}, n.Self.Name))
	}
	return nil
}
