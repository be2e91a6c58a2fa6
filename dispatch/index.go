package dispatch

import (
	"slices"
	"time"

	"rattanline.example/rattanline/config"
	"rattanline.example/rattanline/fairqueue"
	"rattanline.example/rattanline/member"
	"rattanline.example/rattanline/request"
	"rattanline.example/rattanline/usage"
)

// Queue bounds of accounts for which the configuration sets none, for each daemon.
const (
	defaultMaxQueued      = 256
	defaultMaxQueuedBytes = 16 << 20
)

// hostListInterval is the interval between look-ups of the targets' hosts in the
// host list. They are polled because the host list has no version.
const hostListInterval = 500 * time.Millisecond

// index holds the configuration, the members and the states of the targets' hosts,
// indexed for look-ups. It is rebuilt when any of them changes.
type index struct {
	version      uint64
	epochs       map[string]member.Epoch // by failure domain
	leaving      map[string]bool         // by host of a target, from the host list
	hostsChecked time.Time               // when leaving was last compared with the host list
	targets      map[string]config.Target
	closed       map[string]bool         // targets that get no new work
	owners       map[string]usage.Source // by target
	addresses    map[usage.Source]string // of owners
	services     map[string]*service
	accounts     map[string]fairqueue.Bounds
	owned        []config.Target // by this daemon
}

// service is the index entry of one service.
type service struct {
	targets []string       // open ones
	drained bool           // all targets are closed and some by a drain
	owners  []usage.Source // owners that receive demand, preferred ones first
}

func (x *index) owner(target string) (usage.Source, bool) {
	source, ok := x.owners[target]
	return source, ok
}

// refresh rebuilds the index if it is out of date, and passes the current authority
// and targets to the owner.
func (d *Dispatcher) refresh(now time.Time) {
	document, view := d.Configuration(), d.View()
	rebuilt := !d.index.isCurrent(document, view) || d.hostsChanged(now)
	if rebuilt {
		d.index = d.buildIndex(now, document, view)
		d.renewalDue = true
		d.refuseUnservable()
	}
	share, valid := d.Authority(now)
	d.owner.Authorize(now, share, valid)
	if rebuilt || d.owner.Len() != len(d.index.owned) {
		d.owner.SetTargets(now, d.index.owned, func(t config.Target) bool { return d.index.closed[t.Name] })
	}
}

// isCurrent reports whether the index was built from this version of the document
// and these tables. It must not allocate, since it is called for each request.
func (x *index) isCurrent(document config.Document, view member.View) bool {
	if x.epochs == nil || x.version != document.Version || len(x.epochs) != len(view.Tables) {
		return false
	}
	for domain, table := range view.Tables {
		if epoch, ok := x.epochs[domain]; !ok || epoch != table.Epoch {
			return false
		}
	}
	return true
}

// hostsChanged reports whether the state of any target's host in the host list has
// changed. An unchanged host list must not cause a rebuild of the index, which costs a
// hash for each target and member.
func (d *Dispatcher) hostsChanged(now time.Time) bool {
	if d.HostLeaving == nil || now.Sub(d.index.hostsChecked) < hostListInterval {
		return false
	}
	d.index.hostsChecked = now
	for host, leaving := range d.index.leaving {
		if d.HostLeaving(host) != leaving {
			return true
		}
	}
	return false
}

