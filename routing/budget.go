// Package routing selects targets and limits retries.
package routing

import (
	"sync"
	"time"

	"rattanline.example/rattanline/clock"
)

// windowBuckets is the number of buckets in which a window is counted.
const windowBuckets = 10

// Budget limits the retries of each service in any window to a ratio of its requests plus a fixed
// number. The requests are those of that window, of the one before it, or of the one half a window
// before it, whichever has the most. Each arrival at a target beyond the first of its request is a
// retry, also one that the target rejects. Budget is safe for concurrent use; the exported fields
// are set before the first call.
type Budget struct {
	Window time.Duration
	Ratio  float64
	// Slack returns this daemon's share of the retries that the fleet may make in a
	// window regardless of the number of requests.
	Slack func() float64

	mu       sync.Mutex
	services map[string]*window
}

// window counts requests and retries in the current bucket, which is incomplete, and in those of
// the two windows before it.
type window struct {
	buckets [2*windowBuckets + 1]struct {
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
	if float64(w.retries(n)+1) > b.Ratio*float64(w.base(n))+b.Slack() {
		return false
	}
	w.buckets[n%int64(len(w.buckets))].retries++
	return true
}

// retries returns the retries of the last window, including the whole bucket in which it begins.
func (w *window) retries(current int64) int {
	n := 0
	for _, b := range w.buckets {
		if current-b.index <= windowBuckets {
			n += b.retries
		}
	}
	return n
}

// base returns the requests that allow retries now. The retry counts in each window that contains
// now, of which only the part until now is known; base is the lowest number that one of these
// windows allows by the requests until now.
func (w *window) base(current int64) int {
	lowest := w.requests(current, 0, windowBuckets)
	for begin := 1; begin <= windowBuckets; begin++ { // how many buckets ago a window began
		inside := w.requests(current, 0, begin)
		halfBefore := w.requests(current, max(begin-windowBuckets/2, 0), begin+windowBuckets/2)
		before := w.requests(current, begin, begin+windowBuckets)
		lowest = min(lowest, max(inside, halfBefore, before))
	}
	return lowest
}

// requests returns the requests of the buckets whose ages are at least from and less than to. The
// current bucket has age zero.
func (w *window) requests(current int64, from, to int) int {
	n := 0
	for age := from; age < to; age++ {
		index := current - int64(age)
		if b := w.buckets[max(index, 0)%int64(len(w.buckets))]; b.index == index {
			n += b.requests
		}
	}
	return n
}
