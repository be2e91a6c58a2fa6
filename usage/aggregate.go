package usage

import (
	"math"
	"sync"
)

// contribution is what one daemon run reported, as the coordinator holds it.
type contribution struct {
	writer  Source
	version uint64
	heard   bool // a report was applied
	served  map[string]float64
	queues  map[Queue]queueState
}

// domainView is what another coordinator reported about its domain.
type domainView struct {
	writer  Source
	version uint64
	served  map[string]float64
	queues  map[Queue]queueState
}

// Aggregate sums the contributions of the daemons of one failure domain and
// the totals of the other domains. A coordinator owns it.
type Aggregate struct {
	mu      sync.Mutex
	self    Source
	clock   *clock
	daemons map[string]*contribution
	domains map[string]*domainView
	// retired keeps the service charged by daemon runs that are gone.
	retired map[string]float64
	// restored is the part of retired that came from Restore and may belong to
	// daemons and domains that weren't heard by then.
	restored map[string]float64
	// local are the totals of this domain, fleet those of all domains.
	local       *versioned[string, float64]
	localQueues *versioned[Queue, queueState]
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

// ApplyReport takes a daemon's report and returns the version to acknowledge:
// zero asks the daemon for everything.
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
	first := !c.heard
	c.version, c.heard = r.Version, true
	for _, s := range r.Served {
		if first {
			a.identify(s)
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

// Retire folds the contribution of a gone daemon into the domain's total and
// clears its waiting requests.
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

// Restore raises the domain's totals to what a former coordinator had reported,
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

// identify takes the first report of a daemon or domain out of the restored
// amount, which contains it if it was out of reach when the coordinator changed.
// What it charged since then is taken out as well, at most the restored amount.
func (a *Aggregate) identify(s Served) {
	part := math.Min(a.restored[s.Account], s.Value)
	if part <= 0 {
		return
	}
	a.restored[s.Account] -= part
	a.retired[s.Account] -= part
	// The fleet's total may stay the same, but not that of the others, which
	// the daemon is sent.
	a.fleet.touch(s.Account)
}

// ApplyDomain takes over the report of another domain's coordinator and returns
// the version to acknowledge: zero asks for everything.
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
		a.replaceDomain(v, fresh)
		v = fresh
	}
	if d.Report.Since > v.version || d.Report.Version < v.version {
		return v.version
	}
	v.version = d.Report.Version
	for _, s := range d.Report.Served {
		if first {
			a.identify(s)
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

// replaceDomain keeps the served totals of a domain while its new coordinator
// collects them again; its waiting requests are reported anew.
func (a *Aggregate) replaceDomain(old, fresh *domainView) {
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

// ClearDomainWaiting clears the waiting requests of a domain that can't be reached:
// its accounts must not hold back those that can still be served.
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
	// The next report of that coordinator must bring everything again.
	v.version = 0
}

// ClearDaemonWaiting clears the waiting requests of a daemon of this domain that is
// silent. Its service stays, since its run may continue.
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
	// The next report must bring everything again.
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
		sum = join(sum, c.queues[q])
	}
	a.localQueues.set(q, sum)
	sum.offset = math.Max(sum.offset, a.fleetQueues.get(q).offset)
	for _, v := range a.domains {
		sum = join(sum, v.queues[q])
	}
	a.fleetQueues.set(q, sum)
}

func join(x, y queueState) queueState {
	return queueState{offset: math.Max(x.offset, y.offset), waiting: x.waiting + y.waiting}
}

// ReportFor returns what a daemon of this domain lacks of the fleet's totals,
// without the daemon's own contribution.
func (a *Aggregate) ReportFor(daemon string, held Ack) Report {
	a.mu.Lock()
	defer a.mu.Unlock()
	own := a.daemons[daemon]
	if own == nil {
		own = &contribution{}
	}
	return a.report(held, a.fleet, a.fleetQueues, own)
}

// DomainReport returns what another coordinator lacks of this domain's totals.
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

// DomainAck returns the version held of another domain's report.
func (a *Aggregate) DomainAck(domain string) Ack {
	a.mu.Lock()
	defer a.mu.Unlock()
	if v := a.domains[domain]; v != nil {
		return Ack{Writer: v.writer, Version: v.version}
	}
	return Ack{}
}
