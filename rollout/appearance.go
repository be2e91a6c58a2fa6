package rollout

import (
	"time"

	"rattanline.example/rattanline/clock"
	"rattanline.example/rattanline/mirror"
)

// orderDelay is how long the targets of a version that is new to their service get no requests:
// the order for the version may be received later than their entries.
const orderDelay = 1500 * time.Millisecond

// appearances holds when the versions of each service's targets were first seen, by service and
// version. Versions that were there from the start have the time zero.
type appearances map[string]map[string]clock.Instant

// with returns the appearances in the view, given those in the one before. Versions of a service
// with no other version count as there from the start.
func (a appearances) with(v *mirror.View, now clock.Instant, settled bool) appearances {
	next := appearances{}
	for _, t := range v.Targets {
		if next[t.Service] == nil {
			next[t.Service] = map[string]clock.Instant{}
		}
		before := a[t.Service]
		seen, ok := before[t.Version]
		if !ok && settled && len(before) > 0 {
			seen = now
		}
		next[t.Service][t.Version] = seen
	}
	return next
}

// recent reports whether the target's version appeared less than orderDelay ago.
func (a appearances) recent(t mirror.Target, now clock.Instant) bool {
	seen := a[t.Service][t.Version]
	return seen != 0 && now.Sub(seen) < orderDelay
}
