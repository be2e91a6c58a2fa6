package member

import "slices"

// View is what one daemon knows of the fleet's members. It is immutable.
type View struct {
	Self   Member
	Tables map[string]Table // by failure domain
}

// Owner returns the daemon that owns a target of the failure domain.
func (v View) Owner(target, domain string) (Member, bool) {
	return Owner(target, v.Tables[domain].Live())
}

// Live returns the live members of all failure domains.
func (v View) Live() []Member {
	var live []Member
	for _, t := range v.Tables {
		live = append(live, t.Live()...)
	}
	return live
}

// Find returns the member with the name in any domain.
func (v View) Find(name string) (Member, bool) {
	for _, t := range v.Tables {
		if m, ok := t.Find(name); ok {
			return m, true
		}
	}
	return Member{}, false
}

// WithTable returns a view with the table, unless it holds a newer one.
func (v View) WithTable(t Table) View {
	if old, ok := v.Tables[t.Domain]; ok && t.Epoch.Less(old.Epoch) {
		return v
	}
	tables := make(map[string]Table, len(v.Tables)+1)
	for domain, old := range v.Tables {
		tables[domain] = old
	}
	tables[t.Domain] = t
	v.Tables = tables
	return v
}

// Domains returns the names of the failure domains, sorted.
func (v View) Domains() []string {
	domains := make([]string, 0, len(v.Tables))
	for domain := range v.Tables {
		domains = append(domains, domain)
	}
	slices.Sort(domains)
	return domains
}

// Share is the fraction of each target's limit that the owners under one
// coordinator may grant: Leases is the number of follower leases that the
// coordinator holds, Counted the number of counted members.
type Share struct {
	Leases  int
	Counted int
}

// Limit returns how many slots of a target's limit may be granted. A
// coordinator with more than half of the leases rounds up and all others round
// down, so that the sum over a partitioned domain never exceeds the limit.
func (s Share) Limit(limit int) int {
	if s.Counted <= 0 || s.Leases >= s.Counted {
		return limit
	}
	product := limit * s.Leases
	if 2*s.Leases > s.Counted {
		return (product + s.Counted - 1) / s.Counted
	}
	return product / s.Counted
}
