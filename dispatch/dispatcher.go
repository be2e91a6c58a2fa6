// Package dispatch schedules the requests of one daemon. Its Dispatcher assigns
// waiting requests to slots in the order of fair shares, renews the leases of the
// slots that the daemon holds, and grants the slots of the targets that it owns.
package dispatch

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/cespare/xxhash/v2"
	"golang.org/x/sync/errgroup"

	"rattanline.example/rattanline/config"
	"rattanline.example/rattanline/fairqueue"
	"rattanline.example/rattanline/limit"
	"rattanline.example/rattanline/member"
	"rattanline.example/rattanline/port"
	"rattanline.example/rattanline/slot"
	"rattanline.example/rattanline/timeline"
	"rattanline.example/rattanline/usage"
)

// Limit is the concurrency limit of an owned target.
type Limit = slot.Limit

// Dispatcher implements port.Scheduler. The exported fields must be set before the
// first call of a method. All functions among them except Load are called while
// the dispatcher is locked, so they must not call its methods.
type Dispatcher struct {
	Self    usage.Source
	Domain  string
	Address string // address at which other daemons reach this one
	Ledger  *usage.Ledger
	Link    port.Link

	View func() member.View
	// Authority returns this daemon's share of the limits of its targets, and
	// whether its owner lease is valid.
	Authority     func(time.Time) (member.Share, bool)
	Configuration func() config.Document
	// HostLeaving reports whether the host list marks a host as leaving; may be nil.
	HostLeaving func(host string) bool
	// Load fetches the load report of an owned target; may be nil.
	Load     func(ctx context.Context, t config.Target) (limit.Load, error)
	NewLimit func(config.Target) Limit
	// Choose selects one of the targets with free slots; nil means ChooseMostFree.
	Choose  func([]Candidate) (Candidate, bool)
	Record  timeline.Recorder // may be nil
	Metrics *metrics.Set      // may be nil
	Times   Times

	once         sync.Once
	mu           sync.Mutex
	pendingCalls sync.WaitGroup
	context      context.Context // context of Run, once it was called; parent of the contexts of calls
	queues       *fairqueue.Queues[*waiter]
	owner        *slot.Owner
	holder       *slot.Holder
	random       *rand.Rand
	index        *index
	costs        costs
	floorGrowth  map[string]*growthRate   // by service
	durations    map[string]time.Duration // by service
	peers        map[usage.Source]*peer
	observed     map[string]*observation  // by target
	latencies    map[string]time.Duration // by target
	failing      map[string]bool          // targets whose last attempt failed
	polling      map[string]bool          // targets whose load report is being fetched
	running      int
	stopping     bool
	runEnded     bool // Run has returned or is about to
	renewalDue   bool // demand, returns or observations may have to be sent
	metric       dispatchMetrics
}

var _ port.Scheduler = (*Dispatcher)(nil)

func (d *Dispatcher) setup() {
	d.once.Do(func() {
		d.Times = d.Times.withDefaults()
		if d.Choose == nil {
			d.Choose = ChooseMostFree
		}
		if d.Metrics == nil {
			d.Metrics = metrics.NewSet()
		}
		d.context = context.Background()
		d.queues = fairqueue.New[*waiter](d.Ledger.Counter)
		d.costs = newCosts()
		d.floorGrowth = map[string]*growthRate{}
		d.durations = map[string]time.Duration{}
		d.peers = map[usage.Source]*peer{}
		d.observed = map[string]*observation{}
		d.latencies = map[string]time.Duration{}
		d.failing = map[string]bool{}
		d.polling = map[string]bool{}
		d.index = &index{}
		d.random = rand.New(rand.NewPCG(xxhash.Sum64String(d.Self.Daemon), xxhash.Sum64String(d.Self.Incarnation)))
		d.owner = &slot.Owner{
			Self: d.Self, Times: d.Times.slot(), NewLimit: d.NewLimit,
			Counter: d.Ledger.Counter, ExpectedCost: d.expectedCost,
		}
		d.holder = &slot.Holder{
			Self: d.Self, Address: d.Address, Times: d.Times.slot(),
			Owner: func(target string) (usage.Source, bool) { return d.index.owner(target) },
		}
		d.metric = newMetric(d)
	})
}

// lock locks the dispatcher, refreshes the configuration, the members and the
// authority, and returns the current time. The caller must unlock.
func (d *Dispatcher) lock() time.Time {
	d.setup()
	d.mu.Lock()
	now := time.Now()
	d.refresh(now)
	return now
}

// Run maintains leases, deadlines and ownership until the context ends, and waits
// for the pending calls.
func (d *Dispatcher) Run(ctx context.Context) error {
	d.setup()
	d.mu.Lock()
	d.context = ctx
	d.mu.Unlock()
	g, ctx := errgroup.WithContext(ctx)
	g.Go(func() error { return d.every(ctx, d.Times.Tick, d.tick) })
	g.Go(func() error { return d.every(ctx, d.Times.LoadInterval, d.pollLoads) })
	err := g.Wait()
	d.mu.Lock()
	d.runEnded = true
	d.mu.Unlock()
	d.pendingCalls.Wait()
	return err
}

// startCall runs the function in a goroutine. After Run has ended it does nothing,
// so the end of a later request is not reported to any owner. The dispatcher must be
// locked.
func (d *Dispatcher) startCall(call func()) {
	if !d.runEnded {
		d.pendingCalls.Go(call)
	}
}

// every calls the function periodically until the context ends.
func (d *Dispatcher) every(ctx context.Context, interval time.Duration, call func()) error {
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for {
		call()
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
	}
}

// tick does the periodic work: it expires queued requests and leases, returns
// unneeded slots, reconciles the owned targets and sends renewals that are due.
func (d *Dispatcher) tick() {
	now := d.lock()
	defer d.mu.Unlock()
	d.expireQueue(now)
	d.holder.Prune(now)
	d.returnUnneeded(now)
	d.owner.Reconcile(now)
	d.assignAll(now)
	d.renewalDue = true
	d.sendChanges(now)
}

func (d *Dispatcher) record(kind, request, account, target, detail string) {
	if d.Record != nil {
		d.Record.Record(timeline.Event{Kind: kind, Request: request, Account: account, Target: target, Detail: detail})
	}
}
