package gateway

import (
	"context"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"rattanline.example/rattanline/config"
	"rattanline.example/rattanline/memory"
	"rattanline.example/rattanline/mirror"
	"rattanline.example/rattanline/placement"
	"rattanline.example/rattanline/relay"
	"rattanline.example/rattanline/request"
	"rattanline.example/rattanline/upstream"
)

const (
	// defaultTimeout bounds requests on routes without a timeout.
	defaultTimeout = 30 * time.Second
	// defaultRetryAfter is the Retry-After value while the configuration is missing
	// or may be outdated, and while too many bodies are buffered.
	defaultRetryAfter = 500 * time.Millisecond
	// maxDenialAge is the age of the configuration up to which an unknown key or
	// route is denied. In an older configuration it may merely be missing, so the
	// refusal is temporary.
	maxDenialAge = 2500 * time.Millisecond
	// stopRetryAfter is the Retry-After value of a stopping daemon; it is short because
	// other daemons are ready.
	stopRetryAfter = 50 * time.Millisecond
	// writeMargin is how long after the deadline of a request its response may still
	// be written.
	writeMargin = time.Second
)

// Handler serves requests from callers. The exported fields are set before the first
// request.
type Handler struct {
	Protocol Protocol
	// View returns the configuration in force.
	View func() *mirror.View
	// ConfigurationAge returns the time since the configuration was last known to be
	// up to date.
	ConfigurationAge func() time.Duration
	Forwarder        *relay.Forwarder
	Pool             *upstream.Pool
	// OnLoad is called with the load that a target reports in a response.
	OnLoad func(target string, load placement.Load)
	// OnNotice is called with what a target states about itself in a response. It reports
	// whether the target was not known to be leaving before.
	OnNotice func(target string, n placement.Notice) bool
	// MaxKeyAge is the age of the configuration above which keys are not accepted,
	// because they may have been revoked; zero means no limit.
	MaxKeyAge time.Duration
	// Leaving reports whether callers should move to other daemons.
	Leaving func() bool
	// CloseConnections reports whether connections are closed after their response,
	// because callers have too many open.
	CloseConnections func() bool
	// Overloaded reports whether the request of the account with the context is refused,
	// because the daemon lacks processor time or memory.
	Overloaded func(ctx context.Context, account string) bool
	// EventBatchDelay returns how long the events of a stream are collected before they
	// are forwarded together; zero disables batching.
	EventBatchDelay func() time.Duration
	// CallerGone reports whether the caller of the request with the context has
	// disconnected.
	CallerGone func(context.Context) bool
	// Stopping is set while new requests are refused because the daemon is shutting down.
	Stopping atomic.Bool
	// Memory bounds what is held for all requests.
	Memory *memory.Budget
	// SlowReaders is set if callers and targets may read slowly.
	SlowReaders *SlowReaders

	active   atomic.Int64
	served   atomic.Int64
	unparsed unparsedLog
	// oddPauses holds the names of targets of which a time was logged that they asked for.
	oddPauses sync.Map
	// oddLoads holds the names of targets of which an odd load was logged.
	oddLoads sync.Map
}

// Served returns the number of requests that were neither refused nor passed on because of
// overload. A request counts until it is refused, so that the number may fall.
func (h *Handler) Served() int64 { return h.served.Load() }

// Active returns the number of requests being served.
func (h *Handler) Active() int64 { return h.active.Load() }

// ServeHTTP implements http.Handler.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	receivedRequests.Inc()
	h.served.Add(1)
	h.active.Add(1)
	defer h.active.Add(-1)
	demand := h.Protocol.Demand(r)
	c := &call{
		Call: relay.Call{ID: demand.ID, Arrived: time.Now(), Segments: demand.SharedSegments()}, handler: h, demand: demand, caller: r.RemoteAddr,
		out: response{writer: w, control: http.NewResponseController(w)},
	}
	c.Handler = c
	h.Forwarder.Begin(&c.Call)
	defer h.Forwarder.End(&c.Call)
	if h.Leaving() || h.CloseConnections() {
		w.Header().Set("Connection", "close")
	}
	refused := c.intake(r)
	defer c.release()
	if refused != nil {
		c.Refuse(refused)
	} else {
		h.Forwarder.Run(r.Context(), &c.Call)
	}
	if c.out.cut {
		panic(http.ErrAbortHandler) // aborts the connection, so that the caller sees the truncation
	}
}

