package etcd

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptrace"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/dghubble/sling"
	"github.com/pkg/errors"

	"rattanline.example/rattanline/port"
)

// callKind describes a method of the gateway.
type callKind struct {
	name  string // in metrics and errors
	path  string
	write bool // a lost response leaves the outcome unknown
}

// statusError is the error for a response in which the service refused the call.
type statusError struct {
	status  int
	message string
}

func (e *statusError) Error() string { return fmt.Sprintf("status %d: %s", e.status, e.message) }

// grpcNotFound is the gRPC status code that the gateway returns for an unknown
// lease.
const grpcNotFound = 5

func (e *statusError) notFound() bool { return e.status == http.StatusNotFound }

func asStatusError(err error, s **statusError) bool { return err != nil && errors.As(err, s) }

// failureReply is the body of a response with an error status.
type failureReply struct {
	Code    int    `json:"code"`
	Message string `json:"message"`
}

func (c *Client) call(ctx context.Context, kind callKind, body, reply any) error {
	c.counter("calls", kind.name).Inc()
	err := c.send(ctx, kind, body, reply)
	if err != nil {
		c.counter("call_failures", kind.name).Inc()
		return fmt.Errorf("%s: %w", kind.name, err)
	}
	return nil
}

func (c *Client) send(ctx context.Context, kind callKind, body, reply any) error {
	ctx, cancel := context.WithTimeout(ctx, c.Timeout)
	defer cancel()
	request, sent, err := c.request(ctx, kind.path, body)
	if err != nil {
		return err
	}
	var failure failureReply
	response, err := sling.New().Client(c.HTTP).Do(request, reply, &failure)
	switch {
	case err == nil && response.StatusCode < 300:
		return nil
	case err != nil && !sent.Load():
		// No connection was obtained, so the service can't have received the call.
		c.endpoint.Add(1)
		return fmt.Errorf("%w: %w", port.ErrUnavailable, err)
	case err != nil:
		return fmt.Errorf("%w: %w", lostResponseError(kind), err)
	case response.StatusCode >= 500:
		// The service may return a timeout after it has accepted a write.
		return fmt.Errorf("%w: status %d: %s", lostResponseError(kind), response.StatusCode, failure.Message)
	case failure.Code == grpcNotFound:
		return &statusError{status: http.StatusNotFound, message: failure.Message}
	default:
		return &statusError{status: response.StatusCode, message: failure.Message}
	}
}

// lostResponseError returns the error for a call that may have been executed
// although no successful response was received.
func lostResponseError(kind callKind) error {
	if kind.write {
		return port.ErrOutcomeUnknown
	}
	return port.ErrUnavailable
}

// request waits for the rate limiter and builds a request. The returned flag is set
// once the request has obtained a connection.
func (c *Client) request(ctx context.Context, path string, body any) (*http.Request, *atomic.Bool, error) {
	if err := c.Limiter.Wait(ctx); err != nil {
		return nil, nil, fmt.Errorf("%w: call budget: %w", port.ErrUnavailable, err)
	}
	request, err := sling.New().Base(c.base()).Post(path).BodyJSON(body).Request()
	if err != nil {
		return nil, nil, fmt.Errorf("build request: %w", err)
	}
	sent := &atomic.Bool{}
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { sent.Store(true) }}
	return request.WithContext(httptrace.WithClientTrace(ctx, trace)), sent, nil
}

func (c *Client) counter(name, kind string) *metrics.Counter {
	full := fmt.Sprintf("rattanline_platform_%s_total{kind=%q}", name, kind)
	if c.Metrics == nil {
		return metrics.GetOrCreateCounter(full)
	}
	return c.Metrics.GetOrCreateCounter(full)
}

// idleTimer calls cancel once limit has passed without a call of touch. A limit of
// zero disables it. The function stop releases the timer.
func idleTimer(limit time.Duration, cancel func()) (touch func(), stop func()) {
	if limit <= 0 {
		return func() {}, func() {}
	}
	t := time.AfterFunc(limit, cancel)
	return func() { t.Reset(limit) }, func() { t.Stop() }
}
