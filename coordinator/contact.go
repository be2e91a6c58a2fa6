package coordinator

import "time"

// contact is a coordinator with the time of the last direct call with it.
type contact struct {
	Contact
	heard   time.Time
	learned time.Time
	called  time.Time
	peer    peer
}

// contacts are the known coordinators by name. A split domain has several.
type contacts map[string]*contact

// freshContact is how recently a coordinator must have been heard to be
// preferred over one that was not.
const freshContact = 2 * time.Second

// dropContact is how long a coordinator that another one of its domain has
// replaced is still called, in case that it comes back from a partition.
const dropContact = 15 * time.Second

// newer tells whether x took over after y.
func newer(x, y Contact) bool {
	if x.Term != y.Term {
		return y.Term.Less(x.Term)
	}
	return x.Name > y.Name
}

// prevails tells whether x stays coordinator when x and y of one domain meet.
func prevails(x, y Contact) bool {
	if x.Term.Revision == y.Term.Revision && x.Confirmed != y.Confirmed {
		return x.Confirmed
	}
	return newer(x, y)
}

// best returns the coordinator of the domain to believe: among those heard
// recently the one that prevails, otherwise the newest.
func (cs contacts) best(domain string, now time.Time) (Contact, bool) {
	var best *contact
	for _, c := range cs {
		if c.Domain != domain {
			continue
		}
		if best == nil {
			best = c
			continue
		}
		fresh, bestFresh := now.Sub(c.heard) < freshContact, now.Sub(best.heard) < freshContact
		switch {
		case fresh != bestFresh:
			if fresh {
				best = c
			}
		case fresh && prevails(c.Contact, best.Contact), !fresh && newer(c.Contact, best.Contact):
			best = c
		}
	}
	if best == nil {
		return Contact{}, false
	}
	return best.Contact, true
}

// learn takes over a contact; direct tells that the coordinator itself said so.
func (n *Node) learn(c Contact, direct bool) {
	if c.Name == "" || c.Domain == "" {
		return
	}
	now := time.Now()
	if n.term.Less(c.Term) && c.Domain == n.Self.Domain {
		n.term = c.Term
	}
	old := n.contacts[c.Name]
	switch {
	case old == nil:
		old = &contact{Contact: c, learned: now}
		n.contacts[c.Name] = old
		n.feed.touch(contactItem + c.Name)
	case old.Contact == c:
	case direct || newer(c, old.Contact) || (c.Term == old.Term && c.Confirmed != old.Confirmed && now.Sub(old.heard) > freshContact):
		changed := !old.sameTerm(c)
		if old.run() != c.run() {
			old.peer = peer{}
		}
		old.Contact = c
		if changed {
			n.feed.touch(contactItem + c.Name)
		}
	}
	if direct {
		old.heard = now
	}
}

// forgetReplaced drops coordinators that are silent and have a successor.
func (n *Node) forgetReplaced(now time.Time) {
	for name, c := range n.contacts {
		best, _ := n.contacts.best(c.Domain, now)
		if best.Name != name && now.Sub(c.heard) > dropContact && now.Sub(c.learned) > dropContact {
			delete(n.contacts, name)
		}
	}
}
