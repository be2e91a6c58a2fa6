package relay

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"github.com/rs/zerolog"

	"rattanline.example/rattanline/clock"
	"rattanline.example/rattanline/mirror"
	"rattanline.example/rattanline/placement"
	"rattanline.example/rattanline/port"
	"rattanline.example/rattanline/quarantine"
	"rattanline.example/rattanline/request"
	"rattanline.example/rattanline/routing"
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
	// maxDiscard bounds what is read of a body that is too large.
	maxDiscard = 2 << 20
	// stopRetry is what callers of a daemon that stops are told: others are ready.
	stopRetry = 50 * time.Millisecond
	// overloadRetry is what callers of an overloaded daemon are told: each request,
	// refused ones too, adds to the load.
	overloadRetry = 500 * time.Millisecond
	// assumedBody is counted for a body of unknown length while it is read.
	assumedBody = 256 << 10
	// defaultBody bounds bodies while the configuration sets no bound.
	defaultBody = 4 << 20
)

// Handler serves callers. The exported fields are set before the first request.
type Handler struct {
	Protocol  Protocol
	View      func() *mirror.View
	Age       func() time.Duration
	Scheduler port.Scheduler
	// Loaded takes the load that a target tells with a response.
	Loaded  func(target string, load placement.Load)
	Poison  *quarantine.Registry
	Retries *routing.Budget
	Pool    *upstream.Pool
	Crashes *Crashes
	// KeyAge is the age of the configuration above which keys are not trusted,
	// because they may have been taken away; zero trusts them always.
	KeyAge time.Duration
	// Leaving tells that callers should move to other daemons.
	Leaving func() bool
	// Overloaded tells that new requests are refused, because they would be late.
	Overloaded func() bool
	// Left tells that the caller of the request with the context has left.
	Left func(context.Context) bool
	// Closed tells that new requests are refused, because the daemon ends soon.
	Closed atomic.Bool
	// MaxBuffered bounds the bodies held by all requests together, in bytes.
	MaxBuffered int64
	Logger      zerolog.Logger

	buffered atomic.Int64
	active   atomic.Int64
}

// Active returns the number of requests in progress.
func (h *Handler) Active() int64 { return h.active.Load() }

// ServeHTTP implements http.Handler.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	h.active.Add(1)
	defer h.active.Add(-1)
	c := &call{handler: h, writer: w, arrived: time.Now(), demand: h.Protocol.Demand(r)}
	defer c.log()
	if h.Leaving() {
		w.Header().Set("Connection", "close")
	}
	if refusal := h.route(c, r); refusal != nil {
		c.refuse(refusal)
		return
	}
	ctx, cancel := context.WithDeadlineCause(r.Context(), c.deadline, errDeadline)
	defer cancel()
	if refusal := h.read(c, r); refusal != nil {
		c.refuse(refusal)
		return
	}
	defer h.buffered.Add(-int64(len(c.body)))
	c.run(ctx)
}

var errDeadline = errors.New("the time for the request is over")

// route finds the route, account and service of a request.
func (h *Handler) route(c *call, r *http.Request) *refusal {
	v := h.View()
	c.age = h.Age()
	if h.Closed.Load() {
		return &refusal{status: http.StatusServiceUnavailable, reason: "this daemon stops", retry: stopRetry, close: true}
	}
	if h.Overloaded() {
		return &refusal{status: http.StatusServiceUnavailable, reason: "this daemon is overloaded", retry: overloadRetry}
	}
	if v.Index == nil {
		return &refusal{status: http.StatusServiceUnavailable, reason: "no configuration yet", retry: startRetry}
	}
	c.index = v.Index
	c.uri, c.host, c.header, c.method = r.RequestURI, r.Host, r.Header, r.Method
	path, _, _ := strings.Cut(c.uri, "?")
	route, ok := v.Index.Route(r.Host, path)
	if !ok {
		return h.denial(c, http.StatusNotFound, "no such route")
	}
	c.route = route
	timeout := route.Timeout.Std()
	if timeout <= 0 {
		timeout = defaultTimeout
	}
	if c.demand.Wait > 0 {
		timeout = min(timeout, c.demand.Wait)
	}
	c.deadline = c.arrived.Add(timeout)
	c.service = route.Service(rand.Float64())
	if len(v.Index.Document().Accounts) == 0 || route.Public && c.demand.Key == "" {
		return nil
	}
	account, ok := v.Index.AccountByKey(c.demand.Key)
	switch {
	case ok:
		c.account = account.Name
	case !route.Public:
		return h.denial(c, http.StatusUnauthorized, "unknown key")
	}
	c.keyed = !route.Public
	return c.stale()
}

