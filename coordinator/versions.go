package coordinator

import (
	"slices"
	"strings"
	"time"
)

// reportDelay is how long a new version may take to reach the daemons before
// those that lack it are reported, so that a change causes only one report.
const reportDelay = time.Second

// DaemonVersion is the configuration version at one daemon.
type DaemonVersion struct {
	Name    string
	Version uint64
}

// VersionReport is the configuration version of a domain's coordinator, and the
// versions of its daemons that have a different one.
type VersionReport struct {
	Domain  string
	Version uint64
	Differ  []DaemonVersion
}

func (r VersionReport) equal(o VersionReport) bool {
	return r.Domain == o.Domain && r.Version == o.Version && slices.Equal(r.Differ, o.Differ)
}

// Versions returns the configuration version in force at each member, as last
// reported by its coordinator. For a silent member it is the version of its last
// heartbeat.
func (n *Node) Versions() map[string]uint64 {
	n.init()
	n.mu.Lock()
	defer n.mu.Unlock()
	versions := map[string]uint64{}
	for domain, r := range n.versions {
		for _, m := range n.view.Load().Tables[domain].Members {
			versions[m.Name] = r.Version
		}
		for _, d := range r.Differ {
			versions[d.Name] = d.Version
		}
	}
	return versions
}

// reportVersions updates the report on this domain from the versions in the
// daemons' heartbeats. The caller holds the lock.
func (n *Node) reportVersions(now time.Time) {
	r := VersionReport{Domain: n.Self.Domain, Version: n.doc.Load().Version}
	if now.Sub(n.docAccepted) < reportDelay {
		return
	}
	for _, m := range n.table().Members {
		if v, ok := n.role.versions[m.Name]; ok && v != r.Version {
			r.Differ = append(r.Differ, DaemonVersion{Name: m.Name, Version: v})
		}
	}
	n.applyVersions(r)
}

func (n *Node) applyVersions(r VersionReport) {
	if old, ok := n.versions[r.Domain]; ok && old.equal(r) {
		return
	}
	n.versions[r.Domain] = r
	n.feed.touch(versionsItem + r.Domain)
}

// versionsOf returns the report of a feed item, or nil if the item is of another
// kind or not to be sent.
func (n *Node) versionsOf(item string, ownOnly bool) []VersionReport {
	domain, ok := strings.CutPrefix(item, versionsItem)
	if !ok || ownOnly && domain != n.Self.Domain {
		return nil
	}
	return []VersionReport{n.versions[domain]}
}
