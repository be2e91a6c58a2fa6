// Package capacity measures the cost of the control plane for each daemon in bytes,
// processor time and memory, as a function of the number of daemons, client accounts,
// targets and failure domains.
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
	// slotsPerTarget allows 8 requests a second at each target with requestDuration.
	slotsPerTarget = 4
	// requestDuration is how long a request holds its slot.
	requestDuration = 500 * time.Millisecond
	// daemonsPerAccount is the number of daemons to which each backlogged account
	// sends requests.
	daemonsPerAccount = 3
	// accountsPerBacklogged is the number of accounts for each one that is
	// backlogged. The others send no requests.
	accountsPerBacklogged = 10
	startTimeout          = 60 * time.Second
)

// Scenario is the size and the settings of one fleet to measure.
type Scenario struct {
	Daemons  int
	Domains  int
	Accounts int
	Targets  int
	// Idle disables all requests.
	Idle bool
	// Interval is the time between two heartbeats and between two exchanges.
	Interval time.Duration
}

// Cost is the measured cost of a scenario.
type Cost struct {
	Scenario
	RequestsPerSecond  float64 // completed by the whole fleet
	MeanBytesPerSecond float64 // sent over links, mean of all daemons
	MaxBytesPerSecond  float64 // sent over links by the daemon that sent most, a coordinator
	CPUFraction        float64 // of one core for each daemon, including both ends of loopback
	HeapBytes          float64 // live heap for each daemon
	ReadsPerSecond     float64 // from the platform by the whole fleet
	WritesPerSecond    float64 // to the platform by the whole fleet
}

// Measure runs the scenario's fleet and measures its cost for the duration, which
// begins after the settle time.
func Measure(ctx context.Context, scenario Scenario, settle, duration time.Duration) (Cost, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	before := liveHeap()
	platform := standin.NewKeyValue()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return Cost{}, fmt.Errorf("start platform: %w", err)
	}
	server := &http.Server{Handler: platform, ReadHeaderTimeout: time.Second}
	defer server.Close()
	go func() { _ = server.Serve(l) }()
	url := "http://" + l.Addr().String()
	if err := submitConfiguration(ctx, url, scenario.document()); err != nil {
		return Cost{}, err
	}
	g, ctx := errgroup.WithContext(ctx)
	nodes := make([]*node, scenario.Daemons)
	for i := range nodes {
		n, err := newNode(fmt.Sprint("daemon-", i), domainName(i%scenario.Domains), url, scenario.Interval, func(string) float64 { return 1 })
		if err != nil {
			return Cost{}, fmt.Errorf("start daemon: %w", err)
		}
		nodes[i] = n
		g.Go(func() error { return n.run(ctx) })
	}
	if err := awaitReady(ctx, nodes); err != nil {
		return Cost{}, err
	}
	var requests atomic.Int64
	if !scenario.Idle {
		scenario.startLoad(ctx, nodes, &requests)
	}
	if !sleep(ctx, settle) {
		return Cost{}, ctx.Err()
	}
	start := takeSnapshot(nodes, platform, &requests)
	if !sleep(ctx, duration) {
		return Cost{}, ctx.Err()
	}
	cost := takeSnapshot(nodes, platform, &requests).cost(scenario, start)
	cost.HeapBytes = float64(liveHeap()-before) / float64(scenario.Daemons)
	cancel()
	return cost, g.Wait()
}

func domainName(i int) string { return fmt.Sprint("domain-", i) }

// document returns the configuration of the scenario's fleet.
func (s Scenario) document() config.Document {
	d := config.Document{Services: []config.Service{
		{Name: service, Kind: config.Model, Price: config.Price{OutputToken: 1}, Idempotent: true},
	}}
	for i := range s.Domains {
		d.FailureDomains = append(d.FailureDomains, config.FailureDomain{Name: domainName(i), Region: "local"})
	}
	for i := range s.Accounts {
		d.Accounts = append(d.Accounts, config.Account{Name: accountName(i), Share: 1, Services: []string{service}, MaxQueued: 4096})
	}
	for i := range s.Targets {
		d.Targets = append(d.Targets, config.Target{
			Name: fmt.Sprint("target-", i), Service: service, FailureDomain: domainName(i % s.Domains),
			URL: "http://127.0.0.1:1", ColdLimit: slotsPerTarget, MaxLimit: slotsPerTarget,
		})
	}
	return d
}

func accountName(i int) string { return fmt.Sprint("account-", i) }

func submitConfiguration(ctx context.Context, url string, d config.Document) error {
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

func awaitReady(ctx context.Context, nodes []*node) error {
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

// startLoad keeps one in accountsPerBacklogged accounts backlogged until the context
// ends. Together they keep three times as many requests outstanding as there are slots.
func (s Scenario) startLoad(ctx context.Context, nodes []*node, requests *atomic.Int64) {
	backlogged := max(s.Accounts/accountsPerBacklogged, 1)
	workers := max(3*s.Targets*slotsPerTarget/(backlogged*daemonsPerAccount), 1)
	for a := range backlogged {
		for i := range daemonsPerAccount {
			n := nodes[(a*daemonsPerAccount+i)%len(nodes)]
			for range workers {
				go func() {
					for ctx.Err() == nil {
						if n.runRequest(ctx, accountName(a), requestDuration) == nil {
							requests.Add(1)
						}
					}
				}()
			}
		}
	}
}

// sleep waits for the duration. It returns false if the context ends first.
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

// snapshot holds the values of the counters at one time.
type snapshot struct {
	at            time.Time
	cpu           time.Duration
	sent          []uint64
	requests      int64
	reads, writes int64
}

func takeSnapshot(nodes []*node, platform *standin.KeyValue, requests *atomic.Int64) snapshot {
	s := snapshot{at: time.Now(), cpu: processorTime(), requests: requests.Load()}
	for _, n := range nodes {
		s.sent = append(s.sent, n.sentBytes())
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

// cost returns the cost since the snapshot at the start. HeapBytes is not set.
func (s snapshot) cost(scenario Scenario, start snapshot) Cost {
	seconds := s.at.Sub(start.at).Seconds()
	cost := Cost{
		Scenario:          scenario,
		RequestsPerSecond: float64(s.requests-start.requests) / seconds,
		CPUFraction:       (s.cpu - start.cpu).Seconds() / seconds / float64(scenario.Daemons),
		ReadsPerSecond:    float64(s.reads-start.reads) / seconds,
		WritesPerSecond:   float64(s.writes-start.writes) / seconds,
	}
	for i := range s.sent {
		b := float64(s.sent[i]-start.sent[i]) / seconds
		cost.MeanBytesPerSecond += b / float64(scenario.Daemons)
		cost.MaxBytesPerSecond = max(cost.MaxBytesPerSecond, b)
	}
	return cost
}

// processorTime returns the user and system time of this process, zero on error.
func processorTime() time.Duration {
	var r syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &r); err != nil {
		return 0
	}
	return time.Duration(r.Utime.Nano() + r.Stime.Nano())
}

// liveHeap returns the bytes of the heap in use after a garbage collection.
func liveHeap() int64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc)
}
