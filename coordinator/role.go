package coordinator

import (
	"context"
	"fmt"
	"time"

	"rattanline.example/rattanline/member"
	"rattanline.example/rattanline/usage"
)

// role is the state of a daemon while it is coordinator of its domain.
type role struct {
	term       member.Epoch
	lease      int64
	renewed    time.Time // when the last successful renewal was sent
	validUntil time.Time // zero while the platform hasn't confirmed the term
	began      time.Time
	evidence   map[string]member.Evidence
	former     map[string]string // the last replaced incarnation by name
	versions   map[string]uint64 // of the configuration at each daemon
	followers  *member.Followers
	aggregate  *usage.Aggregate
	source     usage.Source
	restored   bool
	totals     map[string]float64 // fleet totals known at the start
	// tableRead tells that tableRevision is the table's revision at the platform.
	tableRead     bool
	tableRevision int64
	published     time.Time
	ended         context.Context
	end           context.CancelFunc
}

// confirmed tells whether the lease is valid by this daemon's own clock.
func (ro *role) confirmed(now time.Time) bool { return now.Before(ro.validUntil) }

func (ro *role) contact(n *Node, now time.Time) Contact {
	return Contact{
		Name: n.Self.Name, Incarnation: n.Self.Incarnation, Domain: n.Self.Domain,
		Address: n.Self.LinkAddress, Term: ro.term, Confirmed: ro.confirmed(now),
	}
}

// begin makes this daemon the coordinator. The caller holds the lock.
func (n *Node) begin(term member.Epoch, now time.Time) *role {
	source := usage.Source{Daemon: n.Self.Name, Incarnation: fmt.Sprintf("%s/%s", n.Self.Incarnation, term)}
	ro := &role{
		term:      term,
		began:     now,
		evidence:  map[string]member.Evidence{},
		former:    map[string]string{},
		versions:  map[string]uint64{},
		followers: member.NewFollowers(n.FollowerLease - n.OwnerLease),
		aggregate: usage.NewAggregate(source),
		source:    source,
		totals:    n.knownTotals(),
	}
	ro.ended, ro.end = context.WithCancel(context.Background())
	n.role = ro
	n.follow.candidate = false
	for _, c := range n.contacts {
		c.peer = peer{}
	}
	n.learn(ro.contact(n, now), false)
	n.record("coordinator-began", term.String())
	return ro
}

// stepDown ends the role; the caller holds the lock.
func (n *Node) stepDown(reason string) {
	if n.role == nil {
		return
	}
	n.role.end()
	n.role = nil
	n.follow.leader, n.follow.failed = Contact{}, failuresAllowed
	delete(n.contacts, n.Self.Name)
	n.record("coordinator-ended", reason)
}

// roleLoop does what a coordinator does without the platform.
func (n *Node) roleLoop(ctx context.Context) error {
	return every(ctx, n.Interval, func() {
		n.mu.Lock()
		now := time.Now()
		n.forgetReplaced(now)
		if n.role != nil {
			n.decideUnconfirmed(now)
			n.restore(now)
			n.reportVersions(now)
			n.dropSilent(now)
		}
		n.mu.Unlock()
		n.exchange(ctx)
	})
}

// dropSilent clears the waiting requests of daemons that aren't heard: they hold
// the floor, and accounts that start to wait are lifted only to it.
func (n *Node) dropSilent(now time.Time) {
	for name, e := range n.role.evidence {
		if now.Sub(e.Heard) >= n.SilentAfter {
			n.role.aggregate.ClearDaemonWaiting(name)
		}
	}
}

// knownTotals returns the fleet totals that this daemon's ledger shows.
func (n *Node) knownTotals() map[string]float64 {
	totals := map[string]float64{}
	if n.Ledger != nil {
		for _, a := range n.doc.Load().Accounts {
			totals[a.Name] = n.Ledger.Total(a.Name)
		}
	}
	return totals
}

// restore raises the totals of a new term to what this daemon knew before it,
// once the live members and the other domains were heard. Until then the
// coordinator reports no totals, which would be too low.
func (n *Node) restore(now time.Time) {
	ro := n.role
	if ro.restored || now.Sub(ro.began) < n.RestoreAfter && !n.heardAll() {
		return
	}
	accounts := make([]string, 0, len(ro.totals))
	for a := range ro.totals {
		accounts = append(accounts, a)
	}
	ro.aggregate.Restore(func(a string) float64 { return ro.totals[a] }, accounts)
	ro.restored, ro.totals = true, nil
}

// heardAll tells whether all live members and all other domains have reported
// their totals in this term.
func (n *Node) heardAll() bool {
	for _, m := range n.table().Live() {
		if _, ok := n.role.evidence[m.Name]; !ok {
			return false
		}
	}
	for _, domain := range n.view.Load().Domains() {
		if domain != n.Self.Domain && n.role.aggregate.DomainAck(domain).Writer.Daemon == "" {
			return false
		}
	}
	return n.view.Load().Tables[n.Self.Domain].Domain != ""
}
