// Package edge assembles the daemon that runs on a host of the platform: the
// listener for callers, the directory, the mirror of the metadata store, the
// exchange with the other daemons, and the metrics.
package edge

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"github.com/rs/zerolog"
	"golang.org/x/sync/errgroup"

	"rattanline.example/rattanline/admission"
	"rattanline.example/rattanline/clock"
	"rattanline.example/rattanline/directory"
	"rattanline.example/rattanline/exchange"
	"rattanline.example/rattanline/gateway"
	"rattanline.example/rattanline/link"
	"rattanline.example/rattanline/memory"
	"rattanline.example/rattanline/mirror"
	"rattanline.example/rattanline/placement"
	"rattanline.example/rattanline/port"
	"rattanline.example/rattanline/quarantine"
	"rattanline.example/rattanline/rollout"
	"rattanline.example/rattanline/routing"
	"rattanline.example/rattanline/setting"
	"rattanline.example/rattanline/upstream"
)

// trimInterval is the interval between two calls of Pool.Trim.
const trimInterval = 500 * time.Millisecond

// Store is the platform's metadata store.
type Store interface {
	port.KeyValue
	port.Poller
}

// Daemon routes callers' requests to targets. Set the exported fields before Run.
type Daemon struct {
	Settings setting.HostSettings
	Logger   zerolog.Logger
	// MetricsAddress is the address that serves /metrics; empty disables it.
	MetricsAddress string
	// LocalAddress is the loopback address that serves operators on this host; empty disables
	// it.
	LocalAddress string
	// Store is the metadata store; nil means a client for Settings.StoreAddress.
	Store Store
	// ProcessorTime returns the processor time used so far; nil means that of this
	// process.
	ProcessorTime func() time.Duration
	// TimerLateness returns how late the timers of the host are, given how late one was; nil
	// means as late as that one.
	TimerLateness func(measured time.Duration) time.Duration

	started    clock.Instant
	self       mirror.Member
	leaving    atomic.Bool
	mirror     *mirror.Mirror
	exchange   *exchange.Exchange
	table      *placement.Table
	admission  *admission.Controller
	quarantine *quarantine.Registry
	segments   *quarantine.Segments
	// suspectArchive and segmentArchive store the contents of quarantine and segments.
	suspectArchive *quarantine.Archive[quarantine.Suspect]
	segmentArchive *quarantine.Archive[quarantine.PoisonSegment]
	rollouts       *rollout.Controller
	memory         *memory.Budget
	pool           *upstream.Pool
	handler        *gateway.Handler
	links          *link.Server
	conns          *connTracker
	overload       overloadDetector
	overflow       overflow
	shedder        admission.Shedder
	selector       directory.Selector
	fleetNames     nameList
	retryShare     *routing.Share
	reloadMu       sync.Mutex
	lastLoaded     setting.HostSettings // content of the settings file when last read
}

// Run serves until the context ends, and then shuts down gracefully.
func (d *Daemon) Run(ctx context.Context) error {
	if err := d.build(); err != nil {
		return err
	}
	servers, err := d.listen()
	if err != nil {
		return err
	}
	d.Logger.Info().Str("incarnation", d.self.Incarnation).Str("frontend", d.Settings.FrontendAddress).
		Str("store", d.Settings.StoreAddress).Strs("seeds", d.Settings.Seeds).Msg("daemon started")
	running, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	g, running := errgroup.WithContext(running)
	for _, run := range []func(context.Context) error{
		d.mirror.Run, d.exchange.Run, d.register, d.links.Run, d.trim, d.watchOverload, d.logLoad, d.rollouts.Run,
		d.suspectArchive.Run, d.segmentArchive.Run,
	} {
		g.Go(func() error { return run(running) })
	}
	for _, s := range servers {
		g.Go(func() error {
			err := s.server.Serve(s.listener)
			if err == http.ErrServerClosed || errors.Is(err, net.ErrClosed) && d.leaving.Load() {
				return nil
			}
			return fmt.Errorf("serve %s: %w", s.name, err)
		})
	}
	g.Go(func() error {
		select {
		case <-ctx.Done():
			d.stop(servers[0])
		case <-running.Done():
		}
		for _, s := range servers {
			_ = s.server.Close()
		}
		cancel()
		return nil
	})
	err = g.Wait()
	d.Logger.Info().Str("incarnation", d.self.Incarnation).Msg("daemon stopped")
	if errors.Is(err, context.Canceled) {
		return nil
	}
	return err
}

// trim closes idle connections that have timed out or whose target is no longer
// known.
func (d *Daemon) trim(ctx context.Context) error {
	for ctx.Err() == nil {
		select {
		case <-ctx.Done():
		case <-time.After(trimInterval):
		}
		d.pool.Trim(d.table.Known)
	}
	return nil
}
