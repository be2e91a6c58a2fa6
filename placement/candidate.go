package placement

import (
	"math/rand/v2"

	"github.com/cespare/xxhash/v2"

	"rattanline.example/rattanline/clock"
)

// preferredCount is the number of preferred targets per prompt. Requests that
// exceed the capacity of the first one overflow to the second one, which is the
// same for all daemons.
const preferredCount = 2

// preferredTargets returns the indexes of the targets that should hold the shared
// segments of the prompt, best first. It returns nil if the targets are not engines
// or the prompt has no segments. All daemons select the same targets by rendezvous
// hashing, without messages.
func preferredTargets(q Query, usable []*targetState) []int {
	if !q.Engine || len(q.Demand.Segments) == 0 {
		return nil
	}
	key := q.homeKey()
	var preferred [preferredCount]int
	var ranks [preferredCount]uint64
	n := 0
	for i, target := range usable {
		at, rank := n, rendezvousRank(key, target.hash)
		for at > 0 && rank > ranks[at-1] {
			at--
		}
		if at == preferredCount {
			continue
		}
		n = min(n+1, preferredCount)
		copy(preferred[at+1:n], preferred[at:n])
		copy(ranks[at+1:n], ranks[at:n])
		preferred[at], ranks[at] = i, rank
	}
	return preferred[:n]
}

// homeKey returns the key of the preferred targets: the last shared segment, or the only segment
// if there is just one.
func (q Query) homeKey() uint64 {
	return xxhash.Sum64String(q.Demand.Segments[max(len(q.Demand.Segments)-2, 0)].ID)
}

const (
	// maxCandidates bounds the targets that are compared for one request.
	maxCandidates = 48
	// randomCandidates is how many engines that are warm and show no faults are compared
	// besides the preferred ones. What other daemons sent in the last moments is not known,
	// so if all daemons compared many engines, they would crowd the same ones.
	randomCandidates = 2
)

// candidates returns the targets to compare, and how many of the first ones are preferred,
// given that the first usable ones are. It leaves out cold targets that this daemon must not
// send to. It reorders usable, and returns at most limit targets.
func (t *Table) candidates(q Query, usable []*targetState, first, limit int, now clock.Instant, daemons []string) ([]*targetState, int) {
	candidates, preferred, random := usable[:0], 0, 0
	for i := range min(len(usable), limit) {
		if i >= first { // shuffles the others, as far as it is needed
			j := i + rand.IntN(len(usable)-i)
			usable[i], usable[j] = usable[j], usable[i]
		}
		target := usable[i]
		cold := now < t.coldUntil(target)
		if cold && !t.maySendCold(target, now, daemons) {
			continue
		}
		candidates = append(candidates, target)
		switch {
		case i < first:
			preferred++
		case !cold && target.faults.decayed(now) == 0:
			random++
		}
		if q.Engine && !q.Wide && !q.Isolated && random == randomCandidates {
			break
		}
	}
	return candidates, preferred
}

// comparison is the targets that are compared for a request: the near ones of its ranking, then
// the others, in each case preferred ones first.
type comparison struct {
	targets                           []*targetState
	near, preferredNear, preferredFar int
}

// compare returns the targets of the ranking to compare. It reorders them.
func (t *Table) compare(q Query, r ranking, now clock.Instant, daemons []string) comparison {
	near, preferredNear := t.candidates(q, r.targets[:r.near], r.preferredNear, maxCandidates, now, daemons)
	far, preferredFar := t.candidates(q, r.targets[r.near:], r.preferredFar, maxCandidates-len(near), now, daemons)
	return comparison{append(near, far...), len(near), preferredNear, preferredFar}
}

// hasPreferred reports whether any target is preferred to others.
func (c comparison) hasPreferred() bool { return c.preferredNear+c.preferredFar > 0 }

// preferred reports whether the target with the index is preferred to others of its group.
func (c comparison) preferred(i int) bool {
	if i < c.near {
		return i < c.preferredNear
	}
	return i-c.near < c.preferredFar
}

// preferFirst moves the targets with the indexes to the front, in their order, and returns
// their number.
func preferFirst(targets []*targetState, indexes []int) int {
	for to, from := range indexes {
		targets[to], targets[from] = targets[from], targets[to]
		for later := to + 1; later < len(indexes); later++ {
			if indexes[later] == to { // moved by the swap
				indexes[later] = from
			}
		}
	}
	return len(indexes)
}

// rendezvousRank returns the rank of a name for a key in rendezvous hashing. It
// mixes the two hashes with the finalizer of splitmix64.
func rendezvousRank(key, name uint64) uint64 {
	x := key ^ name*0x9e3779b97f4a7c15
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}
