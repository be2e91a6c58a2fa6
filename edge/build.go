package edge

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"rattanline.example/rattanline/admission"
	"rattanline.example/rattanline/clock"
	"rattanline.example/rattanline/exchange"
	"rattanline.example/rattanline/gateway"
	"rattanline.example/rattanline/link"
	"rattanline.example/rattanline/memory"
	"rattanline.example/rattanline/mirror"
	"rattanline.example/rattanline/placement"
	"rattanline.example/rattanline/platform"
	"rattanline.example/rattanline/quarantine"
	"rattanline.example/rattanline/relay"
	"rattanline.example/rattanline/routing"
	"rattanline.example/rattanline/upstream"
)

const (
	// keyAgeMargin is subtracted from the time after which a removed key must no
	// longer be used: polls of the store may return changes up to a second late, and
	// a request takes some time to reach its target.
	keyAgeMargin = 1800 * time.Millisecond
	// heldMemoryDivisor limits what is held for requests to 1/4 of HostSettings.MemoryMB.
	heldMemoryDivisor = 4
	// targetShareDivisor limits the bodies in flight at one target to 1/8 of what is held.
	targetShareDivisor = 8
)

// build creates the components and connects them.
func (d *Daemon) build() error {
	d.started = clock.Now()
	if d.Store == nil {
		d.Store = platform.NewStore(d.Settings.StoreAddress)
	}
	d.quarantine = &quarantine.Registry{}
	d.segments = &quarantine.Segments{
		Daemon: d.Settings.Name, ProbeRank: d.probeRank, Changed: func() { d.exchange.Announce() }, Logger: d.Logger,
	}
	d.buildOverload()
	d.buildFleet()
	d.buildRollouts()
	d.buildTargets()
	d.buildHandler()
	d.buildArchives()
	d.links = &link.Server{Address: d.Settings.LinkAddress, Logger: d.Logger}
	return d.links.Register(exchange.Service, d.exchange.Receiver())
}

// buildArchives creates the archives of the requests and prompt segments that crash targets.
func (d *Daemon) buildArchives() {
	d.suspectArchive = &quarantine.Archive[quarantine.Suspect]{
		Contents: quarantine.SuspectRequests{Registry: d.quarantine}, KeyValue: d.Store, Logger: d.Logger,
		Stored: func() map[string]quarantine.Suspect { return d.mirror.View().Suspects },
		Rank:   func() int { return d.writerRank(quarantine.SuspectPrefix) },
	}
	d.segmentArchive = &quarantine.Archive[quarantine.PoisonSegment]{
		Contents: quarantine.PoisonSegments{Segments: d.segments}, KeyValue: d.Store, Logger: d.Logger,
		Stored: func() map[string]quarantine.PoisonSegment { return d.mirror.View().PoisonSegments },
		Rank:   func() int { return d.writerRank(quarantine.SegmentPrefix) },
	}
}

func (d *Daemon) buildOverload() {
	used := d.ProcessorTime
	if used == nil {
		used = processorTime
	}
	late := d.TimerLateness
	if late == nil {
		late = func(measured time.Duration) time.Duration { return measured }
	}
	d.overload = overloadDetector{
		cores: d.Settings.Cores, processorTime: used, timerLateness: late,
		counts: func() (served, passedOn int64) {
			return d.handler.Served(), d.overflow.begun.Load()
		},
	}
	d.overflow = overflow{
		peers: d.overflowPeers, maxActive: int64(max(d.Settings.MemoryMB, 1) * maxPassedOnPerMB),
		batchDelay: func() time.Duration { return d.overload.batchDelay(d.Settings.DeliveryDelay) }, logger: &d.Logger,
	}
	metrics.GetOrCreateGauge("rattanline_host_cores_left", func() float64 { return roundedCores(d.room()) })
	d.conns = &connTracker{idleTimeout: d.idleTimeout, headerTimeout: d.headerTimeout}
}

