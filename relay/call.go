package relay

import (
	"context"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"rattanline.example/rattanline/config"
	"rattanline.example/rattanline/port"
	"rattanline.example/rattanline/request"
	"rattanline.example/rattanline/upstream"
)

const (
	// maxSends bounds the targets that one request is sent to, those that did
	// not run it included.
	maxSends = 4
	// resendRetry is what callers are told whose request was not run and is not
	// sent again.
	resendRetry = 400 * time.Millisecond
	// quarantineRetry is what callers of a quarantined request are told.
	quarantineRetry = time.Minute
)

// call is one request. It belongs to one goroutine.
type call struct {
	handler *Handler
	writer  http.ResponseWriter

	arrived, deadline time.Time
	demand            request.Demand
	index             *config.Index
	age               time.Duration
	route             config.Route
	service           string
	account           string
	keyed             bool
	method, uri, host string
	header            http.Header
	body              []byte
	fingerprint       uint64

	state request.State
	// ran counts the targets that may have run the request, sends all targets.
	ran, sends int
	tried      []string
	target     config.Target
	basis      port.Basis

	// granted tells that a retry was taken from the budget and not used yet.
	granted   bool
	committed bool
	lastEvent string
	firstAt   time.Time

	status int
	cause  string
	logged bool
}

// step is how one attempt ended.
type step int

const (
	done    step = iota // the caller has its answer
	again               // the request may be sent to another target
	blocked             // it may not be sent again
)

// run brings the request to an end.
func (c *call) run(ctx context.Context) {
	h := c.handler
	c.state = request.Queued{}
	h.Retries.Request(c.service, now())
	for {
		result, err := c.attempt(ctx)
		switch {
		case result == done:
			return
		case result == again && ctx.Err() == nil && c.mayResend():
			retries.Inc()
			h.Logger.Info().Str("request", c.demand.ID).Str("target", c.target.Name).Int("sends", c.sends).
				Err(err).Msg("request sent again")
			continue
		}
		c.fail(ctx, err)
		return
	}
}

// mayResend takes a retry from the budget. The last attempt must not have run,
// or the route must allow another run.
func (c *call) mayResend() bool {
	if c.granted {
		c.granted = false
		return true
	}
	if c.sends >= maxSends || c.ran >= c.route.MaxAttempts {
		return false
	}
	return c.handler.Retries.TryRetry(c.service, now())
}

// grantResend takes a retry before the response at hand is given up for it.
func (c *call) grantResend() bool {
	c.granted = c.route.Repeat == config.RepeatAny && !c.committed && c.mayResend()
	return c.granted
}

// attempt gets a target from the scheduler and sends the request there.
func (c *call) attempt(ctx context.Context) (step, error) {
	if r := c.barred(); r != nil {
		c.refuseOr(r)
		return done, nil
	}
	if c.handler.Left(ctx) {
		return done, nil
	}
	slot, err := c.handler.Scheduler.Acquire(ctx, port.Job{
		RequestID: c.demand.ID, Account: c.account, Service: c.service, Urgent: true, Deadline: c.deadline,
		Cost: c.demand.Work(), Bytes: int64(len(c.body)), Avoid: c.tried, Fingerprint: c.fingerprint,
		LatencyAim: c.route.LatencyAim.Std(), Demand: c.demand,
	})
	if err != nil {
		c.refuseOr(refusalOf(err))
		return done, nil
	}
	c.target, c.basis = slot.Target(), slot.Basis()
	// Both may have changed while the request waited for a target.
	if r := c.barred(); r != nil {
		slot.Finish(port.Attempt{Result: port.NotSent})
		c.refuseOr(r)
		return done, nil
	}
	return c.send(ctx, slot)
}

// barred refuses a request whose key can't be trusted or that crashes targets.
func (c *call) barred() *refusal {
	if r := c.stale(); r != nil {
		return r
	}
	if c.handler.Poison.Quarantined(time.Now(), c.fingerprint) {
		return &refusal{status: http.StatusServiceUnavailable, reason: "targets crashed while they ran this request", retry: quarantineRetry}
	}
	return nil
}

