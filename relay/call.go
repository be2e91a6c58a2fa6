package relay

import (
	"context"
	"fmt"
	"time"

	"github.com/pkg/errors"

	"rattanline.example/rattanline/clock"
	"rattanline.example/rattanline/config"
	"rattanline.example/rattanline/port"
	"rattanline.example/rattanline/request"
	"rattanline.example/rattanline/timeline"
)

// maxSends bounds the targets that one request is sent to, those that did not
// run it included.
const maxSends = 4

// Call is one request. It belongs to one goroutine.
type Call struct {
	// These are set before Run.
	ID, Account, Service string
	Arrived, Deadline    time.Time
	Fingerprint          uint64
	// Repeat tells whether the request may run again, MaxRuns at how many targets;
	// zero means any that it may be sent to.
	Repeat  config.Repeat
	MaxRuns int
	Handler CallHandler

	State request.State
	// Sends counts the targets that the request was sent to, Runs those that may
	// have run it.
	Sends, Runs int
	Target      config.Target
	Basis       port.Basis
	SentAt      time.Time
	// TimedOut tells that the time of the request was over.
	TimedOut bool

	path   *Forwarder
	caller context.Context
	avoid  []string
	// crashed is when a target last crashed under the request.
	crashed time.Time
}

// Apply changes the state. A transition that isn't allowed is a fault of this
// program; the request then ends as unknown, which promises nothing.
func (c *Call) Apply(e request.Event) {
	state, err := request.Next(c.State, e)
	if err != nil {
		c.path.Logger.Error().Err(err).Str("request", c.ID).Msg("invalid request state")
		state = request.Unknown{Cause: err.Error()}
	}
	c.State = state
}

// Wrote notes that a byte of the request may have reached the target.
func (c *Call) Wrote() {
	c.Runs++
	c.Apply(request.Write{})
}

// barred returns why the request must not be sent now.
func (c *Call) barred(ctx context.Context) *request.Refusal {
	if r := c.Handler.SendRefusal(ctx); r != nil {
		return r
	}
	return c.QuarantineRefusal()
}

// quarantineTime is what callers of a quarantined request are told to wait.
const quarantineTime = 10 * time.Minute

// QuarantineRefusal refuses a request that crashes targets.
func (c *Call) QuarantineRefusal() *request.Refusal {
	if q := c.path.Quarantine; q == nil || !q.Quarantined(time.Now(), c.Fingerprint) {
		return nil
	}
	return &request.Refusal{
		Reason: request.Quarantined, Detail: "targets crashed while they ran this request", RetryAfter: quarantineTime,
	}
}

// job describes the request. One that may have crashed a target is kept from
// others of that kind: a crash would tell nothing of either.
func (c *Call) job() port.Job {
	job := c.Handler.Job()
	job.Avoid = c.avoid
	if q := c.path.Quarantine; q != nil {
		now := time.Now()
		if q.Marked(now, c.Fingerprint) {
			marked := c.path.running.targetsWith(func(f uint64) bool { return q.Marked(now, f) })
			job.Avoid = append(marked, c.avoid...)
		}
	}
	return job
}

// attempt gets a target from the scheduler, sends the request there, and tells
// whether it should be sent again.
func (c *Call) attempt(ctx context.Context) bool {
	if refusal := c.barred(ctx); refusal != nil {
		c.Refuse(refusal)
		return false
	}
	slot, err := c.path.Scheduler.Acquire(ctx, c.job())
	if err != nil {
		c.Refuse(c.RefusalOf(ctx, err))
		return false
	}
	refusal := c.barred(ctx) // the reasons may have appeared while it waited
	if refusal == nil && ctx.Err() != nil {
		refusal = c.RefusalOf(ctx, ctx.Err())
	}
	if refusal != nil {
		slot.Finish(port.Attempt{Result: port.NotSent})
		c.Refuse(refusal)
		return false
	}
	c.Target, c.Basis, c.SentAt = slot.Target(), slot.Basis(), time.Now()
	c.Sends++
	return c.settle(ctx, c.send(ctx, slot))
}

