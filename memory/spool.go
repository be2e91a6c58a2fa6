package memory

import (
	"io"
	"sync"
	"time"
)

const (
	// firstSpoolBytes is the first capacity of a spool's buffer.
	firstSpoolBytes = 1 << 10
	// maxSpareBytes is the largest capacity that is kept for further bytes once it was written.
	maxSpareBytes = 16 << 10
)

// Spool passes bytes on to a destination that may accept them slowly, so that their source needn't
// wait for it. What it holds is reserved. Once the limit or the budget is reached Write blocks, so
// that the source is slowed down to the speed of the destination. The exported fields are set
// before the first Write. Write and Close are called by one goroutine.
type Spool struct {
	Destination io.Writer
	// Flush is called when all bytes so far were written to Destination.
	Flush func() error
	// Budget is what the buffers are reserved from.
	Budget *Budget
	// Limit is the number of bytes above which Write blocks.
	Limit int

	mu      sync.Mutex
	changed sync.Cond // on mu: bytes were added or written, or the spool was closed
	started bool
	ended   chan struct{} // closed when the writing goroutine ends
	closed  bool
	err     error // of Destination or Flush

	reservation Reservation
	pending     []byte // to be written next
	spare       []byte // an empty buffer
	writing     int    // bytes that are being written
	// unbuffered is a slice of the caller of Write, which waits until it is written.
	unbuffered []byte
	// longest is the longest time for which a Write was blocked.
	longest time.Duration
}

// Write adds the bytes, which are written to the destination later. The error is that of an earlier
// write.
func (s *Spool) Write(p []byte) (int, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.start()
	if s.err == nil && !s.add(p) {
		s.block(p)
	}
	if s.err != nil {
		return 0, s.err
	}
	s.changed.Broadcast()
	return len(p), nil
}

// block waits until the bytes were added, or written without a buffer if the budget has no room for
// them.
func (s *Spool) block(p []byte) {
	begin := time.Now()
	defer func() { s.longest = max(s.longest, time.Since(begin)) }()
	for s.err == nil && s.held() > 0 {
		s.changed.Wait()
		if s.err == nil && s.add(p) {
			return
		}
	}
	if s.err != nil {
		return
	}
	s.unbuffered = p
	s.changed.Broadcast()
	for s.err == nil && s.unbuffered != nil {
		s.changed.Wait()
	}
	s.unbuffered = nil
}

func (s *Spool) held() int { return len(s.pending) + s.writing }

// add appends the bytes to those that are pending, and reports whether they fit.
func (s *Spool) add(p []byte) bool {
	if s.held() > 0 && s.held()+len(p) > s.Limit {
		return false
	}
	need := len(s.pending) + len(p)
	if size := cap(s.pending); need > size {
		larger := max(need, 2*size, firstSpoolBytes)
		if s.reservation.Grow(int64(larger)) != nil {
			return false
		}
		s.pending = append(make([]byte, 0, larger), s.pending...)
		s.reservation.Shrink(int64(size))
	}
	s.pending = append(s.pending, p...)
	return true
}

// Blocked returns the longest time for which a Write waited for the destination.
func (s *Spool) Blocked() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.longest
}

// Close waits until all bytes were written, or the destination fails. It returns the error of the
// destination. Its memory is returned to the budget.
func (s *Spool) Close() error {
	s.mu.Lock()
	s.closed = true
	if s.started {
		s.changed.Broadcast()
		s.mu.Unlock()
		<-s.ended
		s.mu.Lock()
	}
	defer s.mu.Unlock()
	s.pending, s.spare = nil, nil
	s.reservation.Release()
	return s.err
}

func (s *Spool) start() {
	if s.started {
		return
	}
	s.started, s.ended = true, make(chan struct{})
	s.changed.L, s.reservation = &s.mu, s.Budget.Reservation()
	go s.run()
}

// run writes to the destination what is added, until the spool is closed and empty or the
// destination fails.
func (s *Spool) run() {
	s.mu.Lock()
	defer s.mu.Unlock()
	defer close(s.ended)
	for s.err == nil {
		switch {
		case len(s.pending) > 0:
			s.writePending()
		case s.unbuffered != nil:
			s.writeOut(s.unbuffered)
			s.unbuffered = nil
		case s.closed:
			return
		default:
			s.changed.Wait()
			continue
		}
		s.changed.Broadcast()
	}
}

// writePending writes all pending bytes, while further ones may be added to the other buffer.
func (s *Spool) writePending() {
	full := s.pending
	s.pending, s.spare = s.spare[:0], nil
	s.writing = len(full)
	s.writeOut(full)
	s.writing = 0
	switch {
	case cap(full) > maxSpareBytes:
		s.reservation.Shrink(int64(cap(full)))
	case s.pending == nil:
		s.pending = full[:0]
	default:
		s.spare = full[:0]
	}
}

// writeOut writes the bytes with the lock released. The writer of a response may keep parts of them
// until it is flushed, which is left out while more bytes are pending.
func (s *Spool) writeOut(p []byte) {
	s.mu.Unlock()
	_, err := s.Destination.Write(p)
	s.mu.Lock()
	if err == nil && len(s.pending) == 0 {
		s.mu.Unlock()
		err = s.Flush()
		s.mu.Lock()
	}
	if s.err == nil {
		s.err = err
	}
}
