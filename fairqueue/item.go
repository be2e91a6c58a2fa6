// Package fairqueue orders the waiting requests of one daemon by the service
// that their client accounts received.
package fairqueue

import (
	"container/heap"
	"time"
)

// Item is one waiting request.
type Item[T any] struct {
	Account  string
	Service  string
	Urgent   bool
	Deadline time.Time // zero means none
	Bytes    int64
	Value    T

	index    int // position in its heap, -1 when not queued
	sequence uint64
}

// Expired tells whether the deadline has passed.
func (i *Item[T]) Expired(now time.Time) bool {
	return !i.Deadline.IsZero() && !now.Before(i.Deadline)
}

// before orders items of equal urgency: earliest deadline, then arrival.
func (i *Item[T]) before(o *Item[T]) bool {
	switch {
	case i.Deadline.Equal(o.Deadline):
		return i.sequence < o.sequence
	case i.Deadline.IsZero():
		return false
	case o.Deadline.IsZero():
		return true
	default:
		return i.Deadline.Before(o.Deadline)
	}
}

// items is a heap by deadline.
type items[T any] []*Item[T]

var _ heap.Interface = (*items[int])(nil)

func (h items[T]) Len() int           { return len(h) }
func (h items[T]) Less(i, j int) bool { return h[i].before(h[j]) }

func (h items[T]) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].index, h[j].index = i, j
}

// Push implements heap.Interface.
func (h *items[T]) Push(x any) {
	item := x.(*Item[T])
	item.index = len(*h)
	*h = append(*h, item)
}

// Pop implements heap.Interface.
func (h *items[T]) Pop() any {
	old := *h
	last := len(old) - 1
	item := old[last]
	old[last] = nil
	*h = old[:last]
	item.index = -1
	return item
}

// first returns the earliest item that is accepted.
func (h items[T]) first(accept func(*Item[T]) bool) *Item[T] {
	if len(h) == 0 {
		return nil
	}
	if accept(h[0]) {
		return h[0]
	}
	var best *Item[T]
	for _, item := range h[1:] {
		if (best == nil || item.before(best)) && accept(item) {
			best = item
		}
	}
	return best
}
