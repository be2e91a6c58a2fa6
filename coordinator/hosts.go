package coordinator

import (
	"context"
	"maps"
	"slices"
	"time"

	"rattanline.example/rattanline/port"
)

// unlistedFor is how long a host must be missing from all successful reads of
// the host list, because one wrong read must not stop a member's counting. It
// exceeds the follower lease, which another coordinator may still use.
const unlistedFor = 7 * time.Second

// staleAfter is the age from which an own reading gives way to another
// coordinator's, which may still reach the platform's list.
const staleAfter = 10 * time.Second

// hosts is what is known of the host list: the own readings, or the last report
// of another coordinator.
type hosts struct {
	own     map[string]port.HostState
	ownRead time.Time
	missing map[string]time.Time // since when member hosts are not listed
	told    *HostReport
}

// HostLeaving tells whether the platform's host list shows the host as leaving.
func (n *Node) HostLeaving(host string) bool {
	n.init()
	return slices.Contains(n.leavers.Load().Leaving, host)
}

// hostsChanged spreads the report in use. The caller holds the lock.
func (n *Node) hostsChanged() {
	if r := n.hosts.report(false); r != nil {
		n.leavers.Store(r)
		n.feed.touch(hostsItem)
	}
}

// report returns the own reading, or unless ownOnly is set the last one told.
func (h *hosts) report(ownOnly bool) *HostReport {
	switch {
	case h.own != nil:
		return &HostReport{Leaving: leavingHosts(h.own)}
	case ownOnly:
		return nil
	default:
		return h.told
	}
}

func leavingHosts(list map[string]port.HostState) []string {
	var leaving []string
	for name, s := range list {
		if s == port.HostLeaving {
			leaving = append(leaving, name)
		}
	}
	slices.Sort(leaving)
	return leaving
}

// takeHosts takes over another daemon's report. The caller holds the lock.
func (n *Node) takeHosts(r HostReport) {
	n.hosts.told = &r
	if n.hosts.own == nil && !slices.Equal(n.leavers.Load().Leaving, r.Leaving) {
		n.hostsChanged()
	}
}

// read takes over an own reading and tells whether the leaving hosts changed.
func (h *hosts) read(list map[string]port.HostState, members []string, self string, now time.Time) bool {
	changed := h.own == nil || !slices.Equal(leavingHosts(h.own), leavingHosts(list))
	h.own, h.ownRead = maps.Clone(list), now
	if _, ok := list[self]; !ok {
		// A list without the reading daemon's own host is incomplete.
		clear(h.missing)
		return changed
	}
	missing := map[string]time.Time{}
	for _, m := range members {
		if _, ok := list[m]; ok {
			continue
		}
		missing[m] = now
		if since, ok := h.missing[m]; ok {
			missing[m] = since
		}
	}
	h.missing = missing
	return changed
}

// unlisted tells whether the host was missing in all recent readings.
func (h *hosts) unlisted(host string, now time.Time) bool {
	since, ok := h.missing[host]
	return ok && host != "" && h.ownRead.Sub(since) >= unlistedFor && now.Sub(h.ownRead) < unlistedFor
}

// hostLoop reads the host list while this daemon is coordinator.
func (n *Node) hostLoop(ctx context.Context) error {
	if n.HostList == nil {
		return nil
	}
	return every(ctx, n.HostInterval, func() {
		if !n.leads() {
			n.mu.Lock()
			defer n.mu.Unlock()
			n.hosts.own = nil
			return
		}
		list, err := n.HostList.Hosts(ctx)
		n.mu.Lock()
		defer n.mu.Unlock()
		if err != nil {
			n.Logger.Warn().Err(err).Msg("host list not read")
			if time.Since(n.hosts.ownRead) > staleAfter {
				n.hosts.own = nil
				n.hostsChanged()
			}
			return
		}
		var members []string
		for _, m := range n.table().Members {
			members = append(members, m.Host)
		}
		if n.hosts.read(list, members, n.Self.Host, time.Now()) {
			n.hostsChanged()
		}
	})
}
