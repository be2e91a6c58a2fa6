package coordinator

import "time"

// Isolated tells whether this daemon was cut off from the platform and from
// all other failure domains for the isolation limit, directly and through its
// coordinator, so that it can't learn of a drain.
func (n *Node) Isolated(now time.Time) bool {
	n.init()
	return now.Sub(*n.outsideContact.Load()) >= n.IsolationLimit
}

// noteOutsideContact notes contact with the platform or another domain. The caller holds
// the lock.
func (n *Node) noteOutsideContact(at time.Time) {
	if at.After(*n.outsideContact.Load()) {
		n.outsideContact.Store(&at)
	}
}
