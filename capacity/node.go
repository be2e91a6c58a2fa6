package capacity

import (
	"context"
	"fmt"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/pkg/errors"
	"github.com/rs/zerolog"
	"golang.org/x/sync/errgroup"

	"rattanline.example/rattanline/config"
	"rattanline.example/rattanline/coordinator"
	"rattanline.example/rattanline/dispatch"
	"rattanline.example/rattanline/etcd"
	"rattanline.example/rattanline/limit"
	"rattanline.example/rattanline/link"
	"rattanline.example/rattanline/member"
	"rattanline.example/rattanline/port"
	"rattanline.example/rattanline/submission"
	"rattanline.example/rattanline/usage"
)

// node is the control plane of one daemon: membership, usage counters and slots over
// real links, without HTTP connections to callers and targets.
type node struct {
	name     string
	metrics  *metrics.Set
	server   *link.Server
	client   *link.Client
	member   *coordinator.Node
	dispatch *dispatch.Dispatcher
}

// newNode returns a node whose link server is already listening.
func newNode(name, domain, platformURL string, interval time.Duration, shares func(string) float64) (*node, error) {
	n := &node{name: name, metrics: metrics.NewSet()}
	n.server = &link.Server{Address: "127.0.0.1:0", Logger: zerolog.Nop(), Metrics: n.metrics}
	if err := n.server.Listen(); err != nil {
		return nil, fmt.Errorf("listen: %w", err)
	}
	n.client = &link.Client{Metrics: n.metrics}
	self := member.Member{Name: name, Host: name, Domain: domain, Incarnation: "1", LinkAddress: n.server.Addr()}
	source := usage.Source{Daemon: name, Incarnation: "1"}
	ledger := usage.NewLedger(source, shares)
	platform := etcd.New(platformURL)
	platform.Metrics = n.metrics
	n.member = &coordinator.Node{
		Self: self, KeyValue: platform, Link: n.client, Ledger: ledger, Logger: zerolog.Nop(), Interval: interval,
		ConfigurationKey: submission.Key, DecodeConfiguration: submission.Decode,
	}
	n.dispatch = &dispatch.Dispatcher{
		Self: source, Domain: domain, Address: n.server.Addr(), Ledger: ledger, Link: n.client, Metrics: n.metrics,
		View: n.member.View, Authority: n.member.Authority, Configuration: n.member.Configuration,
		Times:    dispatch.Times{ExchangeInterval: interval},
		NewLimit: func(t config.Target) dispatch.Limit { return limit.New(t.MaxLimit, t.MaxLimit) },
	}
	for name, receiver := range map[string]any{
		"Coordinator": n.member.Receiver(), "Owner": n.dispatch.OwnerReceiver(), "Holder": n.dispatch.HolderReceiver(),
	} {
		if err := n.server.Register(name, receiver); err != nil {
			return nil, fmt.Errorf("register %s: %w", name, err)
		}
	}
	return n, nil
}

func (n *node) run(ctx context.Context) error {
	g, ctx := errgroup.WithContext(ctx)
	g.Go(func() error { return n.server.Run(ctx) })
	g.Go(func() error { return n.member.Run(ctx) })
	g.Go(func() error { return n.dispatch.Run(ctx) })
	err := g.Wait()
	n.client.Close()
	return err
}

// ready reports whether the node is a live member and has a configuration.
func (n *node) ready() bool {
	m, ok := n.member.View().Tables[n.member.Self.Domain].Find(n.name)
	return ok && m.State == member.Live && n.member.Configuration().Version > 0
}

// sentBytes returns the bytes that the node has sent over links as client and as
// server.
func (n *node) sentBytes() uint64 {
	return n.metrics.GetOrCreateCounter("rattanline_link_client_sent_bytes_total").Get() +
		n.metrics.GetOrCreateCounter("rattanline_link_server_sent_bytes_total").Get()
}

// errNoSlot is returned when a request can't acquire a slot.
var errNoSlot = errors.New("no slot")

// runRequest acquires a slot and holds it for the duration of a request.
func (n *node) runRequest(ctx context.Context, account string, duration time.Duration) error {
	a, err := n.dispatch.Acquire(ctx, port.Job{
		RequestID: account, Account: account, Service: service, Urgent: true,
		Deadline: time.Now().Add(time.Minute), Cost: 1,
	})
	if err != nil {
		return errNoSlot
	}
	timer := time.NewTimer(duration)
	defer timer.Stop()
	<-timer.C
	a.Finish(port.Attempt{Result: port.Succeeded, Cost: 1, FirstByte: duration, Total: duration})
	return nil
}
