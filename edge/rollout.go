package edge

import (
	"time"

	"rattanline.example/rattanline/clock"
	"rattanline.example/rattanline/platform"
	"rattanline.example/rattanline/rollout"
)

// defaultStaleLimit is the age of the mirror above which a daemon sends nothing to the old targets
// of a service in a roll-out, where no keys limit the age.
const defaultStaleLimit = 6 * time.Second

func (d *Daemon) buildRollouts() {
	s := d.Settings
	stale := defaultStaleLimit
	if s.RevokeTime > keyAgeMargin {
		stale = s.RevokeTime - keyAgeMargin // requests with keys are refused above that age anyway
	}
	d.rollouts = &rollout.Controller{
		Plan:         rollout.Plan{ExposureShare: s.ExposureShare, ExposureSlack: s.ExposureSlack, StaleLimit: stale},
		RollbackTime: s.RollbackTime, MirrorAge: d.mirrorAge, Daemons: d.listDaemons, StoreLost: d.storeLost,
		Rank:         d.writerRank,
		PeerEvidence: func() map[string]rollout.Evidence { return d.exchange.Totals().Rollouts }, Running: d.requestsAt,
		Store: d.Store, OrderKey: platform.RolloutKey, Status: platform.RolloutStatus, Logger: d.Logger,
	}
}

// storeLost reports whether this daemon is in contact with all others and none reaches the store, so
// that none can have written anything there.
func (d *Daemon) storeLost() bool {
	if d.mirror.Connected() {
		return false
	}
	now, live := clock.Now(), map[string]bool{d.self.Name: true}
	for _, p := range d.exchange.Peers() {
		if !p.Live(now) || p.Status.Connected {
			return false
		}
		live[p.Status.Name] = true
	}
	for name := range d.mirror.View().Members {
		if !live[name] {
			return false
		}
	}
	return true
}

// requestsAt returns the number of requests that all daemons have in flight at the targets.
func (d *Daemon) requestsAt(targets []string) int {
	own, others, n := d.table.InFlight(), d.exchange.Totals().Targets, 0
	for _, name := range targets {
		n += own[name].Requests + others[name].Requests
	}
	return n
}
