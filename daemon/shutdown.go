package daemon

import (
	"context"
	"net/http"
	"time"
)

// leaveTimeout bounds the publication of the leave; while the platform is down
// the other daemons learn it from the missing heartbeats.
const leaveTimeout = 2 * time.Second

// shutdown leaves the fleet without interrupting a request: no new work, the
// queued requests are refused, the running ones finish, the slots go back.
func (d *Daemon) shutdown(entry *http.Server) {
	d.stopping.Store(true)
	d.Logger.Info().Msg("shutdown started")
	ctx, cancel := context.WithTimeout(context.Background(), d.Settings.StopDeadline)
	defer cancel()
	go func() {
		select {
		case <-d.Force:
			cancel()
		case <-ctx.Done():
		}
	}()
	leave, end := context.WithTimeout(ctx, leaveTimeout)
	if err := d.node.Leave(leave); err != nil {
		d.Logger.Warn().Err(err).Msg("leave not published")
	}
	end()
	if err := d.dispatch.Drain(ctx); err != nil {
		d.Logger.Warn().Err(err).Msg("requests not finished")
	}
	for _, r := range d.frontend.Drain(ctx) {
		d.Logger.Error().Str("request", r.RequestID).Str("account", r.Account).Str("service", r.Service).
			Msg("request interrupted by the end of the shutdown")
	}
	if err := entry.Shutdown(ctx); err != nil {
		d.Logger.Warn().Err(err).Msg("connections closed early")
	}
}
