package frontend

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"rattanline.example/rattanline/claim"
	"rattanline.example/rattanline/clock"
	"rattanline.example/rattanline/config"
	"rattanline.example/rattanline/port"
	"rattanline.example/rattanline/request"
	"rattanline.example/rattanline/upstream"
)

var (
	chatService    = config.Service{Name: "model", Kind: config.Model, Idempotent: true, Resume: true, Price: config.Price{OutputToken: 1}}
	draftService   = config.Service{Name: "draft", Kind: config.Model, Price: config.Price{OutputToken: 1}}
	stockService   = config.Service{Name: "stock", Kind: config.Plain, Price: config.Price{Request: 1}, NotRunStatuses: []int{503}}
	paymentService = config.Service{Name: "payment", Kind: config.Plain}
)

// rig is a handler with test targets. It implements the scheduler without queues or
// slots, the quarantine and the retry budget.
type rig struct {
	*Handler
	mu       sync.Mutex
	targets  []config.Target
	jobs     []port.Job
	attempts []port.Attempt
	acquire  func() *request.Refusal  // called before a target is chosen; may refuse
	usable   func(target string) bool // nil means always
	budget   int
	crashes  []string
	marks    map[uint64]int
	// quarantineMarks is the number of marks at which a request is quarantined.
	quarantineMarks int
	url             string
}

type assignment struct {
	rig    *rig
	target config.Target
}

func (a assignment) Target() config.Target { return a.target }
func (assignment) Charge(float64)          {}
func (assignment) Basis() port.Basis       { return port.Basis{} }
func (assignment) ResponseStarted()        {}
func (a assignment) Usable() bool          { return a.rig.usable == nil || a.rig.usable(a.target.Name) }

func (a assignment) Finish(r port.Attempt) {
	a.rig.mu.Lock()
	defer a.rig.mu.Unlock()
	a.rig.attempts = append(a.rig.attempts, r)
}

// Acquire implements port.Scheduler.
func (r *rig) Acquire(ctx context.Context, j port.Job) (port.Assignment, error) {
	r.mu.Lock()
	r.jobs = append(r.jobs, j)
	r.mu.Unlock()
	if r.acquire != nil {
		if refusal := r.acquire(); refusal != nil {
			return nil, refusal
		}
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, t := range r.targets {
		if !slices.Contains(j.Avoid, t.Name) {
			return assignment{r, t}, nil
		}
	}
	return nil, &request.Refusal{Reason: request.NoTarget, Detail: "none left"}
}

func (*rig) RecordRequest(string, clock.Instant) {}

func (r *rig) TryRetry(string, clock.Instant) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.budget--
	return r.budget >= 0
}

func (r *rig) Quarantined(_ time.Time, f uint64) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.marks[f] >= r.quarantineMarks
}

func (r *rig) Marked(_ time.Time, f uint64) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.marks[f] > 0
}

func (r *rig) RecordCrash(_ time.Time, crash string, fingerprints []uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.crashes = append(r.crashes, crash)
	for _, f := range fingerprints {
		r.marks[f]++
	}
}

func (r *rig) RecordLateCrash(at time.Time, crash string, fingerprints []uint64) {
	if len(fingerprints) > 0 {
		r.RecordCrash(at, crash, fingerprints)
	}
}

func (*rig) RecordAnswer(uint64) {}

// grantAll grants every claim.
type grantAll struct{ Claims }

func (grantAll) Claim(context.Context, claim.Request) (claim.Decision, error) {
	return claim.Granted{Until: time.Now().Add(time.Minute)}, nil
}
func (grantAll) Release(context.Context, claim.Request) error { return nil }
func (grantAll) Finish(claim.Request, claim.Answer)           {}

func newRig(t testing.TB, handlers ...http.HandlerFunc) *rig {
	r := &rig{budget: 10, quarantineMarks: 2, marks: map[uint64]int{}}
	for i, h := range handlers {
		s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, q *http.Request) {
			w.Header().Set(request.AttemptHeader, q.Header.Get(request.AttemptHeader))
			w.Header().Set(request.IncarnationHeader, "run-1")
			h(w, q)
		}))
		t.Cleanup(s.Close)
		r.targets = append(r.targets, config.Target{Name: string(rune('a' + i)), URL: s.URL})
	}
	services := []config.Service{chatService, draftService, stockService, paymentService}
	r.Handler = &Handler{
		Scheduler: r, Upstream: &upstream.Client{}, Claims: grantAll{}, Quarantine: r, RetryBudget: r,
		Configuration: Configuration{
			Version: func() uint64 { return 7 },
			AccountByKey: func(key string) (config.Account, bool) {
				name, ok := strings.CutPrefix(key, "key-")
				return config.Account{Name: name, MaxQueued: 1, MaxQueuedBytes: 1000, Services: []string{"model", "draft", "stock"}}, ok && name == "one"
			},
			Service: func(name string) (config.Service, bool) {
				i := slices.IndexFunc(services, func(s config.Service) bool { return s.Name == name })
				return services[max(i, 0)], i >= 0
			},
		},
		Ready:   func() error { return nil },
		Entries: func() []Entry { return []Entry{{"http://far", 1, 2}, {"http://near", 1, 0}} },
		MaxBody: 1 << 10,
	}
	return r
}

// reply is the response that a caller received; Err is set if it was truncated.
type reply struct {
	Status int
	Header http.Header
	Body   string
	Err    error
}

func (r reply) outcome() string { return r.Header.Get(OutcomeHeader) }

// serve starts the handler on loopback and returns a function that calls it.
// Headers are given as "Name: value".
func (r *rig) serve(t testing.TB) func(method, path, body string, headers ...string) reply {
	s := httptest.NewServer(r.Handler)
	t.Cleanup(s.Close)
	r.url = s.URL
	return func(method, path, body string, headers ...string) reply {
		return do(context.Background(), s.URL, method, path, body, headers...)
	}
}

func do(ctx context.Context, url, method, path, body string, headers ...string) reply {
	q, err := http.NewRequestWithContext(ctx, method, url+path, strings.NewReader(body))
	if err != nil {
		return reply{Err: err}
	}
	q.GetBody = nil
	q.Header.Set("Authorization", "Bearer key-one")
	for _, header := range headers {
		if name, value, ok := strings.Cut(header, ": "); ok {
			q.Header.Set(name, value)
		}
	}
	response, err := http.DefaultClient.Do(q)
	if err != nil {
		return reply{Err: err}
	}
	defer func() { _ = response.Body.Close() }()
	data, err := io.ReadAll(response.Body)
	return reply{response.StatusCode, response.Header, string(data), err}
}

func assertReply(t testing.TB, r reply, status int, outcome request.Outcome) {
	t.Helper()
	qt.Assert(t, r.Err, qt.IsNil)
	qt.Assert(t, []any{r.Status, r.outcome()}, qt.DeepEquals, []any{status, string(outcome)}, qt.Commentf("%s", r.Body))
	if strings.HasPrefix(r.Header.Get("Content-Type"), request.ProblemType) {
		p, err := request.ParseProblem([]byte(r.Body))
		qt.Assert(t, err, qt.IsNil)
		qt.Assert(t, []any{p.Status, p.Outcome}, qt.DeepEquals, []any{status, outcome})
	}
}

func answer(status int, body string) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) {
		w.WriteHeader(status)
		_, _ = io.WriteString(w, body)
	}
}

func crash(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }
