// Package edge assembles the daemon that runs on a host of the platform: the
// listener for callers, the directory, the mirror of the metadata store, the
// exchange with the other daemons, and the metrics.
package edge

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/pkg/errors"
	"github.com/rs/zerolog"
	"golang.org/x/sync/errgroup"

	"rattanline.example/rattanline/admission"
	"rattanline.example/rattanline/clock"
	"rattanline.example/rattanline/exchange"
	"rattanline.example/rattanline/gateway"
	"rattanline.example/rattanline/link"
	"rattanline.example/rattanline/mirror"
	"rattanline.example/rattanline/placement"
	"rattanline.example/rattanline/platform"
	"rattanline.example/rattanline/port"
	"rattanline.example/rattanline/quarantine"
	"rattanline.example/rattanline/relay"
	"rattanline.example/rattanline/routing"
	"rattanline.example/rattanline/setting"
	"rattanline.example/rattanline/upstream"
)

const (
	// keyAgeMargin is subtracted from the time after which a removed key must no
	// longer be used: polls of the store may return changes up to a second late, and
	// a request takes some time to reach its target.
	keyAgeMargin = 1800 * time.Millisecond
	// trimInterval is the interval between two calls of Pool.Trim.
	trimInterval = 500 * time.Millisecond
	// maxHeaderBytes limits request headers before the configured limit is applied.
	maxHeaderBytes = 64 << 10
	// bufferedMemoryDivisor limits the buffered bodies to 1/4 of HostSettings.MemoryMB.
	bufferedMemoryDivisor = 4
	// maxActivePerMB is the maximum number of requests in progress per MiB of
	// HostSettings.MemoryMB.
	maxActivePerMB = 6
	// closeConnsPerMB is the number of callers' connections per MiB of
	// HostSettings.MemoryMB above which connections are closed after their response.
	closeConnsPerMB = 8
	// maxConnsPerMB is the maximum number of callers' connections per MiB of
	// HostSettings.MemoryMB; further ones are not accepted.
	maxConnsPerMB = 14
)

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
	// Store is the metadata store; nil means a client for Settings.StoreAddress.
	Store Store
	// ProcessorTime returns the processor time used so far; nil means that of this
	// process.
	ProcessorTime func() time.Duration

	started    clock.Instant
	self       mirror.Member
	leaving    atomic.Bool
	mirror     *mirror.Mirror
	exchange   *exchange.Exchange
	table      *placement.Table
	admission  *admission.Controller
	quarantine *quarantine.Registry
	pool       *upstream.Pool
	handler    *gateway.Handler
	links      *link.Server
	conns      *connTracker
	overload   overloadDetector
	shedder    admission.Shedder
	fleetNames nameList
	reloadMu   sync.Mutex
	lastLoaded setting.HostSettings // content of the settings file when last read
}

