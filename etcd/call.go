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

// callKind names a call in metrics and errors. The outcome of a write is in
// doubt when its response is lost.
type callKind struct {
	name  string
	path  string
	write bool
}

// statusError is a response in which the service refused the call.
type statusError struct {
	status  int
	message string
}

func (e *statusError) Error() string { return fmt.Sprintf("status %d: %s", e.status, e.message) }

// grpcNotFound is the gRPC code that the gateway reports for an unknown lease.
const grpcNotFound = 5

func (e *statusError) notFound() bool { return e.status == http.StatusNotFound }

func asStatus(err error, s **statusError) bool { return err != nil && errors.As(err, s) }

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
		// No connection was obtained, so the service can't have seen the call.
		c.endpoint.Add(1)
		return fmt.Errorf("%w: %w", port.ErrUnavailable, err)
	case err != nil:
		return fmt.Errorf("%w: %w", lost(kind), err)
	case response.StatusCode >= 500:
		// The service may report a timeout after it has accepted a write.
		return fmt.Errorf("%w: status %d: %s", lost(kind), response.StatusCode, failure.Message)
	case failure.Code == grpcNotFound:
		return &statusError{status: http.StatusNotFound, message: failure.Message}
	default:
		return &statusError{status: response.StatusCode, message: failure.Message}
	}
}

func lost(kind callKind) error {
	if kind.write {
		return port.ErrOutcomeUnknown
	}
	return port.ErrUnavailable
}

// request waits for the budget and builds a request; sent tells whether it got
// a connection.
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

// idleTimer cancels a watch that received nothing for the idle limit.
func idleTimer(limit time.Duration, cancel func()) (touch func(), stop func()) {
	if limit <= 0 {
		return func() {}, func() {}
	}
	t := time.AfterFunc(limit, cancel)
	return func() { t.Reset(limit) }, func() { t.Stop() }
}
