package daemon

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"rattanline.example/rattanline/claim"
	"rattanline.example/rattanline/config"
	"rattanline.example/rattanline/coordinator"
	"rattanline.example/rattanline/dispatch"
	"rattanline.example/rattanline/frontend"
	"rattanline.example/rattanline/limit"
	"rattanline.example/rattanline/operator"
	"rattanline.example/rattanline/quarantine"
	"rattanline.example/rattanline/routing"
	"rattanline.example/rattanline/submission"
	"rattanline.example/rattanline/timeline"
	"rattanline.example/rattanline/upstream"
	"rattanline.example/rattanline/usage"
)

const (
	// baseRetriesPerWindow is the number of retries allowed in each window
	// regardless of the number of requests.
	baseRetriesPerWindow = 10
	// retryWindow is the length of the sliding window in which retries are counted
	// and compared with requests.
	retryWindow = 10 * time.Second
)

// build creates the components of the daemon without starting them.
func (d *Daemon) build() {
	s := d.Settings
	d.metrics = metrics.NewSet()
	metrics.RegisterSet(d.metrics)
	d.events = &timeline.Buffer{Daemon: s.Name, Host: s.Host, FailureDomain: s.FailureDomain, Size: s.TimelineEvents}
	d.quarantine = &quarantine.Registry{}
	source := usage.Source{Daemon: d.self.Name, Incarnation: d.self.Incarnation}
	d.ledger = usage.NewLedger(source, d.share)
	keyValue := d.keyValue()
	d.store = &submission.Store{KeyValue: keyValue}
	targets := &upstream.Client{}

	d.node = &coordinator.Node{
		Self: d.self, KeyValue: keyValue, HostList: d.hostList(), Link: d.link, Ledger: d.ledger, Peers: s.Peers,
		Interval: s.ExchangeInterval, CoordinatorLease: s.CoordinatorLease, OwnerLease: s.OwnerLease,
		FollowerLease: s.FollowerLease, IsolationLimit: s.IsolationLimit,
		ConfigurationKey: submission.Key, DecodeConfiguration: submission.Decode,
		Marks:      func() []quarantine.Mark { return d.quarantine.Marks(time.Now()) },
		MergeMarks: func(m []quarantine.Mark) { d.quarantine.Merge(time.Now(), m) },
		Record:     d.events, Logger: d.Logger,
	}
	d.index.load = d.node.Configuration
	d.dispatch = &dispatch.Dispatcher{
		Self: source, Domain: s.FailureDomain, Address: d.self.LinkAddress, Ledger: d.ledger, Link: d.link,
		View: d.node.View, Authority: d.node.Authority, Configuration: d.node.Configuration,
		HostLeaving: d.node.HostLeaving, Load: targets.Load, NewLimit: newLimit,
		Choose: newChooser(s.LocalitySlack), Record: d.events, Metrics: d.metrics,
		Times: dispatch.Times{
			SlotLease: s.SlotLease, OwnerLease: s.OwnerLease, OrphanTime: s.OrphanTime,
			RenewInterval: s.RenewInterval, ExchangeInterval: s.ExchangeInterval,
			Slack: s.Slack, DemandFanOut: s.DemandFanOut,
		},
	}
	d.claims = &claim.Service{
		Self: source, KeyValue: keyValue, Link: d.link, View: d.node.View,
		WriteRate: float64(s.ClaimWriteRate), Expiry: s.ClaimExpiry,
	}
	d.frontend = &frontend.Handler{
		Scheduler: d.dispatch, Upstream: targets, Claims: d.claims,
		Configuration: frontend.Configuration{
			Version:      func() uint64 { return d.index.get().Version() },
			AccountByKey: func(key string) (config.Account, bool) { return d.index.get().AccountByKey(key) },
			Service:      func(name string) (config.Service, bool) { return d.index.get().Service(name) },
		},
		Refuse: d.refuse, Entries: d.entries, EntriesTTL: s.EntriesTTL, Ready: d.ready,
		Quarantine: d.quarantine, MarkPropagationTime: markPropagationTime(s.ExchangeInterval), OnMarked: d.node.AnnounceMarks,
		RetryBudget: &routing.Budget{Window: retryWindow, Ratio: s.RetryRatio, Slack: func() float64 { return baseRetriesPerWindow }},
		Refresh:     d.node.Refresh, Recorder: d.events, Logger: d.Logger, MaxBody: s.MaxBody,
	}
	d.peer = &operator.Peer{Report: d.report, RecordedEvents: d.events.Events}
	d.collector = &operator.Collector{Link: d.link, View: d.node.View, Local: d.peer}
}

// markPropagationMargin covers the network delay of the links, including the
// retransmission of one lost packet.
const markPropagationMargin = 250 * time.Millisecond

// markPropagationTime returns how long a crash mark takes to reach all daemons. A
// mark is forwarded in three steps: in a heartbeat to the coordinator, in the exchange
// between coordinators, and in the coordinators' replies to heartbeats. The first two are
// taken at once, but on a busy host or after a lost packet each may take another exchange
// interval.
func markPropagationTime(interval time.Duration) time.Duration {
	return 3*interval + markPropagationMargin
}

func newLimit(t config.Target) dispatch.Limit { return limit.New(t.ColdLimit, t.MaxLimit) }

// newChooser adapts routing.Choose to the dispatcher. The dispatcher calls the
// returned function with its lock held, so the random number generator needs no
// lock of its own.
func newChooser(slack time.Duration) func([]dispatch.Candidate) (dispatch.Candidate, bool) {
	r := rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	return func(candidates []dispatch.Candidate) (dispatch.Candidate, bool) {
		converted := make([]routing.Candidate, len(candidates))
		for i, c := range candidates {
			converted[i] = routing.Candidate(c)
		}
		chosen, ok := routing.Choose(converted, slack, r)
		return dispatch.Candidate(chosen), ok
	}
}

// share returns the fair share of an account. It is 1 for accounts that were
// removed from the configuration while their requests are still running.
func (d *Daemon) share(account string) float64 {
	if a, ok := d.index.get().Account(account); ok {
		return a.Share
	}
	return 1
}

const (
	// refreshTimeout bounds how long an operator's request waits for a newer
	// configuration version.
	refreshTimeout = 2 * time.Second
	// refreshAcceptedTimeout bounds the wait for a version that this daemon has
	// stored. It is longer than the 2 s or so that a daemon needs after its start to
	// find its coordinator.
	refreshAcceptedTimeout = 5 * time.Second
)

func (d *Daemon) refreshTo(ctx context.Context, version uint64, timeout time.Duration) error {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	return d.node.Refresh(ctx, version)
}
