package coordinator

import "time"

// Isolated reports whether neither this daemon nor its coordinator has reached
// the platform or another failure domain for the isolation limit, so that a
// drain might not be known here.
func (n *Node) Isolated(now time.Time) bool {
	n.init()
	return now.Sub(*n.outsideContact.Load()) >= n.IsolationLimit
}

// noteOutsideContact records contact with the platform or another domain. The
// caller holds the lock.
func (n *Node) noteOutsideContact(at time.Time) {
	if at.After(*n.outsideContact.Load()) {
		n.outsideContact.Store(&at)
	}
}