// refusalOf turns a refusal of the scheduler into an answer.
func refusalOf(err error) *refusal {
	r := &refusal{status: http.StatusServiceUnavailable, reason: err.Error()}
	var refused *request.Refusal
	if errors.As(err, &refused) {
		r.reason, r.retry = refused.Detail, refused.RetryAfter
		if refused.Reason == request.QueueFull {
			r.status = http.StatusTooManyRequests
		}
	}
	return r
}

// send sends the request to the target and forwards the response.
func (c *call) send(ctx context.Context, slot port.Assignment) (step, error) {
	h := c.handler
	c.sends++
	c.tried = append(c.tried, c.target.Name)
	sentAt := time.Now()
	ended := port.Attempt{Result: port.Canceled}
	defer func() {
		ended.Total = time.Since(sentAt)
		slot.Finish(ended)
		attemptTime.Update(ended.Total.Seconds())
	}()
	reply, err := h.Pool.Send(ctx, c.outgoing())
	if err != nil {
		ended.Result = c.unanswered(ctx, err)
		return c.afterError(err)
	}
	defer func() { _ = reply.Close() }()
	answer := h.Protocol.Answer(reply.Response, c.demand.ID)
	if answer.Load != nil {
		h.Loaded(c.target.Name, *answer.Load)
	}
	if answer.NotRun {
		c.drain(reply)
		ended.Result = port.Overloaded
		if answer.Elsewhere {
			ended.Result = port.Misdirected
		}
		return again, errors.Errorf("target answered %d, not run", reply.StatusCode)
	}
	ended.Result = port.Succeeded
	if reply.StatusCode >= http.StatusInternalServerError {
		ended.Result = port.Failed
	}
	c.mayHaveRun()
	result, err := c.forward(reply, answer, func() {
		c.firstAt = time.Now()
		ended.FirstByte = c.firstAt.Sub(sentAt)
		slot.Began()
	})
	if errors.Is(err, errBroken) && ctx.Err() == nil {
		ended.Result = port.Crashed
		h.Crashes.Broke(c.target, c.fingerprint)
	}
	return result, err
}

// outgoing returns the request as it is sent to the target.
func (c *call) outgoing() upstream.Call {
	protocol := c.handler.Protocol
	return upstream.Call{
		Address: upstream.AddressOf(c.target), Key: c.target.Name, Method: c.method, URI: c.uri, Host: c.host,
		Header: protocol.Outgoing(c.header, Outgoing{
			Target: c.target.Name, Account: c.account, Left: time.Until(c.deadline), LastEvent: c.lastEvent, Source: c.basis.Source,
		}),
		Body: c.body, Ours: func(r *http.Response) bool { return protocol.Answer(r, c.demand.ID).Belongs },
	}
}

// mayHaveRun notes that a byte of the request may have reached a target that
// did not deny to have run it.
func (c *call) mayHaveRun() {
	c.ran++
	c.next(request.Write{})
}

func (c *call) next(e request.Event) {
	state, err := request.Next(c.state, e)
	if err != nil {
		c.handler.Logger.Error().Err(err).Str("request", c.demand.ID).Msg("invalid request state")
		state = request.Unknown{Cause: err.Error()}
	}
	c.state = state
}

// unanswered tells what an attempt without a response says of the target.
func (c *call) unanswered(ctx context.Context, err error) port.AttemptResult {
	var s *upstream.SendError
	switch {
	case ctx.Err() != nil:
		return port.Canceled
	case errors.As(err, &s) && s.Dial:
		return port.Unreachable
	case errors.As(err, &s) && !s.Written:
		return port.NotSent
	default:
		c.handler.Crashes.Broke(c.target, c.fingerprint)
		return port.Crashed
	}
}

// afterError tells what may follow an attempt without a response.
func (c *call) afterError(err error) (step, error) {
	var s *upstream.SendError
	if errors.As(err, &s) && !s.Written {
		return again, err
	}
	c.mayHaveRun()
	return c.repeat(err)
}

// repeat tells whether the request may be sent again after it may have run.
func (c *call) repeat(err error) (step, error) {
	if c.route.Repeat == config.RepeatNever || c.route.Repeat == config.RepeatAny && c.committed {
		return blocked, err
	}
	c.next(request.Retry{Idempotent: true})
	return again, err
}
