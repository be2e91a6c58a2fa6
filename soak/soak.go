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
	"sync/atomic"
	"syscall"
	"time"

	"rattanline.example/rattanline/config"
	"rattanline.example/rattanline/standin"
)

const (
	domainCount = 3
	// enginesPerDomain and desksPerDomain are the numbers of targets of the two
	// services in each failure domain.
	enginesPerDomain, desksPerDomain = 2, 1
	callersPerDaemon                 = 6
	startTimeout                     = 20 * time.Second
	// storeComponent names the metadata store in the checker's record of faults.
	storeComponent = "store"
)

// Options configures a run.
type Options struct {
	// Seed determines the sequence of faults.
	Seed uint64
	// Daemons is the number of daemons.
	Daemons int
	// Cores is the processor time that the settings give each daemon, in cores; zero
	// leaves it unknown. Daemons refuse requests when they use more.
	Cores float64
	// FaultDuration is how long faults are injected.
	FaultDuration time.Duration
	// Kills is how often all daemons are killed at the same time while faults are injected, at
	// even intervals.
	Kills int
	// Program is the daemon's executable with its arguments.
	Program []string
	// Environment holds variables in the form NAME=VALUE that are added to the
	// environment of this process for the daemons.
	Environment []string
	// Directory receives the settings and logs of the daemons.
	Directory string
}

// Report is the result of a run.
type Report struct {
	Seed     uint64
	Requests int
	// Sent counts the requests that were sent after the recovery from the last
	// fault, except those with a key that was revoked during the run. Served counts
	// those of them that succeeded.
	Served, Sent int
	// PeakMB is the largest resident memory of a daemon, in MiB.
	PeakMB int
	// PoisonCrashes counts the crashes of engines by requests with poisonSegment.
	PoisonCrashes int
	Faults        []string
	Violations    []Violation
}

// cluster holds the daemons, the stand-ins and the state of one run.
type cluster struct {
	options      Options
	random       *rand.Rand // only for the sequence of faults, so that it depends on the seed alone
	checker      *checker
	store        *standin.Metadata
	storeAddress string
	storeServer  *http.Server
	processes    []*process

	mu             sync.Mutex
	targets        []*target
	startedTargets int // including those that have ended
	faults         []string
	version        uint64
	keys           map[string]string // by account
	// poisonInUse is set while callers send poisonSegment.
	poisonInUse atomic.Bool
}

// accounts are the client accounts. Of every six callers, three use the first account,
// two the second and one the third.
var accounts = []string{"large", "middle", "small"}

// Run runs daemons under load and faults, and reports violated guarantees.
func Run(ctx context.Context, o Options) (Report, error) {
	c, err := startCluster(o)
	if err != nil {
		return Report{}, err
	}
	defer c.close()
	calling, stopCalling := context.WithCancel(ctx)
	defer stopCalling()
	var callers sync.WaitGroup
	for i := range o.Daemons * callersPerDaemon {
		cl := &caller{
			cluster: c, random: rand.New(rand.NewPCG(o.Seed, uint64(100+i))), number: i, domain: domainName(i),
			account: accounts[min(i%6/3+i%6/5, 2)],
		}
		callers.Go(func() { cl.run(calling) })
	}
	if o.Seed%2 == 1 { // the other seeds play without it
		c.usePoisonSegment(o.FaultDuration)
	}
	var kills sync.WaitGroup
	kills.Go(func() { c.killAll(ctx) })
	c.injectFaults(ctx, time.Now().Add(o.FaultDuration))
	kills.Wait()
	faultsEnded := time.Now()
	sleep(ctx, recoverTime+finalPhase)
	stopCalling()
	callers.Wait()
	served, sent := c.checker.finish(faultsEnded)
	report := Report{Seed: o.Seed, Requests: len(c.checker.requests), Served: served, Sent: sent, PoisonCrashes: len(c.checker.poison.crashes), Faults: c.faults, Violations: c.checker.violations}
	for _, p := range c.processes {
		p.sampleMemory()
		report.PeakMB = max(report.PeakMB, p.peakMB)
	}
	return report, ctx.Err()
}

// startCluster starts the stand-ins and the daemons, and waits until all are ready.
func startCluster(o Options) (*cluster, error) {
	c := &cluster{options: o, random: rand.New(rand.NewPCG(o.Seed, 1)), checker: newChecker(), store: standin.NewMetadata(), keys: map[string]string{}}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, fmt.Errorf("listen for the store: %w", err)
	}
	c.storeAddress = l.Addr().String()
	c.storeServer = &http.Server{Handler: c.store}
	go func() { _ = c.storeServer.Serve(l) }()
	if err := c.build(); err != nil {
		c.close()
		return nil, err
	}
	return c, nil
}

// build writes the configuration, starts the targets and daemons, and waits until all
// daemons are ready.
func (c *cluster) build() error {
	for _, a := range accounts {
		c.keys[a] = "key-of-" + a
	}
	if err := c.configure(); err != nil {
		return err
	}
	for i := range domainCount * enginesPerDomain {
		if err := c.startTarget("engine", domainName(i), false); err != nil {
			return err
		}
	}
	for i := range domainCount * desksPerDomain {
		if err := c.startTarget("desk", domainName(i), false); err != nil {
			return err
		}
	}
	for i := range c.options.Daemons {
		p, err := c.newProcess(i)
		if err != nil {
			return err
		}
		c.processes = append(c.processes, p)
		if err := p.start(); err != nil {
			return err
		}
	}
	for _, p := range c.processes {
		if err := p.awaitReady(startTimeout); err != nil {
			return err
		}
	}
	return nil
}

func (c *cluster) close() {
	for _, p := range c.processes {
		p.signal(syscall.SIGKILL)
		p.signal(syscall.SIGCONT)
		if p.done != nil {
			<-p.done
		}
		p.storeProxy.close()
		p.frontendProxy.close()
		_ = p.log.Close()
	}
	for _, t := range c.targets {
		_ = t.server.Close()
		t.proxy.close()
	}
	_ = c.storeServer.Close()
}

// configure writes the configuration with the current keys to the store. It is called
// before the callers start or with c.mu held.
func (c *cluster) configure() error {
	c.version += 2
	d := config.Document{
		Version: c.version,
		Services: []config.Service{
			{Name: "desk", Kind: config.Plain, Connection: config.Connection{HealthPath: "/healthz", MaxConnections: 200}},
			{Name: "engine", Kind: config.Model, Connection: config.Connection{
				HealthPath: "/healthz", MaxConnections: 400, ColdTime: config.Duration(coldTime), ColdRate: coldRate,
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
		keys[a] = []string{c.keys[a]}
	}
	return c.store.Configure(d, keys)
}

// currentKey returns the account's current key, and the account's name.
func (c *cluster) currentKey(account string) (key, name string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.keys[account], account
}

// proxyAddress returns the address of the proxy in front of a daemon's frontend.
func (c *cluster) proxyAddress(frontend string) string {
	for _, p := range c.processes {
		if p.frontend() == frontend {
			return p.frontendProxy.address()
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
