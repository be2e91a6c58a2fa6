package edge

import (
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"rattanline.example/rattanline/clock"
	"rattanline.example/rattanline/config"
	"rattanline.example/rattanline/exchange"
	"rattanline.example/rattanline/mirror"
	"rattanline.example/rattanline/placement"
	"rattanline.example/rattanline/rollout"
)

const (
	// discoveryTime is how long after its start a daemon discovers the other daemons
	// before it sends to cold targets.
	discoveryTime = 1500 * time.Millisecond
	// daemonsTTL is how long the names of all daemons are cached, since each request
	// needs them.
	daemonsTTL = 100 * time.Millisecond
	// retryBudgetFraction is the fraction of the retry budget that daemons use, because
	// each daemon counts its own window.
	retryBudgetFraction = 0.8
	// hubPollAge is the age of the mirror above which a hub polls the store although
	// others should. A reader's proof of freshness is up to a second old when it is
	// forwarded, and forwarding takes up to two rounds of the exchange.
	hubPollAge = 2200 * time.Millisecond
	// pollAge is the age of the mirror above which any daemon polls the store. It is
	// higher than hubPollAge, so that hubs poll first.
	pollAge = 2800 * time.Millisecond
)

func (d *Daemon) mirrorAge() time.Duration { return d.mirror.Age(clock.Now()) }

// view returns the content of the store by which requests are handled. It has no configuration before
// peers confirmed it.
func (d *Daemon) view() *mirror.View {
	v := d.mirror.View()
	if d.exchange.Confirmed() {
		return v
	}
	return v.WithoutConfiguration()
}

// ready reports whether callers may connect.
func (d *Daemon) ready() bool {
	return !d.withdrawn() && d.view().Index != nil && (d.handler.MaxKeyAge == 0 || d.mirrorAge() <= d.handler.MaxKeyAge)
}

// withdrawn reports whether callers should move to other daemons.
func (d *Daemon) withdrawn() bool { return d.leaving.Load() || d.overload.leaving.Load() }

// shouldPoll reports whether this daemon polls the store itself: it is one of the
// fleet's readers, or its mirror is so old that it can't rely on them.
func (d *Daemon) shouldPoll() bool {
	age := d.mirrorAge()
	return age > pollAge || d.exchange.ShouldPoll() || age > hubPollAge && d.exchange.IsHub()
}

// nameList is a list of the names of daemons as of updated.
type nameList struct {
	mu      sync.Mutex
	names   []string
	updated clock.Instant
}

// daemons returns the names of all daemons that may send to targets, or nil during
// discoveryTime. Callers must not modify the list.
func (d *Daemon) daemons() []string {
	if clock.Now().Sub(d.started) < discoveryTime {
		return nil
	}
	return d.knownDaemons()
}

// knownDaemons returns the names of the daemons that are known so far. The list may be daemonsTTL
// old. Callers must not modify it.
func (d *Daemon) knownDaemons() []string {
	now := clock.Now()
	l := &d.fleetNames
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.names == nil || now.Sub(l.updated) >= daemonsTTL {
		l.names, l.updated = d.listDaemons(), now
	}
	return l.names
}

// listDaemons returns the names of this daemon, of those in the store, and of peers.
func (d *Daemon) listDaemons() []string {
	names := map[string]bool{d.self.Name: true}
	for name := range d.mirror.View().Members {
		names[name] = true
	}
	for _, p := range d.exchange.Peers() {
		names[p.Status.Name] = true
	}
	list := make([]string, 0, len(names))
	for name := range names {
		list = append(list, name)
	}
	return list
}

func (d *Daemon) report() exchange.Report {
	return exchange.Report{Accounts: d.admission.Rates(clock.Now()), Targets: d.table.InFlight(), Leaving: d.table.Leaving(), Rollouts: d.rollouts.Evidence()}
}

// coldRate returns the maximum rate of a cold target of the service in requests per
// second, and how long a target is cold after a start.
func (d *Daemon) coldRate(service string) (float64, time.Duration) {
	x := d.mirror.View().Index
	if x == nil {
		return 0, 0
	}
	s, _ := x.Service(service)
	return s.Connection.ColdRate, s.Connection.ColdTime.Std()
}

// servesModel reports whether the targets of the service process prompts.
func (d *Daemon) servesModel(service string) bool {
	x := d.mirror.View().Index
	if x == nil {
		return false
	}
	s, ok := x.Service(service)
	return ok && s.Kind == config.Model
}

// engineTraits returns what is declared about the engines of the service.
func (d *Daemon) engineTraits(service string) placement.EngineTraits {
	x := d.mirror.View().Index
	if x == nil {
		return placement.EngineTraits{}
	}
	s, _ := x.Service(service)
	return placement.EngineTraits{CopyRate: s.Engine.CopyRate, MemoryTokens: s.Engine.MemoryTokens}
}

func (d *Daemon) maxConnections(service string) int {
	x := d.mirror.View().Index
	if x == nil {
		return 0
	}
	s, _ := x.Service(service)
	return s.Connection.MaxConnections
}

// retrySlack returns this daemon's share of the retries that the fleet may make
// irrespective of the number of requests.
func (d *Daemon) retrySlack() float64 {
	return d.retryShare.Of(len(d.knownDaemons()), clock.Now())
}

// compressLink reports whether the link to the daemon at the address is compressed.
func (d *Daemon) compressLink(address string) bool { return d.exchange.Compresses(address) }

// writerRank returns the position of this daemon in the order in which the daemons may write what
// the name stands for, as the steps of a service's roll-out: the live ones that reach the store, by
// hash. A daemon with contact to no more than half of the fleet lacks evidence and gets
// rollout.NoRank.
func (d *Daemon) writerRank(name string) int {
	if d.leaving.Load() || !d.mirror.Connected() {
		return rollout.NoRank
	}
	hash := func(daemon string) uint64 { return xxhash.Sum64String(name + "\x00" + daemon) }
	now, live, higher := clock.Now(), 1, 0
	for _, p := range d.exchange.Peers() {
		if !p.Live(now) {
			continue
		}
		live++
		if p.Status.Connected && !p.Status.Leaving && hash(p.Status.Name) > hash(d.self.Name) {
			higher++
		}
	}
	if 2*live <= len(d.mirror.View().Members) {
		return rollout.NoRank
	}
	return higher
}
