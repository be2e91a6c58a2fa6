package quarantine

import (
	"rattanline.example/rattanline/clock"
	"rattanline.example/rattanline/request"
)

// maxAnswered is the number of segments of one generation of answeredSegments.
const maxAnswered = 4096

// answeredSegments holds when targets last answered requests with a segment. It keeps two
// generations: once the younger one is full, the older one is dropped.
type answeredSegments struct {
	young, old map[request.Segment]clock.Instant
}

func (a *answeredSegments) add(s request.Segment, at clock.Instant) {
	if a.young == nil || len(a.young) >= maxAnswered {
		a.young, a.old = make(map[request.Segment]clock.Instant), a.young
	}
	a.young[s] = max(at, a.young[s])
}

// last returns when the segment was last answered, zero if that isn't known.
func (a *answeredSegments) last(s request.Segment) clock.Instant {
	return max(a.young[s], a.old[s])
}
