package frontend

import (
	"context"
	"net/http"

	"github.com/pkg/errors"
	"github.com/rs/zerolog"

	"rattanline.example/rattanline/claim"
	"rattanline.example/rattanline/config"
	"rattanline.example/rattanline/port"
	"rattanline.example/rattanline/relay"
	"rattanline.example/rattanline/request"
	"rattanline.example/rattanline/upstream"
)

// call is one request of a client account. It belongs to one goroutine, and
// implements relay.CallHandler.
type call struct {
	relay.Call
	handler *Handler
	out     *responder

	account    config.Account
	service    config.Service
	chat       chat
	method     string
	path       string
	query      string
	header     http.Header
	body       []byte
	urgent     bool
	idempotent bool
	costHint   float64
	claim      claim.Request

	claimGranted bool  // the claim for the idempotency key was granted
	unsent       bool  // counted in bounds.unsentCalls
	countedBytes int64 // body bytes counted in bounds.unsentBytes
	caller       context.Context
}

var _ relay.CallHandler = (*call)(nil)

// run sends the request, after it has claimed the idempotency key if it needs one.
func (c *call) run(caller context.Context) {
	c.caller = caller
	if refusal := c.QuarantineRefusal(); refusal != nil {
		c.Refuse(refusal)
		return
	}
	if !c.idempotent {
		ctx, cancel := context.WithDeadline(caller, c.Deadline)
		until, ok := c.claimKey(ctx)
		cancel()
		if !ok {
			return
		}
		if until.Before(c.Deadline) {
			c.Deadline = until
		}
	}
	c.handler.callForwarder().Run(caller, &c.Call)
}

// Job implements relay.CallHandler.
func (c *call) Job() port.Job {
	estimate := request.Tokens{}
	if c.service.Kind == config.Model {
		estimate = request.EstimateTokens(len(c.body), c.chat.MaxTokens)
	}
	return port.Job{
		RequestID: c.ID, Account: c.Account, Service: c.Service, Urgent: c.urgent, Deadline: c.Deadline,
		Cost: request.Estimate(c.service.Price, estimate, c.costHint), Bytes: int64(len(c.body)), Fingerprint: c.Fingerprint,
	}
}

// SendRefusal implements relay.CallHandler.
func (*call) SendRefusal(context.Context) *request.Refusal { return nil }

// Send implements relay.CallHandler.
func (c *call) Send(ctx context.Context, slot port.Assignment) relay.Result {
	if c.claimGranted && c.service.Kind == config.Plain {
		// The caller of a claimed request may send it again to obtain the response,
		// so the attempt continues after a disconnect; otherwise it would remain
		// unknown whether the request ran.
		var cancel context.CancelFunc
		ctx, cancel = context.WithDeadline(context.WithoutCancel(ctx), c.Deadline)
		defer cancel()
		c.out.detached = true
	}
	exchange, result := c.handler.Upstream.Send(ctx, upstream.Attempt{
		Identity: request.Identity{Request: c.ID, Attempt: c.Sends}, Target: c.Target, Service: c.service,
		Method: c.method, Path: c.path, Query: c.query, Header: c.header, Body: c.body, MaxTokens: c.chat.MaxTokens, AtMostOnce: !c.idempotent,
		BeforeWrite: func() error { return c.BeforeWrite(ctx, slot) },
	})
	if exchange == nil {
		if result.Written {
			c.written()
		}
		if errors.Is(result.Err, request.ErrMismatch) {
			c.Record("response-dropped", result.Err.Error())
		}
		return c.result(result)
	}
	c.written()
	c.RecordIncarnation(exchange.Incarnation())
	c.Apply(request.Answer{Status: exchange.Status})
	outcome := request.OutcomeUnknown
	if s, ok := c.State.(request.Streaming); ok {
		outcome = s.Outcome(request.IsNotRunStatus(exchange.Status, c.service))
	}
	header := upstream.ForwardedHeaders(exchange.Header, request.AttemptHeader, request.IncarnationHeader)
	c.out.stage(exchange.Status, header, outcome, exchange.Streaming())
	return c.result(exchange.Forward(c.out, slot.Charge))
}

func (c *call) written() {
	c.Wrote()
	c.handler.bounds.releaseUnsent(c)
}

// result converts the result of an attempt to the result for the request.
func (c *call) result(r upstream.Result) relay.Result {
	notRunStatus := r.Complete && request.IsNotRunStatus(c.out.staged.status, c.service)
	final := c.out.committed
	if r.Written {
		switch r.Result {
		case port.Overloaded, port.Failed, port.Crashed:
			final = final || c.out.staged.status == http.StatusNotImplemented
		default:
			final = true
		}
	}
	c.out.held = nil
	if r.Complete {
		held := c.out.staged
		c.out.held = &held
	}
	return relay.Result{
		Attempt: r.Attempt, Written: r.Written, NotRun: notRunStatus && c.idempotent, NotRunStatus: notRunStatus, Complete: r.Complete,
		Final: final, Committed: c.out.committed, Err: r.Err,
	}
}

// Deliver implements relay.CallHandler.
func (c *call) Deliver() { c.out.commit(c.method == http.MethodHead) }

// Refused implements relay.CallHandler.
func (c *call) Refused(r *request.Refusal) { c.out.problem(request.ProblemOfRefusal(c.ID, r)) }

// Lost implements relay.CallHandler. If the last attempt received a complete error
// response and no other attempt followed, that response is forwarded.
func (c *call) Lost(cause string) {
	p := request.ProblemOfUnknown(c.ID, request.Unknown{Cause: cause}, c.TimedOut)
	switch {
	case c.out.committed:
		c.out.abort(p)
	case c.out.held != nil:
		c.out.staged = *c.out.held
		c.out.staged.outcome = request.OutcomeUnknown
		c.Deliver()
	default:
		c.out.problem(p)
	}
}

// Status implements relay.CallHandler.
func (c *call) Status() int { return c.out.staged.status }

// AddLogFields implements relay.CallHandler.
func (c *call) AddLogFields(e *zerolog.Event) { e.Bool("cut", c.out.cut) }
