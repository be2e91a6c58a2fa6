package edge

import (
	"context"
	"net/http"
	"time"
)

const (
	// stopMargin is kept from the grace time for the end of the process.
	stopMargin = 600 * time.Millisecond
	// moveTime is how long after the stop began new requests are still taken.
	// Some callers keep the addresses three times as long as they were told, and
	// what is taken later might not finish within the grace time.
	moveTime = 3 * addressTime
	// refuseTime is how long new requests are refused after that before the
	// daemon ends, if nothing runs any more.
	refuseTime = 300 * time.Millisecond
	// activePoll is the pause between two looks at the running requests.
	activePoll = 50 * time.Millisecond
)

// stop leaves the directory, serves what still comes until callers have moved
// to other daemons, then refuses new requests and finishes what runs.
func (d *Daemon) stop(s *http.Server) {
	started := time.Now()
	deadline := started.Add(d.Settings.GraceTime - stopMargin)
	d.leaving.Store(true)
	d.exchange.Announce()
	d.Logger.Info().Int64("active", d.handler.Active()).Time("deadline", deadline).Msg("stop started")
	for time.Now().Before(deadline) {
		d.handler.Stopping.Store(time.Since(started) > moveTime)
		if time.Since(started) > moveTime+refuseTime && d.handler.Active() == 0 {
			break
		}
		time.Sleep(activePoll)
	}
	ctx, cancel := context.WithDeadline(context.Background(), deadline)
	defer cancel()
	if err := s.Shutdown(ctx); err != nil {
		d.Logger.Warn().Err(err).Int64("active", d.handler.Active()).Msg("requests cut by the end of the grace time")
	}
}
