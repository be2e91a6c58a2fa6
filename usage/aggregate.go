package usage

import (
	"math"
	"sync"
)

// contribution is the coordinator's record of the reports of one daemon run.
type contribution struct {
	writer   Source
	version  uint64
	reported bool // at least one report was applied
	served   map[string]float64
	queues   map[Queue]queueState
}

// domainView is the coordinator's record of the reports of another domain.
type domainView struct {
	writer  Source
	version uint64
	served  map[string]float64
	queues  map[Queue]queueState
}

// Aggregate sums the contributions of the daemons of one failure domain and the
// totals of the other domains. It belongs to the coordinator of the domain and is
// safe for concurrent use.
type Aggregate struct {
	mu      sync.Mutex
	self    Source
	clock   *clock
	daemons map[string]*contribution
	domains map[string]*domainView
	// retired has the normalised service charged by daemon runs that are gone, by
	// account.
	retired map[string]float64
	// restored has the amounts of retired that came from Restore. They may belong
	// to daemons and domains that had not reported by then.
	restored map[string]float64
	// local has the totals of this domain.
	local       *versioned[string, float64]
	localQueues *versioned[Queue, queueState]
	// fleet has the totals of all domains.
	fleet       *versioned[string, float64]
	fleetQueues *versioned[Queue, queueState]
}

// NewAggregate returns an empty aggregate for one term of one coordinator.
func NewAggregate(self Source) *Aggregate {
	c := &clock{}
	return &Aggregate{
		self:        self,
		clock:       c,
		daemons:     map[string]*contribution{},
		domains:     map[string]*domainView{},
		retired:     map[string]float64{},
		restored:    map[string]float64{},
		local:       newVersioned[string, float64](c),
		localQueues: newVersioned[Queue, queueState](c),
		fleet:       newVersioned[string, float64](c),
		fleetQueues: newVersioned[Queue, queueState](c),
	}
}

// ApplyReport applies a daemon's report and returns the version to acknowledge.
// Version zero requests a full report from the daemon.
func (a *Aggregate) ApplyReport(r Report) uint64 {
	a.mu.Lock()
	defer a.mu.Unlock()
	c := a.daemons[r.Writer.Daemon]
	if c != nil && c.writer != r.Writer {
		a.retire(c)
		c = nil
	}
	if c == nil {
		c = &contribution{writer: r.Writer, served: map[string]float64{}, queues: map[Queue]queueState{}}
		a.daemons[r.Writer.Daemon] = c
	}
	if r.Since > c.version {
		return 0
	}
	if r.Version < c.version {
		return c.version
	}
	first := !c.reported
	c.version, c.reported = r.Version, true
	for _, s := range r.Served {
		if first {
			a.deductRestored(s)
		}
		c.served[s.Account] = s.Value
		a.sumAccount(s.Account)
	}
	for _, b := range r.Backlogs {
		c.queues[b.Queue] = queueState{offset: b.Offset, waiting: b.Waiting}
		a.sumQueue(b.Queue)
	}
	return c.version
}

// Retire adds the service of a daemon that is gone to the retired service, so that
// the domain's total stays the same, and clears the daemon's waiting requests.
func (a *Aggregate) Retire(daemon string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if c := a.daemons[daemon]; c != nil {
		a.retire(c)
	}
}

func (a *Aggregate) retire(c *contribution) {
	delete(a.daemons, c.writer.Daemon)
	for account, value := range c.served {
		a.retired[account] += value
		a.sumAccount(account)
	}
	for q := range c.queues {
		a.sumQueue(q)
	}
}

// Restore raises the accounts' totals to those that a former coordinator reported,
// so that contributions of daemon runs that ended with it are not lost.
func (a *Aggregate) Restore(total func(account string) float64, accounts []string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, account := range accounts {
		if missing := total(account) - a.fleet.get(account); missing > 0 {
			a.retired[account] += missing
			a.restored[account] += missing
			a.sumAccount(account)
		}
	}
}

// deductRestored subtracts the first report of a daemon or domain from the restored
// amount, which contains it if its sender was unreachable when the coordinator
// changed. Service that was charged since then is subtracted as well, up to the
// restored amount.
func (a *Aggregate) deductRestored(s Served) {
	deduction := math.Min(a.restored[s.Account], s.Value)
	if deduction <= 0 {
		return
	}
	a.restored[s.Account] -= deduction
	a.retired[s.Account] -= deduction
	// The fleet's total may stay the same, but the total of the other daemons,
	// which is sent to this daemon, changes.
	a.fleet.touch(s.Account)
}

