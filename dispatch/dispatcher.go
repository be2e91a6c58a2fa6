// Package dispatch connects the queues, slots and links of one daemon. Its
// Dispatcher assigns waiting requests to slots in the order of fair shares,
// keeps the slots it holds leased, and grants the slots of owned targets.
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

// Dispatcher implements port.Scheduler. The exported fields are set before Run
// and before any other method is called. The functions are called while the
// dispatcher is locked, so they must not call it.
type Dispatcher struct {
	Self    usage.Source
	Domain  string
	Address string // where other daemons reach this one
	Ledger  *usage.Ledger
	Link    port.Link

	View          func() member.View
	Authority     func(time.Time) (member.Share, bool)
	Configuration func() config.Document
	// HostLeaving tells whether the host list marks a host as leaving; may be nil.
	HostLeaving func(host string) bool
	// Load reads the load report of an owned target; may be nil.
	Load     func(ctx context.Context, t config.Target) (limit.Load, error)
	NewLimit func(config.Target) Limit
	// Choose picks among targets with free slots; nil means ChooseMostFree.
	Choose  func([]Candidate) (Candidate, bool)
	Record  timeline.Recorder // may be nil
	Metrics *metrics.Set      // may be nil
	Times   Times

	once      sync.Once
	mu        sync.Mutex
	sends     sync.WaitGroup
	context   context.Context // ends with Run; bounds messages
	queues    *fairqueue.Queues[*waiter]
	owner     *slot.Owner
	holder    *slot.Holder
	random    *rand.Rand
	index     *index
	costs     costs
	paces     map[string]*pace         // by service
	durations map[string]time.Duration // by service
	peers     map[usage.Source]*peer
	observed  map[string]*observation
	latency   map[string]time.Duration
	failing   map[string]bool
	polling   map[string]bool
	running   int
	stopping  bool
	ended     bool // Run has returned or is about to
	dirty     bool // demand, returns or observations may have to be sent
	metric    metric
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
		d.paces = map[string]*pace{}
		d.durations = map[string]time.Duration{}
		d.peers = map[usage.Source]*peer{}
		d.observed = map[string]*observation{}
		d.latency = map[string]time.Duration{}
		d.failing = map[string]bool{}
		d.polling = map[string]bool{}
		d.index = &index{}
		d.random = rand.New(rand.NewPCG(xxhash.Sum64String(d.Self.Daemon), xxhash.Sum64String(d.Self.Incarnation)))
		d.owner = &slot.Owner{
			Self: d.Self, Times: d.Times.slot(), NewLimit: d.NewLimit,
			Counter: d.Ledger.Counter, ExpectedCost: d.expected,
		}
		d.holder = &slot.Holder{
			Self: d.Self, Address: d.Address, Times: d.Times.slot(),
			Owner: func(target string) (usage.Source, bool) { return d.index.owner(target) },
		}
		d.metric = newMetric(d)
	})
}

// lock locks the dispatcher and brings configuration, members and authority up
// to date; the caller must unlock.
func (d *Dispatcher) lock() time.Time {
	d.setup()
	d.mu.Lock()
	now := time.Now()
	d.refresh(now)
	return now
}

// Run keeps leases, deadlines and ownership up to date until the context ends.
func (d *Dispatcher) Run(ctx context.Context) error {
	d.setup()
	d.mu.Lock()
	d.context = ctx
	d.mu.Unlock()
	g, ctx := errgroup.WithContext(ctx)
	g.Go(func() error { return d.every(ctx, d.Times.Tick, d.tick) })
	g.Go(func() error { return d.every(ctx, d.Times.LoadInterval, d.poll) })
	err := g.Wait()
	d.mu.Lock()
	d.ended = true
	d.mu.Unlock()
	d.sends.Wait()
	return err
}

// spawn runs the function beside the dispatcher, unless Run has ended: a
// request that ends later finds no one to tell. The dispatcher is locked.
func (d *Dispatcher) spawn(call func()) {
	if !d.ended {
		d.sends.Go(call)
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

// tick does what depends on time alone.
func (d *Dispatcher) tick() {
	now := d.lock()
	defer d.mu.Unlock()
	d.expireQueue(now)
	d.holder.Prune(now)
	d.returnUnneeded(now)
	d.owner.Reconcile(now)
	d.assignAll(now)
	d.dirty = true
	d.settle(now)
}

func (d *Dispatcher) record(kind, request, account, target, detail string) {
	if d.Record != nil {
		d.Record.Record(timeline.Event{Kind: kind, Request: request, Account: account, Target: target, Detail: detail})
	}
}
