// Package routing chooses among targets and bounds retries.
package routing

import "sync"

// budgetWindow is the number of recent requests whose unused retries are kept:
// a longer memory would allow a burst of retries after a quiet time.
const budgetWindow = 1000

// Budget bounds retries to a ratio of the requests, so that a fleet that fails
// isn't loaded further by its own retries. It is safe for concurrent use.
type Budget struct {
	mu      sync.Mutex
	ratio   float64
	most    float64
	retries float64
}

// NewBudget returns a budget that allows reserve retries before any request.
func NewBudget(ratio float64, reserve int) *Budget {
	return &Budget{ratio: ratio, most: float64(reserve) + ratio*budgetWindow, retries: float64(reserve)}
}

// Request counts a first attempt.
func (b *Budget) Request() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.retries = min(b.retries+b.ratio, b.most)
}

// TryRetry takes one retry from the budget if there is one.
func (b *Budget) TryRetry() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	// Tenths don't add up exactly in binary.
	if b.retries < 1-1e-9 {
		return false
	}
	b.retries--
	return true
}
