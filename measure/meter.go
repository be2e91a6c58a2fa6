package measure

import (
	"sync"
	"time"
)

// runningRequest is a request that runs at a target.
type runningRequest struct {
	account  string
	begin    time.Time
	duration time.Duration
	cost     float64
}

func (r *runningRequest) workDone(now time.Time) float64 {
	if r.duration <= 0 {
		return r.cost
	}
	return r.cost * min(1, float64(now.Sub(r.begin))/float64(r.duration))
}

// Meter sums the work that targets did for each account, including the completed
// fraction of running requests. It is independent of what dispatchers charge.
type Meter struct {
	mu      sync.Mutex
	served  map[string]float64
	running map[*runningRequest]bool
	waits   map[string][]time.Duration
}

// NewMeter returns a meter at zero.
func NewMeter() *Meter {
	return &Meter{served: map[string]float64{}, running: map[*runningRequest]bool{}, waits: map[string][]time.Duration{}}
}

func (m *Meter) requestStarted(r *runningRequest, waited time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.running[r] = true
	m.waits[r.account] = append(m.waits[r.account], waited)
}

func (m *Meter) requestEnded(r *runningRequest, now time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	delete(m.running, r)
	m.served[r.account] += r.workDone(now)
}

// Served returns the work done by now for each account, as the sum of costs.
func (m *Meter) Served(now time.Time) map[string]float64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	sum := make(map[string]float64, len(m.served))
	for account, value := range m.served {
		sum[account] = value
	}
	for r := range m.running {
		sum[r.account] += r.workDone(now)
	}
	return sum
}

// Waits returns how long the account's requests waited for a slot, in order of their
// start.
func (m *Meter) Waits(account string) []time.Duration {
	m.mu.Lock()
	defer m.mu.Unlock()
	return append([]time.Duration(nil), m.waits[account]...)
}