func (d *Daemon) build() error {
	s := d.Settings
	d.started = clock.Now()
	if d.Store == nil {
		d.Store = platform.NewStore(s.StoreAddress)
	}
	d.self = mirror.Member{
		Name: s.Name, Link: s.LinkAddress, Frontend: s.FrontendAddress, Domain: s.FailureDomain,
		Incarnation: fmt.Sprintf("%08x", rand.Uint32()), Cores: s.Cores,
	}
	d.quarantine = &quarantine.Registry{}
	d.overload = overloadDetector{cores: s.Cores, processorTime: d.ProcessorTime}
	if d.overload.processorTime == nil {
		d.overload.processorTime = processorTime
	}
	d.table = &placement.Table{
		Self: s.Name, Domain: s.FailureDomain, Daemons: d.daemons, PeerWork: func() map[string]placement.Work { return d.exchange.Totals().Targets }, ColdRate: d.coldRate, MaxConnections: d.maxConnections,
	}
	d.mirror = &mirror.Mirror{
		Poller: d.Store, Decode: platform.Decode, DecodeRemoval: platform.DecodeRemoval, Changed: d.viewChanged, Polling: d.shouldPoll, Logger: d.Logger,
	}
	d.admission = &admission.Controller{
		PeerRates: func() map[string]admission.Rate { return d.exchange.Totals().Accounts },
	}
	d.exchange = &exchange.Exchange{
		Self: d.self, Link: &link.Client{}, Mirror: d.mirror, Marks: d.quarantine, Seeds: s.Seeds,
		Status: func() (bool, bool) { return d.ready(), d.leaving.Load() }, Report: d.report, Polling: d.shouldPoll, Connected: d.mirror.Connected, Logger: d.Logger,
	}
	d.pool = &upstream.Pool{OnOpen: openedConnections.Inc}
	metrics.GetOrCreateGauge("rattanline_target_connections_open", func() float64 { return float64(d.pool.Open()) })
	d.conns = &connTracker{idleTimeout: d.idleTimeout, headerTimeout: d.headerTimeout}
	forwarder := &relay.Forwarder{
		Scheduler:  &placement.Scheduler{Table: d.table, Admission: d.admission, Engine: d.servesModel},
		Quarantine: d.quarantine, ConfirmCrash: relay.RefusesConnections, OnMarked: d.exchange.Announce,
		Retries: &routing.Budget{Window: s.RetryWindow, Ratio: s.RetryRatio * retryBudgetFraction, Slack: d.retrySlack},
		Logger:  d.Logger,
	}
	d.handler = &gateway.Handler{
		Protocol: platform.Wire{}, View: d.mirror.View, ConfigurationAge: d.mirrorAge, OnLoad: d.table.SetLoad, Forwarder: forwarder, Pool: d.pool,
		MaxKeyAge: max(s.RevokeTime-keyAgeMargin, 0), Leaving: d.leaving.Load, Overloaded: d.requestOverloaded, CloseConnections: d.tooManyConns,
		EventBatchDelay: func() time.Duration { return d.overload.batchDelay(s.DeliveryDelay) }, CallerGone: d.conns.callerGone,
		MaxBuffered: int64(s.MemoryMB) << 20 / bufferedMemoryDivisor,
	}
	d.links = &link.Server{Address: s.LinkAddress, Logger: d.Logger}
	return d.links.Register(exchange.Service, d.exchange.Receiver())
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
	for _, run := range []func(context.Context) error{d.mirror.Run, d.exchange.Run, d.register, d.links.Run, d.trim, d.watchOverload, d.logLoad} {
		g.Go(func() error { return run(running) })
	}
	for _, s := range servers {
		g.Go(func() error {
			if err := s.server.Serve(s.listener); err != http.ErrServerClosed {
				return fmt.Errorf("serve %s: %w", s.name, err)
			}
			return nil
		})
	}
	g.Go(func() error {
		select {
		case <-ctx.Done():
			d.stop(servers[0].server)
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

type server struct {
	name     string
	server   *http.Server
	listener net.Listener
}

// listen opens the listeners. The frontend, which serves callers, is the first.
func (d *Daemon) listen() ([]server, error) {
	s := d.Settings
	handlers := []struct {
		name, address string
		handler       http.Handler
	}{
		{"frontend", s.FrontendAddress, d.conns.stopHeaderTimer(d.handler)},
		{"ready", s.ReadyAddress, platform.ReadyHandler(d.ready)},
		{"directory", s.DirectoryAddress, platform.ResolveHandler(d.resolve)},
		{"metrics", d.MetricsAddress, metricsHandler()},
	}
	var servers []server
	for _, h := range handlers {
		if h.address == "" {
			continue
		}
		hs := &http.Server{
			Handler: h.handler, MaxHeaderBytes: maxHeaderBytes, ReadHeaderTimeout: maxHeaderTimeout,
		}
		listen := func(address string) (net.Listener, error) { return net.Listen("tcp", address) }
		if h.name == "frontend" {
			hs.ConnState, hs.ConnContext = d.conns.stateChanged, d.conns.connContext
			listen = d.listenCallers
		}
		l, err := listen(h.address)
		if err != nil {
			return nil, fmt.Errorf("listen for %s: %w", h.name, err)
		}
		servers = append(servers, server{h.name, hs, l})
	}
	return servers, nil
}

// listenCallers opens the listener of the frontend.
func (d *Daemon) listenCallers(address string) (net.Listener, error) {
	l, err := listenDeferred(address)
	if err != nil {
		return nil, err
	}
	return &callerListener{
		TCPListener: l, hasCapacity: d.hasConnCapacity,
		shedding: func() bool { return d.refusedConnFraction() > 0 },
		decide: func(data []byte) ([]byte, bool) {
			return d.handler.DecideUnparsed(data, func(account string) bool {
				return d.shedder.Refuse(clock.Now(), account, d.refusedConnFraction())
			})
		},
	}, nil
}

func metricsHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /metrics", func(w http.ResponseWriter, _ *http.Request) { metrics.WritePrometheus(w, true) })
	return mux
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

// watchOverload announces to the other daemons when this host becomes overloaded or
// recovers.
func (d *Daemon) watchOverload(ctx context.Context) error {
	return d.overload.run(ctx, func(overloaded bool, l hostLoad) {
		d.Logger.Warn().Bool("overloaded", overloaded).Dur("lag", l.lag).Float64("processor-use", l.utilization).Int64("active", d.handler.Active()).Msg("overload changed")
		d.exchange.Announce()
	})
}

// viewChanged applies a new view of the store and logs the changed records.
func (d *Daemon) viewChanged(v *mirror.View, records []mirror.Record) {
	d.table.Update(v)
	for _, r := range records {
		e := d.Logger.Info().Int64("revision", v.Revision)
		d.announceIfUrgent(r, v)
		switch r := r.(type) {
		case mirror.Configuration:
			e.Uint64("config", r.Document.Version).Int("routes", len(r.Document.Routes)).Msg("configuration in force")
		case mirror.Evacuation:
			e.Str("failure-domain", r.Domain).Bool("evacuated", v.Evacuated[r.Domain]).Msg("evacuation changed")
		case mirror.Target:
			t := v.Targets[r.Name]
			e.Str("target", r.Name).Str("service", t.Service).Str("address", t.Address).Bool("leaving", t.Leaving).
				Bool("removed", t.Removed != 0).Dur("cold", t.Cold).Int64("born", t.StartTime).Msg("target changed")
		case mirror.Member:
			_, present := v.Members[r.Name]
			e.Str("peer", r.Name).Bool("present", present).Msg("member changed")
		}
	}
}

// announceIfUrgent starts a round of the exchange if this daemon is a hub and the
// changed record must reach the other daemons soon: they may not have read it
// themselves.
func (d *Daemon) announceIfUrgent(r mirror.Record, v *mirror.View) {
	switch r := r.(type) {
	case mirror.Configuration, mirror.Evacuation:
	case mirror.Target:
		if t := v.Targets[r.Name]; !t.Leaving && t.Removed == 0 {
			return
		}
	case mirror.Member:
		return
	}
	if d.exchange.IsHub() {
		d.exchange.Announce()
	}
}

// refusedFraction returns the fraction of the new requests that is refused, because they
// would miss their deadline or there is not enough memory for them.
func (d *Daemon) refusedFraction() float64 {
	if d.handler.Active() > int64(d.Settings.MemoryMB*maxActivePerMB) {
		return 1
	}
	return d.overload.load().refusedFraction
}

// refusedConnFraction returns the fraction of the requests on new connections that is
// refused: all of them if no further connection can be kept open.
func (d *Daemon) refusedConnFraction() float64 {
	if !d.hasConnCapacity() {
		return 1
	}
	return d.refusedFraction()
}

// requestOverloaded reports whether the request of the account with the context is
// refused. One that was admitted when its connection was accepted is not decided again.
func (d *Daemon) requestOverloaded(ctx context.Context, account string) bool {
	return !takeAdmission(ctx) && d.shedder.Refuse(clock.Now(), account, d.refusedFraction())
}

// hasConnCapacity reports whether another connection of a caller can be accepted.
func (d *Daemon) hasConnCapacity() bool {
	return d.conns.open.Load() < int64(max(d.Settings.MemoryMB, 1)*maxConnsPerMB)
}

// tooManyConns reports whether callers have more connections than can be kept open.
func (d *Daemon) tooManyConns() bool {
	return d.conns.open.Load() > int64(d.Settings.MemoryMB*closeConnsPerMB)
}
