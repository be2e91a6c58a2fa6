package routing

import (
	"sync"
	"time"

	"rattanline.example/rattanline/clock"
)

// Share divides the retries that a fleet may make regardless of its requests equally among its
// daemons. It answers the load after a failure of many daemons: they start at once, know neither
// each other nor what they spent before, and their targets refuse work. So a daemon has no share in
// the first window after its start, in which its previous run may have spent one, and daemons that
// were last known within a window count, because what they spent counts too. Share is safe for
// concurrent use; the exported fields are set before the first call.
type Share struct {
	Total   float64
	Window  time.Duration
	Started clock.Instant

	mu      sync.Mutex
	buckets [windowBuckets + 1]struct {
		index   int64 // since instant zero
		daemons int   // the most that were known in the bucket
	}
}

// Of returns the share of one daemon, given the number of daemons that are known now.
func (s *Share) Of(daemons int, now clock.Instant) float64 {
	most := s.mostDaemons(daemons, now)
	if now.Sub(s.Started) < s.Window {
		return 0
	}
	return s.Total / float64(most)
}

// mostDaemons records how many daemons are known, and returns the most that were known within the
// last window, at least one.
func (s *Share) mostDaemons(daemons int, now clock.Instant) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	n := int64(now) / int64(max(s.Window/windowBuckets, 1))
	current := &s.buckets[n%int64(len(s.buckets))]
	if current.index != n {
		current.index, current.daemons = n, 0
	}
	current.daemons = max(current.daemons, daemons)
	most := 1
	for _, b := range s.buckets {
		if n-b.index <= windowBuckets {
			most = max(most, b.daemons)
		}
	}
	return most
}
