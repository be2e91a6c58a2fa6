// Package frontend is the HTTP listener for callers.
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

// Configuration looks up the parts of the configuration in force.
type Configuration struct {
	Version      func() uint64
	AccountByKey func(key string) (config.Account, bool)
	Service      func(name string) (config.Service, bool)
}

// Claims grants idempotency keys; claim.Service implements it.
type Claims interface {
	Claim(ctx context.Context, r claim.Request) (claim.Decision, error)
	// Release gives back a claim whose request was certainly not sent.
	Release(ctx context.Context, r claim.Request) error
	// Finish keeps the response for resends.
	Finish(r claim.Request, a claim.Answer)
	// Await waits for the response to the earlier request of a resend.
	Await(ctx context.Context, r claim.Request, d claim.Duplicate) (claim.PriorResult, error)
}

// Handler serves callers. Fields are set before the first request.
type Handler struct {
	Scheduler     port.Scheduler
	Upstream      *upstream.Client
	Claims        Claims
	Configuration Configuration
	// Refuse returns a refusal while the daemon takes no new work.
	Refuse  func() *request.Refusal
	Entries func() []Entry
	// MarkTime is how long the marks of a crash take to reach all daemons.
	MarkTime time.Duration
	// EntriesTTL is how long callers may keep the entries; zero means 10 s.
	EntriesTTL  time.Duration
	Ready       func() error
	Quarantine  relay.Quarantine
	RetryBudget relay.RetryBudget
	// Refresh fetches at least the version of the configuration.
	Refresh  func(ctx context.Context, version uint64) error
	Recorder timeline.Recorder
	Logger   zerolog.Logger
	// MaxBody bounds the body of a request; zero means 4 MiB.
	MaxBody int64
	// Stall bounds the time in which a caller must take a piece of its
	// response; zero means 20 s.
	Stall time.Duration

	once    sync.Once
	path    *relay.Forwarder
	bounds  bounds
	refresh refresh
}

// relay returns the path that requests take to targets.
func (h *Handler) relay() *relay.Forwarder {
	h.once.Do(func() {
		h.path = &relay.Forwarder{
			Scheduler: h.Scheduler, Quarantine: h.Quarantine, Retries: h.RetryBudget, MarkPropagationTime: h.MarkTime,
			Recorder: h.Recorder, Logger: h.Logger,
		}
	})
	return h.path
}

const (
	defaultMaxBody = 4 << 20
	defaultStall   = 20 * time.Second
	// Bounds the time of a body, so that slow senders don't hold memory.
	bodyTimeout = 30 * time.Second
)

// The headers between callers and daemons.
const (
	RequestIDHeader = "Rattanline-Request-Id"
	OutcomeHeader   = "Rattanline-Outcome"
	DeadlineHeader  = "Rattanline-Deadline-Ms"
	UrgencyHeader   = "Rattanline-Urgency"
	CostHintHeader  = "Rattanline-Cost-Hint"
	VersionHeader   = "Rattanline-Configuration-Version"
	KeyHeader       = "Idempotency-Key"
)

// ServeHTTP implements http.Handler.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	// A write deadline stays with the connection, so each response sets its own.
	_ = http.NewResponseController(w).SetWriteDeadline(time.Now().Add(h.stall()))
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

func (h *Handler) stall() time.Duration {
	if h.Stall > 0 {
		return h.Stall
	}
	return defaultStall
}

// serveCall runs one request of a client account from intake to its log line.
func (h *Handler) serveCall(w http.ResponseWriter, r *http.Request) {
	c := &call{
		Call:    relay.Call{ID: uuid.NewString(), Arrived: time.Now()},
		handler: h, out: &responder{writer: w, control: http.NewResponseController(w), stall: h.stall()},
	}
	c.Handler = c
	c.out.id, c.out.version = c.ID, h.Configuration.Version
	if r.ContentLength != 0 {
		// Also holds for bodies of refused requests, which the server reads.
		_ = c.out.control.SetReadDeadline(c.Arrived.Add(bodyTimeout))
	}
	h.relay().Begin(&c.Call)
	defer h.relay().End(&c.Call)
	defer h.bounds.sent(c)
	h.catchUp(r)
	if refusal := c.intake(w, r); refusal != nil {
		c.Refuse(refusal)
	} else {
		c.run(r.Context())
	}
	c.settleClaim()
	if c.out.cut {
		// The connection is aborted, so that a cut response never ends cleanly.
		panic(http.ErrAbortHandler)
	}
}

// Drain waits until no request is in flight and returns those that are left
// when the context ends.
func (h *Handler) Drain(ctx context.Context) []relay.InFlight { return h.relay().Drain(ctx) }
