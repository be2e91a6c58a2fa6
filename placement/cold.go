package placement

import (
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"rattanline.example/rattanline/clock"
)

// coldEnd returns until when the target is taken to be cold. Those of a failure
// domain that is taken back after an evacuation may have been restarted.
func (t *Table) coldEnd(g *target) clock.Instant {
	end := g.cold
	if d, ok := t.domains[g.Domain]; ok && d.restored != 0 {
		if _, coldTime := t.ColdRate(g.Service); coldTime > 0 {
			end = max(end, d.restored.Add(coldTime))
		}
	}
	return end
}

// senders returns how many daemons send to a cold target of the rate, at most
// one for each request per second: with a daemon's requests spaced evenly, any
// second then sees at most twice the rate.
func senders(rate float64, daemons int) int {
	return max(1, min(daemons, int(rate)))
}

// mayWarm tells whether this daemon may send the next request to the cold
// target. The daemons with the highest ranks for it share its rate.
func (t *Table) mayWarm(g *target, now clock.Instant, daemons []string) bool {
	rate, _ := t.ColdRate(g.Service)
	if rate <= 0 {
		return true
	}
	if len(daemons) == 0 || now < g.next {
		return false
	}
	own := rank(g.hash, xxhash.Sum64String(t.Self))
	higher := 0
	for _, d := range daemons {
		if d != t.Self && rank(g.hash, xxhash.Sum64String(d)) > own {
			higher++
		}
	}
	return higher < senders(rate, len(daemons)) && slices.Contains(daemons, t.Self)
}

// coldSpacing returns the time between two requests of this daemon to the cold
// target.
func (t *Table) coldSpacing(g *target, daemons []string) time.Duration {
	rate, _ := t.ColdRate(g.Service)
	if rate <= 0 {
		return 0
	}
	return time.Duration(math.Ceil(float64(senders(rate, len(daemons))) / rate * float64(time.Second)))
}
