// Package soak runs daemons as real processes under random faults and checks
// what their callers and targets see.
package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"syscall"
	"time"

	"rattanline.example/rattanline/config"
	"rattanline.example/rattanline/standin"
)

const (
	zones = 3
	// enginesPerZone and desksPerZone are the targets of each failure domain.
	enginesPerZone, desksPerZone = 2, 1
	callersPerMachine            = 6
	startLimit                   = 20 * time.Second
	// storeName is what faults of the metadata store concern.
	storeName = "store"
)

// Options of a run.
type Options struct {
	Seed uint64
	// Daemons is the number of daemons.
	Daemons int
	// FaultDuration is how long faults are injected.
	FaultDuration time.Duration
	// Program is the daemon's program with its arguments, Environment what is
	// added to its environment.
	Program     []string
	Environment []string
	// Directory holds settings and logs.
	Directory string
}

// Report is what a run showed.
type Report struct {
	Seed     uint64
	Requests int
	// Served and Sent count the requests after the last fault.
	Served, Sent int
	PeakMB       int
	Faults       []string
	Violations   []Violation
}

// world is one run.
type world struct {
	options      Options
	random       *rand.Rand // of the series of faults only, so that it follows from the seed
	judge        *judge
	store        *standin.Metadata
	storeAddress string
	machines     []*machine

	mu      sync.Mutex
	targets []*target
	started int // targets so far
	faults  []string
	version uint64
	keys    map[string]string // by account
}

// accounts are the client accounts, the first with most callers.
var accounts = []string{"large", "middle", "small"}

// Run runs daemons, callers and faults, and reports broken promises.
func Run(ctx context.Context, o Options) (Report, error) {
	w := &world{options: o, random: rand.New(rand.NewPCG(o.Seed, 1)), judge: newJudge(), store: standin.NewMetadata(), keys: map[string]string{}}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return Report{}, fmt.Errorf("listen for the store: %w", err)
	}
	w.storeAddress = l.Addr().String()
	server := &http.Server{Handler: w.store}
	go func() { _ = server.Serve(l) }()
	defer func() { _ = server.Close() }()
	defer w.close()
	if err := w.build(); err != nil {
		return Report{}, err
	}
	calling, stopCalling := context.WithCancel(ctx)
	defer stopCalling()
	var callers sync.WaitGroup
	for i := range o.Daemons * callersPerMachine {
		c := &caller{
			world: w, random: rand.New(rand.NewPCG(o.Seed, uint64(100+i))), number: i, zone: zoneName(i),
			account: accounts[min(i%6/3+i%6/5, 2)],
		}
		callers.Go(func() { c.run(calling) })
	}
	w.trouble(ctx, time.Now().Add(o.FaultDuration))
	healed := time.Now()
	sleep(ctx, recoverTime+finalTime)
	stopCalling()
	callers.Wait()
	served, asked := w.judge.finish(healed)
	report := Report{Seed: o.Seed, Requests: len(w.judge.requests), Served: served, Sent: asked, Faults: w.faults, Violations: w.judge.violations}
	for _, m := range w.machines {
		m.sample()
		report.PeakMB = max(report.PeakMB, m.peakMB)
	}
	return report, ctx.Err()
}

// build starts everything and waits until all daemons are ready.
func (w *world) build() error {
	for _, a := range accounts {
		w.keys[a] = "key-of-" + a
	}
	if err := w.configure(); err != nil {
		return err
	}
	for i := range zones * enginesPerZone {
		if err := w.startTarget("engine", zoneName(i), false); err != nil {
			return err
		}
	}
	for i := range zones * desksPerZone {
		if err := w.startTarget("desk", zoneName(i), false); err != nil {
			return err
		}
	}
	for i := range w.options.Daemons {
		m, err := w.newMachine(i)
		if err != nil {
			return err
		}
		w.machines = append(w.machines, m)
		if err := m.start(); err != nil {
			return err
		}
	}
	for _, m := range w.machines {
		if err := m.awaitReady(startLimit); err != nil {
			return err
		}
	}
	return nil
}

func (w *world) close() {
	for _, m := range w.machines {
		m.signal(syscall.SIGKILL)
		m.signal(syscall.SIGCONT)
		if m.done != nil {
			<-m.done
		}
		m.store.close()
		m.front.close()
		_ = m.log.Close()
	}
	for _, t := range w.targets {
		_ = t.server.Close()
		t.proxy.close()
	}
}

// configure writes the configuration with the keys in force.
func (w *world) configure() error {
	w.version += 2
	d := config.Document{
		Version: w.version,
		Services: []config.Service{
			{Name: "desk", Kind: config.Plain, Connection: config.Connection{HealthPath: "/healthz", MaxConnections: 200}},
			{Name: "engine", Kind: config.Model, Connection: config.Connection{
				HealthPath: "/healthz", MaxConnections: 400, ColdTime: config.Duration(coldTime), ColdRate: coldPerSecond,
			}},
		},
		Limits: config.Limits{
			MaxHeaderBytes: 16384, MaxBodyBytes: 1 << 20, HeaderTimeout: config.Duration(3 * time.Second),
			IdleTimeout: config.Duration(5 * time.Second), TokenRate: 200000,
		},
	}
	for _, k := range kinds {
		d.Routes = append(d.Routes, config.Route{
			Name: "r-" + k.name, Host: routeHost, PathPrefix: k.prefix, Repeat: k.repeat, Stream: k.stream, Timeout: config.Duration(requestTime),
			LatencyAim: config.Duration(800 * time.Millisecond), MaxAttempts: 3, Public: !k.keyed, Prompts: k.stream,
			Split: []config.Share{{Service: k.service, Weight: 1}},
		})
	}
	keys := map[string][]string{}
	for _, a := range accounts {
		d.Accounts = append(d.Accounts, config.Account{Name: a})
		keys[a] = []string{w.keys[a]}
	}
	return w.store.Configure(d, keys)
}

// keyOf returns the key that the account's callers use now.
func (w *world) keyOf(account string) (key, name string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.keys[account], account
}

// proxyOf returns the proxy before the frontend.
func (w *world) proxyOf(frontend string) string {
	for _, m := range w.machines {
		if m.frontend() == frontend {
			return m.front.address()
		}
	}
	return frontend
}

func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}
