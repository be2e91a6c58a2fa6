// Package daemon assembles the components of one rattanlined process: the
// callers' listener, the queues and slots, the membership, the links and the
// operators' listener.
package daemon

import (
	"context"
	"crypto/rand"
	"crypto/tls"
	"fmt"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/pkg/errors"
	"github.com/rs/zerolog"
	"golang.org/x/sync/errgroup"

	"rattanline.example/rattanline/claim"
	"rattanline.example/rattanline/coordinator"
	"rattanline.example/rattanline/dispatch"
	"rattanline.example/rattanline/etcd"
	"rattanline.example/rattanline/frontend"
	"rattanline.example/rattanline/hostlist"
	"rattanline.example/rattanline/link"
	"rattanline.example/rattanline/member"
	"rattanline.example/rattanline/operator"
	"rattanline.example/rattanline/port"
	"rattanline.example/rattanline/quarantine"
	"rattanline.example/rattanline/setting"
	"rattanline.example/rattanline/socket"
	"rattanline.example/rattanline/submission"
	"rattanline.example/rattanline/timeline"
	"rattanline.example/rattanline/usage"
)

// Daemon is one router process of the fleet. The exported fields must be set
// before Listen or Run is called.
type Daemon struct {
	Settings setting.Settings
	Logger   zerolog.Logger
	// Force ends a graceful shutdown early when it is closed. If it is nil, only
	// the stop deadline of the settings ends one.
	Force <-chan struct{}
	// KeyValue and HostList, if not nil, are used instead of clients for the URLs
	// in the settings.
	KeyValue port.KeyValue
	HostList port.HostList
	// Fault is injected into the links to other daemons.
	Fault link.Fault

	self             member.Member
	entryListener    net.Listener
	operatorListener net.Listener
	stopping         atomic.Bool
	index            index
	metrics          *metrics.Set
	events           *timeline.Buffer
	ledger           *usage.Ledger
	quarantine       *quarantine.Registry
	server           *link.Server
	link             *link.Client
	node             *coordinator.Node
	dispatch         *dispatch.Dispatcher
	claims           *claim.Service
	frontend         *frontend.Handler
	store            *submission.Store
	peer             *operator.Peer
	collector        *operator.Collector
	listenOnce       sync.Once
}

// Listen opens the listeners, so that their addresses are known before Run. Port
// zero in an address selects a free port. Calls after the first do nothing and
// return nil.
func (d *Daemon) Listen() (err error) {
	d.listenOnce.Do(func() { err = d.listen() })
	return err
}

func (d *Daemon) listen() error {
	serverTLS, clientTLS, err := d.tls()
	if err != nil {
		return err
	}
	d.server = &link.Server{Address: d.Settings.LinkAddress, TLS: serverTLS, Logger: d.Logger}
	if err := d.server.Listen(); err != nil {
		return fmt.Errorf("listen for links (link-address): %w", err)
	}
	if d.entryListener, err = net.Listen("tcp", d.Settings.EntryAddress); err != nil {
		return fmt.Errorf("listen for callers (entry-address): %w", err)
	}
	if d.operatorListener, err = net.Listen("tcp", d.Settings.OperatorAddress); err != nil {
		return fmt.Errorf("listen for operators (operator-address): %w", err)
	}
	if serverTLS != nil {
		d.operatorListener = tls.NewListener(d.operatorListener, serverTLS)
	}
	d.self = member.Member{
		Name: d.Settings.Name, Host: d.Settings.Host, Domain: d.Settings.FailureDomain,
		Incarnation: newIncarnation(),
		LinkAddress: orDefault(d.Settings.LinkAdvertise, d.server.Addr()),
		EntryURL:    orDefault(d.Settings.EntryURL, "http://"+d.entryListener.Addr().String()),
	}
	d.link = &link.Client{TLS: clientTLS, Fault: d.Fault}
	d.build()
	return d.register()
}

// newIncarnation returns a random id for this run of the daemon. It has only 40
// bits because it is repeated in each slot that is sent, and has to differ only
// from the ids of other runs of a daemon of the same name.
func newIncarnation() string { return rand.Text()[:8] }

func orDefault(value, fallback string) string {
	if value != "" {
		return value
	}
	return fallback
}

