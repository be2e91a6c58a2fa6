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

// node is the control part of one daemon: membership, counters and slots over
// real links, without the HTTP of callers and targets.
type node struct {
	name     string
	metrics  *metrics.Set
	server   *link.Server
	client   *link.Client
	member   *coordinator.Node
	dispatch *dispatch.Dispatcher
}

// newNode opens the link of a node; peers are those started before it.
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

// ready tells whether the node is a live member with a configuration.
func (n *node) ready() bool {
	m, ok := n.member.View().Tables[n.member.Self.Domain].Find(n.name)
	return ok && m.State == member.Live && n.member.Configuration().Version > 0
}

// sent returns the bytes that the node sent as caller and as callee.
func (n *node) sent() uint64 {
	return n.metrics.GetOrCreateCounter("rattanline_link_client_sent_bytes_total").Get() +
		n.metrics.GetOrCreateCounter("rattanline_link_server_sent_bytes_total").Get()
}

// errNoSlot is returned when a request got no slot within its deadline.
var errNoSlot = errors.New("no slot")

// serve holds one slot for the time of a request.
func (n *node) serve(ctx context.Context, account string, hold time.Duration) error {
	a, err := n.dispatch.Acquire(ctx, port.Job{
		RequestID: account, Account: account, Service: service, Urgent: true,
		Deadline: time.Now().Add(time.Minute), Cost: 1,
	})
	if err != nil {
		return errNoSlot
	}
	timer := time.NewTimer(hold)
	defer timer.Stop()
	<-timer.C
	a.Finish(port.Attempt{Result: port.Succeeded, Cost: 1, FirstByte: hold, Total: hold})
	return nil
}
