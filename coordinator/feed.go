package coordinator

import (
	"slices"
	"strings"

	"rattanline.example/rattanline/member"
	"rattanline.example/rattanline/quarantine"
)

// The items of a feed; tables and contacts are named by domain and coordinator.
const (
	tableItem    = "table/"
	contactItem  = "contact/"
	versionsItem = "versions/"
	hostsItem    = "hosts"
	marksItem    = "marks"
)

// feed numbers the changes of what this daemon spreads, so that a receiver gets
// only the items that changed since the version it has seen.
type feed struct {
	version uint64
	changed map[string]uint64
}

func (f *feed) touch(item string) {
	f.version++
	f.changed[item] = f.version
}

// since returns the items changed after the version, sorted.
func (f *feed) since(version uint64) []string {
	if version >= f.version {
		return nil
	}
	var items []string
	for item, v := range f.changed {
		if v > version {
			items = append(items, item)
		}
	}
	slices.Sort(items)
	return items
}

// feedFor returns what the receiver lacks. A receiver in another domain that is
// a coordinator itself gets only what this domain is the source of.
func (n *Node) feedFor(seen Seen, version uint64, ownOnly bool) Feed {
	since := seen.Version
	if seen.Incarnation != n.Self.Incarnation {
		since = 0
	}
	f := Feed{Incarnation: n.Self.Incarnation, Version: n.feed.version}
	for _, item := range n.feed.since(since) {
		if domain, ok := strings.CutPrefix(item, tableItem); ok {
			if t := n.view.Load().Tables[domain]; !ownOnly || domain == n.Self.Domain {
				f.Tables = append(f.Tables, t)
			}
			continue
		}
		if name, ok := strings.CutPrefix(item, contactItem); ok {
			if c := n.contacts[name]; c != nil {
				f.Contacts = append(f.Contacts, c.Contact)
			}
			continue
		}
		f.Versions = append(f.Versions, n.versionsOf(item, ownOnly)...)
		switch item {
		case hostsItem:
			f.Hosts = n.hosts.report(ownOnly)
		case marksItem:
			f.Marks = n.marks
		}
	}
	if d := n.doc.Load(); d.Version > version {
		if f.Change = n.history.deltaFrom(version, *d); f.Change == nil {
			f.Configuration = d
		}
	}
	return f
}

// without leaves out the tables that the receiver holds.
func (f Feed) without(held []TableEpoch) Feed {
	f.Tables = slices.DeleteFunc(f.Tables, func(t member.Table) bool {
		return slices.ContainsFunc(held, func(h TableEpoch) bool { return h.Domain == t.Domain && !h.Epoch.Less(t.Epoch) })
	})
	return f
}

// apply takes over a feed and returns the marks to merge outside the lock.
func (n *Node) apply(f Feed) []quarantine.Mark {
	for _, t := range f.Tables {
		n.adoptTable(t)
	}
	for _, c := range f.Contacts {
		n.updateContact(c, false)
	}
	if f.Hosts != nil {
		n.applyHosts(*f.Hosts)
	}
	for _, r := range f.Versions {
		if n.role == nil || r.Domain != n.Self.Domain {
			n.applyVersions(r)
		}
	}
	if f.Configuration != nil {
		n.adoptConfiguration(*f.Configuration)
	}
	if f.Change != nil {
		// A change of another base than the version held came too late.
		if d, err := n.doc.Load().WithDelta(*f.Change); err == nil {
			n.adoptConfiguration(d)
		}
	}
	return f.Marks
}

// adoptTable takes over a newer table. Another table under the same epoch comes
// from a coordinator in a separated part of the domain; the coordinator keeps
// its own and the others take the one of the coordinator they heard last.
func (n *Node) adoptTable(t member.Table) {
	old := n.view.Load()
	held, known := old.Tables[t.Domain]
	if known && !held.Epoch.Less(t.Epoch) {
		return
	}
	v := old.WithTable(t)
	n.view.Store(&v)
	n.feed.touch(tableItem + t.Domain)
}

func (n *Node) mergeMarks(marks []quarantine.Mark) {
	if len(marks) > 0 && n.MergeMarks != nil {
		n.MergeMarks(marks)
	}
}

// readMarks notes the marks of this daemon if they changed.
func (n *Node) readMarks() {
	if n.Marks == nil {
		return
	}
	marks := slices.Clone(n.Marks())
	slices.SortFunc(marks, func(x, y quarantine.Mark) int {
		if x.Fingerprint != y.Fingerprint {
			if x.Fingerprint < y.Fingerprint {
				return -1
			}
			return 1
		}
		return strings.Compare(x.Crash, y.Crash)
	})
	n.mu.Lock()
	defer n.mu.Unlock()
	if !slices.EqualFunc(marks, n.marks, sameMark) {
		n.marks = marks
		n.feed.touch(marksItem)
	}
}

func sameMark(x, y quarantine.Mark) bool {
	return x.Fingerprint == y.Fingerprint && x.Crash == y.Crash && x.Alone == y.Alone && x.Expires.Equal(y.Expires)
}
