package coordinator

import (
	"time"

	"rattanline.example/rattanline/member"
)

// takeOverUnconfirmed makes a candidate the coordinator without the platform:
// no better ranked daemon responds, and neither does the coordinator. If the
// platform still shows the coordinator's record, that one may only be out of
// reach, so its lease is awaited.
func (n *Node) takeOverUnconfirmed(unheard time.Duration) {
	n.mu.Lock()
	defer n.mu.Unlock()
	after := n.UnconfirmedAfter
	if !n.platform.failing {
		after += n.CoordinatorLease
	}
	if n.role != nil || !n.follower.candidate || unheard < after || n.table().Epoch == (member.Epoch{}) {
		return
	}
	n.beginTerm(member.Epoch{Revision: n.term.Revision, Minor: n.term.Minor + 1}, time.Now())
}

// resolveConflict decides which of two coordinators of one domain that reach each other
// goes on. The caller holds the lock.
func (n *Node) resolveConflict(other Contact, now time.Time) {
	if n.role == nil || other.Domain != n.Self.Domain || other.Name == n.Self.Name {
		return
	}
	if own := n.role.contact(n, now); prevails(other, own) {
		n.stepDown("succeeded by " + other.Name + " in term " + other.Term.String())
		n.follower.leader, n.follower.failures = other, 0
	}
}
