// Package relay takes requests through their attempts at targets: when one may be
// sent, to which target, how often, and what its caller is told of it. It serves
// all listeners; these read requests and write answers.
package relay

import (
	"context"
	"time"

	"github.com/rs/zerolog"

	"rattanline.example/rattanline/clock"
	"rattanline.example/rattanline/config"
	"rattanline.example/rattanline/port"
	"rattanline.example/rattanline/request"
	"rattanline.example/rattanline/timeline"
)

// Quarantine keeps poison requests away from targets.
type Quarantine interface {
	Quarantined(now time.Time, fingerprint uint64) bool
	Marked(now time.Time, fingerprint uint64) bool
	RecordCrash(now time.Time, crash string, fingerprints []uint64)
}

// RetryBudget bounds retries to a part of the requests.
type RetryBudget interface {
	RecordRequest(service string, now clock.Instant)
	TryRetry(service string, now clock.Instant) bool
}

// Forwarder is the way of all requests of one daemon. The exported fields are set
// before the first request.
type Forwarder struct {
	Scheduler port.Scheduler
	// Quarantine and Retries may be nil.
	Quarantine Quarantine
	Retries    RetryBudget
	// ConfirmCrash tells whether a target whose connections broke has crashed; nil
	// takes each broken connection for a crash.
	ConfirmCrash func(config.Target) bool
	// OnMarked is called after requests were marked; it may be nil.
	OnMarked func()
	// MarkPropagationTime is how long marks take to all daemons. The failure of a marked
	// request is held for it; zero holds nothing.
	MarkPropagationTime time.Duration
	Recorder            timeline.Recorder
	Logger              zerolog.Logger

	running running
	broken  broken
}

// CallHandler is the side of a request that faces its caller.
type CallHandler interface {
	// Job describes the request to the scheduler.
	Job() port.Job
	// SendRefusal returns why the request must not be sent now, nil if it may.
	SendRefusal(ctx context.Context) *request.Refusal
	// Send sends the request to the target and passes on what it answers.
	Send(ctx context.Context, slot port.Assignment) Result
	// Deliver passes on a complete response that Send held back.
	Deliver()
	// Refused answers a request that has not run, Lost one that may have.
	Refused(r *request.Refusal)
	Lost(cause string)
	// AddLogFields adds to the line that is logged at the end, Status is the status
	// that the caller was answered.
	AddLogFields(e *zerolog.Event)
	Status() int
}

// Result tells how an attempt ended.
type Result struct {
	port.Attempt
	// Written tells that a byte may have reached a target that didn't deny to run
	// the request.
	Written bool
	// NotRun tells that the target denied it, and that the request may go to
	// another one.
	NotRun bool
	// Trusted tells the same of a response that is passed on.
	Trusted bool
	// Complete tells that the whole response was received and is well formed.
	Complete bool
	// Final tells that the request must not be sent again.
	Final bool
	// Committed tells that the caller has seen a part of the response.
	Committed bool
	Err       error
}

// Begin notes a request that has arrived.
func (p *Forwarder) Begin(c *Call) {
	c.path = p
	c.State = request.Queued{}
	p.running.add(c)
}

// End logs how a request ended, and forgets it.
func (p *Forwarder) End(c *Call) {
	p.running.remove(c)
	c.log()
}

// Run brings a request to its end.
func (p *Forwarder) Run(caller context.Context, c *Call) {
	c.caller = caller
	if p.Retries != nil {
		p.Retries.RecordRequest(c.Service, clock.Now())
	}
	ctx, cancel := context.WithDeadline(caller, c.Deadline)
	defer cancel()
	for c.attempt(ctx) {
	}
}

// InFlight returns the requests that have not ended.
func (p *Forwarder) InFlight() []InFlight { return p.running.list() }

// Drain waits until no request is in flight and returns those that are left
// when the context ends.
func (p *Forwarder) Drain(ctx context.Context) []InFlight { return p.running.drain(ctx) }
