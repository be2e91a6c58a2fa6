package frontend

import (
	"context"
	"fmt"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"rattanline.example/rattanline/claim"
	"rattanline.example/rattanline/clock"
	"rattanline.example/rattanline/config"
	"rattanline.example/rattanline/port"
	"rattanline.example/rattanline/request"
	"rattanline.example/rattanline/upstream"
)

// call is one request of a client account. It belongs to one goroutine.
type call struct {
	handler *Handler
	out     *responder
	id      string
	arrived time.Time

	account     config.Account
	service     config.Service
	chat        chat
	method      string
	path        string
	query       string
	header      http.Header
	body        []byte
	urgent      bool
	idempotent  bool
	hint        float64
	deadline    time.Time
	fingerprint uint64
	claim       claim.Request

	state    request.State
	attempts int
	avoid    []string
	target   config.Target
	sentAt   time.Time
	// crashed is when a target last crashed under the request.
	crashed time.Time
	// held is the error response of the last attempt, written if the retry
	// finds no target.
	held    *response
	granted bool  // the key's claim
	unsent  bool  // counted by running
	kept    int64 // bytes of the body counted by running
	timeout bool
	caller  context.Context
}

// next changes the state. A transition that isn't allowed is a fault of this
// package; the request then ends as unknown, which promises nothing.
func (c *call) next(e request.Event) {
	state, err := request.Next(c.state, e)
	if err != nil {
		c.handler.Logger.Error().Err(err).Str("request", c.id).Msg("invalid request state")
		state = request.Unknown{Cause: err.Error()}
	}
	c.state = state
}

// run brings the call to an end state and writes its response.
func (c *call) run(caller context.Context) {
	h := c.handler
	c.caller = caller
	if h.RetryBudget != nil {
		h.RetryBudget.Request(c.service.Name, clock.Now())
	}
	ctx, cancel := context.WithDeadline(caller, c.deadline)
	defer cancel()
	if refusal := c.quarantined(); refusal != nil {
		c.refuse(refusal)
		return
	}
	if !c.idempotent {
		until, ok := c.claimKey(ctx)
		if !ok {
			return
		}
		if until.Before(c.deadline) {
			c.deadline = until
			ctx, cancel = context.WithDeadline(ctx, until)
			defer cancel()
		}
	}
	for c.attempt(ctx) {
	}
}

func (c *call) quarantined() *request.Refusal {
	if q := c.handler.Quarantine; q == nil || !q.Quarantined(time.Now(), c.fingerprint) {
		return nil
	}
	return &request.Refusal{
		Reason: request.Quarantined, Detail: "targets crashed while they ran this request", RetryAfter: 10 * time.Minute,
	}
}

func (c *call) job() port.Job {
	estimate := request.Tokens{}
	if c.service.Kind == config.Model {
		estimate = request.EstimateTokens(len(c.body), c.chat.MaxTokens)
	}
	job := port.Job{
		RequestID: c.id, Account: c.account.Name, Service: c.service.Name, Urgent: c.urgent, Deadline: c.deadline,
		Cost: request.Estimate(c.service.Price, estimate, c.hint), Bytes: int64(len(c.body)),
		Avoid: c.avoid, Fingerprint: c.fingerprint,
	}
	if q := c.handler.Quarantine; q != nil && q.Marked(time.Now(), c.fingerprint) {
		now := time.Now()
		marked := c.handler.running.targetsWith(func(f uint64) bool { return q.Marked(now, f) })
		job.Avoid = append(marked, c.avoid...)
	}
	return job
}

// attempt waits for a slot, sends the request once, and tells whether it should
// be tried again.
func (c *call) attempt(ctx context.Context) bool {
	h := c.handler
	slot, err := h.Scheduler.Acquire(ctx, c.job())
	if err != nil {
		c.refuse(c.refusalOf(ctx, err))
		return false
	}
	refusal := c.quarantined() // it may have become a suspect while it waited
	if refusal == nil && ctx.Err() != nil {
		refusal = c.refusalOf(ctx, ctx.Err())
	}
	if refusal != nil {
		slot.Finish(port.Attempt{Result: port.NotSent})
		c.refuse(refusal)
		return false
	}
	c.target = slot.Target()
	c.attempts++
	c.sentAt = time.Now()
	run := h.running.enter(c, c.target)
	finished := false
	defer func() {
		if !finished { // a panic, after which the server goes on without this request
			h.running.leave(c, run, false)
			slot.Finish(port.Attempt{Result: port.Failed})
		}
	}()
	result := c.send(ctx, slot, run)
	crash, fingerprints := h.running.leave(c, run, result.Result == port.Crashed)
	if crash != "" && h.Quarantine != nil {
		c.crashed = time.Now()
		h.Quarantine.Crash(c.crashed, crash, fingerprints)
		c.record("target-crashed", crash)
	}
	finished = true
	slot.Finish(result.Attempt)
	return c.settle(ctx, result)
}

