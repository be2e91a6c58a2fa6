// Package daemon connects the parts of one rattanlined process: the callers'
// listener, the queues and slots, the membership, the links and the operators'
// listener.
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
	"rattanline.example/rattanline/submission"
	"rattanline.example/rattanline/timeline"
	"rattanline.example/rattanline/usage"
)

// Daemon is one router. The exported fields are set before Listen or Run.
type Daemon struct {
	Settings setting.Settings
	Logger   zerolog.Logger
	// Force ends a graceful shutdown early; nil means that only the stop
	// deadline of the settings does.
	Force <-chan struct{}
	// KeyValue and HostList replace the adapters of the settings if set.
	KeyValue port.KeyValue
	HostList port.HostList
	// Fault is injected into the calls to other daemons.
	Fault link.Fault

	self      member.Member
	entry     net.Listener
	control   net.Listener
	stopping  atomic.Bool
	index     index
	metrics   *metrics.Set
	events    *timeline.Buffer
	ledger    *usage.Ledger
	poison    *quarantine.Registry
	server    *link.Server
	link      *link.Client
	node      *coordinator.Node
	dispatch  *dispatch.Dispatcher
	claims    *claim.Service
	frontend  *frontend.Handler
	store     *submission.Store
	peer      *operator.Peer
	collector *operator.Collector
	listened  sync.Once
}

// Listen opens the listeners, so that their addresses are known before Run. An
// address whose port is zero gets a free one.
func (d *Daemon) Listen() (err error) {
	d.listened.Do(func() { err = d.listen() })
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
	if d.entry, err = net.Listen("tcp", d.Settings.EntryAddress); err != nil {
		return fmt.Errorf("listen for callers (entry-address): %w", err)
	}
	if d.control, err = net.Listen("tcp", d.Settings.OperatorAddress); err != nil {
		return fmt.Errorf("listen for operators (operator-address): %w", err)
	}
	if serverTLS != nil {
		d.control = tls.NewListener(d.control, serverTLS)
	}
	d.self = member.Member{
		Name: d.Settings.Name, Host: d.Settings.Host, Domain: d.Settings.FailureDomain,
		Incarnation: newIncarnation(),
		LinkAddress: orDefault(d.Settings.LinkAdvertise, d.server.Addr()),
		EntryURL:    orDefault(d.Settings.EntryURL, "http://"+d.entry.Addr().String()),
	}
	d.link = &link.Client{TLS: clientTLS, Fault: d.Fault}
	d.build()
	return d.register()
}

// newIncarnation returns a random id of this run. It only has to differ from
// those of other runs of the same name, and is repeated in each slot that is
// sent, so it is short: 40 bits.
func newIncarnation() string { return rand.Text()[:8] }

func orDefault(value, fallback string) string {
	if value != "" {
		return value
	}
	return fallback
}

// tls returns the configurations of both ends of links, nil in plain mode.
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

// EntryURL returns where callers connect; valid after Listen.
func (d *Daemon) EntryURL() string { return d.self.EntryURL }

// LinkAddress returns where other daemons connect; valid after Listen.
func (d *Daemon) LinkAddress() string { return d.self.LinkAddress }

// OperatorAddress returns where operators connect; valid after Listen.
func (d *Daemon) OperatorAddress() string { return d.control.Addr().String() }

// Run serves until the context ends, and then shuts down gracefully.
func (d *Daemon) Run(ctx context.Context) error {
	if err := d.Listen(); err != nil {
		return err
	}
	d.Logger.Info().Str("incarnation", d.self.Incarnation).Str("entry", d.self.EntryURL).
		Str("link", d.self.LinkAddress).Str("operator", d.OperatorAddress()).Msg("daemon started")
	entry := frontend.NewServer("", d.frontend, d.Logger)
	control := d.operatorServer()

	// The parts outlive the caller's context: they serve the shutdown.
	parts, end := context.WithCancel(context.WithoutCancel(ctx))
	defer end()
	g, parts := errgroup.WithContext(parts)
	for name, run := range map[string]func(context.Context) error{
		"links": d.server.Run, "membership": d.node.Run, "dispatch": d.dispatch.Run, "claims": d.claims.Run,
	} {
		g.Go(func() error {
			// Some parts return the context's error when they are ended.
			if err := run(parts); err != nil && !(parts.Err() != nil && errors.Is(err, context.Canceled)) {
				return fmt.Errorf("run %s: %w", name, err)
			}
			return nil
		})
	}
	g.Go(func() error { return serve(entry, d.entry) })
	g.Go(func() error { return serve(control, d.control) })
	g.Go(func() error {
		select {
		case <-ctx.Done():
			d.shutdown(entry)
		case <-parts.Done():
		}
		_ = control.Close()
		_ = entry.Close()
		end()
		return nil
	})
	err := g.Wait()
	d.link.Close()
	metrics.UnregisterSet(d.metrics, true)
	d.Logger.Info().Msg("daemon stopped")
	return err
}

func serve(s *http.Server, l net.Listener) error {
	if err := s.Serve(l); err != http.ErrServerClosed {
		return fmt.Errorf("serve %s: %w", l.Addr(), err)
	}
	return nil
}

func (d *Daemon) operatorServer() *http.Server {
	s := &operator.Server{Fleet: fleet{d}, Log: d.Logger}
	return &http.Server{Handler: s.Handler(), ReadHeaderTimeout: 5 * time.Second, MaxHeaderBytes: 32 << 10}
}

// keyValue returns the client of the platform's key-value service.
func (d *Daemon) keyValue() port.KeyValue {
	if d.KeyValue != nil {
		return d.KeyValue
	}
	return etcd.New(d.Settings.PlatformURL)
}

// hostList returns the client of the host list, nil if the settings name none.
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
