package upstream

import (
	"context"
	"io"
	"mime"
	"net"
	"net/http"
	"net/url"
	"time"

	"github.com/pkg/errors"

	"rattanline.example/rattanline/config"
	"rattanline.example/rattanline/port"
	"rattanline.example/rattanline/request"
)

// Exchange is an attempt whose response has begun to arrive. It must be ended with
// Forward or Discard.
type Exchange struct {
	Status int
	Header http.Header

	client         *Client
	ctx            context.Context
	cancel         context.CancelFunc
	attempt        Attempt
	response       *http.Response
	started        time.Time
	firstByteAfter time.Duration
}

// Send sends the attempt and waits for the head of a matching response. If there is
// none, the exchange is nil and the result is that of the attempt.
func (c *Client) Send(ctx context.Context, a Attempt) (*Exchange, Result) {
	c.init()
	started := time.Now()
	ctx, cancel := context.WithCancel(ctx)
	call, err := c.call(a)
	if err != nil {
		cancel()
		return nil, Result{Attempt: port.Attempt{Result: port.NotSent}, Err: err}
	}
	response, err := c.roundTrip(ctx, call)
	if err != nil {
		var s *SendError
		written := !errors.As(err, &s) || s.Written
		result := Result{Attempt: port.Attempt{Result: incompleteResult(ctx, a, time.Since(started)), Total: time.Since(started)}, Written: written, Err: err}
		if !written {
			result.Result = notSentResult(ctx)
		}
		cancel()
		return nil, withCost(result, a)
	}
	e := &Exchange{
		Status: response.StatusCode, Header: response.Header, client: c, ctx: ctx, cancel: cancel,
		attempt: a, response: response, started: started, firstByteAfter: time.Since(started),
	}
	identity, err := a.Identity.Check(response.Header)
	if err != nil {
		droppedResponses.Inc()
		e.close()
		result := e.result(port.Failed)
		result.Err = err
		return nil, withCost(result, a)
	}
	e.attempt.Identity = identity
	return e, Result{}
}

// call converts the attempt to a call of the pool.
func (c *Client) call(a Attempt) (Call, error) {
	u, err := targetURL(a.Target, a.Path, a.Query)
	if err != nil {
		return Call{}, err
	}
	header := a.Header.Clone()
	if header == nil {
		header = http.Header{}
	}
	header.Set(request.AttemptHeader, a.Identity.String())
	return Call{
		Address: address(u), Key: a.Target.Name + " " + u.Host, TLS: u.Scheme == "https", NewConnection: a.AtMostOnce,
		Method: a.Method, URI: u.RequestURI(), Host: u.Host, Header: header, Body: a.Body,
		BeforeWrite: a.BeforeWrite,
	}, nil
}

// AddressOf returns the target's address as host:port, empty if its URL is not valid.
func AddressOf(t config.Target) string {
	u, err := url.Parse(t.URL)
	if err != nil {
		return ""
	}
	return address(u)
}

// address returns host:port of the URL, with the default port of its scheme.
func address(u *url.URL) string {
	port := u.Port()
	if port == "" {
		port = "80"
		if u.Scheme == "https" {
			port = "443"
		}
	}
	return net.JoinHostPort(u.Hostname(), port)
}

// roundTrip sends the call and returns the response, whose body must be closed.
func (c *Client) roundTrip(ctx context.Context, call Call) (*http.Response, error) {
	reply, err := c.pool.Send(ctx, call)
	if err != nil {
		return nil, err
	}
	response := *reply.Response
	response.Body = reply
	return &response, nil
}

// incompleteResult classifies an attempt without a complete response. A deadline that
// left the target less than half of the service's timeout is not counted as a failure
// of the target, because an account with short deadlines could have targets ejected.
func incompleteResult(ctx context.Context, a Attempt, total time.Duration) port.AttemptResult {
	switch {
	case ctx.Err() == nil:
		return port.Crashed
	case errors.Is(ctx.Err(), context.DeadlineExceeded) && total >= a.Service.Timeout.Std()/2:
		return port.Failed
	default:
		return port.Canceled
	}
}

func notSentResult(ctx context.Context) port.AttemptResult {
	if errors.Is(ctx.Err(), context.Canceled) {
		return port.Canceled
	}
	return port.NotSent
}

