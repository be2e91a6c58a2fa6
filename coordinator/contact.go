package coordinator

import "time"

// contact is a coordinator with the time of the last direct call with it.
type contact struct {
	Contact
	lastContact time.Time
	added       time.Time
	lastCall    time.Time
	peer        peer
}

// contacts are the known coordinators by name. A split domain has several.
type contacts map[string]*contact

// contactFreshness is how recently a coordinator must have been heard to be
// preferred over one that was not.
const contactFreshness = 2 * time.Second

// contactRetention is how long a coordinator that another one of its domain has
// replaced is still called, in case that it comes back from a partition.
const contactRetention = 15 * time.Second

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
		fresh, bestFresh := now.Sub(c.lastContact) < contactFreshness, now.Sub(best.lastContact) < contactFreshness
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

// updateContact takes over a contact; direct tells that the coordinator itself said so.
func (n *Node) updateContact(c Contact, direct bool) {
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
		old = &contact{Contact: c, added: now}
		n.contacts[c.Name] = old
		n.feed.touch(contactItem + c.Name)
	case old.Contact == c:
	case direct || newer(c, old.Contact) || (c.Term == old.Term && c.Confirmed != old.Confirmed && now.Sub(old.lastContact) > contactFreshness):
		changed := !old.sameTerm(c)
		if old.runID() != c.runID() {
			old.peer = peer{}
		}
		old.Contact = c
		if changed {
			n.feed.touch(contactItem + c.Name)
		}
	}
	if direct {
		old.lastContact = now
	}
}

// removeReplaced drops coordinators that are silent and have a successor.
func (n *Node) removeReplaced(now time.Time) {
	for name, c := range n.contacts {
		best, _ := n.contacts.best(c.Domain, now)
		if best.Name != name && now.Sub(c.lastContact) > contactRetention && now.Sub(c.added) > contactRetention {
			delete(n.contacts, name)
		}
	}
}
