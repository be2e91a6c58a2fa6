package member

import "time"

// Status is what a coordinator heard from one daemon.
type Status struct {
	Member      Member    // as the daemon described itself
	Started     time.Time // of this run; former runs made no promise after it
	LastContact time.Time // last heartbeat
	Leaving     bool
	Gone        bool  // it said goodbye
	Epoch       Epoch // the newest table of its domain that it holds
	// EpochSince is when it was first heard to hold that table.
	EpochSince time.Time
}

// Inputs is what a coordinator decides the next table from.
type Inputs struct {
	Now         time.Time
	Coordinator string
	TermStart   time.Time // when the coordinator took over
	// Confirmed tells that the platform accepts changes now. Only then members
	// start being counted, so that there is one order of such changes.
	Confirmed bool
	Statuses  map[string]Status
	// Unlisted tells whether the host list, read successfully, doesn't contain
	// the host.
	Unlisted func(host string) bool
}

// Timing are the durations of member states.
type Timing struct {
	// SilentAfter must exceed the owner lease: a silent member's targets move.
	SilentAfter time.Duration
	// RemoveAfter removes a silent member that isn't counted.
	RemoveAfter time.Duration
	// FollowerLease is the follower lease: a member that is gone counts for so long
	// after its last heartbeat, because a coordinator that doesn't know may use
	// its lease and what it told owners.
	FollowerLease time.Duration
	// OwnerLease is the owner lease: members that are joining are settled only after
	// the shares told under the table before have expired.
	OwnerLease time.Duration
}

// Next returns the table that follows from the evidence, under the same epoch,
// and whether it differs.
func (r Timing) Next(t Table, k Inputs) (Table, bool) {
	next := t
	next.Members = nil
	for _, m := range t.Members {
		if m, keep := r.update(m, k); keep {
			next.Members = append(next.Members, m)
		}
	}
	for name, e := range k.Statuses {
		if _, known := next.Find(name); !known && !e.Gone && k.Now.Sub(e.LastContact) < r.SilentAfter {
			next = next.With(e.member(r.state(e.LastContact, e.Leaving, k.Now)))
		}
	}
	if k.Confirmed {
		next = r.updateCounted(t, next, k)
	}
	return next, !sameMembers(t, next)
}

func (e Status) member(s State) Member {
	m := e.Member
	m.State, m.Counted, m.Joining, m.Vacant = s, false, false, false
	return m
}

func (r Timing) state(heard time.Time, leaving bool, now time.Time) State {
	switch {
	case now.Sub(heard) >= r.SilentAfter:
		return Silent
	case leaving:
		return Leaving
	default:
		return Live
	}
}

// update returns the member's next state, and false if it is known to be gone.
func (r Timing) update(m Member, k Inputs) (Member, bool) {
	e, heard := k.Statuses[m.Name]
	last := k.TermStart
	switch {
	case heard && e.Gone:
		m.State, m.Vacant = Silent, true
		return m, m.Counted && k.Now.Sub(e.LastContact) < r.FollowerLease
	case heard:
		fresh := e.member(m.State)
		if fresh.Incarnation == m.Incarnation {
			fresh.Counted, fresh.Joining, fresh.Vacant = m.Counted, m.Joining, m.Vacant
		} else if m.Counted {
			// The former run is gone, and the new one doesn't know its promise.
			fresh.Counted, fresh.Joining, fresh.Vacant = true, m.Joining, true
		}
		m, last = fresh.endVacancy(k.Now.Sub(e.Started) >= r.FollowerLease), e.LastContact
	case m.State == Silent:
		// A silent member stays silent under a new coordinator until it is heard.
		last = k.Now.Add(-r.SilentAfter)
	}
	m.State = r.state(last, heard && e.Leaving || !heard && m.State == Leaving, k.Now)
	if m.State != Silent {
		return m, true
	}
	if m.Joining && k.Confirmed {
		// Without the platform, another coordinator that has all acknowledgements
		// may settle the member at the same time.
		m.Counted, m.Joining = false, false
	}
	if !heard {
		m = m.endVacancy(k.Now.Sub(k.TermStart) >= r.FollowerLease)
	}
	if m.Counted {
		return m, !k.Unlisted(m.Host)
	}
	silentSince := last
	if !heard {
		silentSince = k.TermStart
	}
	return m, k.Now.Sub(silentSince) < r.RemoveAfter
}

// endVacancy ends the counting of a member that is gone, if its promise has ended.
func (m Member) endVacancy(ended bool) Member {
	if m.Vacant && ended {
		m.Counted, m.Joining, m.Vacant = false, false, false
	}
	return m
}

// updateCounted lets members join the counted ones, in two steps: when all counted
// members hold the table, live members start joining; when all of these and the
// joining members have held that table for an owner lease, they are settled. A coordinator that doesn't
// know of the joining members then has no follower among the counted ones.
func (r Timing) updateCounted(old, next Table, k Inputs) Table {
	counted, joining, acknowledged, settled := 0, 0, true, true
	for _, m := range next.Members {
		if !m.Counted {
			continue
		}
		counted++
		if m.Vacant {
			continue
		}
		if m.Joining {
			joining++
		}
		e, heard := k.Statuses[m.Name]
		if !heard || m.State == Silent || e.Epoch.Less(old.Epoch) {
			acknowledged = false
		}
		if k.Now.Sub(e.EpochSince) < r.OwnerLease {
			settled = false
		}
	}
	if counted-joining == 0 {
		// All members that were counted are known to be gone, so no other
		// coordinator can hold a lease that counts.
		if m, ok := next.Find(k.Coordinator); ok {
			m.Counted, m.Joining = true, false
			return next.With(m)
		}
		return next
	}
	if !acknowledged || joining > 0 && !settled {
		return next
	}
	for _, m := range next.Members {
		switch {
		case joining > 0 && m.Joining:
			m.Joining = false
		case joining == 0 && !m.Counted && m.State == Live && hasRun(old, m):
			m.Counted, m.Joining = true, true
		default:
			continue
		}
		next = next.With(m)
	}
	return next
}

// hasRun tells whether the table already has this run of the member.
func hasRun(t Table, m Member) bool {
	o, ok := t.Find(m.Name)
	return ok && o.Incarnation == m.Incarnation
}

func sameMembers(x, y Table) bool {
	if len(x.Members) != len(y.Members) {
		return false
	}
	for i := range x.Members {
		if x.Members[i] != y.Members[i] {
			return false
		}
	}
	return true
}
