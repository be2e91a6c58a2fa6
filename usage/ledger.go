// Package usage keeps the normalised service that each client account received
// over the whole fleet. A Ledger belongs to one daemon; an Aggregate belongs to
// the coordinator of a failure domain.
//
// The counter of an account for a service is its normalised service plus an
// offset. Service is a sum of contributions with one writer each; offsets merge
// by maximum. Both tolerate loss, repetition and any order of messages.
package usage

import (
	"math"
	"sync"
)

// queueState is the part of a Backlog that a daemon keeps for its own queues.
type queueState struct {
	offset  float64
	waiting int
}

// Ledger holds the contributions of one daemon and its view of all others.
type Ledger struct {
	mu      sync.Mutex
	self    Source
	shares  func(account string) float64
	served  *versioned[string, float64]
	queues  *versioned[Queue, queueState]
	others  map[string]float64
	remote  map[Queue]queueState
	clock   *clock
	acked   Ack
	applied Ack
}

// NewLedger returns the ledger of one daemon run. The function shares returns
// the fair share of an account; costs are divided by it.
func NewLedger(self Source, shares func(account string) float64) *Ledger {
	c := &clock{}
	return &Ledger{
		self:   self,
		shares: shares,
		clock:  c,
		served: newVersioned[string, float64](c),
		queues: newVersioned[Queue, queueState](c),
		others: map[string]float64{},
		remote: map[Queue]queueState{},
	}
}

// Charge adds a cost in priced units to the account; a negative cost corrects
// an estimate that was too high.
func (l *Ledger) Charge(account string, cost float64) {
	share := l.shares(account)
	if share <= 0 || math.IsNaN(cost) || math.IsInf(cost, 0) {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.served.set(account, l.served.get(account)+cost/share)
}

// Normalise returns a cost divided by the share of the account.
func (l *Ledger) Normalise(account string, cost float64) float64 {
	share := l.shares(account)
	if share <= 0 {
		return 0
	}
	return cost / share
}

// Counter returns the counter that orders the account's queue for the service.
func (l *Ledger) Counter(service, account string) float64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.counter(Queue{Service: service, Account: account})
}

func (l *Ledger) counter(q Queue) float64 {
	return l.total(q.Account) + math.Max(l.queues.get(q).offset, l.remote[q].offset)
}

func (l *Ledger) total(account string) float64 {
	return l.others[account] + l.served.get(account)
}

// Total returns the normalised service of an account over the whole fleet.
func (l *Ledger) Total(account string) float64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.total(account)
}

// SetWaiting records whether this daemon has requests of the account waiting
// for the service. An account that starts to wait is lifted to the lowest
// counter of the accounts waiting for that service, so idle time earns no
// credit. The offset is kept for each service: a lift taken in a service that
// is far ahead must not hold the account back in another one. Where nobody
// waits, the account is lifted to the lowest counter at which one last waited:
// else it would be owed all that others received without a queue.
func (l *Ledger) SetWaiting(service, account string, waiting bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	q := Queue{Service: service, Account: account}
	state := l.queues.get(q)
	lowest, contended := l.lowest(service, account)
	if !waiting {
		if state.waiting > 0 {
			l.reach(service, math.Min(lowest, l.counter(q)))
		}
		state.waiting = 0
		l.queues.set(q, state)
		return
	}
	if state.waiting == 0 && l.remote[q].waiting == 0 {
		if !contended {
			lowest = l.counter(reached(service))
		}
		state.offset = math.Max(state.offset, lowest-l.total(account))
	}
	state.waiting = 1
	l.queues.set(q, state)
}

// reached is the queue whose offset is the lowest counter at which an account
// last waited for the service. It belongs to no account, so its counter is its
// offset, which merges by maximum over the fleet like all others.
func reached(service string) Queue { return Queue{Service: service} }

func (l *Ledger) reach(service string, counter float64) {
	if q := reached(service); counter > l.counter(q) {
		l.queues.set(q, queueState{offset: counter})
	}
}

// lowest returns the lowest counter of the other accounts that wait anywhere,
// infinite if there is none.
func (l *Ledger) lowest(service, except string) (float64, bool) {
	lowest, found := math.Inf(1), false
	visit := func(q Queue, s queueState) {
		if s.waiting > 0 && q.Service == service && q.Account != except {
			lowest, found = math.Min(lowest, l.counter(q)), true
		}
	}
	for q, s := range l.remote {
		visit(q, s)
	}
	for q, s := range l.queues.values {
		visit(q, s)
	}
	return lowest, found
}

// Floor returns the lowest counter of the accounts that wait for the service
// at other daemons, and whether there is one.
func (l *Ledger) Floor(service string) (float64, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	lowest, found := math.Inf(1), false
	for q, s := range l.remote {
		if s.waiting > 0 && q.Service == service {
			lowest, found = math.Min(lowest, l.counter(q)), true
		}
	}
	return lowest, found
}

// Report returns what changed since the receiver's last acknowledgement. A
// receiver other than the one that acknowledged gets everything.
func (l *Ledger) Report(receiver Source) Report {
	l.mu.Lock()
	defer l.mu.Unlock()
	since := uint64(0)
	if l.acked.Writer == receiver {
		since = l.acked.Version
	}
	r := Report{Writer: l.self, Since: since, Version: l.clock.version}
	l.served.since(since, func(account string, value float64) {
		r.Served = append(r.Served, Served{Account: account, Value: value})
	})
	l.queues.since(since, func(q Queue, s queueState) {
		r.Backlogs = append(r.Backlogs, Backlog{Queue: q, Offset: s.offset, Waiting: s.waiting})
	})
	return r
}

// Acknowledge records that the receiver holds the version of this ledger.
func (l *Ledger) Acknowledge(receiver Source, version uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.acked = Ack{Writer: receiver, Version: version}
}

// Applied returns the last version of the coordinator that the ledger holds.
func (l *Ledger) Applied() Ack {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.applied
}

// Apply takes over the view of the other daemons from a coordinator. A report
// that starts after the version held has a gap and is ignored.
func (l *Ledger) Apply(r Report) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.applied.Writer == r.Writer && r.Version < l.applied.Version {
		return // overtaken by a newer one
	}
	if r.Since == 0 {
		// The waiting sets of a former coordinator are out of date, while its
		// totals stay valid until the new one replaces them.
		for q, s := range l.remote {
			s.waiting = 0
			l.remote[q] = s
		}
	} else if l.applied.Writer != r.Writer || l.applied.Version < r.Since {
		return
	}
	for _, s := range r.Served {
		l.others[s.Account] = s.Value
	}
	for _, b := range r.Backlogs {
		l.remote[b.Queue] = queueState{offset: math.Max(b.Offset, l.remote[b.Queue].offset), waiting: b.Waiting}
	}
	l.applied = Ack{Writer: r.Writer, Version: r.Version}
}
