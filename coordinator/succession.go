package coordinator

import (
	"time"

	"rattanline.example/rattanline/member"
)

// takeOverUnconfirmed makes a candidate the coordinator without confirmation by
// the platform, when neither the coordinator nor a better ranked daemon
// responds. If the platform answers and still has the coordinator's record, the
// coordinator may only be unreachable from here, so its lease must expire first.
func (n *Node) takeOverUnconfirmed(sinceContact time.Duration) {
	n.mu.Lock()
	defer n.mu.Unlock()
	after := n.UnconfirmedAfter
	if !n.platform.failing {
		after += n.CoordinatorLease
	}
	if n.role != nil || !n.follower.candidate || sinceContact < after || n.table().Epoch == (member.Epoch{}) {
		return
	}
	n.beginTerm(member.Epoch{Revision: n.term.Revision, Minor: n.term.Minor + 1}, time.Now())
}

// resolveConflict steps down if the other coordinator of this domain prevails.
// The caller holds the lock.
func (n *Node) resolveConflict(other Contact, now time.Time) {
	if n.role == nil || other.Domain != n.Self.Domain || other.Name == n.Self.Name {
		return
	}
	if own := n.role.contact(n, now); prevails(other, own) {
		n.stepDown("succeeded by " + other.Name + " in term " + other.Term.String())
		n.follower.leader, n.follower.failures = other, 0
	}
}
