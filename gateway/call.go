package gateway

import (
	"context"
	"net/http"
	"time"

	"github.com/pkg/errors"
	"github.com/rs/zerolog"

	"rattanline.example/rattanline/config"
	"rattanline.example/rattanline/memory"
	"rattanline.example/rattanline/port"
	"rattanline.example/rattanline/relay"
	"rattanline.example/rattanline/request"
	"rattanline.example/rattanline/upstream"
)

// notRunRetryAfter is the Retry-After value of a request that was not run and is not
// retried, if its refusal states none.
const notRunRetryAfter = 400 * time.Millisecond

// call is one request. It belongs to one goroutine, and implements
// relay.CallHandler.
type call struct {
	relay.Call
	handler *Handler
	out     response
	caller  string // its address and port

	demand              request.Demand
	index               *config.Index
	configurationAge    time.Duration
	routed              config.Route
	requiresKey, urgent bool
	method, uri, host   string
	header              http.Header
	buffer              memory.Buffer // the body
	// whole is when the body had arrived. What the caller took to send it is no time that the
	// request waits.
	whole time.Time
	// buffers is the memory of the buffers that each request in progress has.
	buffers memory.Reservation

	lastEventID string
	// sparseIDs reports whether the ids of the first target's events are not consecutive
	// numbers, so that they can't reveal a gap.
	sparseIDs   bool
	firstByteAt time.Time
	// events measures the events of the current attempt. longestPause is the longest time
	// between two events that the caller received.
	events       eventTimes
	longestPause time.Duration
}

var _ relay.CallHandler = (*call)(nil)

// Job implements relay.CallHandler.
func (c *call) Job() port.Job {
	return port.Job{
		RequestID: c.ID, Account: c.Account, Service: c.Service, Route: c.routed.Name, Resumed: c.out.committed, Urgent: c.urgent,
		Arrived: c.whole, Deadline: c.Deadline,
		Cost: c.demand.Work(), Bytes: int64(len(c.body())), Fingerprint: c.Fingerprint,
		LatencyAim: c.routed.LatencyAim.Std(), PauseAim: c.routed.PauseAim.Std(), Demand: c.demand,
	}
}

// SendRefusal implements relay.CallHandler.
func (c *call) SendRefusal(context.Context) *request.Refusal { return c.checkKey() }

// beforeWrite returns why the request must not be written to its target, nil if it may be. On a
// busy host the context reports only with a delay that the caller has disconnected.
func (c *call) beforeWrite(ctx context.Context, slot port.Assignment) error {
	if c.handler.CallerGone(ctx) {
		return &request.Refusal{Reason: request.CallerGone, Detail: "the caller left before the request was sent"}
	}
	return c.BeforeWrite(ctx, slot)
}

// Send implements relay.CallHandler.
func (c *call) Send(ctx context.Context, slot port.Assignment) relay.Result {
	h := c.handler
	if !h.SlowReaders.take(c.Target.Name, len(c.body())) {
		return relay.Result{Attempt: port.Attempt{Result: port.NotSent}, Err: errTargetShare}
	}
	defer h.SlowReaders.giveBack(c.Target.Name, len(c.body()))
	outgoing := c.outgoing()
	outgoing.BeforeWrite = func() error { return c.beforeWrite(ctx, slot) }
	reply, err := h.Pool.Send(ctx, outgoing)
	if err != nil {
		return c.failedSend(ctx, err)
	}
	defer func() { _ = reply.Close() }()
	answer := h.Protocol.Answer(reply.Response, c.ID)
	c.recordLoad(answer)
	if answer.NotRun {
		// The connection is closed: a faulty target may repeat its refusal on it.
		result := relay.Result{Attempt: port.Attempt{Result: port.Overloaded}, Err: errors.Errorf("target answered %d, not run", reply.StatusCode)}
		if answer.Misdirected {
			result.Result = port.Misdirected
		}
		return result
	}
	c.Wrote()
	c.Apply(request.Answer{Status: reply.StatusCode})
	var first time.Time
	c.events = eventTimes{}
	result := c.forward(reply, answer, func() {
		first = time.Now()
		if c.firstByteAt.IsZero() {
			c.firstByteAt = first
		}
		slot.ResponseStarted()
	})
	if !first.IsZero() {
		result.FirstByte = first.Sub(c.SentAt)
	}
	result.Written, result.Committed = true, c.out.committed
	result.EventInterval = c.eventInterval()
	if ctx.Err() != nil && !result.Complete {
		result.Result = port.Canceled
	}
	return result
}

