package memory

import "sync"

// Shares bounds the bytes that each of several holders has at a time, such as the bodies in flight at
// each target. A holder that has none gets as many as it asks for, since it could never take a
// larger body otherwise. It is safe for concurrent use.
type Shares struct {
	// Limit is the largest number of bytes of one holder, set before the first call.
	Limit int64

	mu   sync.Mutex
	held map[string]int64 // by holder, none with zero
}

// Take gives n bytes to the holder, and reports whether they fit. They are returned with Return.
func (s *Shares) Take(holder string, n int64) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	held := s.held[holder]
	if held > 0 && n > s.Limit-held {
		return false
	}
	if s.held == nil {
		s.held = map[string]int64{}
	}
	if n > 0 {
		s.held[holder] = held + n
	}
	return true
}

// Return ends the use of n bytes by the holder.
func (s *Shares) Return(holder string, n int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.held[holder] -= n; s.held[holder] <= 0 {
		delete(s.held, holder)
	}
}

// Held returns the number of bytes that the holder has.
func (s *Shares) Held(holder string) int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.held[holder]
}
