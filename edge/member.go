package edge

import (
	"context"
	"time"

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
)

// register keeps the daemon's entry in the store until the context ends. Other
// daemons find it there, but determine whether it is live by contact with it.
func (d *Daemon) register(ctx context.Context) error {
	lease, listed := int64(0), false
	for ctx.Err() == nil {
		next, err := d.renew(ctx, lease)
		pause := renewInterval
		if err != nil {
			pause = registerRetryDelay
			if listed && ctx.Err() == nil {
				d.Logger.Warn().Err(err).Str("dependency", "membership").Msg("dependency lost")
			}
		} else if !listed {
			d.Logger.Info().Str("dependency", "membership").Int64("lease", next).Msg("dependency regained")
		}
		lease, listed = next, err == nil
		select {
		case <-ctx.Done():
		case <-time.After(pause):
		}
	}
	if lease != 0 {
		end, cancel := context.WithTimeout(context.WithoutCancel(ctx), time.Second)
		defer cancel()
		if err := d.Store.RevokeLease(end, lease); err != nil {
			d.Logger.Warn().Err(err).Msg("membership lease not revoked, it will expire")
		}
	}
	return nil
}

// renew renews the lease. If there is none or it has expired, renew grants a new
// one and writes the daemon's entry under it. It returns the lease in use.
func (d *Daemon) renew(ctx context.Context, lease int64) (int64, error) {
	if lease != 0 {
		left, err := d.Store.RenewLease(ctx, lease)
		if err != nil || left > 0 {
			return lease, err
		}
	}
	lease, err := d.Store.GrantLease(ctx, max(memberLease, d.Settings.MinLease))
	if err != nil {
		return 0, err
	}
	w, err := d.self.Entry()
	if err != nil {
		return 0, err
	}
	w.Lease = lease
	// The write is idempotent, so a lost reply needs no read-back.
	if _, err := d.Store.Commit(ctx, port.Transaction{Writes: []port.Write{w}}); err != nil {
		return 0, err
	}
	return lease, nil
}
