package member

import (
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Rank orders members by highest random weight (rendezvous hashing) for the key.
// Removing a member moves only the keys that it owned.
func Rank(key string, members []Member) []Member {
	ranked := slices.Clone(members)
	slices.SortFunc(ranked, func(x, y Member) int {
		a, b := weight(key, x.Name), weight(key, y.Name)
		switch {
		case a > b:
			return -1
		case a < b:
			return 1
		default:
			return 0
		}
	})
	return ranked
}

// Owner returns the member that owns the key, and false if there is none.
func Owner(key string, members []Member) (Member, bool) {
	var owner Member
	var best uint64
	for _, m := range members {
		if w := weight(key, m.Name); owner.Name == "" || w > best {
			owner, best = m, w
		}
	}
	return owner, owner.Name != ""
}

func weight(key, name string) uint64 {
	var d xxhash.Digest
	d.Reset()
	// A separator keeps ("ab","c") and ("a","bc") apart.
	_, _ = d.WriteString(key)
	_, _ = d.Write([]byte{0})
	_, _ = d.WriteString(name)
	return d.Sum64()
}
