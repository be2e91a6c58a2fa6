// Package member holds the member tables of the failure domains, and derives the
// ownership of targets and the rank of coordinator candidates from them.
package member

import (
	"fmt"
	"slices"
)

// State is the state of a daemon in its domain's member table.
type State string

// The states of a member.
const (
	Live    State = "live"
	Leaving State = "leaving" // finishes its requests, then stops
	Silent  State = "silent"  // missed heartbeats, or announced its stop and is still counted
)

// Member is one daemon of a failure domain.
type Member struct {
	Name        string // unique in the fleet, kept over restarts
	Host        string // name in the platform's host list
	Domain      string
	Incarnation string
	LinkAddress string // where other daemons call it
	EntryURL    string // where callers connect
	State       State
	// Counted is set if the member's follower lease counts for the
	// domain's share.
	Counted bool
	// Joining is set if a counted member isn't known to all others yet.
	// The share is the smaller one of those with and without joining members.
	Joining bool
	// Vacant is set if a counted member is known to be gone while another
	// coordinator may still use the follower lease that it promised.
	Vacant bool
}

// Epoch orders the tables of a domain. Minor counts changes made while the
// platform was down, Revision those accepted by the platform.
type Epoch struct {
	Revision int64
	Minor    int64
}

// Less reports whether the epoch is older than the other.
func (e Epoch) Less(other Epoch) bool {
	if e.Revision != other.Revision {
		return e.Revision < other.Revision
	}
	return e.Minor < other.Minor
}

// Table is the member table of one failure domain. It is immutable.
type Table struct {
	Domain      string
	Epoch       Epoch
	Coordinator string // name of the member that published the table
	Members     []Member
}

// Find returns the member with the name.
func (t Table) Find(name string) (Member, bool) {
	for _, m := range t.Members {
		if m.Name == name {
			return m, true
		}
	}
	return Member{}, false
}

// With returns a table with the member added, or replaced if one has its name.
func (t Table) With(m Member) Table {
	members := slices.DeleteFunc(slices.Clone(t.Members), func(o Member) bool { return o.Name == m.Name })
	members = append(members, m)
	slices.SortFunc(members, func(x, y Member) int {
		if x.Name < y.Name {
			return -1
		}
		return 1
	})
	t.Members = members
	return t
}

// Without returns a table without the member.
func (t Table) Without(name string) Table {
	t.Members = slices.DeleteFunc(slices.Clone(t.Members), func(o Member) bool { return o.Name == name })
	return t
}

// WithEpoch returns the table under another epoch and coordinator.
func (t Table) WithEpoch(e Epoch, coordinator string) Table {
	t.Epoch, t.Coordinator = e, coordinator
	return t
}

// Live returns the members that may be sent requests and own targets.
func (t Table) Live() []Member {
	return slices.DeleteFunc(slices.Clone(t.Members), func(m Member) bool { return m.State != Live })
}

// String returns the epoch as "revision.minor".
func (e Epoch) String() string { return fmt.Sprintf("%d.%d", e.Revision, e.Minor) }
