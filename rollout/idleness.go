package rollout

import (
	"time"

	"rattanline.example/rattanline/clock"
)

const (
	// minIdleTime is how long no requests must be reported until targets count as idle. Reports
	// may be missing while hubs that were lost are replaced, which takes as long as their peers
	// count as live.
	minIdleTime = 2500 * time.Millisecond
	// maxIdleGap is the time without a look at the reports after which they start anew.
	maxIdleGap = 5 * judgeInterval
)

// idleness distinguishes targets without requests from targets whose requests are temporarily
// missing in the reports: reports pass through hubs, and if a hub is lost, the sums lack the
// requests of other daemons for a while. The zero value is ready to use.
type idleness struct{ since, looked clock.Instant }

// add adds the number of requests that are reported now, and reports whether the targets are idle.
func (i *idleness) add(now clock.Instant, requests int) bool {
	if requests > 0 || i.looked == 0 || now.Sub(i.looked) > maxIdleGap {
		i.since = now
	}
	i.looked = now
	return now.Sub(i.since) >= minIdleTime
}
