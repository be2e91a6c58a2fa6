// Package capacity measures what control costs each daemon: bytes, processor
// time and memory against the number of daemons, client accounts, targets and
// failure domains.
package capacity

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"runtime"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/sync/errgroup"

	"rattanline.example/rattanline/config"
	"rattanline.example/rattanline/etcd"
	"rattanline.example/rattanline/standin"
	"rattanline.example/rattanline/submission"
)

const (
	service = "assistant"
	// slotsPerTarget and hold give 8 requests a second at each target.
	slotsPerTarget = 4
	hold           = 500 * time.Millisecond
	// spread is the number of daemons that each backlogged account sends to.
	spread = 3
	// backloggedPart: one account in ten is backlogged at any time.
	backloggedPart = 10
	startTimeout   = 60 * time.Second
)

// Scenario is the size of one fleet to measure.
type Scenario struct {
	Daemons  int
	Domains  int
	Accounts int
	Targets  int
	// Idle leaves all accounts without requests.
	Idle bool
	// Interval is that of heartbeats and exchanges.
	Interval time.Duration
}

// Cost is what a cell was measured to cost. Values are for each daemon unless
// they say otherwise.
type Cost struct {
	Scenario
	RequestsPerSecond  float64 // a second, whole fleet
	MeanBytesPerSecond float64 // sent over links, a second, mean
	MaxBytesPerSecond  float64 // the same for the daemon that sent most, a coordinator
	CPUFraction        float64 // part of one core, mean, both ends of loopback included
	HeapBytes          float64 // bytes, mean
	ReadsPerSecond     float64 // platform reads a second, whole fleet
	WritesPerSecond    float64 // platform writes a second, whole fleet
}

// Measure runs a fleet of the size for the duration, after it has settled.
func Measure(ctx context.Context, c Scenario, settle, duration time.Duration) (Cost, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	before := heap()
	platform := standin.NewKeyValue()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return Cost{}, fmt.Errorf("start platform: %w", err)
	}
	server := &http.Server{Handler: platform, ReadHeaderTimeout: time.Second}
	defer server.Close()
	go func() { _ = server.Serve(l) }()
	url := "http://" + l.Addr().String()
	if err := submit(ctx, url, c.document()); err != nil {
		return Cost{}, err
	}
	g, ctx := errgroup.WithContext(ctx)
	nodes := make([]*node, c.Daemons)
	for i := range nodes {
		n, err := newNode(fmt.Sprint("daemon-", i), domainName(i%c.Domains), url, c.Interval, func(string) float64 { return 1 })
		if err != nil {
			return Cost{}, fmt.Errorf("start daemon: %w", err)
		}
		nodes[i] = n
		g.Go(func() error { return n.run(ctx) })
	}
	if err := await(ctx, nodes); err != nil {
		return Cost{}, err
	}
	var requests atomic.Int64
	if !c.Idle {
		c.load(ctx, nodes, &requests)
	}
	if !sleep(ctx, settle) {
		return Cost{}, ctx.Err()
	}
	start := take(nodes, platform, &requests)
	if !sleep(ctx, duration) {
		return Cost{}, ctx.Err()
	}
	cost := take(nodes, platform, &requests).cost(c, start)
	cost.HeapBytes = float64(heap()-before) / float64(c.Daemons)
	cancel()
	return cost, g.Wait()
}

func domainName(i int) string { return fmt.Sprint("domain-", i) }

