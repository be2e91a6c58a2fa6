package gateway

import (
	"context"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync/atomic"
	"time"

	"rattanline.example/rattanline/mirror"
	"rattanline.example/rattanline/placement"
	"rattanline.example/rattanline/relay"
	"rattanline.example/rattanline/request"
	"rattanline.example/rattanline/upstream"
)

const (
	// defaultTimeout bounds requests of routes without a timeout.
	defaultTimeout = 30 * time.Second
	// startRetry is what callers are told while no configuration is known or it
	// isn't known to be current.
	startRetry = 500 * time.Millisecond
	// denialAge is the age of the configuration above which a key or route that
	// it lacks may exist: the request is then refused instead of denied.
	denialAge = 2500 * time.Millisecond
	// stopRetry is what callers of a daemon that stops are told: others are ready.
	stopRetry = 50 * time.Millisecond
	// overloadRetry is what callers of an overloaded daemon are told: each request,
	// refused ones too, adds to the load.
	overloadRetry = 500 * time.Millisecond
	// writeMargin is how long after its deadline a caller may still take its
	// response.
	writeMargin = time.Second
)

// Handler serves callers. The exported fields are set before the first request.
type Handler struct {
	Protocol Protocol
	View     func() *mirror.View
	Age      func() time.Duration
	Path     *relay.Forwarder
	Pool     *upstream.Pool
	// Loaded takes the load that a target tells with a response.
	Loaded func(target string, load placement.Load)
	// KeyAge is the age of the configuration above which keys are not trusted,
	// because they may have been taken away; zero trusts them always.
	KeyAge time.Duration
	// Leaving tells that callers should move to other daemons.
	Leaving func() bool
	// Crowded tells that connections are closed after their response.
	Crowded func() bool
	// Overloaded tells that a new request is refused, because it would be late.
	Overloaded func() bool
	// Gather returns how long events of a stream are gathered before they are passed
	// on, zero for not at all.
	Gather func() time.Duration
	// Left tells that the caller of the request with the context has left.
	Left func(context.Context) bool
	// Closed tells that new requests are refused, because the daemon ends soon.
	Closed atomic.Bool
	// MaxBuffered bounds the bodies held by all requests together, in bytes.
	MaxBuffered int64

	buffered atomic.Int64
	active   atomic.Int64
}

// Active returns the number of requests in progress.
func (h *Handler) Active() int64 { return h.active.Load() }

// ServeHTTP implements http.Handler.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	h.active.Add(1)
	defer h.active.Add(-1)
	demand := h.Protocol.Demand(r)
	c := &call{
		Call: relay.Call{ID: demand.ID, Arrived: time.Now()}, handler: h, demand: demand,
		out: response{writer: w, control: http.NewResponseController(w)},
	}
	c.Handler = c
	h.Path.Begin(&c.Call)
	defer h.Path.End(&c.Call)
	if h.Leaving() || h.Crowded() {
		w.Header().Set("Connection", "close")
	}
	refused := c.intake(r)
	defer h.buffered.Add(-int64(len(c.body)))
	if refused != nil {
		c.Refuse(refused)
	} else {
		h.Path.Run(r.Context(), &c.Call)
	}
	if c.out.cut {
		panic(http.ErrAbortHandler) // closes the connection without the end of the response
	}
}

// intake reads a request and checks everything that needs no target.
func (c *call) intake(r *http.Request) *request.Refusal {
	refused := c.route(r)
	limit := c.Deadline
	if limit.IsZero() {
		limit = c.Arrived.Add(defaultTimeout)
	}
	// A write deadline stays with the connection, so each response sets its own.
	_ = c.out.control.SetWriteDeadline(limit.Add(writeMargin))
	if refused != nil {
		return refused
	}
	return c.read(r)
}

// route finds the route, account and service of a request.
func (c *call) route(r *http.Request) *request.Refusal {
	h := c.handler
	v := h.View()
	c.age = h.Age()
	switch {
	case h.Closed.Load():
		c.out.closing = true
		return &request.Refusal{Reason: request.Stopping, Detail: "this daemon stops", RetryAfter: stopRetry}
	case h.Overloaded():
		return &request.Refusal{Reason: request.Overloaded, Detail: "this daemon is overloaded", RetryAfter: overloadRetry}
	case v.Index == nil:
		return &request.Refusal{Reason: request.NoTarget, Detail: "no configuration yet", RetryAfter: startRetry}
	}
	c.index = v.Index
	c.uri, c.host, c.header, c.method = r.RequestURI, r.Host, r.Header, r.Method
	path, _, _ := strings.Cut(c.uri, "?")
	route, ok := v.Index.Route(r.Host, path)
	if !ok {
		return c.denial(request.UnknownService, "no such route")
	}
	c.routed = route
	c.Repeat, c.MaxRuns = route.Repeat, route.MaxAttempts
	timeout := route.Timeout.Std()
	if timeout <= 0 {
		timeout = defaultTimeout
	}
	if c.demand.Wait > 0 {
		timeout = min(timeout, c.demand.Wait)
	}
	c.Deadline = c.Arrived.Add(timeout)
	c.Service, c.urgent = route.Service(rand.Float64()), route.Priority == 0
	if len(v.Index.Document().Accounts) == 0 || route.Public && c.demand.Key == "" {
		return nil
	}
	account, ok := v.Index.AccountByKey(c.demand.Key)
	switch {
	case ok:
		c.Account = account.Name
		if account.Priority != nil {
			c.urgent = *account.Priority == 0
		}
	case !route.Public:
		return c.denial(request.Unauthenticated, "unknown key")
	}
	c.keyed = !route.Public
	return c.stale()
}

// denial ends a request for good, unless a newer configuration may allow it.
func (c *call) denial(reason request.Reason, detail string) *request.Refusal {
	if c.age > denialAge {
		return &request.Refusal{Reason: request.NoTarget, Detail: detail + ", but the configuration may be outdated", RetryAfter: startRetry}
	}
	return &request.Refusal{Reason: reason, Detail: detail}
}

// stale refuses a request with a key if the key may have been taken away.
func (c *call) stale() *request.Refusal {
	h := c.handler
	if !c.keyed || h.KeyAge == 0 {
		return nil
	}
	if c.age = h.Age(); c.age <= h.KeyAge {
		return nil
	}
	return &request.Refusal{Reason: request.NoTarget, Detail: "keys can't be checked, the configuration may be outdated", RetryAfter: startRetry}
}
