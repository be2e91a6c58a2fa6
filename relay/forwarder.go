// Package relay sends requests to targets: it decides whether a request may be
// sent, to which target and how often, and how its outcome is reported to the
// caller. It is independent of the protocol; implementations of CallHandler read
// requests and write responses.
package relay

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"rattanline.example/rattanline/clock"
	"rattanline.example/rattanline/config"
	"rattanline.example/rattanline/port"
	"rattanline.example/rattanline/quarantine"
	"rattanline.example/rattanline/request"
	"rattanline.example/rattanline/timeline"
)

// Quarantine keeps requests that crash targets (poison requests) away from
// targets.
type Quarantine interface {
	Quarantined(now time.Time, fingerprint uint64) bool
	Marked(now time.Time, fingerprint uint64) bool
	RecordCrash(now time.Time, crash string, fingerprints []uint64)
	RecordLateCrash(now time.Time, crash string, fingerprints []uint64)
	RecordAnswer(fingerprint uint64)
}

// RetryBudget limits retries in proportion to the requests.
type RetryBudget interface {
	RecordRequest(service string, now clock.Instant)
	TryRetry(service string, now clock.Instant) bool
}

// Forwarder forwards all requests of one daemon to targets. The exported fields
// are set before the first request.
type Forwarder struct {
	Scheduler port.Scheduler
	// Quarantine, Segments and Retries may be nil.
	Quarantine Quarantine
	Segments   *quarantine.Segments
	Retries    RetryBudget
	// ConfirmCrash reports whether a target whose connections broke has crashed. It
	// is called after the attempt ended. If it is nil, each broken connection counts
	// as a crash.
	ConfirmCrash func(config.Target) bool
	// OnMarked is called after requests were marked; it may be nil.
	OnMarked func()
	// MarkPropagationTime is how long crash marks take to reach all daemons. Of the
	// requests that a crash interrupts, the one whose attempt ends first has its
	// failure response delayed by this time; zero means no delay. It has no effect if
	// ConfirmCrash is set.
	MarkPropagationTime time.Duration
	Recorder            timeline.Recorder
	Logger              zerolog.Logger

	tracker           tracker
	brokenConnections brokenConnections
	arrived           atomic.Int64 // requests since the start
}

// CallHandler implements the protocol of one request: it exchanges messages with
// the caller and with the target.
type CallHandler interface {
	// Job describes the request to the scheduler.
	Job() port.Job
	// SendRefusal returns why the request must not be sent now, nil if it may be
	// sent.
	SendRefusal(ctx context.Context) *request.Refusal
	// Send sends the request to the target and forwards the response to the caller.
	Send(ctx context.Context, assignment port.Assignment) Result
	// Deliver forwards a complete response that Send withheld.
	Deliver()
	// Refused responds to a request that did not run.
	Refused(r *request.Refusal)
	// Lost responds to a request that may have run and has no complete response.
	Lost(cause string)
	// AddLogFields adds fields to the log line that is written when the request ends.
	AddLogFields(e *zerolog.Event)
	// Status returns the HTTP status that was sent to the caller.
	Status() int
}

// Result is the outcome of an attempt.
type Result struct {
	port.Attempt
	// Written reports whether a byte of the request may have reached the target. It
	// may be left false if the target declared that it didn't run the request.
	Written bool
	// NotRun reports whether the target declared that it didn't run the request,
	// which may then be sent to another target.
	NotRun bool
	// NotRunStatus reports whether the status of a response that is forwarded to the
	// caller means, by the configuration of the service, that the target didn't run
	// the request.
	NotRunStatus bool
	// Complete reports whether the whole response was received and is well formed.
	Complete bool
	// Final reports whether the request must not be sent again.
	Final bool
	// Committed reports whether the caller received a part of the response.
	Committed bool
	Err       error
}

// Begin registers a request that has arrived.
func (f *Forwarder) Begin(c *Call) {
	c.forwarder = f
	c.State = request.Queued{}
	f.arrived.Add(1)
	f.tracker.add(c)
}

// End removes a request and logs how it ended.
func (f *Forwarder) End(c *Call) {
	f.tracker.remove(c)
	c.log()
}

// Run sends a request until it has ended.
func (f *Forwarder) Run(caller context.Context, c *Call) {
	c.caller = caller
	if f.Retries != nil {
		f.Retries.RecordRequest(c.Service, clock.Now())
	}
	ctx, abort := context.WithCancelCause(caller)
	defer abort(nil)
	f.tracker.setAbort(c, abort)
	ctx, cancel := context.WithDeadline(ctx, c.Deadline)
	defer cancel()
	for c.attempt(ctx) {
	}
}

// InFlight returns the requests that have not ended.
func (f *Forwarder) InFlight() []InFlight { return f.tracker.list() }

// Drain waits until no request is in flight. It returns the requests that are
// still in flight when the context ends.
func (f *Forwarder) Drain(ctx context.Context) []InFlight { return f.tracker.drain(ctx) }