// intake reads a request and makes all checks that need no target.
func (c *call) intake(r *http.Request) *request.Refusal {
	refused := c.route(r)
	limit := c.Deadline
	if limit.IsZero() {
		limit = c.Arrived.Add(defaultTimeout)
	}
	// A write deadline persists on the connection, so each response sets its own.
	_ = c.out.control.SetWriteDeadline(limit.Add(writeMargin))
	if refused != nil {
		return refused
	}
	return c.read(r)
}

// route finds the route, account and service of a request.
func (c *call) route(r *http.Request) *request.Refusal {
	h := c.handler
	c.configurationAge = h.ConfigurationAge() // before the view, which is at least as new as that then
	v := h.View()
	account, known := c.identify(v.Index)
	switch {
	case h.Stopping.Load():
		c.out.closing = true
		return &request.Refusal{Reason: request.Stopping, Detail: "this daemon stops", RetryAfter: stopRetryAfter}
	case h.Overloaded(r.Context(), c.Account):
		overloadedRefusals.Inc()
		h.served.Add(-1)
		return overloadedRefusal()
	case v.Index == nil:
		return &request.Refusal{Reason: request.NoTarget, Detail: "no configuration yet", RetryAfter: defaultRetryAfter}
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
	c.Deadline = c.Arrived.Add(waitOn(route, c.demand.Wait))
	c.Service, c.urgent = route.Service(rand.Float64()), route.Priority == 0
	if len(v.Index.Document().Accounts) == 0 || route.Public && c.demand.APIKey == "" {
		return nil
	}
	switch {
	case known:
		if account.Priority != nil {
			c.urgent = *account.Priority == 0
		}
	case !route.Public:
		return c.denial(request.Unauthenticated, "unknown key")
	}
	c.requiresKey = !route.Public
	return c.checkKey()
}

// identify finds the account that the key of the request belongs to. All log lines
// name the account, also those of requests that are refused before they are routed.
func (c *call) identify(x *config.Index) (config.Account, bool) {
	if x == nil {
		return config.Account{}, false
	}
	account, known := x.AccountByKey(c.demand.APIKey)
	c.Account = account.Name
	return account, known
}

// denial refuses a request permanently, or temporarily if a newer configuration may
// allow it.
func (c *call) denial(reason request.Reason, detail string) *request.Refusal {
	if c.configurationAge > maxDenialAge {
		return &request.Refusal{Reason: request.NoTarget, Detail: detail + ", but the configuration may be outdated", RetryAfter: defaultRetryAfter}
	}
	return &request.Refusal{Reason: reason, Detail: detail}
}

// checkKey refuses a request that requires a key if the key was revoked, or may have been
// because the configuration is older than MaxKeyAge.
func (c *call) checkKey() *request.Refusal {
	h := c.handler
	if !c.requiresKey {
		return nil
	}
	c.configurationAge = h.ConfigurationAge()
	if h.MaxKeyAge != 0 && c.configurationAge > h.MaxKeyAge {
		return &request.Refusal{Reason: request.NoTarget, Detail: "keys can't be checked, the configuration may be outdated", RetryAfter: defaultRetryAfter}
	}
	x := h.View().Index
	if x == c.index {
		return nil // the key was found in it
	}
	if account, known := x.AccountByKey(c.demand.APIKey); !known || account.Name != c.Account {
		return c.denial(request.Unauthenticated, "the key was revoked")
	}
	return nil
}
