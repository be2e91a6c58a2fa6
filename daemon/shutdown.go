package daemon

import (
	"context"
	"time"
)

// leaveTimeout bounds the attempt to publish that this daemon is leaving. If the
// platform is down, the other daemons detect it by the missing heartbeats.
const leaveTimeout = 2 * time.Second

const (
	// lingerTime is the minimum time for which a stopping daemon refuses requests before it
	// closes callers' idle connections. Callers that still use their connections thereby
	// receive a refusal instead of a connection that closes while they send.
	lingerTime = time.Second
	// quietTime is how long no request must have arrived before callers' connections are
	// closed. A busy host reads requests late.
	quietTime = 300 * time.Millisecond
	// abortTime bounds how long requests that are aborted may take to be answered.
	abortTime = 500 * time.Millisecond
	// writeTime is how long net/http may take to write an answer after its handler has
	// returned.
	writeTime = 50 * time.Millisecond
)

// shutdown leaves the fleet without interrupting requests. It accepts no new
// requests, refuses the queued ones, waits for the running ones and returns the
// slots to their owners. Requests that are still running at the stop deadline, or
// when Force is closed, are logged and aborted.
func (d *Daemon) shutdown() {
	d.stopping.Store(true)
	d.Logger.Info().Msg("shutdown started")
	ctx, cancel := context.WithTimeout(context.Background(), d.Settings.StopDeadline)
	defer cancel()
	linger := time.After(lingerTime)
	go func() {
		select {
		case <-d.Force:
			cancel()
		case <-ctx.Done():
		}
	}()
	leave, end := context.WithTimeout(ctx, leaveTimeout)
	if err := d.node.Leave(leave); err != nil {
		d.Logger.Warn().Err(err).Msg("publishing the departure failed")
	}
	end()
	if err := d.dispatch.Drain(ctx); err != nil {
		d.Logger.Warn().Err(err).Msg("drain ended before all requests finished and all slots were returned")
	}
	left := d.frontend.Drain(ctx)
	for _, r := range left {
		d.Logger.Error().Str("request", r.RequestID).Str("account", r.Account).Str("service", r.Service).
			Msg("request interrupted by the end of the shutdown")
	}
	if len(left) > 0 {
		d.abortRunning()
	}
	select {
	case <-linger:
	case <-ctx.Done():
	}
	_ = d.entryListener.Close() // it only fails if it is closed already
	if !d.frontend.AwaitQuiet(ctx, quietTime) {
		d.Logger.Warn().Msg("closing callers' connections that are still in use")
	}
}

// abortRunning answers the requests that are still running, and waits until their answers are
// written.
func (d *Daemon) abortRunning() {
	d.frontend.Abort("this daemon stops and can't wait longer")
	ctx, cancel := context.WithTimeout(context.Background(), abortTime)
	defer cancel()
	if left := d.frontend.Drain(ctx); len(left) > 0 {
		d.Logger.Warn().Int("requests", len(left)).Msg("requests can't be answered before the end of the shutdown")
	}
	time.Sleep(writeTime)
}
