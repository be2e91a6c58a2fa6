package member

import "time"

// Evidence is what a coordinator heard from one daemon.
type Evidence struct {
	Member  Member    // as the daemon described itself
	Heard   time.Time // last heartbeat
	Leaving bool
	Gone    bool  // it said goodbye
	Epoch   Epoch // the newest table of its domain that it holds
}

// Knowledge is what a coordinator decides the next table from.
type Knowledge struct {
	Now         time.Time
	Coordinator string
	Since       time.Time // when the coordinator took over
	// Confirmed tells that the platform accepts changes now. Only then members
	// start being counted, so that there is one order of such changes.
	Confirmed bool
	Evidence  map[string]Evidence
	// Unlisted tells whether the host list, read successfully, doesn't contain
	// the host.
	Unlisted func(host string) bool
}

// Rules are the durations of member states.
type Rules struct {
	// SilentAfter must exceed the owner lease: a silent member's targets move.
	SilentAfter time.Duration
	// ForgetAfter removes a silent member that isn't counted.
	ForgetAfter time.Duration
}

// Next returns the table that follows from the evidence, under the same epoch,
// and whether it differs.
func (r Rules) Next(t Table, k Knowledge) (Table, bool) {
	next := t
	next.Members = nil
	for _, m := range t.Members {
		if m, keep := r.update(m, k); keep {
			next.Members = append(next.Members, m)
		}
	}
	for name, e := range k.Evidence {
		if _, known := next.Find(name); !known && !e.Gone && k.Now.Sub(e.Heard) < r.SilentAfter {
			next = next.With(e.member(r.state(e.Heard, e.Leaving, k.Now)))
		}
	}
	if k.Confirmed {
		next = count(t, next, k)
	}
	return next, !equal(t, next)
}

func (e Evidence) member(s State) Member {
	m := e.Member
	m.State, m.Counted, m.Joining = s, false, false
	return m
}

func (r Rules) state(heard time.Time, leaving bool, now time.Time) State {
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
func (r Rules) update(m Member, k Knowledge) (Member, bool) {
	e, heard := k.Evidence[m.Name]
	last := k.Since
	switch {
	case heard && e.Gone:
		return m, false
	case heard && e.Member.Incarnation != m.Incarnation:
		// The former run is gone and with it its promise and what it knew.
		m = e.member(Live)
		last = e.Heard
	case heard:
		fresh := e.Member
		fresh.Counted, fresh.Joining, fresh.State = m.Counted, m.Joining, m.State
		m, last = fresh, e.Heard
	case m.State == Silent:
		// A silent member stays silent under a new coordinator until it is heard.
		last = k.Now.Add(-r.SilentAfter)
	}
	m.State = r.state(last, heard && e.Leaving || !heard && m.State == Leaving, k.Now)
	if m.State != Silent {
		return m, true
	}
	if m.Joining {
		m.Counted, m.Joining = false, false
	}
	if m.Counted {
		return m, !k.Unlisted(m.Host)
	}
	silentSince := last
	if !heard {
		silentSince = k.Since
	}
	return m, k.Now.Sub(silentSince) < r.ForgetAfter
}

// count lets members join the counted ones, in two steps: when all counted
// members hold the table, live members start joining; when all of these and the
// joining members hold that table, they are settled. A coordinator that doesn't
// know of the joining members then has no follower among the counted ones.
func count(old, next Table, k Knowledge) Table {
	counted, joining, acknowledged := 0, 0, true
	for _, m := range next.Members {
		if !m.Counted {
			continue
		}
		counted++
		if m.Joining {
			joining++
		}
		e, heard := k.Evidence[m.Name]
		if !heard || m.State == Silent || e.Epoch.Less(old.Epoch) {
			acknowledged = false
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
	if !acknowledged {
		return next
	}
	for _, m := range next.Members {
		switch {
		case joining > 0 && m.Joining:
			m.Joining = false
		case joining == 0 && !m.Counted && m.State == Live && known(old, m):
			m.Counted, m.Joining = true, true
		default:
			continue
		}
		next = next.With(m)
	}
	return next
}

// known tells whether the table already has this run of the member.
func known(t Table, m Member) bool {
	o, ok := t.Find(m.Name)
	return ok && o.Incarnation == m.Incarnation
}

func equal(x, y Table) bool {
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
