package coordinator

import (
	"context"
	"fmt"
	"time"

	"rattanline.example/rattanline/member"
	"rattanline.example/rattanline/usage"
)

// role is the state of a daemon during a term as coordinator of its domain.
type role struct {
	term         member.Epoch
	lease        int64
	renewed      time.Time // when the last successful renewal was sent
	validUntil   time.Time // end of the lease, zero while the platform hasn't confirmed the term
	began        time.Time
	statuses     map[string]member.Status
	replacedRuns map[string]string // the last replaced incarnation by daemon name
	versions     map[string]uint64 // of the configuration by daemon name
	followers    *member.Followers
	aggregate    *usage.Aggregate
	source       usage.Source
	restored     bool               // the aggregate contains the prior totals
	priorTotals  map[string]float64 // fleet totals by account, as known at the start of the term
	// tableRead is set if tableRevision is known to be the table's revision at the
	// platform.
	tableRead     bool
	tableRevision int64
	published     time.Time
	ended         context.Context
	end           context.CancelFunc
}

// confirmed reports whether the lease is valid by this daemon's own clock.
func (ro *role) confirmed(now time.Time) bool { return now.Before(ro.validUntil) }

func (ro *role) contact(n *Node, now time.Time) Contact {
	return Contact{
		Name: n.Self.Name, Incarnation: n.Self.Incarnation, Domain: n.Self.Domain,
		Address: n.Self.LinkAddress, Term: ro.term, Confirmed: ro.confirmed(now),
	}
}

// beginTerm makes this daemon the coordinator. The caller holds the lock.
func (n *Node) beginTerm(term member.Epoch, now time.Time) *role {
	source := usage.Source{Daemon: n.Self.Name, Incarnation: fmt.Sprintf("%s/%s", n.Self.Incarnation, term)}
	ro := &role{
		term:         term,
		began:        now,
		statuses:     map[string]member.Status{},
		replacedRuns: map[string]string{},
		versions:     map[string]uint64{},
		// Owners may use a share for OwnerLease after it was granted, so a lease is
		// counted for that much less than the follower promises.
		followers:   member.NewFollowers(n.FollowerLease - n.OwnerLease),
		aggregate:   usage.NewAggregate(source),
		source:      source,
		priorTotals: n.knownTotals(),
	}
	ro.ended, ro.end = context.WithCancel(context.Background())
	n.role = ro
	n.follower.candidate = false
	for _, c := range n.contacts {
		c.peer = peer{}
	}
	n.updateContact(ro.contact(n, now), false)
	n.record("coordinator-began", term.String())
	return ro
}

// stepDown ends the role. The caller holds the lock.
func (n *Node) stepDown(reason string) {
	if n.role == nil {
		return
	}
	n.role.end()
	n.role = nil
	n.follower.leader, n.follower.failures = Contact{}, maxFailures
	delete(n.contacts, n.Self.Name)
	n.record("coordinator-ended", reason)
}

// roleLoop removes replaced contacts, and runs the coordinator's periodic work
// that needs no platform.
func (n *Node) roleLoop(ctx context.Context) error {
	return every(ctx, n.Interval, n.wakeRole, func() {
		n.mu.Lock()
		now := time.Now()
		n.removeReplaced(now)
		if n.role != nil {
			n.decideUnconfirmed(now)
			n.restore(now)
			n.reportVersions(now)
			n.clearSilentDaemons(now)
		}
		n.mu.Unlock()
		n.exchange(ctx)
	})
}

// clearSilentDaemons clears the waiting requests of silent daemons in the
// aggregate. Otherwise they would hold down the floor of their service, which is
// the lowest counter of its waiting accounts, and accounts that start to wait
// are raised only to the floor.
func (n *Node) clearSilentDaemons(now time.Time) {
	for name, s := range n.role.statuses {
		if now.Sub(s.LastContact) >= n.SilentAfter {
			n.role.aggregate.ClearDaemonWaiting(name)
		}
	}
}

// knownTotals returns the fleet totals by account from this daemon's ledger.
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
// once the live members and the other domains have reported or the restore
// timeout has passed. Before that the coordinator reports no totals, because
// they would be too low.
func (n *Node) restore(now time.Time) {
	ro := n.role
	if ro.restored || now.Sub(ro.began) < n.RestoreTimeout && !n.allReported() {
		return
	}
	accounts := make([]string, 0, len(ro.priorTotals))
	for a := range ro.priorTotals {
		accounts = append(accounts, a)
	}
	ro.aggregate.Restore(func(a string) float64 { return ro.priorTotals[a] }, accounts)
	ro.restored, ro.priorTotals = true, nil
}

// allReported reports whether all live members and all other domains have sent
// their totals in this term. It returns false while this domain has no table.
func (n *Node) allReported() bool {
	for _, m := range n.table().Live() {
		if _, ok := n.role.statuses[m.Name]; !ok {
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
