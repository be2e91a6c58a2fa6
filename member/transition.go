package member

import "time"

// Status is what a coordinator knows of one daemon from its heartbeats.
type Status struct {
	Member      Member    // as the daemon described itself
	Started     time.Time // of this run; former runs made no promise after it
	LastContact time.Time // last heartbeat
	Leaving     bool
	Gone        bool  // the run announced that it stops
	Epoch       Epoch // of the newest table of its domain that it holds
	// EpochSince is when the daemon first reported that it holds that table.
	EpochSince time.Time
}

// Inputs are what a coordinator computes the next table from.
type Inputs struct {
	Now         time.Time
	Coordinator string
	TermStart   time.Time // when the coordinator took over
	// Confirmed is set if the platform accepts changes now. Members start
	// being counted only then, so that there is a single order of such changes.
	Confirmed bool
	Statuses  map[string]Status // by daemon name
	// Unlisted reports whether the host is missing from a host list that was
	// read successfully.
	Unlisted func(host string) bool
}

// Timing holds the durations that determine the states of members.
type Timing struct {
	// SilentAfter is the time without heartbeats after which a member is
	// silent. It must exceed the owner lease, because a silent member's targets
	// move to other owners.
	SilentAfter time.Duration
	// RemoveAfter is the time after which a silent member that isn't counted is
	// removed.
	RemoveAfter time.Duration
	// FollowerLease is how long a member that is gone stays counted after its
	// last heartbeat: a coordinator that doesn't know that it is gone may still
	// use its follower lease, and owners the shares computed from it.
	FollowerLease time.Duration
	// OwnerLease is how long all members must hold a table before its joining
	// members are settled, so that shares granted under the previous table have
	// expired.
	OwnerLease time.Duration
}

// Next returns the table that follows from the inputs, under the same epoch,
// and whether it differs from t.
func (tm Timing) Next(t Table, in Inputs) (Table, bool) {
	next := t
	next.Members = nil
	for _, m := range t.Members {
		if m, keep := tm.update(m, in); keep {
			next.Members = append(next.Members, m)
		}
	}
	for name, s := range in.Statuses {
		if _, known := next.Find(name); !known && !s.Gone && in.Now.Sub(s.LastContact) < tm.SilentAfter {
			next = next.With(s.member(tm.state(s.LastContact, s.Leaving, in.Now)))
		}
	}
	if in.Confirmed {
		next = tm.updateCounted(t, next, in)
	}
	return next, !sameMembers(t, next)
}

func (s Status) member(state State) Member {
	m := s.Member
	m.State, m.Counted, m.Joining, m.Vacant = state, false, false, false
	return m
}

func (tm Timing) state(lastContact time.Time, leaving bool, now time.Time) State {
	switch {
	case now.Sub(lastContact) >= tm.SilentAfter:
		return Silent
	case leaving:
		return Leaving
	default:
		return Live
	}
}

// update returns the member's next state, and false if it is to be removed.
func (tm Timing) update(m Member, in Inputs) (Member, bool) {
	s, reported := in.Statuses[m.Name]
	last := in.TermStart
	switch {
	case reported && s.Gone:
		m.State, m.Vacant = Silent, true
		return m, m.Counted && in.Now.Sub(s.LastContact) < tm.FollowerLease
	case reported:
		fresh := s.member(m.State)
		if fresh.Incarnation == m.Incarnation {
			fresh.Counted, fresh.Joining, fresh.Vacant = m.Counted, m.Joining, m.Vacant
		} else if m.Counted {
			// The former run is gone, and the new one doesn't know its promise.
			fresh.Counted, fresh.Joining, fresh.Vacant = true, m.Joining, true
		}
		m, last = fresh.endVacancy(in.Now.Sub(s.Started) >= tm.FollowerLease), s.LastContact
	case m.State == Silent:
		// A silent member stays silent under a new coordinator until it sends a
		// heartbeat.
		last = in.Now.Add(-tm.SilentAfter)
	}
	m.State = tm.state(last, reported && s.Leaving || !reported && m.State == Leaving, in.Now)
	if m.State != Silent {
		return m, true
	}
	if m.Joining && in.Confirmed {
		// The member has to start joining again. This needs the platform: without
		// it, another coordinator that has all acknowledgements may settle the
		// member at the same time.
		m.Counted, m.Joining = false, false
	}
	if !reported {
		m = m.endVacancy(in.Now.Sub(in.TermStart) >= tm.FollowerLease)
	}
	if m.Counted {
		return m, !in.Unlisted(m.Host)
	}
	silentSince := last
	if !reported {
		silentSince = in.TermStart
	}
	return m, in.Now.Sub(silentSince) < tm.RemoveAfter
}

// endVacancy stops counting a vacant member if its promise has ended.
func (m Member) endVacancy(ended bool) Member {
	if m.Vacant && ended {
		m.Counted, m.Joining, m.Vacant = false, false, false
	}
	return m
}

// updateCounted adds members to the counted ones in two steps. When all counted
// members hold the table, live members start joining. When all counted members,
// including the joining ones, have held that table for an owner lease, the
// joining members are settled. A coordinator that doesn't know of the joining
// members then has no follower among the counted ones.
func (tm Timing) updateCounted(old, next Table, in Inputs) Table {
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
		s, reported := in.Statuses[m.Name]
		if !reported || m.State == Silent || s.Epoch.Less(old.Epoch) {
			acknowledged = false
		}
		if in.Now.Sub(s.EpochSince) < tm.OwnerLease {
			settled = false
		}
	}
	if counted-joining == 0 {
		// All members that were counted are known to be gone, so no other
		// coordinator can hold a lease that counts.
		if m, ok := next.Find(in.Coordinator); ok {
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

// hasRun reports whether the table already lists this run of the member.
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
