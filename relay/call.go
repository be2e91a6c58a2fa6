package relay

import (
	"context"
	"fmt"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"rattanline.example/rattanline/clock"
	"rattanline.example/rattanline/config"
	"rattanline.example/rattanline/port"
	"rattanline.example/rattanline/request"
	"rattanline.example/rattanline/timeline"
)

// maxSends bounds the targets that one request is sent to, including those that
// did not run it.
const maxSends = 4

// Call is one request. It must be used by a single goroutine.
type Call struct {
	// The following fields are set before Run.
	ID, Account, Service string
	Arrived, Deadline    time.Time
	// Fingerprint identifies the content of the request for the quarantine.
	Fingerprint uint64
	// Content identifies the content of the request including its prompt.
	Content uint64
	// Segments holds the prompt segments that other requests may share.
	Segments []request.Segment
	// Repeat states whether the request may run more than once. MaxRuns bounds Runs;
	// zero means no bound.
	Repeat  config.Repeat
	MaxRuns int
	Handler CallHandler

	State request.State
	// Sends counts the targets that the request was sent to, Runs those that may
	// have run it.
	Sends, Runs int
	// Target, Basis and SentAt describe the last attempt.
	Target config.Target
	Basis  port.Basis
	SentAt time.Time
	// events is the number of events that were received in the last attempt.
	events atomic.Int32
	// TimedOut reports whether the deadline of the request passed.
	TimedOut bool

	// suspect reports whether the prompt has a segment that may crash targets.
	suspect bool
	// interrupted reports whether the connection of an attempt broke.
	interrupted bool
	// probing reports whether the request tests quarantined prompt segments.
	probing bool
	// sentAt is SentAt on the clock that includes suspensions.
	sentAt clock.Instant

	forwarder *Forwarder
	caller    context.Context
	avoid     []string
	// crashedAt is when the last attempt that recorded a crash ended. Of the attempts
	// that a crash interrupts, only the first one to end records it. It stays zero if
	// ConfirmCrash is set.
	crashedAt time.Time
}

// Apply applies an event to the state. An invalid transition is a programming
// error. The request then ends as unknown, which claims nothing about whether it
// ran.
func (c *Call) Apply(e request.Event) {
	state, err := request.Next(c.State, e)
	if err != nil {
		c.forwarder.Logger.Error().Err(err).Str("request", c.ID).Msg("invalid request state")
		state = request.Unknown{Cause: err.Error()}
	}
	c.State = state
}

// Wrote records that a byte of the request may have reached the target.
func (c *Call) Wrote() {
	c.Runs++
	c.Apply(request.Write{})
}

// sendRefusal returns why the request must not be sent now, nil if it may be sent.
// Assigned reports whether it has a target, to which it is sent next.
func (c *Call) sendRefusal(ctx context.Context, assigned bool) *request.Refusal {
	if r := c.Handler.SendRefusal(ctx); r != nil {
		return r
	}
	if r := c.segmentRefusal(assigned); r != nil {
		return r
	}
	return c.QuarantineRefusal()
}

// ErrWithdrawn is the cause of an attempt that was not sent because its target was withdrawn
// after it had been assigned.
var ErrWithdrawn = errors.New("the target was withdrawn before the request was sent")

// BeforeWrite returns why the request must not be written to its target, nil if it may be. The
// handler calls it right before the first byte, because connecting takes time and the process
// may have been stopped for some seconds since the target was assigned. The error is a
// *request.Refusal or ErrWithdrawn, after which another target may be tried.
func (c *Call) BeforeWrite(ctx context.Context, a port.Assignment) error {
	if !time.Now().Before(c.Deadline) {
		return &request.Refusal{Reason: request.DeadlinePassed, Detail: "its time was over before it was sent"}
	}
	if r := c.sendRefusal(ctx, false); r != nil {
		return r
	}
	if !a.Usable() {
		return ErrWithdrawn
	}
	return nil
}

// quarantineRetryAfter is the Retry-After hint for quarantined requests.
const quarantineRetryAfter = 10 * time.Minute