func (c *call) send(ctx context.Context, slot port.Assignment, run *targetRun) upstream.Result {
	if c.granted && c.service.Kind == config.Plain {
		// The caller of a claimed request may come back for its response, so
		// that its departure doesn't leave open whether it ran.
		var cancel context.CancelFunc
		ctx, cancel = context.WithDeadline(context.WithoutCancel(ctx), c.deadline)
		defer cancel()
		c.out.detached = true
	}
	exchange, result := c.handler.Upstream.Send(ctx, upstream.Attempt{
		Identity: request.Identity{Request: c.id, Attempt: c.attempts}, Target: c.target, Service: c.service,
		Method: c.method, Path: c.path, Query: c.query, Header: c.header, Body: c.body, MaxTokens: c.chat.MaxTokens, Once: !c.idempotent,
	})
	if exchange == nil {
		if result.Written {
			c.written()
		}
		if errors.Is(result.Err, request.ErrMismatch) {
			c.record("response-dropped", result.Err.Error())
		}
		return result
	}
	c.written()
	c.handler.running.answered(run, exchange.Incarnation())
	c.next(request.Answer{Status: exchange.Status})
	outcome := request.OutcomeUnknown
	if s, ok := c.state.(request.Streaming); ok {
		outcome = s.Outcome(request.Trusted(exchange.Status, c.service))
	}
	header := upstream.PassedHeaders(exchange.Header, request.AttemptHeader, request.IncarnationHeader)
	c.out.stage(exchange.Status, header, outcome, exchange.Streaming())
	return exchange.Forward(c.out, slot.Charge)
}

func (c *call) written() {
	c.next(request.Write{})
	c.handler.running.sent(c)
}

// settle ends the call or prepares it for another attempt.
func (c *call) settle(ctx context.Context, result upstream.Result) bool {
	trusted := result.Complete && request.Trusted(c.out.staged.status, c.service)
	if c.mayRetry(ctx, result) {
		c.next(request.Retry{Idempotent: c.idempotent, NotRun: trusted})
		c.avoid = append(c.avoid, c.target.Name)
		c.held = nil
		if result.Complete {
			held := c.out.staged
			c.held = &held
		}
		retries.Inc()
		c.record("request-retried", string(result.Result))
		return true
	}
	switch {
	case result.Complete:
		c.next(request.Complete{Trusted: trusted})
		c.out.commit(c.method == http.MethodHead)
	case !result.Written:
		c.refuse(c.refusalOf(ctx, result.Err))
	default:
		c.timeout = errors.Is(ctx.Err(), context.DeadlineExceeded) || !time.Now().Before(c.deadline)
		c.lose(fmt.Sprintf("no complete response of the target: %s", result.Result))
	}
	return false
}

// mayRetry tells whether the call is sent again: any request that was not
// written, and idempotent ones whose response was an error or incomplete, while
// the caller has seen nothing of it.
func (c *call) mayRetry(ctx context.Context, result upstream.Result) bool {
	if c.out.committed || ctx.Err() != nil || c.attempts >= maxAttempts {
		return false
	}
	if result.Written {
		if !c.idempotent || c.out.staged.status == http.StatusNotImplemented {
			return false
		}
		switch result.Result {
		case port.Overloaded, port.Failed, port.Crashed:
		default:
			return false
		}
	}
	return c.handler.RetryBudget == nil || c.handler.RetryBudget.TryRetry(c.service.Name, clock.Now())
}

// refusalOf turns an error before the first byte into a refusal.
func (c *call) refusalOf(ctx context.Context, err error) *request.Refusal {
	var refusal *request.Refusal
	switch {
	case errors.As(err, &refusal):
		return refusal
	case c.caller.Err() != nil:
		return &request.Refusal{Reason: request.CallerGone, Detail: "the caller went away"}
	case ctx.Err() != nil:
		return &request.Refusal{Reason: request.DeadlinePassed, Detail: "the deadline passed"}
	case c.attempts >= maxAttempts:
		return &request.Refusal{Reason: request.NoTarget, Detail: fmt.Sprintf("no connection to a target: %v", err)}
	default:
		return &request.Refusal{Reason: request.RetryBudget, Detail: fmt.Sprintf("too many retries: %v", err)}
	}
}

// refuse ends the call without another attempt.
func (c *call) refuse(r *request.Refusal) {
	c.awaitMarks()
	c.timeout = r.Reason == request.DeadlinePassed
	c.next(request.Refuse{Refusal: r})
	switch s := c.state.(type) {
	case request.Refused:
		c.out.problem(request.ProblemOfRefusal(c.id, r))
	case request.Unknown:
		if c.held != nil {
			c.held.outcome = request.OutcomeUnknown
			c.out.staged = *c.held
			c.out.commit(c.method == http.MethodHead)
			return
		}
		c.out.problem(request.ProblemOfUnknown(c.id, s, c.timeout))
	}
}

// lose ends a call that may have run without a complete response.
func (c *call) lose(cause string) {
	c.awaitMarks()
	c.next(request.Lose{Cause: cause})
	p := request.ProblemOfUnknown(c.id, request.Unknown{Cause: cause}, c.timeout)
	if c.out.committed {
		c.out.abort(p)
		return
	}
	c.out.problem(p)
}

// awaitMarks holds the failure of a request under which a target crashed until
// other daemons know its marks. Its caller often sends it again at once and to
// another daemon, which would let it crash further targets.
func (c *call) awaitMarks() {
	if !c.crashed.IsZero() {
		time.Sleep(time.Until(c.crashed.Add(c.handler.MarkTime)))
	}
}
