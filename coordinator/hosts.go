package coordinator

import (
	"context"
	"maps"
	"slices"
	"time"

	"rattanline.example/rattanline/port"
)

// unlistedMinimum is how long a host must be missing from all successful reads
// of the host list before its member stops being counted, so that one wrong read
// has no effect. It exceeds the follower lease, which another coordinator may
// still use.
const unlistedMinimum = 7 * time.Second

// listMaxAge is the age after which the list read by this daemon is replaced by
// the report of another coordinator, which may still reach the platform.
const listMaxAge = 10 * time.Second

// hosts holds the host list as read by this daemon, and the last report of
// another coordinator.
type hosts struct {
	list     map[string]port.HostState // nil unless read recently
	listRead time.Time
	missing  map[string]time.Time // since when member hosts are not listed
	received *HostReport
}

// HostLeaving reports whether the platform's host list shows the host as
// leaving.
func (n *Node) HostLeaving(host string) bool {
	n.init()
	return slices.Contains(n.leavingReport.Load().Leaving, host)
}

// hostsChanged publishes the current report. The caller holds the lock.
func (n *Node) hostsChanged() {
	if r := n.hosts.report(false); r != nil {
		n.leavingReport.Store(r)
		n.feed.touch(hostsItem)
	}
}

// report returns the report on the list read by this daemon. Without such a list
// it returns the last report received, or nil if ownOnly is set.
func (h *hosts) report(ownOnly bool) *HostReport {
	switch {
	case h.list != nil:
		return &HostReport{Leaving: leavingHosts(h.list)}
	case ownOnly:
		return nil
	default:
		return h.received
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

// applyHosts stores another daemon's report. The caller holds the lock.
func (n *Node) applyHosts(r HostReport) {
	n.hosts.received = &r
	if n.hosts.list == nil && !slices.Equal(n.leavingReport.Load().Leaving, r.Leaving) {
		n.hostsChanged()
	}
}

// update stores the list read by this daemon and reports whether the leaving
// hosts changed.
func (h *hosts) update(list map[string]port.HostState, members []string, self string, now time.Time) bool {
	changed := h.list == nil || !slices.Equal(leavingHosts(h.list), leavingHosts(list))
	h.list, h.listRead = maps.Clone(list), now
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

// unlisted reports whether the host was missing from all recent reads.
func (h *hosts) unlisted(host string, now time.Time) bool {
	since, ok := h.missing[host]
	return ok && host != "" && h.listRead.Sub(since) >= unlistedMinimum && now.Sub(h.listRead) < unlistedMinimum
}

// hostLoop reads the host list while this daemon is coordinator.
func (n *Node) hostLoop(ctx context.Context) error {
	if n.HostList == nil {
		return nil
	}
	return every(ctx, n.HostInterval, nil, func() {
		if !n.isCoordinator() {
			n.mu.Lock()
			defer n.mu.Unlock()
			n.hosts.list = nil
			return
		}
		list, err := n.HostList.Hosts(ctx)
		n.mu.Lock()
		defer n.mu.Unlock()
		if err != nil {
			n.Logger.Warn().Err(err).Msg("failed to read the host list")
			if time.Since(n.hosts.listRead) > listMaxAge {
				n.hosts.list = nil
				n.hostsChanged()
			}
			return
		}
		var members []string
		for _, m := range n.table().Members {
			members = append(members, m.Host)
		}
		if n.hosts.update(list, members, n.Self.Host, time.Now()) {
			n.hostsChanged()
		}
	})
}
