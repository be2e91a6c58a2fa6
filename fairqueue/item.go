// Package fairqueue orders the waiting requests of one daemon by the work that was
// served to their client accounts.
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

// Expired reports whether the deadline has passed.
func (i *Item[T]) Expired(now time.Time) bool {
	return !i.Deadline.IsZero() && !now.Before(i.Deadline)
}

// before reports whether i precedes o of equal urgency: by deadline, then by
// arrival.
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

// itemHeap is a heap of items ordered by deadline.
type itemHeap[T any] []*Item[T]

var _ heap.Interface = (*itemHeap[int])(nil)

func (h itemHeap[T]) Len() int           { return len(h) }
func (h itemHeap[T]) Less(i, j int) bool { return h[i].before(h[j]) }

func (h itemHeap[T]) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].index, h[j].index = i, j
}

// Push implements heap.Interface.
func (h *itemHeap[T]) Push(x any) {
	item := x.(*Item[T])
	item.index = len(*h)
	*h = append(*h, item)
}

// Pop implements heap.Interface.
func (h *itemHeap[T]) Pop() any {
	old := *h
	last := len(old) - 1
	item := old[last]
	old[last] = nil
	*h = old[:last]
	item.index = -1
	return item
}

// first returns the first accepted item in the order of before.
func (h itemHeap[T]) first(accept func(*Item[T]) bool) *Item[T] {
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