// buildIndex returns an index of the document and the members. The owners of a
// service are ordered with those in this daemon's failure domain first, and limited
// to the demand fan-out.
func (d *Dispatcher) buildIndex(now time.Time, document config.Document, view member.View) *index {
	x := &index{
		version: document.Version, epochs: map[string]member.Epoch{}, leaving: map[string]bool{}, hostsChecked: now,
		targets: map[string]config.Target{}, closed: map[string]bool{},
		owners: map[string]usage.Source{}, addresses: map[usage.Source]string{},
		services: map[string]*service{}, accounts: map[string]fairqueue.Bounds{},
	}
	live := make(map[string][]member.Member, len(view.Tables))
	for domain, table := range view.Tables {
		x.epochs[domain], live[domain] = table.Epoch, table.Live()
	}
	for _, a := range document.Accounts {
		x.accounts[a.Name] = bounds(a)
	}
	for domain, t := range view.Tables {
		x.epochs[domain] = t.Epoch
	}
	drained := map[string]bool{}
	for _, f := range document.FailureDomains {
		drained[f.Name] = f.Drained
	}
	for _, s := range document.Services {
		x.services[s.Name] = &service{}
	}
	local, remote := map[string]map[usage.Source]bool{}, map[string]map[usage.Source]bool{}
	for _, t := range document.Targets {
		x.targets[t.Name] = t
		if d.HostLeaving != nil && t.Host != "" {
			x.leaving[t.Host] = d.HostLeaving(t.Host)
		}
		x.closed[t.Name] = t.Leaving || drained[t.FailureDomain] || x.leaving[t.Host]
		s := x.services[t.Service]
		if s == nil {
			s = &service{}
			x.services[t.Service] = s
		}
		if x.closed[t.Name] {
			s.drained = s.drained || drained[t.FailureDomain]
		} else {
			s.targets = append(s.targets, t.Name)
		}
		m, ok := member.Owner(t.Name, live[t.FailureDomain])
		if !ok {
			continue
		}
		source := usage.Source{Daemon: m.Name, Incarnation: m.Incarnation}
		x.owners[t.Name] = source
		x.addresses[source] = m.LinkAddress
		if source == d.Self {
			x.owned = append(x.owned, t)
		}
		if !x.closed[t.Name] {
			side := remote
			if m.Domain == d.Domain {
				side = local
			}
			if side[t.Service] == nil {
				side[t.Service] = map[usage.Source]bool{}
			}
			side[t.Service][source] = true
		}
	}
	for name, s := range x.services {
		s.drained = s.drained && len(s.targets) == 0
		s.owners = append(d.rank(local[name]), d.rank(remote[name])...)
		s.owners = s.owners[:min(len(s.owners), d.Times.DemandFanOut)]
	}
	return x
}

// rank returns the owners in an order that differs between daemons, so that the
// demand of all daemons is spread over many owners.
func (d *Dispatcher) rank(sources map[usage.Source]bool) []usage.Source {
	members := make([]member.Member, 0, len(sources))
	for s := range sources {
		members = append(members, member.Member{Name: s.Daemon, Incarnation: s.Incarnation})
	}
	var ranked []usage.Source
	for _, m := range member.Rank(d.Self.Daemon, members) {
		ranked = append(ranked, usage.Source{Daemon: m.Name, Incarnation: m.Incarnation})
	}
	return ranked
}

func bounds(a config.Account) fairqueue.Bounds {
	b := fairqueue.Bounds{Requests: a.MaxQueued, Bytes: a.MaxQueuedBytes}
	if b.Requests == 0 {
		b.Requests = defaultMaxQueued
	}
	if b.Bytes == 0 {
		b.Bytes = defaultMaxQueuedBytes
	}
	return b
}

// refusal returns the reason for which no target may serve the service, or nil if
// one may.
func (x *index) refusal(name string) *request.Refusal {
	s := x.services[name]
	switch {
	case s == nil:
		return &request.Refusal{Reason: request.UnknownService, Detail: name}
	case len(s.targets) > 0:
		return nil
	case s.drained:
		return &request.Refusal{Reason: request.Drained, Detail: "all targets of " + name, RetryAfter: 10 * time.Second}
	default:
		return &request.Refusal{Reason: request.NoTarget, Detail: name, RetryAfter: 10 * time.Second}
	}
}

// targetsToAvoid returns the given targets, or nil if the service has no other open
// target.
func (x *index) targetsToAvoid(name string, avoid []string) []string {
	for _, t := range x.services[name].targets {
		if !slices.Contains(avoid, t) {
			return avoid
		}
	}
	return nil
}
