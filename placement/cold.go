package placement

import (
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"rattanline.example/rattanline/clock"
)

// coldUntil returns the time until which the target is assumed to be cold.
// Targets of a failure domain whose evacuation ended may have been restarted.
func (t *Table) coldUntil(target *targetState) clock.Instant {
	end := target.coldUntil
	if d, ok := t.domains[target.Domain]; ok && d.restored != 0 {
		if _, coldTime := t.ColdRate(target.Service); coldTime > 0 {
			end = max(end, d.restored.Add(coldTime))
		}
	}
	return end
}

// coldSenders returns how many daemons may send to a cold target with the rate,
// in requests per second. It is at most one daemon for each request per second,
// but at least one daemon: as each daemon spaces its requests evenly, the target
// then receives at most twice the rate in any second if the rate is at least one.
func coldSenders(rate float64, daemons int) int {
	return max(1, min(daemons, int(rate)))
}

// maySendCold reports whether this daemon may send a request to the cold target
// now. The daemons with the highest rendezvous ranks for the target share its rate.
// A daemon that doesn't know the other daemons sends nothing, as it would add to
// that rate.
func (t *Table) maySendCold(target *targetState, now clock.Instant, daemons []string) bool {
	rate, _ := t.ColdRate(target.Service)
	if rate <= 0 {
		return true
	}
	if len(daemons) == 0 || now < target.nextCold {
		return false
	}
	own := rendezvousRank(target.hash, xxhash.Sum64String(t.Self))
	higher := 0
	for _, d := range daemons {
		if d != t.Self && rendezvousRank(target.hash, xxhash.Sum64String(d)) > own {
			higher++
		}
	}
	return higher < coldSenders(rate, len(daemons)) && slices.Contains(daemons, t.Self)
}

// coldInterval returns the interval between requests of this daemon to the cold
// target.
func (t *Table) coldInterval(target *targetState, daemons []string) time.Duration {
	rate, _ := t.ColdRate(target.Service)
	if rate <= 0 {
		return 0
	}
	return time.Duration(math.Ceil(float64(coldSenders(rate, len(daemons))) / rate * float64(time.Second)))
}
