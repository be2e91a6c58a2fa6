// Package edge connects the parts of a daemon on one of the platform's machines:
// the callers' listener, the directory, the copy of the metadata store, the
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
	// keyMargin is kept from the time within which a removed key must no longer
	// be used: polls of the store may hear of changes a second late, and a request
	// takes some time to its target.
	keyMargin = 1800 * time.Millisecond
	// trimInterval is the pause between two looks for old connections.
	trimInterval = 500 * time.Millisecond
	// maxHeader bounds heads before the configuration's own bound is looked at.
	maxHeader = 64 << 10
	// bufferedPart is the part of the memory that bodies may fill.
	bufferedPart = 4
	// activePerMB is how many requests may be in progress for each megabyte of the
	// machine's memory, crowdedPerMB the callers' connections from which on they are
	// closed after their response, callersPerMB those that are accepted.
	activePerMB  = 6
	crowdedPerMB = 8
	callersPerMB = 14
)

// Store is the platform's metadata store.
type Store interface {
	port.KeyValue
	port.Poller
}

// Daemon is one router. The exported fields are set before Run.
type Daemon struct {
	Settings setting.HostSettings
	Logger   zerolog.Logger
	// MetricsAddress is where metrics are served, empty for nowhere.
	MetricsAddress string
	// Store replaces the client of the settings if set.
	Store Store
	// ProcessorTime replaces that of the process if set.
	ProcessorTime func() time.Duration

	started   clock.Instant
	self      mirror.Member
	leaving   atomic.Bool
	mirror    *mirror.Mirror
	exchange  *exchange.Exchange
	table     *placement.Table
	admission *admission.Controller
	poison    *quarantine.Registry
	pool      *upstream.Pool
	handler   *gateway.Handler
	links     *link.Server
	callers   *callers
	overload  overload
	reloading sync.Mutex
	loaded    setting.HostSettings // as last read
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
	d.poison = &quarantine.Registry{}
	d.overload = overload{cores: s.Cores, used: d.ProcessorTime}
	if d.overload.used == nil {
		d.overload.used = processorTime
	}
	d.table = &placement.Table{
		Self: s.Name, Domain: s.FailureDomain, Daemons: d.daemons, PeerWork: func() map[string]placement.Work { return d.exchange.Totals().Targets }, ColdRate: d.coldRate, MaxConnections: d.maxConnections,
	}
	d.mirror = &mirror.Mirror{
		Poller: d.Store, Decode: platform.Decode, DecodeRemoval: platform.Gone, Changed: d.changed, Polling: d.reading, Logger: d.Logger,
	}
	d.admission = &admission.Controller{
		PeerRates: func() map[string]admission.Rate { return d.exchange.Totals().Accounts },
	}
	d.exchange = &exchange.Exchange{
		Self: d.self, Link: &link.Client{}, Mirror: d.mirror, Marks: d.poison, Seeds: s.Seeds,
		Status: func() (bool, bool) { return d.ready(), d.leaving.Load() }, Report: d.report, Polling: d.reading, Connected: d.mirror.Connected, Logger: d.Logger,
	}
	d.pool = &upstream.Pool{OnOpen: connections.Inc}
	metrics.GetOrCreateGauge("rattanline_target_connections_open", func() float64 { return float64(d.pool.Open()) })
	d.callers = &callers{idle: d.idleTime, header: d.headerTime}
	path := &relay.Forwarder{
		Scheduler:  &placement.Scheduler{Table: d.table, Admission: d.admission, Engine: d.engine},
		Quarantine: d.poison, ConfirmCrash: relay.RefusesConnections, OnMarked: d.exchange.Announce,
		Retries: &routing.Budget{Window: s.RetryWindow, Ratio: s.RetryRatio * retryPart, Slack: d.retrySlack},
		Logger:  d.Logger,
	}
	d.handler = &gateway.Handler{
		Protocol: platform.Wire{}, View: d.mirror.View, ConfigurationAge: d.age, OnLoad: d.table.SetLoad, Forwarder: path, Pool: d.pool,
		MaxKeyAge: max(s.RevokeTime-keyMargin, 0), Leaving: d.leaving.Load, Overloaded: d.overloaded, CloseConnections: d.crowded,
		EventBatchDelay: func() time.Duration { return d.overload.gather(s.DeliveryDelay) }, CallerGone: d.callers.left,
		MaxBuffered: int64(s.MemoryMB) << 20 / bufferedPart,
	}
	d.links = &link.Server{Address: s.LinkAddress, Logger: d.Logger}
	return d.links.Register(exchange.Service, d.exchange.Receiver())
}

