package coordinator

import "time"

// contact is a known coordinator.
type contact struct {
	Contact
	lastContact time.Time // last message received directly from it
	added       time.Time
	lastCall    time.Time // last exchange started by this daemon
	peer        peer
}

// contacts are the known coordinators by name. A partitioned domain has several.
type contacts map[string]*contact

// contactFreshness is the age up to which the last message from a coordinator
// counts as recent contact. A coordinator with recent contact is preferred over
// those without.
const contactFreshness = 2 * time.Second

// contactRetention is how long a replaced coordinator that doesn't respond is
// kept and called, because it may only be partitioned.
const contactRetention = 15 * time.Second

// newer reports whether x took over after y.
func newer(x, y Contact) bool {
	if x.Term != y.Term {
		return y.Term.Less(x.Term)
	}
	return x.Name > y.Name
}

// prevails reports whether x stays coordinator when x and y, which coordinate
// the same domain, reach each other.
func prevails(x, y Contact) bool {
	if x.Term.Revision == y.Term.Revision && x.Confirmed != y.Confirmed {
		return x.Confirmed
	}
	return newer(x, y)
}

// best returns the coordinator of the domain that prevails among those with
// recent contact, or the newest one if there was no recent contact.
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

// updateContact records a contact. Direct means that the coordinator itself sent
// it. A contact from another source replaces the recorded one only if it is
// newer, or if it differs in Confirmed and there was no recent direct contact.
// The caller holds the lock.
func (n *Node) updateContact(c Contact, direct bool) {
	if !c.isComplete() {
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

// removeReplaced removes coordinators that don't respond and have a successor.
func (n *Node) removeReplaced(now time.Time) {
	for name, c := range n.contacts {
		best, _ := n.contacts.best(c.Domain, now)
		if best.Name != name && now.Sub(c.lastContact) > contactRetention && now.Sub(c.added) > contactRetention {
			delete(n.contacts, name)
		}
	}
}