// buildFleet creates what this daemon shares with the others: the mirror of the store
// and the exchange.
func (d *Daemon) buildFleet() {
	s := d.Settings
	d.self = mirror.Member{
		Name: s.Name, Link: s.LinkAddress, Frontend: s.FrontendAddress, Overflow: s.OverflowAddress, Domain: s.FailureDomain,
		Incarnation: fmt.Sprintf("%08x", rand.Uint32()), Cores: s.Cores,
		Compression: true,
	}
	d.mirror = &mirror.Mirror{
		Poller: d.Store, Decode: platform.Decode, DecodeRemoval: platform.DecodeRemoval,
		Changed: d.viewChanged, Polling: d.shouldPoll, Logger: d.Logger,
	}
	d.exchange = &exchange.Exchange{
		Self: d.self, Link: &link.Client{Compress: d.compressLink}, Mirror: d.mirror, Marks: d.quarantine, Segments: d.segments, Seeds: s.Seeds,
		Status: func() (bool, bool) { return d.ready(), d.leaving.Load() }, Room: d.room, Report: d.report,
		Polling: d.shouldPoll, Connected: d.mirror.Connected, Logger: d.Logger,
	}
}

// buildTargets creates what decides where requests are sent, and the connections there.
func (d *Daemon) buildTargets() {
	d.table = &placement.Table{
		Self: d.self.Name, Domain: d.self.Domain, Daemons: d.daemons,
		PeerWork:    func() map[string]placement.Work { return d.exchange.Totals().Targets },
		PeerLeaving: func() map[string]int64 { return d.exchange.Totals().Leaving },
		ColdRate:    d.coldRate, MaxConnections: d.maxConnections, Contended: d.Settings.Contended, Engines: d.engineTraits, Versions: d.rollouts,
	}
	d.admission = &admission.Controller{
		Contended: d.Settings.Contended,
		PeerRates: func() map[string]admission.Rate { return d.exchange.Totals().Accounts },
		Capacity:  func() float64 { return d.limits().TokenRate },
	}
	d.pool = &upstream.Pool{OnOpen: openedConnections.Inc}
	metrics.GetOrCreateGauge("rattanline_target_connections_open", func() float64 { return float64(d.pool.Open()) })
}

// buildHandler creates the handler of callers' requests.
func (d *Daemon) buildHandler() {
	s := d.Settings
	d.retryShare = &routing.Share{Total: s.RetrySlack * retryBudgetFraction, Window: s.RetryWindow, Started: d.started}
	forwarder := &relay.Forwarder{
		Scheduler:  &placement.Scheduler{Table: d.table, Admission: d.admission, Engine: d.servesModel, AskLoad: d.askLoad},
		Quarantine: d.quarantine, Segments: d.segments, ConfirmCrash: relay.RefusesConnections, OnMarked: d.exchange.Announce,
		Retries: &routing.Budget{Window: s.RetryWindow, Ratio: s.RetryRatio * retryBudgetFraction, Slack: d.retrySlack},
		Logger:  d.Logger,
	}
	d.memory = &memory.Budget{Limit: int64(s.MemoryMB) << 20 / heldMemoryDivisor}
	d.memory.Publish()
	d.segments.Quarantined = forwarder.AbortSegment
	d.handler = &gateway.Handler{
		Protocol: platform.Wire{}, View: d.view, ConfigurationAge: d.mirrorAge, OnLoad: d.table.SetLoad, OnNotice: d.table.SetNotice,
		Forwarder: forwarder, Pool: d.pool, MaxKeyAge: max(s.RevokeTime-keyAgeMargin, 0), Leaving: d.leaving.Load,
		Overloaded: d.requestOverloaded, CloseConnections: d.tooManyConns, CallerGone: d.conns.callerGone,
		EventBatchDelay: func() time.Duration { return d.overload.batchDelay(s.DeliveryDelay) },
		Memory:          d.memory,
	}
	if s.BoundSlowReaders {
		d.handler.SlowReaders = &gateway.SlowReaders{InFlight: memory.Shares{Limit: d.memory.Limit / targetShareDivisor}}
	}
}
