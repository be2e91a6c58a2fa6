package edge

import (
	"math/rand/v2"
	"time"

	"rattanline.example/rattanline/clock"
	"rattanline.example/rattanline/config"
	"rattanline.example/rattanline/exchange"
	"rattanline.example/rattanline/platform"
)

const (
	// settleTime is how long after its start a daemon learns of the others before
	// it sends to cold targets.
	settleTime = 1500 * time.Millisecond
	// retryPart is the part of the retry budget that daemons use, because their
	// windows are counted apart.
	retryPart = 0.8
	// readAge is the age of the copy above which a daemon polls the store though
	// others should: a reader's proof is up to a second old when it is passed on.
	readAge = 2200 * time.Millisecond
	// addressTime is how long callers keep the addresses they were told.
	addressTime = time.Second
	// maxAddresses bounds the addresses in one answer.
	maxAddresses = 64
	// zoneQuorum is the number of ready daemons from which on a failure domain
	// serves its callers alone.
	zoneQuorum = 2
)

func (d *Daemon) age() time.Duration { return d.mirror.Age(clock.Now()) }

// ready tells whether callers may connect.
func (d *Daemon) ready() bool {
	return !d.away() && d.mirror.View().Index != nil && (d.handler.KeyAge == 0 || d.age() <= d.handler.KeyAge)
}

// away tells that callers should move to other daemons.
func (d *Daemon) away() bool { return d.leaving.Load() || d.overload.leaving.Load() }

// reading tells whether this daemon polls the store itself: it is one of its
// failure domain's readers, or doesn't hear from them.
func (d *Daemon) reading() bool { return d.age() > readAge || d.exchange.Reader() }

// daemons returns the names of all daemons that may send to targets.
func (d *Daemon) daemons() []string {
	now := clock.Now()
	if now.Sub(d.started) < settleTime {
		return nil
	}
	names := map[string]bool{d.self.Name: true}
	for name := range d.mirror.View().Members {
		names[name] = true
	}
	for _, p := range d.exchange.Peers() {
		names[p.Message.Name] = true
	}
	list := make([]string, 0, len(names))
	for name := range names {
		list = append(list, name)
	}
	return list
}

func (d *Daemon) report() exchange.Report {
	return exchange.Report{Accounts: d.admission.Rates(clock.Now()), Targets: d.table.InFlight()}
}

func (d *Daemon) coldRate(service string) (float64, time.Duration) {
	x := d.mirror.View().Index
	if x == nil {
		return 0, 0
	}
	s, _ := x.Service(service)
	return s.Connection.ColdRate, s.Connection.ColdTime.Std()
}

// engine tells that the targets of the service read prompts.
func (d *Daemon) engine(service string) bool {
	x := d.mirror.View().Index
	if x == nil {
		return false
	}
	s, ok := x.Service(service)
	return ok && s.Kind == config.Model
}

func (d *Daemon) maxConnections(service string) int {
	x := d.mirror.View().Index
	if x == nil {
		return 0
	}
	s, _ := x.Service(service)
	return s.Connection.MaxConnections
}

// retrySlack returns this daemon's part of the retries that the fleet may make
// without requests. It grows from zero after a start, because the daemon before
// it may have used its part.
func (d *Daemon) retrySlack() float64 {
	up := clock.Now().Sub(d.started).Seconds() / max(d.Settings.RetryWindow.Seconds(), 1)
	return d.Settings.RetrySlack * retryPart * min(up, 1) / float64(max(len(d.daemons()), 1))
}

// addressTime returns how long callers keep addresses, at most what the settings
// allow.
func (d *Daemon) addressTime() time.Duration {
	if most := d.Settings.MaxResolveTime; most > 0 {
		return min(addressTime, most)
	}
	return addressTime
}

// resolve returns the frontends of ready daemons, those of the caller's failure
// domain if there are several.
func (d *Daemon) resolve(q platform.Question) platform.Addresses {
	now := clock.Now()
	var near, all, living []string
	add := func(address, domain string, ready, leaving bool) {
		if leaving {
			return
		}
		living = append(living, address)
		if !ready {
			return
		}
		all = append(all, address)
		if domain == q.Domain {
			near = append(near, address)
		}
	}
	add(d.self.Frontend, d.self.Domain, d.ready(), d.leaving.Load())
	for _, p := range d.exchange.Peers() {
		if p.Live(now) {
			add(p.Message.Frontend, p.Message.Domain, p.Message.Ready, p.Message.Leaving)
		}
	}
	list := living
	switch {
	case len(near) >= zoneQuorum:
		list = near
	case len(all) > 0:
		list = all
	}
	rand.Shuffle(len(list), func(i, j int) { list[i], list[j] = list[j], list[i] })
	return platform.Addresses{List: list[:min(len(list), maxAddresses)], Keep: d.addressTime()}
}
