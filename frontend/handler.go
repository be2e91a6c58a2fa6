// Package frontend serves the HTTP requests of callers.
package frontend

import (
	"context"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/google/uuid"
	"github.com/rs/zerolog"

	"rattanline.example/rattanline/claim"
	"rattanline.example/rattanline/config"
	"rattanline.example/rattanline/port"
	"rattanline.example/rattanline/relay"
	"rattanline.example/rattanline/request"
	"rattanline.example/rattanline/timeline"
	"rattanline.example/rattanline/upstream"
)

// Configuration looks up values of the configuration in force.
type Configuration struct {
	Version      func() uint64
	AccountByKey func(key string) (config.Account, bool)
	Service      func(name string) (config.Service, bool)
}

// Claims grants idempotency keys; claim.Service implements it.
type Claims interface {
	Claim(ctx context.Context, r claim.Request) (claim.Decision, error)
	// Release releases a claim whose request was certainly not run.
	Release(ctx context.Context, r claim.Request) error
	// Finish stores the response for resends.
	Finish(r claim.Request, a claim.Answer)
	// Await waits for the response to the earlier request that r repeats.
	Await(ctx context.Context, r claim.Request, d claim.Duplicate) (claim.PriorResult, error)
}

// Handler serves requests from callers. The exported fields are set before the first
// request.
type Handler struct {
	Scheduler     port.Scheduler
	Upstream      *upstream.Client
	Claims        Claims
	Configuration Configuration
	// Refuse returns a refusal while the daemon accepts no new requests, nil
	// otherwise. The function may be nil.
	Refuse func() *request.Refusal
	// Entries returns the daemons that callers may connect to.
	Entries func() []Entry
	// MarkPropagationTime is how long crash marks take to reach all daemons.
	MarkPropagationTime time.Duration
	// OnMarked is called after requests were marked; it may be nil.
	OnMarked func()
	// EntriesTTL is how long callers may cache the entries; zero means 10 s.
	EntriesTTL time.Duration
	// Ready returns why callers should not connect, nil if they may.
	Ready       func() error
	Quarantine  relay.Quarantine
	RetryBudget relay.RetryBudget
	// Refresh fetches the configuration in the given version or a later one; it may be
	// nil.
	Refresh  func(ctx context.Context, version uint64) error
	Recorder timeline.Recorder
	Logger   zerolog.Logger
	// MaxBody bounds the body of a request in bytes; zero means 4 MiB.
	MaxBody int64
	// WriteTimeout bounds each write of a response to a caller that reads slowly; zero
	// means 20 s.
	WriteTimeout time.Duration

	once      sync.Once
	forwarder *relay.Forwarder
	bounds    bounds
	refresh   refresh
}

// callForwarder returns the forwarder that sends requests to targets; the first call
// creates it.
func (h *Handler) callForwarder() *relay.Forwarder {
	h.once.Do(func() {
		h.forwarder = &relay.Forwarder{
			Scheduler: h.Scheduler, Quarantine: h.Quarantine, Retries: h.RetryBudget, MarkPropagationTime: h.MarkPropagationTime,
			OnMarked: h.OnMarked, Recorder: h.Recorder, Logger: h.Logger,
		}
	})
	return h.forwarder
}

const (
	defaultMaxBodyBytes = 4 << 20
	defaultWriteTimeout = 20 * time.Second
	// bodyTimeout bounds the time to receive a body, so that slow senders don't hold
	// memory.
	bodyTimeout = 30 * time.Second
)

// These headers are exchanged between callers and daemons.
const (
	RequestIDHeader      = "Rattanline-Request-Id"
	OutcomeHeader        = "Rattanline-Outcome"
	DeadlineHeader       = "Rattanline-Deadline-Ms"
	UrgencyHeader        = "Rattanline-Urgency"
	CostHintHeader       = "Rattanline-Cost-Hint"
	VersionHeader        = "Rattanline-Configuration-Version"
	IdempotencyKeyHeader = "Idempotency-Key"
)

// refusal returns a refusal while the daemon accepts no new requests, nil otherwise.
func (h *Handler) refusal() *request.Refusal {
	if h.Refuse == nil {
		return nil
	}
	return h.Refuse()
}

// stopping reports whether callers should move to other daemons.
func (h *Handler) stopping() bool {
	r := h.refusal()
	return r != nil && r.Reason == request.Stopping
}

// ServeHTTP implements http.Handler.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	// A write deadline persists on the connection, so each response sets its own.
	_ = http.NewResponseController(w).SetWriteDeadline(time.Now().Add(h.writeTimeout()))
	switch path := r.URL.Path; {
	case path == "/v1/chat/completions", strings.HasPrefix(path, "/services/"):
		h.serveCall(w, r)
	case path == "/v1/entries":
		h.serveEntries(w, r)
	case path == "/healthz":
		w.WriteHeader(http.StatusOK)
	case path == "/readyz":
		if err := h.Ready(); err != nil {
			http.Error(w, err.Error(), http.StatusServiceUnavailable)
		}
	case path == "/metrics":
		metrics.WritePrometheus(w, true)
	default:
		id := uuid.NewString()
		writeProblem(w, request.ProblemOfRefusal(id, &request.Refusal{Reason: request.UnknownService, Detail: "no such path"}))
	}
}

func (h *Handler) writeTimeout() time.Duration {
	if h.WriteTimeout > 0 {
		return h.WriteTimeout
	}
	return defaultWriteTimeout
}

// serveCall serves one request of a client account, from intake to its log line.
func (h *Handler) serveCall(w http.ResponseWriter, r *http.Request) {
	c := &call{
		Call:    relay.Call{ID: uuid.NewString(), Arrived: time.Now()},
		handler: h, out: &responder{writer: w, control: http.NewResponseController(w), writeTimeout: h.writeTimeout()},
	}
	c.Handler = c
	c.out.id, c.out.version, c.out.stopping = c.ID, h.Configuration.Version, h.stopping
	if r.ContentLength != 0 {
		// The deadline also applies to bodies of refused requests, which the server
		// discards.
		_ = c.out.control.SetReadDeadline(c.Arrived.Add(bodyTimeout))
	}
	h.callForwarder().Begin(&c.Call)
	defer h.callForwarder().End(&c.Call)
	defer h.bounds.releaseUnsent(c)
	h.refreshConfiguration(r)
	if refusal := c.intake(w, r); refusal != nil {
		c.Refuse(refusal)
	} else {
		c.run(r.Context())
	}
	c.settleClaim()
	if c.out.cut {
		// Aborts the connection, so that a truncated response never appears complete.
		panic(http.ErrAbortHandler)
	}
}

// Drain waits until no request is in flight, and returns those that still are when
// the context ends.
func (h *Handler) Drain(ctx context.Context) []relay.InFlight { return h.callForwarder().Drain(ctx) }

// Abort ends the running requests, for the reason that their answers state.
func (h *Handler) Abort(reason string) {
	refusal := &request.Refusal{Reason: request.Stopping, Detail: reason}
	h.callForwarder().Abort(refusal, func(*relay.Call) bool { return true })
}

// AwaitQuiet waits until no request has been in flight and none has arrived for the time. It
// returns false if the context ends before, while requests are in flight.
func (h *Handler) AwaitQuiet(ctx context.Context, quiet time.Duration) bool {
	f := h.callForwarder()
	return f.AwaitQuiet(ctx, quiet, func() int64 { return int64(len(f.InFlight())) })
}