// tls returns the TLS configurations for servers, which are the listeners for links
// and operators, and for the client of links. Both are nil if the settings don't ask
// for mutual TLS.
func (d *Daemon) tls() (server, client *tls.Config, err error) {
	if d.Settings.TLS.Mode != setting.Mutual {
		return nil, nil, nil
	}
	files := &link.TLSFiles{
		Certificate: d.Settings.TLS.Certificate, Key: d.Settings.TLS.Key,
		Authority: d.Settings.TLS.Authority, Logger: d.Logger,
	}
	if server, err = files.Server(); err != nil {
		return nil, nil, fmt.Errorf("load certificates: %w", err)
	}
	if client, err = files.Client(); err != nil {
		return nil, nil, fmt.Errorf("load certificates: %w", err)
	}
	return server, client, nil
}

func (d *Daemon) register() error {
	for name, receiver := range map[string]any{
		"Coordinator":     d.node.Receiver(),
		"Owner":           d.dispatch.OwnerReceiver(),
		"Holder":          d.dispatch.HolderReceiver(),
		"Claim":           d.claims.Receiver(),
		operator.PeerName: d.peer,
	} {
		if err := d.server.Register(name, receiver); err != nil {
			return fmt.Errorf("register link methods: %w", err)
		}
	}
	return nil
}

// EntryURL returns the URL at which callers connect. It is valid after Listen.
func (d *Daemon) EntryURL() string { return d.self.EntryURL }

// LinkAddress returns the address at which other daemons connect. It is valid
// after Listen.
func (d *Daemon) LinkAddress() string { return d.self.LinkAddress }

// OperatorAddress returns the address at which operators connect. It is valid
// after Listen.
func (d *Daemon) OperatorAddress() string { return d.operatorListener.Addr().String() }

// Run serves until ctx ends and then shuts down gracefully. It calls Listen if
// that wasn't done before.
func (d *Daemon) Run(ctx context.Context) error {
	if err := d.Listen(); err != nil {
		return err
	}
	d.Logger.Info().Str("incarnation", d.self.Incarnation).Str("entry", d.self.EntryURL).
		Str("link", d.self.LinkAddress).Str("operator", d.OperatorAddress()).Msg("daemon started")
	entryServer := frontend.NewServer("", d.frontend, d.Logger)
	operatorServer := d.operatorServer()

	// The components must run during the graceful shutdown, after ctx has ended.
	running, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	g, running := errgroup.WithContext(running)
	for name, run := range map[string]func(context.Context) error{
		"links": d.server.Run, "membership": d.node.Run, "dispatch": d.dispatch.Run, "claims": d.claims.Run,
	} {
		g.Go(func() error {
			// Some components return the context's error when it is canceled.
			if err := run(running); err != nil && !(running.Err() != nil && errors.Is(err, context.Canceled)) {
				return fmt.Errorf("run %s: %w", name, err)
			}
			return nil
		})
	}
	g.Go(func() error { return d.serve(entryServer, d.entryListener) })
	g.Go(func() error { return d.serve(operatorServer, d.operatorListener) })
	g.Go(func() error {
		select {
		case <-ctx.Done():
			d.shutdown()
		case <-running.Done():
		}
		_ = operatorServer.Close()
		_ = entryServer.Close()
		cancel()
		return nil
	})
	err := g.Wait()
	d.link.Close()
	metrics.UnregisterSet(d.metrics, true)
	d.Logger.Info().Msg("daemon stopped")
	return err
}

// serve serves until the server is closed, or the listener by a graceful shutdown.
func (d *Daemon) serve(s *http.Server, l net.Listener) error {
	err := s.Serve(&socket.Listener{Listener: l, Logger: &d.Logger})
	if err == http.ErrServerClosed || errors.Is(err, net.ErrClosed) && d.stopping.Load() {
		return nil
	}
	return fmt.Errorf("serve %s: %w", l.Addr(), err)
}

func (d *Daemon) operatorServer() *http.Server {
	s := &operator.Server{Fleet: fleet{d}, Log: d.Logger}
	return &http.Server{Handler: s.Handler(), ReadHeaderTimeout: 5 * time.Second, MaxHeaderBytes: 32 << 10}
}

// keyValue returns the client of the platform's key-value service, or
// Daemon.KeyValue if that is set.
func (d *Daemon) keyValue() port.KeyValue {
	if d.KeyValue != nil {
		return d.KeyValue
	}
	return etcd.New(d.Settings.PlatformURL)
}

// hostList returns the client of the host list, or Daemon.HostList if that is set.
// It returns nil if the settings have no URL of a host list.
func (d *Daemon) hostList() port.HostList {
	switch {
	case d.HostList != nil:
		return d.HostList
	case d.Settings.HostListURL == "":
		return nil
	default:
		return hostlist.New(d.Settings.HostListURL)
	}
}
