// Package routing selects targets and limits retries.
package routing

import (
	"sync"
	"time"

	"rattanline.example/rattanline/clock"
)

// windowBuckets is the number of buckets in which a window is counted.
const windowBuckets = 10

// Budget limits the retries of each service in a sliding window to a ratio of its
// requests in the window plus a fixed number. It is safe for concurrent use; the
// exported fields are set before the first call.
type Budget struct {
	Window time.Duration
	Ratio  float64
	// Slack returns this daemon's share of the retries that the fleet may make in a
	// window regardless of the number of requests.
	Slack func() float64

	mu       sync.Mutex
	services map[string]*window
}

// window counts requests and retries in the current bucket, which is incomplete,
// and in the windowBuckets ones before it.
type window struct {
	buckets [windowBuckets + 1]struct {
		index             int64 // since instant zero
		requests, retries int
	}
}

// currentBucket returns the window of the service and the index of the bucket for
// now, which it resets if it holds older counts.
func (b *Budget) currentBucket(service string, now clock.Instant) (*window, int64) {
	if b.services == nil {
		b.services = map[string]*window{}
	}
	w := b.services[service]
	if w == nil {
		w = &window{}
		b.services[service] = w
	}
	n := int64(now) / int64(b.Window/windowBuckets)
	if bucket := &w.buckets[n%int64(len(w.buckets))]; bucket.index != n {
		bucket.index, bucket.requests, bucket.retries = n, 0, 0
	}
	return w, n
}

// RecordRequest counts a request for the service.
func (b *Budget) RecordRequest(service string, now clock.Instant) {
	b.mu.Lock()
	defer b.mu.Unlock()
	w, n := b.currentBucket(service, now)
	w.buckets[n%int64(len(w.buckets))].requests++
}

// TryRetry reports whether a retry for the service is within the budget, and
// counts it if so.
func (b *Budget) TryRetry(service string, now clock.Instant) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	w, n := b.currentBucket(service, now)
	requests, retries := 0, 0
	for _, bucket := range w.buckets {
		if n-bucket.index <= windowBuckets {
			requests += bucket.requests
			retries += bucket.retries
		}
	}
	if float64(retries+1) > b.Ratio*float64(requests)+b.Slack() {
		return false
	}
	w.buckets[n%int64(len(w.buckets))].retries++
	return true
}
