package edge

import (
	"github.com/cespare/xxhash/v2"

	"rattanline.example/rattanline/clock"
	"rattanline.example/rattanline/request"
)

// isolatedRank is the rank of a daemon that must not probe.
const isolatedRank = 1 << 20

// probeRank returns the position of this daemon in the order in which the daemons may probe a
// quarantined prompt segment. Each segment has another order, the same at all daemons. A daemon
// without contact to any peer, as after a suspension, may have missed the probe of another.
func (d *Daemon) probeRank(segment request.Segment) int {
	if d.isolated() {
		return isolatedRank
	}
	own, rank := probeHash(segment, d.self.Name), 0
	for _, name := range d.daemons() {
		if probeHash(segment, name) > own {
			rank++
		}
	}
	return rank
}

// isolated reports whether this daemon knows peers and has no contact to any of them.
func (d *Daemon) isolated() bool {
	now, peers := clock.Now(), d.exchange.Peers()
	for _, p := range peers {
		if p.Live(now) {
			return false
		}
	}
	return len(peers) > 0
}

func probeHash(segment request.Segment, daemon string) uint64 {
	return xxhash.Sum64String(segment.Model + "\x00" + segment.ID + "\x00" + daemon)
}