// QuarantineRefusal returns a refusal if the request crashes targets, nil
// otherwise.
func (c *Call) QuarantineRefusal() *request.Refusal {
	if q := c.forwarder.Quarantine; q == nil || !q.Quarantined(time.Now(), c.Fingerprint) {
		return nil
	}
	return &request.Refusal{
		Reason: request.Quarantined, Detail: "targets crashed while they ran this request", RetryAfter: quarantineRetryAfter,
	}
}

// job describes the request to the scheduler. A request with a crash mark avoids
// targets that run another marked request: a crash there would not show which of
// them caused it.
func (c *Call) job() port.Job {
	job := c.Handler.Job()
	job.Avoid, job.Retry = c.avoid, c.Sends > 0
	if c.suspect {
		job.Isolated = true
		job.Avoid = append(c.forwarder.tracker.targetsRunningSuspects(), c.avoid...)
	}
	if q := c.forwarder.Quarantine; q != nil {
		now := time.Now()
		if q.Marked(now, c.Fingerprint) {
			marked := c.forwarder.tracker.targetsRunning(func(f uint64) bool { return q.Marked(now, f) })
			job.Avoid = append(marked, job.Avoid...)
		}
	}
	return job
}

// attempt acquires a target from the scheduler and sends the request to it. It
// reports whether the request should be sent again.
func (c *Call) attempt(ctx context.Context) bool {
	if refusal := c.sendRefusal(ctx, false); refusal != nil {
		c.Refuse(refusal)
		return false
	}
	assignment, err := c.forwarder.Scheduler.Acquire(ctx, c.job())
	if err != nil {
		c.Refuse(c.RefusalOf(ctx, err))
		return false
	}
	refusal := c.sendRefusal(ctx, true) // a reason may have arisen while it waited
	if refusal == nil && ctx.Err() != nil {
		refusal = c.RefusalOf(ctx, ctx.Err())
	}
	if refusal != nil {
		assignment.Finish(port.Attempt{Result: port.NotSent})
		c.Refuse(refusal)
		return false
	}
	c.Target, c.Basis = assignment.Target(), assignment.Basis()
	c.events.Store(0)
	c.SentAt, c.sentAt = time.Now(), clock.Now()
	c.Sends++
	return c.handleResult(ctx, c.send(ctx, assignment))
}

// send sends the request to its target and returns the result.
func (c *Call) send(ctx context.Context, assignment port.Assignment) Result {
	run := c.forwarder.tracker.addAttempt(c)
	finished := false
	defer func() {
		if !finished { // Send panicked; the server recovers and drops only this request
			c.forwarder.tracker.removeAttempt(c, run, false)
			assignment.Finish(port.Attempt{Result: port.Failed})
		}
	}()
	result := c.Handler.Send(ctx, assignment)
	if result.Total == 0 {
		result.Total = time.Since(c.SentAt)
	}
	c.forwarder.attemptEnded(c, run, result.Result == port.Crashed)
	finished = true
	assignment.Finish(result.Attempt)
	attemptDuration.Update(result.Total.Seconds())
	return result
}

// RecordIncarnation records the incarnation of the target that answered the
// request.
func (c *Call) RecordIncarnation(incarnation string) {
	c.forwarder.tracker.setIncarnation(c.Target.Name, incarnation)
}

// handleResult ends the request, or prepares it for another attempt and returns
// true.
func (c *Call) handleResult(ctx context.Context, r Result) bool {
	if c.mayRetry(ctx, r) {
		c.Apply(request.Retry{Idempotent: c.Repeat != config.RepeatNever, NotRun: r.NotRun})
		c.avoid = append(c.avoid, c.Target.Name)
		retries.Inc()
		c.Record("request-retried", string(r.Result))
		c.forwarder.Logger.Info().Str("request", c.ID).Str("target", c.Target.Name).Int("sends", c.Sends).
			Str("result", string(r.Result)).AnErr("cause", r.Err).Msg("request sent again")
		return true
	}
	switch {
	case r.Complete:
		if r.Result == port.Succeeded {
			c.recordComplete()
		}
		c.Apply(request.Complete{NotRunStatus: r.NotRunStatus})
		c.Handler.Deliver()
	case !r.Written:
		c.Refuse(c.RefusalOf(ctx, r.Err))
	default:
		c.TimedOut = errors.Is(ctx.Err(), context.DeadlineExceeded) || !time.Now().Before(c.Deadline)
		if aborted := abortRefusal(ctx); aborted != nil {
			c.Lose(aborted.Detail)
			return false
		}
		cause := fmt.Sprintf("no complete response of the target: %s", r.Result)
		if r.Err != nil {
			cause += ": " + r.Err.Error()
		}
		c.Lose(cause)
	}
	return false
}