func statusResult(status int) port.AttemptResult {
	switch {
	case status == http.StatusTooManyRequests, status == http.StatusServiceUnavailable:
		return port.Overloaded
	case status >= 500:
		return port.Failed
	default:
		return port.Succeeded
	}
}

// Incarnation returns the incarnation of the target that responded.
func (e *Exchange) Incarnation() string { return e.attempt.Identity.Incarnation }

// Streaming reports whether the response is a stream of events.
func (e *Exchange) Streaming() bool {
	kind, _, _ := mime.ParseMediaType(e.Header.Get("Content-Type"))
	return kind == "text/event-stream" && e.Status == http.StatusOK && e.attempt.Service.Kind == config.Model
}

// Length returns the announced length of the body in bytes, negative if unknown.
func (e *Exchange) Length() int64 { return e.response.ContentLength }

// firstByte returns the time to the first byte of the response. It is zero for a
// completion that isn't streamed: such a response begins after the last token, so its
// time does not indicate the load of the target.
func (e *Exchange) firstByte() time.Duration {
	if e.attempt.Service.Kind == config.Model && !e.Streaming() {
		return 0
	}
	return e.firstByteAfter
}

func (e *Exchange) close() {
	// Canceling the context first closes the connection, which cancels a request that
	// still runs at the target. It also closes a connection whose response was read
	// completely, so no connection is returned to the pool.
	e.cancel()
	_ = e.response.Body.Close()
}

func (e *Exchange) result(r port.AttemptResult) Result {
	return Result{
		Attempt: port.Attempt{
			Result: r, FirstByte: e.firstByte(), Total: time.Since(e.started), Incarnation: e.Incarnation(),
		},
		Written: true,
	}
}

// Discard closes the response without reading it, and returns the result of the
// attempt.
func (e *Exchange) Discard() Result {
	e.close()
	return withCost(e.result(statusResult(e.Status)), e.attempt)
}

// Forward writes the body to the destination as it arrives and returns the result of
// the attempt. It calls charge, unless nil, with the cost of a stream so far.
func (e *Exchange) Forward(destination io.Writer, charge func(cost float64)) Result {
	defer e.close()
	var result Result
	if e.Streaming() {
		result = e.forwardEvents(destination, charge)
	} else {
		result = e.forwardPlain(destination)
	}
	result.Total = time.Since(e.started)
	return withCost(result, e.attempt)
}

// assumedTokenTime is the assumed time per output token where the output can't be
// observed. Engines take about 10 to 72 ms.
const assumedTokenTime = 20 * time.Millisecond

// withCost returns the result with the cost of the work that the target has done. For
// an incomplete completion without observed tokens the cost is estimated from the
// elapsed time; otherwise an account that cancels its completions just before they end
// would use the target free of charge.
func withCost(r Result, a Attempt) Result {
	if r.Written && r.Result != port.Overloaded {
		if a.Service.Kind == config.Model && !r.Complete && r.Tokens == (request.Tokens{}) {
			r.Tokens = request.EstimateTokens(len(a.Body), 0)
			r.Tokens.Output = int(r.Total / assumedTokenTime)
			if a.MaxTokens > 0 {
				r.Tokens.Output = min(r.Tokens.Output, a.MaxTokens)
			}
		}
		r.Cost = request.Cost(a.Service.Price, r.Tokens)
	}
	return r
}

// writeError marks an error of the destination, as opposed to the target.
type writeError struct{ error }

func (w writeError) Unwrap() error { return w.error }

// destinationWriter returns errors of the destination as writeError.
type destinationWriter struct{ io.Writer }

func (d destinationWriter) Write(p []byte) (int, error) {
	n, err := d.Writer.Write(p)
	if err != nil {
		err = writeError{err}
	}
	return n, err
}

// endResult classifies a response that was read until err, or completely if err is
// nil.
func (e *Exchange) endResult(err error) Result {
	if err == nil {
		result := e.result(statusResult(e.Status))
		result.Complete = true
		return result
	}
	result := e.result(incompleteResult(e.ctx, e.attempt, time.Since(e.started)))
	result.Err = err
	var w writeError
	var b boundError
	switch {
	case errors.As(err, &w):
		result.Result, result.CallerGone = port.Canceled, true
	case errors.As(err, &b), errors.Is(err, errUnframed), errors.Is(err, errNoEndMark):
		result.Result = port.Failed
	}
	return result
}

// boundError reports that a response exceeded a size limit.
type boundError string

// Error implements error.
func (b boundError) Error() string { return string(b) }