// ApplyDomain applies the report of another domain's coordinator and returns the
// version to acknowledge. Version zero requests a full report.
func (a *Aggregate) ApplyDomain(d DomainReport) uint64 {
	a.mu.Lock()
	defer a.mu.Unlock()
	v := a.domains[d.Domain]
	first := v == nil
	if v == nil || v.writer != d.Report.Writer {
		if d.Report.Since > 0 {
			return 0
		}
		fresh := &domainView{writer: d.Report.Writer, served: map[string]float64{}, queues: map[Queue]queueState{}}
		a.domains[d.Domain] = fresh
		a.carryOver(v, fresh)
		v = fresh
	}
	if d.Report.Since > v.version || d.Report.Version < v.version {
		return v.version
	}
	v.version = d.Report.Version
	for _, s := range d.Report.Served {
		if first {
			a.deductRestored(s)
		}
		v.served[s.Account] = s.Value
		a.sumAccount(s.Account)
	}
	for _, b := range d.Report.Backlogs {
		v.queues[b.Queue] = queueState{offset: b.Offset, waiting: b.Waiting}
		a.sumQueue(b.Queue)
	}
	return v.version
}

// carryOver copies the served totals of a domain into the view of its new
// coordinator. They stand in for totals that the new coordinator hasn't collected
// yet. The waiting requests are not copied, since the new coordinator reports them
// again.
func (a *Aggregate) carryOver(old, fresh *domainView) {
	if old == nil {
		return
	}
	for account, value := range old.served {
		fresh.served[account] = value
	}
	for q := range old.queues {
		a.sumQueue(q)
	}
}

// ClearDomainWaiting clears the waiting requests of an unreachable domain. Its
// accounts must not delay those that can still be served.
func (a *Aggregate) ClearDomainWaiting(domain string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	v := a.domains[domain]
	if v == nil {
		return
	}
	for q, s := range v.queues {
		s.waiting = 0
		v.queues[q] = s
		a.sumQueue(q)
	}
	// Requests a full report from the domain's coordinator.
	v.version = 0
}

// ClearDaemonWaiting clears the waiting requests of a silent daemon of this domain.
// Its service is kept, since its run may continue.
func (a *Aggregate) ClearDaemonWaiting(daemon string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	c := a.daemons[daemon]
	if c == nil || c.version == 0 {
		return
	}
	for q, s := range c.queues {
		s.waiting = 0
		c.queues[q] = s
		a.sumQueue(q)
	}
	// Requests a full report from the daemon.
	c.version = 0
}

func (a *Aggregate) sumAccount(account string) {
	sum := a.retired[account]
	for _, c := range a.daemons {
		sum += c.served[account]
	}
	a.local.set(account, sum)
	for _, v := range a.domains {
		sum += v.served[account]
	}
	a.fleet.set(account, sum)
}

func (a *Aggregate) sumQueue(q Queue) {
	sum := queueState{offset: a.localQueues.get(q).offset}
	for _, c := range a.daemons {
		sum = merge(sum, c.queues[q])
	}
	a.localQueues.set(q, sum)
	sum.offset = math.Max(sum.offset, a.fleetQueues.get(q).offset)
	for _, v := range a.domains {
		sum = merge(sum, v.queues[q])
	}
	a.fleetQueues.set(q, sum)
}

func merge(x, y queueState) queueState {
	return queueState{offset: math.Max(x.offset, y.offset), waiting: x.waiting + y.waiting}
}

// ReportFor returns the changes of the fleet's totals since the version that a
// daemon of this domain holds, without the daemon's own contribution.
func (a *Aggregate) ReportFor(daemon string, held Ack) Report {
	a.mu.Lock()
	defer a.mu.Unlock()
	own := a.daemons[daemon]
	if own == nil {
		own = &contribution{}
	}
	return a.report(held, a.fleet, a.fleetQueues, own)
}

// DomainReport returns the changes of this domain's totals since the version that
// another coordinator holds.
func (a *Aggregate) DomainReport(held Ack) Report {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.report(held, a.local, a.localQueues, &contribution{})
}

func (a *Aggregate) report(held Ack, served *versioned[string, float64], queues *versioned[Queue, queueState], own *contribution) Report {
	since := uint64(0)
	if held.Writer == a.self {
		since = held.Version
	}
	r := Report{Writer: a.self, Since: since, Version: a.clock.version}
	served.since(since, func(account string, value float64) {
		r.Served = append(r.Served, Served{Account: account, Value: value - own.served[account]})
	})
	queues.since(since, func(q Queue, s queueState) {
		waiting := s.waiting - own.queues[q].waiting
		r.Backlogs = append(r.Backlogs, Backlog{Queue: q, Offset: s.offset, Waiting: waiting})
	})
	return r
}

// DomainAck returns the version of another domain's totals that this aggregate
// holds, or the zero value if there is none.
func (a *Aggregate) DomainAck(domain string) Ack {
	a.mu.Lock()
	defer a.mu.Unlock()
	if v := a.domains[domain]; v != nil {
		return Ack{Writer: v.writer, Version: v.version}
	}
	return Ack{}
}