// Run serves until the context ends, and then stops in order.
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
	parts, end := context.WithCancel(context.WithoutCancel(ctx))
	defer end()
	g, parts := errgroup.WithContext(parts)
	for _, run := range []func(context.Context) error{d.mirror.Run, d.exchange.Run, d.register, d.links.Run, d.trim, d.watchOverload} {
		g.Go(func() error { return run(parts) })
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
		case <-parts.Done():
		}
		for _, s := range servers {
			_ = s.server.Close()
		}
		end()
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

// listen opens the listeners; the callers' is the first.
func (d *Daemon) listen() ([]server, error) {
	s := d.Settings
	handlers := []struct {
		name, address string
		handler       http.Handler
	}{
		{"frontend", s.FrontendAddress, d.callers.headed(d.handler)},
		{"ready", s.ReadyAddress, platform.ReadyHandler(d.ready)},
		{"directory", s.DirectoryAddress, platform.ResolveHandler(d.resolve)},
		{"metrics", d.MetricsAddress, metricsHandler()},
	}
	var servers []server
	for _, h := range handlers {
		if h.address == "" {
			continue
		}
		l, err := net.Listen("tcp", h.address)
		if err != nil {
			return nil, fmt.Errorf("listen for %s: %w", h.name, err)
		}
		hs := &http.Server{
			Handler: h.handler, MaxHeaderBytes: maxHeader, ReadHeaderTimeout: maxHeaderTime,
		}
		if h.name == "frontend" {
			l = bounded{l, func() bool { return d.callers.open.Load() < int64(max(s.MemoryMB, 1)*callersPerMB) }}
			hs.ConnState, hs.ConnContext = d.callers.changed, d.callers.keep
		}
		servers = append(servers, server{h.name, hs, l})
	}
	return servers, nil
}

func metricsHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /metrics", func(w http.ResponseWriter, _ *http.Request) { metrics.WritePrometheus(w, true) })
	return mux
}

// trim closes connections to targets that are no longer used.
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

// watchOverload tells the others when this machine doesn't keep up.
func (d *Daemon) watchOverload(ctx context.Context) error {
	return d.overload.run(ctx, func(overloaded bool, lag time.Duration, use float64) {
		d.Logger.Warn().Bool("overloaded", overloaded).Dur("lag", lag).Float64("processor-use", use).Int64("active", d.handler.Active()).Msg("overload changed")
		d.exchange.Announce()
	})
}

// changed takes a new view of the store.
func (d *Daemon) changed(v *mirror.View, facts []mirror.Record) {
	d.table.Update(v)
	for _, f := range facts {
		e := d.Logger.Info().Int64("revision", v.Revision)
		d.pass(f, v)
		switch f := f.(type) {
		case mirror.Configuration:
			e.Uint64("config", f.Document.Version).Int("routes", len(f.Document.Routes)).Msg("configuration in force")
		case mirror.Evacuation:
			e.Str("failure-domain", f.Domain).Bool("evacuated", v.Evacuated[f.Domain]).Msg("evacuation changed")
		case mirror.Target:
			t := v.Targets[f.Name]
			e.Str("target", f.Name).Str("service", t.Service).Str("address", t.Address).Bool("leaving", t.Leaving).
				Bool("removed", t.Removed != 0).Dur("cold", t.Cold).Int64("born", t.StartTime).Msg("target changed")
		case mirror.Member:
			_, present := v.Members[f.Name]
			e.Str("peer", f.Name).Bool("present", present).Msg("member changed")
		}
	}
}

// pass starts a round of the exchange after a change that others must know soon
// and may not have read themselves.
func (d *Daemon) pass(f mirror.Record, v *mirror.View) {
	switch f := f.(type) {
	case mirror.Configuration, mirror.Evacuation:
	case mirror.Target:
		if t := v.Targets[f.Name]; !t.Leaving && t.Removed == 0 {
			return
		}
	case mirror.Member:
		return
	}
	if d.exchange.IsHub() {
		d.exchange.Announce()
	}
}

// overloaded tells whether the next request is refused, because it would be late
// or there is no memory for it.
func (d *Daemon) overloaded() bool {
	return d.handler.Active() > int64(d.Settings.MemoryMB*activePerMB) || d.overload.refusing()
}

// crowded tells that there are more connections of callers than can be kept.
func (d *Daemon) crowded() bool {
	return d.callers.open.Load() > int64(d.Settings.MemoryMB*crowdedPerMB)
}
