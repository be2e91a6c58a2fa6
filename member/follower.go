package member

import "time"

// Promise is the follower's side of a follower lease: until it ends, the daemon
// must not give its lease to another coordinator.
type Promise struct {
	to    string
	until time.Time
}

// Allows reports whether the daemon may give its lease to the coordinator.
func (p Promise) Allows(coordinator string, now time.Time) bool {
	return p.to == "" || p.to == coordinator || now.After(p.until)
}

// Extend returns the promise made by a heartbeat sent at the given time.
func (p Promise) Extend(coordinator string, sent time.Time, lease time.Duration) Promise {
	return Promise{to: coordinator, until: sent.Add(lease)}
}

// Release returns an empty promise if p was made to the coordinator, which has
// reported that it no longer uses the lease.
func (p Promise) Release(coordinator string) Promise {
	if p.to == coordinator {
		return Promise{}
	}
	return p
}

// followerLease is the coordinator's side of a follower lease, bound to one run
// of the follower.
type followerLease struct {
	incarnation string
	until       time.Time
}

// Followers holds the follower leases of one coordinator.
type Followers struct {
	lease  time.Duration
	leases map[string]followerLease
}

// NewFollowers returns an empty set of leases with the given duration, which
// starts at the timestamp that the follower echoed. That timestamp precedes the
// start of the follower's promise.
func NewFollowers(lease time.Duration) *Followers {
	return &Followers{lease: lease, leases: map[string]followerLease{}}
}

// Renew extends the lease of a run whose heartbeat echoed the timestamp. A
// delayed heartbeat doesn't shorten the lease.
func (f *Followers) Renew(name, incarnation string, echoed time.Time) {
	until := echoed.Add(f.lease)
	if old, ok := f.leases[name]; ok && old.incarnation == incarnation && old.until.After(until) {
		return
	}
	f.leases[name] = followerLease{incarnation: incarnation, until: until}
}

// Drop ends the lease of a daemon that is gone.
func (f *Followers) Drop(name string) { delete(f.leases, name) }

// Follows reports whether the lease of this run of the member is held.
func (f *Followers) Follows(m Member, now time.Time) bool {
	l, ok := f.leases[m.Name]
	return ok && l.incarnation == m.Incarnation && now.Before(l.until)
}

// Share returns how many leases of the table's counted members are held. While
// members are joining, a coordinator that doesn't know of them may hold leases
// too, so the result is the smaller of the shares with and without them.
func (f *Followers) Share(t Table, now time.Time) Share {
	var settled, all Share
	for _, m := range t.Members {
		if !m.Counted {
			continue
		}
		held := 0
		if !m.Vacant && f.Follows(m, now) {
			held = 1
		}
		all.Counted++
		all.Leases += held
		if !m.Joining {
			settled.Counted++
			settled.Leases += held
		}
	}
	if all.Leases*settled.Counted < settled.Leases*all.Counted {
		return all
	}
	return settled
}
