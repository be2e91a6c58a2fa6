// Package coordinator implements the membership of a daemon. The daemon follows
// the coordinator of its failure domain, and takes over that role when the
// coordinator fails and no better ranked daemon responds.
package coordinator

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"
	"golang.org/x/sync/errgroup"

	"rattanline.example/rattanline/config"
	"rattanline.example/rattanline/member"
	"rattanline.example/rattanline/port"
	"rattanline.example/rattanline/quarantine"
	"rattanline.example/rattanline/timeline"
	"rattanline.example/rattanline/usage"
)

// Node is the membership of one daemon. The exported fields are set before Run;
// durations that are zero get their defaults.
type Node struct {
	Self     member.Member
	KeyValue port.KeyValue
	HostList port.HostList // may be nil
	Link     port.Link
	Ledger   *usage.Ledger
	Peers    []string // link addresses of daemons to join through

	Interval         time.Duration // of heartbeats and exchanges
	CallTimeout      time.Duration // of one call to another daemon
	CoordinatorLease time.Duration // in the key-value service
	LeaseMargin      time.Duration // by which the coordinator treats its lease as expired early
	OwnerLease       time.Duration // of a share granted in a heartbeat's reply
	FollowerLease    time.Duration // that a follower promises to its coordinator
	IsolationLimit   time.Duration // without the platform and other domains, see Isolated
	SilentAfter      time.Duration // without heartbeats a member is silent; must exceed the owner lease
	RemoveAfter      time.Duration // silent members that aren't counted are removed
	CampaignAfter    time.Duration // without a coordinator, a candidate campaigns
	UnconfirmedAfter time.Duration // without a coordinator and the platform, a candidate takes over
	RestoreTimeout   time.Duration // after which a new coordinator reports totals in any case
	HostInterval     time.Duration // between reads of the host list
	RelistInterval   time.Duration // between listings of the coordinators

	ConfigurationKey    string
	DecodeConfiguration func([]byte) (config.Document, error)
	Marks               func() []quarantine.Mark // may be nil
	MergeMarks          func([]quarantine.Mark)  // may be nil
	// Record may be nil. It can be called with a lock held and must not call the
	// node.
	Record timeline.Recorder
	Logger zerolog.Logger

	initOnce sync.Once
	// The atomic fields are read for each request, and therefore without the lock.
	view           atomic.Pointer[member.View]
	doc            atomic.Pointer[config.Document]
	auth           atomic.Pointer[authority]
	outsideContact atomic.Pointer[time.Time] // last contact with the platform or another domain, also through the coordinator
	leavingReport  atomic.Pointer[HostReport]

	mu           sync.Mutex
	feed         feed
	history      history
	contacts     contacts
	hosts        hosts
	marks        []quarantine.Mark
	versions     map[string]VersionReport // by failure domain
	docAccepted  time.Time                // when the configuration came into force
	follower     followerState
	role         *role // nil unless this daemon is the coordinator
	started      time.Time
	leaving      bool
	releasedTerm Contact      // the term that this run gave up on leaving
	term         member.Epoch // the newest term seen in this domain
	platform     platformState
	exchanges    sync.WaitGroup // exchanges in progress
	// wakeHeartbeat and wakeRole start the next run of their loops at once.
	wakeHeartbeat, wakeRole chan struct{}
}

// authority is the share that the last accepted heartbeat allows this daemon to
// grant as owner.
type authority struct {
	share member.Share
	until time.Time // end of the owner lease
	from  string    // the run of the coordinator
}

