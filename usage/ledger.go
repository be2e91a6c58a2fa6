// Package usage records the normalised service that each client account received
// in the whole fleet: the cost of its requests divided by its fair share. This is
// the amount of service in the sense of fair queueing; the service of a Queue is
// one that the configuration names. A Ledger belongs to one daemon; an Aggregate
// belongs to the coordinator of a failure domain.
//
// The counter of an account for a service is its normalised service plus an
// offset. Normalised service is a sum of contributions with one writer each;
// offsets merge by maximum. Both tolerate loss, repetition and reordering of
// messages.
package usage

import (
	"math"
	"sync"
)

// queueState is the state of one queue as in a Backlog.
type queueState struct {
	offset  float64
	waiting int
}

// Ledger holds the contributions of one daemon and its view of all others. It is
// safe for concurrent use.
type Ledger struct {
	mu           sync.Mutex
	self         Source
	shares       func(account string) float64
	served       *versioned[string, float64]
	queues       *versioned[Queue, queueState]
	remoteServed map[string]float64
	remoteQueues map[Queue]queueState
	clock        *clock
	acked        Ack // receiver that acknowledged last, as Writer, and the version it holds
	applied      Ack // writer and version of the last applied report
}

// NewLedger returns an empty ledger for one daemon run. The function shares returns
// the fair share of an account, by which costs are divided.
func NewLedger(self Source, shares func(account string) float64) *Ledger {
	c := &clock{}
	return &Ledger{
		self:         self,
		shares:       shares,
		clock:        c,
		served:       newVersioned[string, float64](c),
		queues:       newVersioned[Queue, queueState](c),
		remoteServed: map[string]float64{},
		remoteQueues: map[Queue]queueState{},
	}
}

// Charge adds a cost in priced units to the account. A negative cost corrects an
// estimate that was too high. Accounts without a share are not charged.
func (l *Ledger) Charge(account string, cost float64) {
	share := l.shares(account)
	if share <= 0 || math.IsNaN(cost) || math.IsInf(cost, 0) {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.served.set(account, l.served.get(account)+cost/share)
}

// Normalise returns a cost divided by the fair share of the account, or zero if the
// account has none.
func (l *Ledger) Normalise(account string, cost float64) float64 {
	share := l.shares(account)
	if share <= 0 {
		return 0
	}
	return cost / share
}

// Counter returns the counter of the account for the service. The queue with the
// lowest counter is served first.
func (l *Ledger) Counter(service, account string) float64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.counter(Queue{Service: service, Account: account})
}

func (l *Ledger) counter(q Queue) float64 {
	return l.total(q.Account) + math.Max(l.queues.get(q).offset, l.remoteQueues[q].offset)
}

func (l *Ledger) total(account string) float64 {
	return l.remoteServed[account] + l.served.get(account)
}

// Total returns the normalised service of an account in the whole fleet.
func (l *Ledger) Total(account string) float64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.total(account)
}

// SetWaiting records whether this daemon has requests of the account waiting
// for the service. The counter of an account that starts to wait is raised to the
// lowest counter of the accounts waiting for that service, so that idle time earns
// no credit. Offsets are kept by service: an account raised in a service with high
// counters must not be delayed in another service. If no account waits, the counter
// is raised to the lowest counter among the accounts that waited when one of them
// last stopped waiting. Otherwise the account would be owed all service that others
// received without a queue.
func (l *Ledger) SetWaiting(service, account string, waiting bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	q := Queue{Service: service, Account: account}
	state := l.queues.get(q)
	lowest, othersWait := l.lowestWaiting(service, account)
	if !waiting {
		if state.waiting > 0 {
			l.raiseLastWait(service, math.Min(lowest, l.counter(q)))
		}
		state.waiting = 0
		l.queues.set(q, state)
		return
	}
	if state.waiting == 0 && l.remoteQueues[q].waiting == 0 {
		if !othersWait {
			lowest = l.counter(lastWaitQueue(service))
		}
		state.offset = math.Max(state.offset, lowest-l.total(account))
	}
	state.waiting = 1
	l.queues.set(q, state)
}

// lastWaitQueue returns the queue whose offset records the lowest counter among the
// accounts that waited for the service when one of them last stopped waiting. The
// queue belongs to no account, so its counter is its offset, which merges by maximum
// over the fleet like all offsets.
func lastWaitQueue(service string) Queue { return Queue{Service: service} }

// raiseLastWait raises the counter of the service's lastWaitQueue; it never lowers
// it.
func (l *Ledger) raiseLastWait(service string, counter float64) {
	if q := lastWaitQueue(service); counter > l.counter(q) {
		l.queues.set(q, queueState{offset: counter})
	}
}

// lowestWaiting returns the lowest counter of the accounts other than except that
// wait for the service at any daemon, and whether there is one. Without one the
// counter is positive infinity.
func (l *Ledger) lowestWaiting(service, except string) (float64, bool) {
	lowest, found := math.Inf(1), false
	visit := func(q Queue, s queueState) {
		if s.waiting > 0 && q.Service == service && q.Account != except {
			lowest, found = math.Min(lowest, l.counter(q)), true
		}
	}
	for q, s := range l.remoteQueues {
		visit(q, s)
	}
	for q, s := range l.queues.values {
		visit(q, s)
	}
	return lowest, found
}

// Floor returns the lowest counter of the accounts that wait for the service at
// other daemons, and whether there is one. Without one the counter is positive
// infinity.
func (l *Ledger) Floor(service string) (float64, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	lowest, found := math.Inf(1), false
	for q, s := range l.remoteQueues {
		if s.waiting > 0 && q.Service == service {
			lowest, found = math.Min(lowest, l.counter(q)), true
		}
	}
	return lowest, found
}

// Report returns the changes since the receiver's last acknowledgement, or a full
// report if another receiver acknowledged last.
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

// Acknowledge records that the receiver holds the given version of this ledger.
func (l *Ledger) Acknowledge(receiver Source, version uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.acked = Ack{Writer: receiver, Version: version}
}

// Applied returns the writer and version of the last report that Apply accepted.
func (l *Ledger) Applied() Ack {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.applied
}

// Apply applies a coordinator's report of the totals of the other daemons. It
// ignores a report that is older than the version held from the same coordinator.
// Unless a report is full, it must come from the same coordinator and start at or
// before the version held; otherwise changes would be missing and it is ignored.
func (l *Ledger) Apply(r Report) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.applied.Writer == r.Writer && r.Version < l.applied.Version {
		return // a newer report has arrived first
	}
	if r.Since == 0 {
		// The waiting requests reported so far are out of date, while the totals
		// of a former coordinator stay valid until the new one replaces them.
		for q, s := range l.remoteQueues {
			s.waiting = 0
			l.remoteQueues[q] = s
		}
	} else if l.applied.Writer != r.Writer || l.applied.Version < r.Since {
		return
	}
	for _, s := range r.Served {
		l.remoteServed[s.Account] = s.Value
	}
	for _, b := range r.Backlogs {
		l.remoteQueues[b.Queue] = queueState{offset: math.Max(b.Offset, l.remoteQueues[b.Queue].offset), waiting: b.Waiting}
	}
	l.applied = Ack{Writer: r.Writer, Version: r.Version}
}
