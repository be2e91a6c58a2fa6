package daemon

import (
	"time"

	"github.com/pkg/errors"

	"rattanline.example/rattanline/config"
	"rattanline.example/rattanline/frontend"
	"rattanline.example/rattanline/member"
	"rattanline.example/rattanline/request"
	"rattanline.example/rattanline/setting"
)

// Distances of an entry from the daemon that answers the request for entries.
const (
	sameDomain = iota
	sameRegion
	otherRegion
)

// entries returns the daemons to which callers should connect: the live ones on
// hosts that aren't leaving and in failure domains that aren't drained. This
// daemon is left out during its shutdown.
func (d *Daemon) entries() []frontend.Entry {
	x := d.index.get()
	own, _ := x.FailureDomain(d.self.Domain)
	var entries []frontend.Entry
	for _, m := range d.node.View().Live() {
		domain, ok := x.FailureDomain(m.Domain)
		if !ok || domain.Drained || d.node.HostLeaving(m.Host) || (m.Name == d.self.Name && d.stopping.Load()) {
			continue
		}
		entries = append(entries, frontend.Entry{URL: m.EntryURL, Weight: 1, Distance: distance(own, domain)})
	}
	return entries
}

func distance(own, other config.FailureDomain) int {
	switch {
	case own.Name == other.Name:
		return sameDomain
	case own.Region == other.Region:
		return sameRegion
	default:
		return otherRegion
	}
}

// retryAfter is the Retry-After time in responses to callers that should use
// another entry.
const retryAfter = time.Second

// refuse returns why this daemon accepts no new requests, or nil if it does.
func (d *Daemon) refuse() *request.Refusal {
	switch {
	case d.stopping.Load():
		return &request.Refusal{Reason: request.Stopping, Detail: "this daemon is stopping, use another entry", RetryAfter: retryAfter}
	case d.isolated():
		return &request.Refusal{Reason: request.Isolated, Detail: "this daemon reaches neither the platform nor another failure domain", RetryAfter: retryAfter}
	default:
		return nil
	}
}

func (d *Daemon) isolated() bool {
	return d.Settings.IsolationPolicy != setting.Serve && d.node.Isolated(time.Now())
}

// ready returns why this daemon can't serve callers, or nil if it can.
func (d *Daemon) ready() error {
	name, _ := d.node.Coordinator()
	switch {
	case d.stopping.Load():
		return errors.New("stopping")
	case d.index.get().Version() == 0:
		return errors.New("no configuration yet")
	case name == "":
		return errors.New("no coordinator yet")
	case !isMember(d.node.View(), d.self):
		return errors.New("not in the member table yet")
	default:
		return nil
	}
}

func isMember(v member.View, self member.Member) bool {
	m, ok := v.Tables[self.Domain].Find(self.Name)
	return ok && m.Incarnation == self.Incarnation && m.State == member.Live
}