func (n *Node) init() {
	n.initOnce.Do(func() {
		for _, d := range []struct {
			field *time.Duration
			value time.Duration
		}{
			{&n.Interval, 200 * time.Millisecond},
			{&n.CallTimeout, 500 * time.Millisecond},
			{&n.CoordinatorLease, 5 * time.Second},
			{&n.LeaseMargin, 500 * time.Millisecond},
			{&n.OwnerLease, 3 * time.Second},
			{&n.FollowerLease, 6 * time.Second},
			{&n.IsolationLimit, 5 * time.Second},
			{&n.RemoveAfter, 30 * time.Second},
			{&n.CampaignAfter, time.Second},
			{&n.UnconfirmedAfter, 4 * time.Second},
			{&n.RestoreTimeout, 2 * time.Second},
			{&n.HostInterval, time.Second},
			{&n.RelistInterval, 10 * time.Minute},
		} {
			if *d.field == 0 {
				*d.field = d.value
			}
		}
		if n.SilentAfter == 0 {
			n.SilentAfter = n.OwnerLease + n.Interval
		}
		n.started = time.Now()
		n.outsideContact.Store(&n.started)
		n.auth.Store(&authority{})
		n.leavingReport.Store(&HostReport{})
		n.Self.State = member.Live
		n.wakeHeartbeat, n.wakeRole = make(chan struct{}, 1), make(chan struct{}, 1)
		n.contacts = contacts{}
		n.versions = map[string]VersionReport{}
		n.feed = feed{changed: map[string]uint64{}}
		n.follower = newFollowerState(n.started)
		n.hosts = hosts{missing: map[string]time.Time{}}
		n.view.Store(&member.View{Self: n.Self, Tables: map[string]member.Table{}})
		n.doc.Store(&config.Document{})
	})
}

// Run takes part in the fleet until the context ends. After Leave it announces
// the stop to the coordinator, so that its follower lease is no longer counted.
func (n *Node) Run(ctx context.Context) error {
	n.init()
	g, ctx := errgroup.WithContext(ctx)
	for _, loop := range []func(context.Context) error{
		n.heartbeatLoop, n.roleLoop, n.platformLoop, n.watchLoop, n.hostLoop,
	} {
		g.Go(func() error { return loop(ctx) })
	}
	err := g.Wait()
	n.exchanges.Wait()
	n.announceStop()
	return err
}

// View returns the member tables that this daemon knows.
func (n *Node) View() member.View {
	n.init()
	return *n.view.Load()
}

// Configuration returns the configuration in force. Its version is 0 until the
// first one is received.
func (n *Node) Configuration() config.Document {
	n.init()
	return *n.doc.Load()
}

// Authority returns the share of each target's limit that this daemon may grant
// as owner, and whether it may act as owner now.
func (n *Node) Authority(now time.Time) (member.Share, bool) {
	n.init()
	a := n.auth.Load()
	return a.share, now.Before(a.until) && a.share.Counted > 0
}

// Coordinator returns the coordinator that this daemon follows, and whether its
// lease is confirmed by the platform. The name is empty if no heartbeat was
// answered within the owner lease.
func (n *Node) Coordinator() (name string, confirmed bool) {
	n.init()
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.role != nil {
		return n.Self.Name, n.role.confirmed(time.Now())
	}
	if time.Since(n.follower.lastAnswered) > n.OwnerLease {
		return "", false
	}
	return n.follower.leader.Name, n.follower.leader.Confirmed
}

// Receiver returns the net/rpc receiver to register under the name
// "Coordinator".
func (n *Node) Receiver() any {
	n.init()
	return &Receiver{node: n}
}

// every calls f at the interval, and when wake receives a value, until the context ends.
// Jitter of 5 % keeps daemons that were started together from calling in step. A nil wake
// is never used.
func every(ctx context.Context, interval time.Duration, wake <-chan struct{}, f func()) error {
	for {
		f()
		t := time.NewTimer(jitter(interval, 0.05))
		select {
		case <-ctx.Done():
			t.Stop()
			return nil
		case <-wake:
			t.Stop()
		case <-t.C:
		}
	}
}

// sleep waits for the duration, and returns false if the context ends first.
func sleep(ctx context.Context, d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-t.C:
		return true
	}
}

// jitter returns a random duration that differs from d by at most the fraction.
func jitter(d time.Duration, fraction float64) time.Duration {
	return d + time.Duration((2*rand.Float64()-1)*fraction*float64(d))
}

func (n *Node) record(kind, detail string) {
	n.Logger.Info().Str("event", kind).Str("detail", detail).Msg("membership")
	if n.Record != nil {
		n.Record.Record(timeline.Event{Kind: kind, Detail: detail})
	}
}
