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

// Exchange is an attempt whose response has begun to arrive. It must be ended
// with Forward or Discard.
type Exchange struct {
	Status int
	Header http.Header

	client   *Client
	ctx      context.Context
	cancel   context.CancelFunc
	attempt  Attempt
	response *http.Response
	started  time.Time
	first    time.Duration
}

// Send sends the attempt and waits for the head of a response that matches it.
// Without one, the exchange is nil and the result is final.
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
		result := Result{Attempt: port.Attempt{Result: brokenResult(ctx, a, time.Since(started)), Total: time.Since(started)}, Written: written, Err: err}
		if !written {
			result.Result = notSentResult(ctx)
		}
		cancel()
		return nil, charged(result, a)
	}
	e := &Exchange{
		Status: response.StatusCode, Header: response.Header, client: c, ctx: ctx, cancel: cancel,
		attempt: a, response: response, started: started, first: time.Since(started),
	}
	identity, err := a.Identity.Check(response.Header)
	if err != nil {
		droppedResponses.Inc()
		e.close()
		result := e.result(port.Failed)
		result.Err = err
		return nil, charged(result, a)
	}
	e.attempt.Identity = identity
	return e, Result{}
}

// call returns the attempt as it is sent.
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
	}, nil
}

// AddressOf returns host and port of the target, empty if its URL is not valid.
func AddressOf(t config.Target) string {
	u, err := url.Parse(t.URL)
	if err != nil {
		return ""
	}
	return address(u)
}

// address returns host and port of the URL.
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

// brokenResult classifies an attempt without a complete response. A deadline that
// left the target less than half of the service's time says nothing of it: an
// account with short deadlines would have targets ejected.
func brokenResult(ctx context.Context, a Attempt, total time.Duration) port.AttemptResult {
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

// Incarnation returns the target incarnation that answered.
func (e *Exchange) Incarnation() string { return e.attempt.Identity.Incarnation }

// Streaming tells that the response is a stream of events.
func (e *Exchange) Streaming() bool {
	kind, _, _ := mime.ParseMediaType(e.Header.Get("Content-Type"))
	return kind == "text/event-stream" && e.Status == http.StatusOK && e.attempt.Service.Kind == config.Model
}

// Length returns the announced length of the response, negative if unknown.
func (e *Exchange) Length() int64 { return e.response.ContentLength }

// firstByte returns how long the target took to begin its response, zero if the
// response doesn't show it: a whole completion begins after its last token, so
// its time says nothing about how full the target is.
func (e *Exchange) firstByte() time.Duration {
	if e.attempt.Service.Kind == config.Model && !e.Streaming() {
		return 0
	}
	return e.first
}

func (e *Exchange) close() {
	e.cancel() // stops the target's work unless the response was read to its end
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

// Discard gives up the response; the attempt is retried elsewhere.
func (e *Exchange) Discard() Result {
	e.close()
	return charged(e.result(statusResult(e.Status)), e.attempt)
}

// Forward writes the body to the destination as it arrives, calls charge with
// the cost seen so far, and returns how the attempt ended.
func (e *Exchange) Forward(destination io.Writer, charge func(cost float64)) Result {
	defer e.close()
	var result Result
	if e.Streaming() {
		result = e.forwardEvents(destination, charge)
	} else {
		result = e.forwardPlain(destination)
	}
	result.Total = time.Since(e.started)
	return charged(result, e.attempt)
}

// assumedToken is the time that an engine is taken to need for a token where its
// work can't be seen. Engines take about 10 to 72 ms.
const assumedToken = 20 * time.Millisecond

// charged sets the cost of the work that the target is seen to have done. An
// incomplete response that isn't a stream shows none, so that it is derived from
// the time: an account that gives up its completions just before they end would
// use the target for nothing.
func charged(r Result, a Attempt) Result {
	if r.Written && r.Result != port.Overloaded {
		if a.Service.Kind == config.Model && !r.Complete && r.Tokens == (request.Tokens{}) {
			r.Tokens = request.EstimateTokens(len(a.Body), 0)
			r.Tokens.Output = int(r.Total / assumedToken)
			if a.MaxTokens > 0 {
				r.Tokens.Output = min(r.Tokens.Output, a.MaxTokens)
			}
		}
		r.Cost = request.Cost(a.Service.Price, r.Tokens)
	}
	return r
}

// writeError marks errors of the destination, not of the target.
type writeError struct{ error }

func (w writeError) Unwrap() error { return w.error }

type markedWriter struct{ io.Writer }

func (m markedWriter) Write(p []byte) (int, error) {
	n, err := m.Writer.Write(p)
	if err != nil {
		err = writeError{err}
	}
	return n, err
}

// ended classifies the end of a response that was read until the error.
func (e *Exchange) ended(err error) Result {
	if err == nil {
		result := e.result(statusResult(e.Status))
		result.Complete = true
		return result
	}
	result := e.result(brokenResult(e.ctx, e.attempt, time.Since(e.started)))
	result.Err = err
	var w writeError
	var b boundError
	switch {
	case errors.As(err, &w):
		result.Result, result.CallerGone = port.Canceled, true
	case errors.As(err, &b), errors.Is(err, errUnframed), errors.Is(err, errCut):
		result.Result = port.Failed
	}
	return result
}

// boundError tells that a response exceeded a bound.
type boundError string

// Error implements error.
func (b boundError) Error() string { return string(b) }