// outgoing returns the request in the form in which it is sent to the target.
func (c *call) outgoing() upstream.Call {
	protocol := c.handler.Protocol
	return upstream.Call{
		Address: upstream.AddressOf(c.Target), Key: c.Target.Name, Method: c.method, URI: c.uri, Host: c.host,
		Header: protocol.Outgoing(c.header, Outgoing{
			Target: c.Target.Name, Account: c.Account, TimeLeft: time.Until(c.Deadline), LastEventID: c.lastEventID, CacheHolder: c.Basis.CacheHolder,
		}),
		Body: c.body(), Match: c.match,
	}
}

// match returns to which request a response of the target belongs. Each response may say
// something about the target.
func (c *call) match(r *http.Response) upstream.Match {
	answer := c.handler.Protocol.Answer(r, c.ID)
	c.recordNotice(answer)
	switch {
	case answer.Matches:
		return upstream.Own
	case answer.Unnamed:
		return upstream.Unnamed
	default:
		return upstream.Foreign
	}
}

// failedSend classifies an attempt that got no response.
func (c *call) failedSend(ctx context.Context, err error) relay.Result {
	r := relay.Result{Attempt: port.Attempt{Result: port.Crashed}, Written: true, Err: err, Committed: c.out.committed}
	var s *upstream.SendError
	if errors.As(err, &s) && !s.Written {
		r.Written, r.Result = false, port.NotSent
		if s.Dial {
			r.Result = port.Unreachable
		}
	}
	if ctx.Err() != nil {
		r.Result = port.Canceled
	}
	var refusal *request.Refusal
	if errors.As(err, &refusal) {
		r.Result, r.Final, r.Err = port.NotSent, true, refusal
	}
	if r.Written {
		c.Wrote()
	}
	return r
}

// Deliver implements relay.CallHandler.
func (c *call) Deliver() {
	c.out.commit(c.method == http.MethodHead)
	if err := c.out.drain(); err != nil {
		c.out.status, c.out.cut = statusCallerGone, true
	}
}

// Refused implements relay.CallHandler.
func (c *call) Refused(r *request.Refusal) {
	if r.Reason == request.CallerGone {
		c.out.status, c.out.cut = statusCallerGone, true
		return
	}
	retry := r.RetryAfter
	if status := r.Status(); retry <= 0 && (status == http.StatusServiceUnavailable || status == http.StatusTooManyRequests) {
		retry = notRunRetryAfter
	}
	c.out.fail(r.Status(), r.Detail, retry)
}

// Lost implements relay.CallHandler. A complete error response of an earlier attempt
// is forwarded, unless a later response replaced it.
func (c *call) Lost(cause string) {
	switch {
	case c.out.callerGone, c.CallerGone():
		c.out.status, c.out.cut = statusCallerGone, true
	case c.out.committed:
		_ = c.out.drain() // the response is cut in any case
		c.out.cut = true
	case c.out.complete:
		c.Deliver()
	case c.TimedOut:
		c.out.fail(http.StatusGatewayTimeout, cause, 0)
	default:
		c.out.fail(http.StatusBadGateway, cause, 0)
	}
}

// statusCallerGone is the status in logs and metrics for callers that disconnected
// before the response was complete.
const statusCallerGone = 499

// Status implements relay.CallHandler.
func (c *call) Status() int { return c.out.status }

// AddLogFields implements relay.CallHandler.
func (c *call) AddLogFields(e *zerolog.Event) {
	e.Str("caller", c.caller).Float64("work", c.demand.Work()).Dur("aim", c.routed.LatencyAim.Std()).Str("route", c.routed.Name).Dur("config-age", c.configurationAge).Bool("cut", c.out.cut)
	if c.index != nil {
		e.Uint64("config", c.index.Version())
	}
	if !c.firstByteAt.IsZero() {
		e.Dur("first", c.firstByteAt.Sub(c.Arrived))
	}
	if c.longestPause > 0 {
		e.Dur("longest-pause", c.longestPause).Dur("event-interval", c.events.interval())
	}
}
