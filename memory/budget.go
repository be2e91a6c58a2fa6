// Package memory accounts for the bytes that a daemon holds for requests. All of them come out of
// one budget: bytes are reserved before they are read or buffered, so that the daemon refuses work
// before it exceeds the memory of its host.
package memory

import (
	"sync/atomic"

	"github.com/pkg/errors"
)

// ErrExhausted is the error of a reservation that doesn't fit the budget.
var ErrExhausted = errors.New("memory budget exhausted")

// Budget bounds the bytes that are reserved at a time. It is safe for concurrent use.
type Budget struct {
	// Limit is the largest number of bytes that may be reserved, set before the first
	// reservation.
	Limit int64

	reserved atomic.Int64
	peak     atomic.Int64
	refused  atomic.Uint64
}

// Reserved returns the number of bytes that are reserved.
func (b *Budget) Reserved() int64 { return b.reserved.Load() }

// Peak returns the largest number of bytes that were reserved at a time.
func (b *Budget) Peak() int64 { return b.peak.Load() }

// Refused returns the number of reservations that didn't fit.
func (b *Budget) Refused() uint64 { return b.refused.Load() }

// Reservation returns an empty reservation of the budget.
func (b *Budget) Reservation() Reservation { return Reservation{budget: b} }

// take reserves n bytes, and reports whether they fit.
func (b *Budget) take(n int64) bool {
	for {
		old := b.reserved.Load()
		if n > b.Limit-old {
			b.refused.Add(1)
			return false
		}
		if b.reserved.CompareAndSwap(old, old+n) {
			b.recordPeak(old + n)
			return true
		}
	}
}

func (b *Budget) recordPeak(n int64) {
	for {
		old := b.peak.Load()
		if n <= old || b.peak.CompareAndSwap(old, n) {
			return
		}
	}
}

// Reservation is the part of a budget that one request uses. It is not safe for concurrent use.
type Reservation struct {
	budget *Budget
	bytes  int64
}

// Bytes returns the number of reserved bytes.
func (r *Reservation) Bytes() int64 { return r.bytes }

// Grow reserves n more bytes. The reservation is unchanged if they don't fit.
func (r *Reservation) Grow(n int64) error {
	if n > 0 && !r.budget.take(n) {
		return ErrExhausted
	}
	r.bytes += max(n, 0)
	return nil
}

// Shrink returns n bytes to the budget, at most all that are reserved.
func (r *Reservation) Shrink(n int64) {
	n = min(max(n, 0), r.bytes)
	if n == 0 {
		return
	}
	r.bytes -= n
	r.budget.reserved.Add(-n)
}

// Release returns all bytes to the budget.
func (r *Reservation) Release() { r.Shrink(r.bytes) }