// send makes the attempt, and reports how it ended.
func (c *Call) send(ctx context.Context, slot port.Assignment) Result {
	run := c.path.running.enter(c)
	finished := false
	defer func() {
		if !finished { // a panic, after which the server goes on without this request
			c.path.running.leave(c, run, false)
			slot.Finish(port.Attempt{Result: port.Failed})
		}
	}()
	result := c.Handler.Send(ctx, slot)
	if result.Total == 0 {
		result.Total = time.Since(c.SentAt)
	}
	c.path.left(c, run, result.Result == port.Crashed)
	finished = true
	slot.Finish(result.Attempt)
	attemptTime.Update(result.Total.Seconds())
	return result
}

// RecordIncarnation notes the incarnation of the target that answered the request.
func (c *Call) RecordIncarnation(incarnation string) {
	c.path.running.answered(c.Target.Name, incarnation)
}

// settle ends the request or prepares it for another attempt.
func (c *Call) settle(ctx context.Context, r Result) bool {
	if c.mayRetry(ctx, r) {
		c.Apply(request.Retry{Idempotent: c.Repeat != config.RepeatNever, NotRun: r.NotRun})
		c.avoid = append(c.avoid, c.Target.Name)
		retries.Inc()
		c.Record("request-retried", string(r.Result))
		c.path.Logger.Info().Str("request", c.ID).Str("target", c.Target.Name).Int("sends", c.Sends).
			Str("result", string(r.Result)).AnErr("cause", r.Err).Msg("request sent again")
		return true
	}
	switch {
	case r.Complete:
		c.Apply(request.Complete{NotRunStatus: r.Trusted})
		c.Handler.Deliver()
	case !r.Written:
		c.Refuse(c.RefusalOf(ctx, r.Err))
	default:
		c.TimedOut = errors.Is(ctx.Err(), context.DeadlineExceeded) || !time.Now().Before(c.Deadline)
		cause := fmt.Sprintf("no complete response of the target: %s", r.Result)
		if r.Err != nil {
			cause += ": " + r.Err.Error()
		}
		c.Lose(cause)
	}
	return false
}

// mayRetry tells whether the request is sent again: any that certainly wasn't
// run, and others as far as they may run again.
func (c *Call) mayRetry(ctx context.Context, r Result) bool {
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
		case config.RepeatFrom: // goes on after what the caller has seen
		}
	}
	return c.path.Retries == nil || c.path.Retries.TryRetry(c.Service, clock.Now())
}

// CallerGone tells that the caller went away.
func (c *Call) CallerGone() bool { return c.caller != nil && c.caller.Err() != nil }

// RefusalOf turns an error before the first byte into a refusal.
func (c *Call) RefusalOf(ctx context.Context, err error) *request.Refusal {
	var refusal *request.Refusal
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

// Refuse ends the request without another attempt. If an earlier attempt may
// have run it, its caller is not told that it has not.
func (c *Call) Refuse(r *request.Refusal) {
	c.awaitMarks()
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
	c.awaitMarks()
	c.Apply(request.Lose{Cause: cause})
	c.Handler.Lost(cause)
}

// awaitMarks holds the failure of a request under which a target crashed until
// other daemons know its marks. Its caller often sends it again at once and to
// another daemon, which would let it crash further targets.
func (c *Call) awaitMarks() {
	if !c.crashed.IsZero() {
		time.Sleep(time.Until(c.crashed.Add(c.path.MarkPropagationTime)))
	}
}

// Record adds an event of the request to the time line.
func (c *Call) Record(kind, detail string) {
	if c.path.Recorder != nil {
		c.path.Recorder.Record(timeline.Event{
			Kind: kind, Request: c.ID, Account: c.Account, Target: c.Target.Name, Detail: detail,
		})
	}
}
