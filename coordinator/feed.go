package coordinator

import (
	"slices"
	"strings"

	"rattanline.example/rattanline/member"
	"rattanline.example/rattanline/quarantine"
)

// The items of a feed. The name of a domain follows tableItem and versionsItem,
// the name of a coordinator contactItem.
const (
	tableItem    = "table/"
	contactItem  = "contact/"
	versionsItem = "versions/"
	hostsItem    = "hosts"
	marksItem    = "marks"
)

// feed numbers the changes of the items that this daemon distributes, so that a
// receiver gets only the items that changed since the version it has seen.
type feed struct {
	version uint64
	changed map[string]uint64 // version of the last change by item
}

// touch records a change of the item.
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

// feedFor returns what changed after the version that the receiver has seen.
// With ownOnly, as for the coordinator of another domain, the tables, version
// reports and host report of other domains are left out.
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

// without returns the feed without the tables that the receiver holds.
func (f Feed) without(held []TableEpoch) Feed {
	f.Tables = slices.DeleteFunc(f.Tables, func(t member.Table) bool {
		return slices.ContainsFunc(held, func(h TableEpoch) bool { return h.Domain == t.Domain && !h.Epoch.Less(t.Epoch) })
	})
	return f
}

// apply applies a feed and returns the crash marks in it, which the caller
// merges after it released the lock.
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
		// A change with a different base version is outdated and ignored.
		if d, err := n.doc.Load().WithDelta(*f.Change); err == nil {
			n.adoptConfiguration(d)
		}
	}
	return f.Marks
}

// adoptTable stores a table with a newer epoch than the one held. Coordinators
// on both sides of a partitioned domain can publish different tables under one
// epoch; a daemon keeps the one that it received first.
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

// mergeMarks merges marks of another daemon, and sends those that are new on.
func (n *Node) mergeMarks(marks []quarantine.Mark) {
	if len(marks) > 0 && n.MergeMarks != nil {
		n.MergeMarks(marks)
		n.AnnounceMarks()
	}
}

// AnnounceMarks sends the crash marks to the coordinator or, as coordinator, to the others
// at once if they changed. Callers resend poison requests immediately, so the marks must not
// wait for the next interval in each daemon on their way.
func (n *Node) AnnounceMarks() {
	n.init()
	if !n.readMarks() {
		return
	}
	for _, loop := range []chan struct{}{n.wakeHeartbeat, n.wakeRole} {
		select {
		case loop <- struct{}{}:
		default: // it will run
		}
	}
}

// readMarks updates the crash marks in the feed, and reports whether they changed.
func (n *Node) readMarks() bool {
	if n.Marks == nil {
		return false
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
	if slices.EqualFunc(marks, n.marks, sameMark) {
		return false
	}
	n.marks = marks
	n.feed.touch(marksItem)
	return true
}

func sameMark(x, y quarantine.Mark) bool {
	if !x.Expires.Equal(y.Expires) {
		return false
	}
	x.Expires = y.Expires // may differ in its location
	return x == y
}
