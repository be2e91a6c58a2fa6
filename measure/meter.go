package measure

import (
	"sync"
	"time"
)

// work is a request that runs at a target.
type work struct {
	account  string
	begin    time.Time
	duration time.Duration
	cost     float64
}

func (w *work) done(now time.Time) float64 {
	if w.duration <= 0 {
		return w.cost
	}
	return w.cost * min(1, float64(now.Sub(w.begin))/float64(w.duration))
}

// Meter adds up the work that targets did for each account, including the part
// of the requests that still run. It doesn't depend on what dispatchers charge.
type Meter struct {
	mu      sync.Mutex
	served  map[string]float64
	running map[*work]bool
	waits   map[string][]time.Duration
}

// NewMeter returns a meter at zero.
func NewMeter() *Meter {
	return &Meter{served: map[string]float64{}, running: map[*work]bool{}, waits: map[string][]time.Duration{}}
}

func (m *Meter) start(w *work, waited time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.running[w] = true
	m.waits[w.account] = append(m.waits[w.account], waited)
}

func (m *Meter) end(w *work, now time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	delete(m.running, w)
	m.served[w.account] += w.done(now)
}

// Served returns the work done so far for each account.
func (m *Meter) Served(now time.Time) map[string]float64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	sum := make(map[string]float64, len(m.served))
	for account, value := range m.served {
		sum[account] = value
	}
	for w := range m.running {
		sum[w.account] += w.done(now)
	}
	return sum
}

// Waits returns how long the account's requests waited, in order of their start.
func (m *Meter) Waits(account string) []time.Duration {
	m.mu.Lock()
	defer m.mu.Unlock()
	return append([]time.Duration(nil), m.waits[account]...)
}
