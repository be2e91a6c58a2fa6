package edge

import (
	"context"
	"time"

	"rattanline.example/rattanline/port"
)

const (
	// memberLease is how long a daemon stays listed after its last renewal.
	memberLease = 8 * time.Second
	// renewInterval is the pause between renewals.
	renewInterval = 2500 * time.Millisecond
	// registerRetry is the pause after a failed call.
	registerRetry = 700 * time.Millisecond
)

// register keeps the daemon listed in the store until the context ends. Others
// find it there; whether it lives they learn from itself.
func (d *Daemon) register(ctx context.Context) error {
	lease, listed := int64(0), false
	for ctx.Err() == nil {
		next, err := d.renew(ctx, lease)
		pause := renewInterval
		if err != nil {
			pause = registerRetry
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
			d.Logger.Warn().Err(err).Msg("membership not ended, the lease will lapse")
		}
	}
	return nil
}

// renew renews the lease, or lists the daemon under a new one.
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
	// The same write may be made twice, so a lost reply needs no reading back.
	if _, err := d.Store.Commit(ctx, port.Transaction{Writes: []port.Write{w}}); err != nil {
		return 0, err
	}
	return lease, nil
}
