package edge

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/pkg/errors"

	"rattanline.example/rattanline/port"
)

const (
	// memberLease is the time to live of a daemon's entry after its last renewal,
	// unless the platform's minimum is longer.
	memberLease = 8 * time.Second
	// renewInterval is the pause between two renewals of the lease.
	renewInterval = 2500 * time.Millisecond
	// registerRetryDelay is the pause after a failed call of the store.
	registerRetryDelay = 700 * time.Millisecond
	// eraCheckInterval is the interval at which a daemon checks whether the store came back from a
	// copy, without its lease.
	eraCheckInterval = 250 * time.Millisecond
	// rewriteInterval is the mean time between the writes of two daemons that write their entries again.
	rewriteInterval = 10 * time.Millisecond
)

// errEraChanged means that a lease may be of an earlier era of the store.
var errEraChanged = errors.New("the era of the store changed")

// membership is the lease under which this daemon's entry is in the store, and the era in which it was
// granted. The store may give its id out again in a later era. The zero value is no lease.
type membership struct {
	lease int64
	era   port.Era
}

// register keeps the daemon's entry in the store until the context ends. Other
// daemons find it there, but determine whether it is live by contact with it.
func (d *Daemon) register(ctx context.Context) error {
	var m membership
	for listed := false; ctx.Err() == nil; {
		next, err := d.renew(ctx, m)
		pause := renewInterval
		if err != nil {
			pause = registerRetryDelay
			if listed && ctx.Err() == nil {
				d.Logger.Warn().Err(err).Str("dependency", "membership").Msg("dependency lost")
			}
		} else if !listed {
			d.Logger.Info().Str("dependency", "membership").Int64("lease", next.lease).Msg("dependency regained")
		}
		m, listed = next, err == nil
		d.awaitRenewal(ctx, pause, m.era)
	}
	if m.lease != 0 && m.era == d.mirror.KnownEra() {
		end, cancel := context.WithTimeout(context.WithoutCancel(ctx), time.Second)
		defer cancel()
		if err := d.Store.RevokeLease(end, m.lease); err != nil {
			d.Logger.Warn().Err(err).Msg("membership lease not revoked, it will expire")
		}
	}
	return nil
}

// awaitRenewal waits until the entry is due again. If the era changes, all daemons write theirs again,
// so each waits for a random part of the time that the store may take for that.
func (d *Daemon) awaitRenewal(ctx context.Context, pause time.Duration, era port.Era) {
	for deadline := time.Now().Add(pause); ctx.Err() == nil && time.Now().Before(deadline); {
		wait := time.Until(deadline)
		switch {
		case era == 0:
		case era == d.mirror.KnownEra():
			wait = min(wait, eraCheckInterval)
		default:
			wait = rand.N(time.Duration(len(d.knownDaemons())) * rewriteInterval)
			era, deadline = 0, time.Now().Add(wait)
		}
		select {
		case <-ctx.Done():
		case <-time.After(wait):
		}
	}
}

// renew renews the lease. If there is none, or it has expired or is of an earlier era, renew grants
// a new one and writes the daemon's entry under it. It returns the lease in use.
func (d *Daemon) renew(ctx context.Context, m membership) (membership, error) {
	if m.lease != 0 && m.era == d.mirror.KnownEra() {
		left, err := d.Store.RenewLease(ctx, m.lease)
		if m.era == d.mirror.KnownEra() && (err != nil || left > 0) {
			return m, err
		}
	}
	before := d.mirror.KnownEra()
	lease, err := d.Store.GrantLease(ctx, max(memberLease, d.Settings.MinLease))
	if err != nil {
		return membership{}, err
	}
	granted := membership{lease: lease, era: d.mirror.KnownEra()}
	if before != 0 && granted.era != before {
		return membership{}, errEraChanged
	}
	w, err := d.self.Entry()
	if err != nil {
		return membership{}, err
	}
	w.Lease = lease
	// The write is idempotent, so a lost reply needs no read-back.
	if _, err := d.Store.Commit(ctx, port.Transaction{Writes: []port.Write{w}}); err != nil {
		return membership{}, err
	}
	return granted, nil
}
