package admission

import (
	"math/rand/v2"
	"sync"

	"rattanline.example/rattanline/clock"
)

// Shedder divides the requests that one daemon can handle among the client accounts
// that send to it, by max-min fairness: an account with few requests is not refused
// because another one sends many. The zero value is ready for use. It is safe for
// concurrent use.
type Shedder struct {
	mu       sync.Mutex
	accounts map[string]*arrivals
	// level is the max-min fair share of an account in requests per second, as of
	// computed.
	level    float64
	computed clock.Instant
}

// arrivals are the requests of one account.
type arrivals struct {
	meter       // requests per second
	lastArrival clock.Instant
}

// Refuse counts a request of the account and reports whether to refuse it, given the
// fraction of all requests that the daemon has to refuse.
func (s *Shedder) Refuse(now clock.Instant, account string, fraction float64) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	a := s.accounts[account]
	if a == nil {
		if s.accounts == nil {
			s.accounts = map[string]*arrivals{}
		}
		a = &arrivals{}
		s.accounts[account] = a
	}
	a.add(now, 1)
	a.lastArrival = now
	if fraction <= 0 {
		return false
	}
	if now.Sub(s.computed) >= shareRefreshInterval {
		s.level, s.computed = s.computeLevel(now, fraction), now
	}
	return rand.Float64()*a.decayed(now) >= s.level
}

// computeLevel returns the share of each account if the fraction of all requests is
// refused. It removes idle accounts.
func (s *Shedder) computeLevel(now clock.Instant, fraction float64) float64 {
	total := 0.0
	rates := make([]float64, 0, len(s.accounts))
	for name, a := range s.accounts {
		if now.Sub(a.lastArrival) > accountRetention {
			delete(s.accounts, name)
			continue
		}
		rate := a.decayed(now)
		rates = append(rates, rate)
		total += rate
	}
	return MaxMinShare(rates, total*(1-fraction))
}
