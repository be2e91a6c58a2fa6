package port

import "cmp"

// Era numbers the histories of a key-value service. It rises by one each time the service comes
// back from a copy that lacks its last changes. The service then gives out the lost revisions
// again, for other content, so revisions can be compared only within one era. Zero stands for a
// service that states no era.
type Era int64

// Position is a state of a key-value service.
type Position struct {
	Era      Era
	Revision int64
}

// Compare returns -1, 0 or 1 if p is before, equal to or after o.
func (p Position) Compare(o Position) int {
	if c := cmp.Compare(p.Era, o.Era); c != 0 {
		return c
	}
	return cmp.Compare(p.Revision, o.Revision)
}

// After reports whether p is after o.
func (p Position) After(o Position) bool { return p.Compare(o) > 0 }
