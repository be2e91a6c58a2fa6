// Package fleet runs a small fleet in one process, for demonstrations and tests: the
// daemons, and stand-ins for all systems that they connect to, on loopback.
package fleet

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/google/uuid"
	"github.com/pkg/errors"
	"github.com/rs/zerolog"

	"rattanline.example/rattanline/config"
	"rattanline.example/rattanline/daemon"
	"rattanline.example/rattanline/etcd"
	"rattanline.example/rattanline/link"
	"rattanline.example/rattanline/port"
	"rattanline.example/rattanline/setting"
	"rattanline.example/rattanline/standin"
	"rattanline.example/rattanline/submission"
)

// Fleet is a set of daemons and stand-ins. The fields up to Adjust must be set before
// Start is called, which sets the other exported fields.
type Fleet struct {
	// Domains are the names of the failure domains.
	Domains []string
	// Daemons is the number of daemons in each failure domain.
	Daemons int
	// Engines describe the targets of the service Assistant in each failure domain.
	Engines []standin.EngineOptions
	// Services describe the targets of the service StockDesk in each failure domain.
	Services []standin.ServiceOptions
	Accounts []config.Account
	Logger   zerolog.Logger
	// Fault is injected into the links of each daemon.
	Fault link.Fault
	// Adjust changes the settings of each daemon before it starts; it may be nil.
	Adjust func(*setting.Settings)

	KeyValue       *standin.KeyValue
	HostList       *standin.HostList
	EnginesByName  map[string]*standin.Engine  // by target name
	ServicesByName map[string]*standin.Service // by target name
	Members        []*Member

	platformURL, hostListURL string
	mu                       sync.Mutex
	servers                  []*http.Server
	running                  sync.WaitGroup
}

// Member is a daemon of the fleet.
type Member struct {
	*daemon.Daemon
	Name string
	stop context.CancelFunc
	done chan struct{}
	err  error
}

// Names of the services in the configuration of the fleet.
const (
	Assistant = "assistant"
	StockDesk = "stock-desk"
)

// Key returns the bearer key of an account.
func Key(account string) string { return "key-of-" + account }

// KeyDigest returns the SHA-256 digest of the key of an account in hexadecimal, as
// the configuration contains it.
func KeyDigest(account string) string {
	sum := sha256.Sum256([]byte(Key(account)))
	return hex.EncodeToString(sum[:])
}

// Start starts the stand-ins, submits the configuration and starts the daemons,
// which may not be ready yet when it returns. The caller must call Close, also after
// an error.
func (f *Fleet) Start(ctx context.Context) error {
	f.KeyValue, f.HostList = standin.NewKeyValue(), standin.NewHostList()
	f.EnginesByName, f.ServicesByName = map[string]*standin.Engine{}, map[string]*standin.Service{}
	var err error
	if f.platformURL, err = f.serve(f.KeyValue); err != nil {
		return err
	}
	if f.hostListURL, err = f.serve(f.HostList); err != nil {
		return err
	}
	document, err := f.document()
	if err != nil {
		return err
	}
	if err := f.submit(ctx, document); err != nil {
		return err
	}
	hosts := map[string]port.HostState{}
	for _, domain := range f.Domains {
		for i := range f.Daemons {
			hosts[hostName(domain, i)] = port.HostLive
		}
	}
	f.HostList.Set(hosts)
	for _, domain := range f.Domains {
		for i := range f.Daemons {
			if _, err := f.StartDaemon(domain, i); err != nil {
				return err
			}
		}
	}
	return nil
}

func hostName(domain string, i int) string { return fmt.Sprintf("%s-host-%d", domain, i) }

func daemonName(domain string, i int) string { return fmt.Sprintf("%s-daemon-%d", domain, i) }

// serve starts a server for the stand-in on a free port and returns its URL.
func (f *Fleet) serve(h http.Handler) (string, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", fmt.Errorf("start stand-in: %w", err)
	}
	s := &http.Server{Handler: h, ReadHeaderTimeout: 10 * time.Second}
	f.mu.Lock()
	f.servers = append(f.servers, s)
	f.mu.Unlock()
	go func() { _ = s.Serve(l) }()
	return "http://" + l.Addr().String(), nil
}