// denial ends a request for good, unless a newer configuration may allow it.
func (h *Handler) denial(c *call, status int, reason string) *refusal {
	if c.age > denialAge {
		return &refusal{status: http.StatusServiceUnavailable, reason: reason + ", but the configuration may be outdated", retry: startRetry}
	}
	return &refusal{status: status, reason: reason}
}

// stale refuses a request with a key if the key may have been taken away.
func (c *call) stale() *refusal {
	h := c.handler
	if !c.keyed || h.KeyAge == 0 {
		return nil
	}
	if c.age = h.Age(); c.age <= h.KeyAge {
		return nil
	}
	return &refusal{status: http.StatusServiceUnavailable, reason: "keys can't be checked, the configuration may be outdated", retry: startRetry}
}

// read takes the whole body, so that the request can be sent to another target.
func (h *Handler) read(c *call, r *http.Request) *refusal {
	limits := c.index.Document().Limits
	most := limits.MaxBodyBytes
	if most <= 0 {
		most = defaultBody
	}
	if limits.MaxHeaderBytes > 0 && headerSize(r) > limits.MaxHeaderBytes {
		return &refusal{status: http.StatusRequestHeaderFieldsTooLarge, reason: "header too large"}
	}
	if r.ContentLength > most {
		_, _ = io.CopyN(io.Discard, r.Body, maxDiscard) // else the caller may see a reset before the answer
		return &refusal{status: http.StatusRequestEntityTooLarge, reason: "body too large"}
	}
	held := r.ContentLength
	if held < 0 {
		held = assumedBody
	}
	if h.buffered.Add(held) > h.MaxBuffered {
		h.buffered.Add(-held)
		return &refusal{status: http.StatusServiceUnavailable, reason: "too many bodies in memory", retry: startRetry, close: true}
	}
	refused := h.readBody(c, r, most)
	h.buffered.Add(int64(len(c.body)) - held)
	if refused != nil {
		return refused
	}
	c.fingerprint = request.Fingerprint(c.account, c.method+" "+c.host+c.uri, c.body)
	return nil
}

// readBody reads the body, which may have at most the given size.
func (h *Handler) readBody(c *call, r *http.Request, most int64) *refusal {
	control := http.NewResponseController(c.writer)
	// The deadline also bounds the time that the caller takes to send the body.
	_ = control.SetReadDeadline(c.deadline)
	var buffer bytes.Buffer
	if r.ContentLength > 0 {
		buffer.Grow(int(r.ContentLength))
	}
	n, err := io.Copy(&buffer, io.LimitReader(r.Body, most+1))
	switch {
	case err != nil:
		return &refusal{status: http.StatusRequestTimeout, reason: fmt.Sprintf("read body: %v", err), close: true}
	case n > most:
		return &refusal{status: http.StatusRequestEntityTooLarge, reason: "body too large", close: true}
	}
	_ = control.SetReadDeadline(time.Time{})
	c.body = buffer.Bytes()
	return nil
}

func headerSize(r *http.Request) int {
	n := len(r.Method) + len(r.RequestURI) + len(r.Host)
	for name, values := range r.Header {
		for _, v := range values {
			n += len(name) + len(v) + 4
		}
	}
	return n
}

func now() clock.Instant { return clock.Now() }
