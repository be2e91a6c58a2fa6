package coordinator

import "time"

// Isolated tells whether this daemon was cut off from the platform and from
// all other failure domains for the isolation limit, directly and through its
// coordinator, so that it can't learn of a drain.
func (n *Node) Isolated(now time.Time) bool {
	n.init()
	n.mu.Lock()
	defer n.mu.Unlock()
	return now.Sub(n.outside) >= n.IsolationLimit
}

// reached notes contact with the platform or another domain.
func (n *Node) reached(at time.Time) {
	if at.After(n.outside) {
		n.outside = at
	}
}