// document starts the targets and returns a configuration that contains them.
func (f *Fleet) document() (config.Document, error) {
	d := config.Document{
		Accounts: f.Accounts,
		Services: []config.Service{
			{Name: Assistant, Kind: config.Model, Price: config.Price{InputToken: 0.1, OutputToken: 1}, Idempotent: true},
			{Name: StockDesk, Kind: config.Plain, Price: config.Price{Request: 5}},
		},
	}
	for _, domain := range f.Domains {
		d = d.WithFailureDomain(config.FailureDomain{Name: domain, Region: "local"})
		for i, o := range f.Engines {
			name := fmt.Sprintf("%s-engine-%d", domain, i)
			f.EnginesByName[name] = standin.NewEngine(o)
			url, err := f.serve(f.EnginesByName[name])
			if err != nil {
				return d, err
			}
			d = d.WithTarget(target(name, Assistant, domain, url, o.TargetOptions))
		}
		for i, o := range f.Services {
			name := fmt.Sprintf("%s-service-%d", domain, i)
			f.ServicesByName[name] = standin.NewService(o)
			url, err := f.serve(f.ServicesByName[name])
			if err != nil {
				return d, err
			}
			d = d.WithTarget(target(name, StockDesk, domain, url, o.TargetOptions))
		}
	}
	return d, nil
}

func target(name, service, domain, url string, o standin.TargetOptions) config.Target {
	return config.Target{
		Name: name, Service: service, FailureDomain: domain, URL: url,
		ColdLimit: max(o.ColdLimit, 1), MaxLimit: max(o.Capacity, 1),
	}
}

func (f *Fleet) submit(ctx context.Context, d config.Document) error {
	store := &submission.Store{KeyValue: etcd.New(f.platformURL)}
	outcome, err := store.Submit(ctx, submission.Request{ID: uuid.NewString(), Author: "fleet", Document: d})
	if err != nil {
		return fmt.Errorf("submit configuration: %w", err)
	}
	if _, ok := outcome.(submission.Accepted); !ok {
		return errors.Errorf("configuration not accepted: %T", outcome)
	}
	return nil
}

// Settings returns the settings of the daemon with index i in the failure domain.
func (f *Fleet) Settings(domain string, i int) (setting.Settings, error) {
	s, err := setting.Defaults()
	if err != nil {
		return s, err
	}
	s.Name, s.Host, s.FailureDomain = daemonName(domain, i), hostName(domain, i), domain
	s.EntryAddress, s.LinkAddress, s.OperatorAddress = "127.0.0.1:0", "127.0.0.1:0", "127.0.0.1:0"
	s.EntryURL, s.LinkAdvertise = "", ""
	s.TLS.Mode = setting.Plain
	s.PlatformURL, s.HostListURL = f.platformURL, f.hostListURL
	for _, m := range f.Members {
		s.Peers = append(s.Peers, m.LinkAddress())
	}
	if f.Adjust != nil {
		f.Adjust(&s)
	}
	return s, nil
}

// StartDaemon starts the daemon with index i in the failure domain and adds it to
// Members.
func (f *Fleet) StartDaemon(domain string, i int) (*Member, error) {
	s, err := f.Settings(domain, i)
	if err != nil {
		return nil, err
	}
	m := &Member{
		Name: s.Name, done: make(chan struct{}),
		Daemon: &daemon.Daemon{
			Settings: s, Fault: f.Fault,
			Logger: f.Logger.With().Str("daemon", s.Name).Str("host", s.Host).Str("failure-domain", domain).Logger(),
		},
	}
	if err := m.Listen(); err != nil {
		return nil, fmt.Errorf("start %s: %w", s.Name, err)
	}
	ctx, stop := context.WithCancel(context.Background())
	m.stop = stop
	f.Members = append(f.Members, m)
	f.running.Add(1)
	go func() {
		defer f.running.Done()
		defer close(m.done)
		m.err = m.Run(ctx)
	}()
	return m, nil
}

// Stop shuts the daemon down gracefully, waits until it has stopped and returns the
// error of its Run method.
func (m *Member) Stop() error {
	m.stop()
	<-m.done
	return m.err
}

// AwaitReady waits until all daemons are ready to serve callers, or ctx ends.
func (f *Fleet) AwaitReady(ctx context.Context) error {
	for _, m := range f.Members {
		if err := awaitReady(ctx, m.EntryURL()+"/readyz"); err != nil {
			return fmt.Errorf("wait for %s: %w", m.Name, err)
		}
	}
	return nil
}

func awaitReady(ctx context.Context, url string) error {
	for {
		r, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
		if err != nil {
			return fmt.Errorf("make request: %w", err)
		}
		response, err := http.DefaultClient.Do(r)
		if err == nil {
			_ = response.Body.Close()
			if response.StatusCode == http.StatusOK {
				return nil
			}
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(50 * time.Millisecond):
		}
	}
}

// Close shuts down the daemons gracefully and then closes the stand-ins.
func (f *Fleet) Close() {
	for _, m := range f.Members {
		m.stop()
	}
	f.running.Wait()
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, s := range f.servers {
		_ = s.Close()
	}
}