// document returns the configuration of a fleet of the size.
func (c Scenario) document() config.Document {
	d := config.Document{Services: []config.Service{
		{Name: service, Kind: config.Model, Price: config.Price{OutputToken: 1}, Idempotent: true},
	}}
	for i := range c.Domains {
		d.FailureDomains = append(d.FailureDomains, config.FailureDomain{Name: domainName(i), Region: "local"})
	}
	for i := range c.Accounts {
		d.Accounts = append(d.Accounts, config.Account{Name: accountName(i), Share: 1, Services: []string{service}, MaxQueued: 4096})
	}
	for i := range c.Targets {
		d.Targets = append(d.Targets, config.Target{
			Name: fmt.Sprint("target-", i), Service: service, FailureDomain: domainName(i % c.Domains),
			URL: "http://127.0.0.1:1", ColdLimit: slotsPerTarget, MaxLimit: slotsPerTarget,
		})
	}
	return d
}

func accountName(i int) string { return fmt.Sprint("account-", i) }

func submit(ctx context.Context, url string, d config.Document) error {
	store := &submission.Store{KeyValue: etcd.New(url)}
	outcome, err := store.Submit(ctx, submission.Request{ID: "capacity", Author: "capacity", Document: d})
	if err != nil {
		return fmt.Errorf("submit configuration: %w", err)
	}
	if _, ok := outcome.(submission.Accepted); !ok {
		return errors.Errorf("configuration not accepted: %T", outcome)
	}
	return nil
}

func await(ctx context.Context, nodes []*node) error {
	deadline := time.Now().Add(startTimeout)
	for _, n := range nodes {
		for !n.ready() {
			if time.Now().After(deadline) {
				return errors.Errorf("%s not ready after %s", n.name, startTimeout)
			}
			if !sleep(ctx, 20*time.Millisecond) {
				return ctx.Err()
			}
		}
	}
	return nil
}

// load keeps every tenth account backlogged: together they ask for three times
// the slots that there are.
func (c Scenario) load(ctx context.Context, nodes []*node, requests *atomic.Int64) {
	backlogged := max(c.Accounts/backloggedPart, 1)
	workers := max(3*c.Targets*slotsPerTarget/(backlogged*spread), 1)
	for a := range backlogged {
		for s := range spread {
			n := nodes[(a*spread+s)%len(nodes)]
			for range workers {
				go func() {
					for ctx.Err() == nil {
						if n.serve(ctx, accountName(a), hold) == nil {
							requests.Add(1)
						}
					}
				}()
			}
		}
	}
}

func sleep(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}

// snapshot holds the counters at one time.
type snapshot struct {
	at            time.Time
	cpu           time.Duration
	sent          []uint64
	requests      int64
	reads, writes int64
}

func take(nodes []*node, platform *standin.KeyValue, requests *atomic.Int64) snapshot {
	s := snapshot{at: time.Now(), cpu: processorTime(), requests: requests.Load()}
	for _, n := range nodes {
		s.sent = append(s.sent, n.sent())
	}
	for kind, calls := range platform.Calls().Calls {
		switch kind {
		case "range", "watch":
			s.reads += int64(calls)
		default:
			s.writes += int64(calls)
		}
	}
	return s
}

// cost returns what was spent since the start.
func (s snapshot) cost(c Scenario, start snapshot) Cost {
	seconds := s.at.Sub(start.at).Seconds()
	cost := Cost{
		Scenario:          c,
		RequestsPerSecond: float64(s.requests-start.requests) / seconds,
		CPUFraction:       (s.cpu - start.cpu).Seconds() / seconds / float64(c.Daemons),
		ReadsPerSecond:    float64(s.reads-start.reads) / seconds,
		WritesPerSecond:   float64(s.writes-start.writes) / seconds,
	}
	for i := range s.sent {
		b := float64(s.sent[i]-start.sent[i]) / seconds
		cost.MeanBytesPerSecond += b / float64(c.Daemons)
		cost.MaxBytesPerSecond = max(cost.MaxBytesPerSecond, b)
	}
	return cost
}

// processorTime returns the user and system time of this process.
func processorTime() time.Duration {
	var r syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &r); err != nil {
		return 0
	}
	return time.Duration(r.Utime.Nano() + r.Stime.Nano())
}

// heap returns the live heap after a collection.
func heap() int64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc)
}
