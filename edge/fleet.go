package edge

import (
	"time"

	"rattanline.example/rattanline/clock"
	"rattanline.example/rattanline/config"
	"rattanline.example/rattanline/exchange"
)

const (
	// settleTime is how long after its start a daemon learns of the others before
	// it sends to cold targets.
	settleTime = 1500 * time.Millisecond
	// retryPart is the part of the retry budget that daemons use, because their
	// windows are counted apart.
	retryPart = 0.8
	// hubReadAge and readAge are the ages of the copy above which a hub, and then
	// any daemon, polls the store though others should: a reader's proof is up to a
	// second old when it is passed on, which takes up to two rounds.
	hubReadAge = 2200 * time.Millisecond
	readAge    = 2800 * time.Millisecond
)

func (d *Daemon) age() time.Duration { return d.mirror.Age(clock.Now()) }

// ready tells whether callers may connect.
func (d *Daemon) ready() bool {
	return !d.away() && d.mirror.View().Index != nil && (d.handler.MaxKeyAge == 0 || d.age() <= d.handler.MaxKeyAge)
}

// away tells that callers should move to other daemons.
func (d *Daemon) away() bool { return d.leaving.Load() || d.overload.leaving.Load() }

// reading tells whether this daemon polls the store itself: it is one of the
// fleet's readers, or doesn't hear from them.
func (d *Daemon) reading() bool {
	age := d.age()
	return age > readAge || d.exchange.ShouldPoll() || age > hubReadAge && d.exchange.IsHub()
}

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
		names[p.Status.Name] = true
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
