package edge

import (
	"context"
	"time"

	"rattanline.example/rattanline/relay"
	"rattanline.example/rattanline/request"
)

const (
	// stopMargin is the part of the grace time that is reserved for the last answers and the
	// exit of the process.
	stopMargin = 600 * time.Millisecond
	// lameDuckTime is how long new requests are still accepted after the stop began.
	// Some callers keep addresses for three times their time to live. Requests
	// accepted later might not finish within the grace time.
	lameDuckTime = 3 * addressTTL
	// refuseTime is how long after lameDuckTime the daemon refuses new requests before it
	// accepts no more connections, if no request is running, and how long no request must
	// have arrived on the open ones before it exits. A busy host reads requests late.
	refuseTime = 300 * time.Millisecond
	// acceptFraction is the fraction of the grace time after which requests are refused, even
	// if lameDuckTime isn't over: those that are accepted need the rest to finish.
	acceptFraction = 0.375
	// abortTime is the part of stopMargin in which requests that are still running are
	// answered.
	abortTime = 200 * time.Millisecond
	// stopRetryAfter is the Retry-After value of requests that were not sent when the daemon
	// stopped; it is short because other daemons are ready.
	stopRetryAfter = 50 * time.Millisecond
	// activePollInterval is the interval between two checks for running requests.
	activePollInterval = 50 * time.Millisecond
)

// stop leaves the directory, accepts requests until callers have moved to other
// daemons, then refuses new requests and waits for the running ones. Open connections are
// closed only once none has sent a request for refuseTime.
func (d *Daemon) stop(frontend server) {
	started := time.Now()
	deadline := started.Add(d.Settings.GraceTime - stopMargin)
	d.leaving.Store(true)
	d.exchange.Announce()
	d.Logger.Info().Int64("active", d.handler.Active()).Time("deadline", deadline).Msg("stop started")
	acceptTime := min(lameDuckTime, time.Duration(acceptFraction*float64(d.Settings.GraceTime)))
	for time.Now().Before(deadline) {
		d.handler.Stopping.Store(time.Since(started) > acceptTime)
		if time.Since(started) > acceptTime+refuseTime && d.running() == 0 {
			break
		}
		time.Sleep(activePollInterval)
	}
	d.handler.Stopping.Store(true)
	_ = frontend.listener.Close() // it only fails if it is closed already
	ctx, cancel := context.WithDeadline(context.Background(), deadline)
	defer cancel()
	if !d.handler.Forwarder.AwaitQuiet(ctx, refuseTime, d.running) {
		d.abortRunning(deadline.Add(abortTime))
	}
}

// abortRunning answers the requests that are still running at the end of the grace time, and
// waits until their answers are written, but not longer than until the deadline.
func (d *Daemon) abortRunning(deadline time.Time) {
	refusal := &request.Refusal{Reason: request.Stopping, Detail: "this daemon stops and can't wait longer", RetryAfter: stopRetryAfter}
	n := d.handler.Forwarder.Abort(refusal, func(*relay.Call) bool { return true })
	d.overflow.abort()
	d.Logger.Warn().Int64("active", d.running()).Int("aborted", n).Msg("grace time over, running requests are aborted")
	for d.running() > 0 && time.Now().Before(deadline) {
		time.Sleep(activePollInterval / 5)
	}
	time.Sleep(min(activePollInterval, time.Until(deadline))) // net/http writes an answer after its handler has returned
}

// running returns the number of requests that are served or were passed on.
func (d *Daemon) running() int64 { return d.handler.Active() + d.overflow.active.Load() }