// mayRetry reports whether the request may be sent again: it certainly did not
// run, or it may run more than once. It counts a permitted retry in the retry
// budget if the last attempt reached its target.
func (c *Call) mayRetry(ctx context.Context, r Result) bool {
	var refusal *request.Refusal
	if !r.Written && errors.As(r.Err, &refusal) {
		return false
	}
	if r.Final || ctx.Err() != nil || c.Sends >= maxSends || c.MaxRuns > 0 && c.Runs >= c.MaxRuns {
		return false
	}
	if r.Written && !r.NotRun {
		switch c.Repeat {
		case config.RepeatNever:
			return false
		case config.RepeatAny:
			if r.Committed {
				return false
			}
		case config.RepeatResume: // resumes after the part that the caller received
		}
	}
	if !reachedTarget(r) {
		return true // to the targets it is not a retry
	}
	if r.Result == port.Crashed && c.mayHaveCrashed() {
		return false
	}
	if c.forwarder.Retries == nil || c.forwarder.Retries.TryRetry(c.Service, clock.Now()) {
		return true
	}
	deniedRetries.Inc()
	return false
}

// reachedTarget reports whether a part of the request may have reached the target.
func reachedTarget(r Result) bool {
	return r.Written || r.Result != port.Unreachable && r.Result != port.NotSent
}

// CallerGone reports whether the caller disconnected.
func (c *Call) CallerGone() bool { return c.caller != nil && c.caller.Err() != nil }

// RefusalOf converts an error that occurred before the first byte was sent into a
// refusal.
func (c *Call) RefusalOf(ctx context.Context, err error) *request.Refusal {
	var refusal *request.Refusal
	if aborted := abortRefusal(ctx); aborted != nil {
		return aborted
	}
	switch {
	case errors.As(err, &refusal):
		return refusal
	case c.CallerGone():
		return &request.Refusal{Reason: request.CallerGone, Detail: "the caller went away"}
	case ctx.Err() != nil:
		return &request.Refusal{Reason: request.DeadlinePassed, Detail: "the deadline passed"}
	case c.Sends >= maxSends:
		return &request.Refusal{Reason: request.NoTarget, Detail: fmt.Sprintf("no connection to a target: %v", err)}
	default:
		return &request.Refusal{Reason: request.RetryBudget, Detail: fmt.Sprintf("not sent again: %v", err)}
	}
}

// Refuse ends the request without another attempt. If an earlier attempt may have
// run the request, the outcome is reported as unknown instead of refused.
func (c *Call) Refuse(r *request.Refusal) {
	c.awaitMarkPropagation()
	c.TimedOut = r.Reason == request.DeadlinePassed
	c.Apply(request.Refuse{Refusal: r})
	switch s := c.State.(type) {
	case request.Refused:
		c.Handler.Refused(r)
	case request.Unknown:
		c.Handler.Lost(s.Cause)
	}
}

// Lose ends a request that may have run, without a complete response.
func (c *Call) Lose(cause string) {
	c.awaitMarkPropagation()
	c.Apply(request.Lose{Cause: cause})
	c.Handler.Lost(cause)
}

// awaitMarkPropagation delays the failure of a request that may have crashed a
// target until the other daemons have its crash marks. Callers often resend such a
// request immediately to another daemon, where it would crash further targets. Only
// the request whose attempt recorded the crash is delayed; see crashedAt.
func (c *Call) awaitMarkPropagation() {
	if !c.crashedAt.IsZero() {
		time.Sleep(time.Until(c.crashedAt.Add(c.forwarder.MarkPropagationTime)))
	}
}

// Record adds an event of the request to the timeline.
func (c *Call) Record(kind, detail string) {
	if c.forwarder.Recorder != nil {
		c.forwarder.Recorder.Record(timeline.Event{
			Kind: kind, Request: c.ID, Account: c.Account, Target: c.Target.Name, Detail: detail,
		})
	}
}
