// Package routing chooses among targets and bounds retries.
package routing

import (
	"sync"
	"time"

	"rattanline.example/rattanline/clock"
)

// windowParts is the number of parts in which a window is counted.
const windowParts = 10

// Budget bounds the retries in any span of time to a ratio of the requests in
// it and a fixed number, by service. It is safe for concurrent use; the fields
// are set before the first call.
type Budget struct {
	Window  time.Duration
	Ratio float64
	// Slack returns this daemon's part of the retries that the fleet may make
	// without requests.
	Slack func() float64

	mu       sync.Mutex
	services map[string]*windowCount
}

type windowCount struct {
	parts [windowParts + 1]struct {
		number            int64
		requests, retries int
	}
}

func (b *Budget) part(service string, now clock.Instant) (*windowCount, int64) {
	if b.services == nil {
		b.services = map[string]*windowCount{}
	}
	c := b.services[service]
	if c == nil {
		c = &windowCount{}
		b.services[service] = c
	}
	n := int64(now) / int64(b.Window/windowParts)
	if p := &c.parts[n%int64(len(c.parts))]; p.number != n {
		p.number, p.requests, p.retries = n, 0, 0
	}
	return c, n
}

// RecordRequest counts a request for the service.
func (b *Budget) RecordRequest(service string, now clock.Instant) {
	b.mu.Lock()
	defer b.mu.Unlock()
	c, n := b.part(service, now)
	c.parts[n%int64(len(c.parts))].requests++
}

// TryRetry takes one retry if the window allows it.
func (b *Budget) TryRetry(service string, now clock.Instant) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	c, n := b.part(service, now)
	requests, retries := 0, 0
	for _, p := range c.parts {
		if n-p.number <= windowParts {
			requests += p.requests
			retries += p.retries
		}
	}
	if float64(retries+1) > b.Ratio*float64(requests)+b.Slack() {
		return false
	}
	c.parts[n%int64(len(c.parts))].retries++
	return true
}
