package frontend

import (
	"encoding/json"
	"fmt"
	"io"
	"math"
	"net/http"
	"net/url"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"

	"rattanline.example/rattanline/claim"
	"rattanline.example/rattanline/config"
	"rattanline.example/rattanline/request"
	"rattanline.example/rattanline/upstream"
)

const (
	defaultTimeout        = 60 * time.Second
	maxKeyBytes           = 255
	assumedBodyBytes      = 1 << 20 // reserved for a body of unknown length
	defaultMaxQueuedBytes = 16 << 20
)

func malformed(format string, args ...any) *request.Refusal {
	return &request.Refusal{Reason: request.Malformed, Detail: fmt.Sprintf(format, args...)}
}

// intake reads the request and makes all checks that need no other daemon.
func (c *call) intake(w http.ResponseWriter, r *http.Request) *request.Refusal {
	h := c.handler
	if !r.ProtoAtLeast(1, 1) {
		return malformed("HTTP/1.1 is needed: a cut response could not be shown in %s", r.Proto)
	}
	if h.Configuration.Version() == 0 {
		// Without a configuration no key is known; status 401 would wrongly report
		// the caller's key as invalid.
		return &request.Refusal{Reason: request.NoTarget, Detail: "this daemon has no configuration yet, use another entry", RetryAfter: time.Second}
	}
	scheme, key, _ := strings.Cut(r.Header.Get("Authorization"), " ")
	account, known := h.Configuration.AccountByKey(strings.TrimSpace(key))
	if !strings.EqualFold(scheme, "Bearer") || !known {
		return &request.Refusal{Reason: request.Unauthenticated, Detail: "missing or wrong key"}
	}
	c.account, c.Account = account, account.Name
	if refusal := h.refusal(); refusal != nil {
		return refusal
	}
	if refusal := c.readBody(w, r); refusal != nil {
		return refusal
	}
	if refusal := c.route(r); refusal != nil {
		return refusal
	}
	return c.readHeaders(r.Header)
}

func (c *call) readBody(w http.ResponseWriter, r *http.Request) *request.Refusal {
	limit := c.handler.MaxBody
	if limit == 0 {
		limit = defaultMaxBodyBytes
	}
	if r.ContentLength > limit {
		c.out.closing = true
		return &request.Refusal{Reason: request.TooLarge, Detail: fmt.Sprintf("body longer than %d bytes", limit)}
	}
	if r.ContentLength == 0 {
		return nil
	}
	expected := r.ContentLength
	if expected < 0 {
		expected = min(limit, assumedBodyBytes)
	}
	maxReceiving := c.account.MaxQueuedBytes
	if maxReceiving == 0 {
		maxReceiving = defaultMaxQueuedBytes
	}
	if !c.handler.bounds.addReceiving(c.account.Name, expected, maxReceiving) {
		c.out.closing = true
		return &request.Refusal{Reason: request.QueueFull, Detail: "too many bodies are being received", RetryAfter: time.Second}
	}
	defer c.handler.bounds.removeReceiving(c.account.Name, expected)
	body, err := readAll(http.MaxBytesReader(w, r.Body, limit), r.ContentLength)
	// The server detects a disconnect by reading from the connection, so the read
	// deadline must not remain set.
	_ = c.out.control.SetReadDeadline(time.Time{})
	var large *http.MaxBytesError
	switch {
	case errors.As(err, &large):
		return &request.Refusal{Reason: request.TooLarge, Detail: fmt.Sprintf("body longer than %d bytes", limit)}
	case err != nil:
		c.out.closing = true
		return malformed("read body: %v", err)
	}
	c.body = body
	return nil
}

// readAll reads the body without the copies of io.ReadAll if its length is known.
func readAll(r io.Reader, length int64) ([]byte, error) {
	if length < 0 {
		return io.ReadAll(r)
	}
	body := make([]byte, length)
	_, err := io.ReadFull(r, body)
	return body, err
}

// route selects the service and the path at its targets.
func (c *call) route(r *http.Request) *request.Refusal {
	c.method, c.query = r.Method, r.URL.RawQuery
	name, kind := "", config.Model
	if r.URL.Path == "/v1/chat/completions" {
		if r.Method != http.MethodPost {
			return malformed("chat completions need POST")
		}
		var err error
		if c.chat, err = parseChat(c.body); err != nil {
			return malformed("%v", err)
		}
		name, c.path = c.chat.Model, "/v1/chat/completions"
	} else {
		kind = config.Plain
		var err error
		if name, c.path, err = parseServicePath(r.URL.EscapedPath()); err != nil {
			return malformed("%v", err)
		}
	}
	service, ok := c.handler.Configuration.Service(name)
	if !ok || service.Kind != kind {
		return &request.Refusal{Reason: request.UnknownService, Detail: fmt.Sprintf("unknown service %q", name)}
	}
	if !slices.Contains(c.account.Services, service.Name) {
		return &request.Refusal{Reason: request.Forbidden, Detail: fmt.Sprintf("service %q not allowed", name)}
	}
	c.service, c.Service = service, service.Name
	return nil
}

// chat holds the fields of a chat completions request that are evaluated.
type chat struct {
	Model               string `json:"model"`
	Stream              bool   `json:"stream"`
	MaxTokens           int    `json:"max_tokens"`
	MaxCompletionTokens int    `json:"max_completion_tokens"`
}

func parseChat(body []byte) (chat, error) {
	var parsed chat
	if err := json.Unmarshal(body, &parsed); err != nil {
		return chat{}, fmt.Errorf("read chat completions request: %w", err)
	}
	if parsed.Model == "" {
		return chat{}, errors.New("chat completions request without model")
	}
	parsed.MaxTokens = max(parsed.MaxTokens, parsed.MaxCompletionTokens, 0)
	return parsed, nil
}

// parseServicePath splits "/services/name/rest", and refuses paths whose dot segments
// could escape the base path of the service at its target.
func parseServicePath(escaped string) (name, path string, err error) {
	rest, ok := strings.CutPrefix(escaped, "/services/")
	if !ok {
		return "", "", errors.Errorf("path %q of no service", escaped)
	}
	name, path, _ = strings.Cut(rest, "/")
	if name, err = url.PathUnescape(name); err != nil || name == "" {
		return "", "", errors.Errorf("path %q without service name", escaped)
	}
	plain, err := url.PathUnescape(path)
	if err != nil {
		return "", "", fmt.Errorf("path %q: %w", escaped, err)
	}
	for segment := range strings.FieldsFuncSeq(plain, func(r rune) bool { return r == '/' || r == '\\' }) {
		if segment == "." || segment == ".." {
			return "", "", errors.Errorf("path %q with dot segments", escaped)
		}
	}
	return name, "/" + path, nil
}

// readHeaders reads the deadline, urgency, cost hint and idempotency key.
func (c *call) readHeaders(header http.Header) *request.Refusal {
	timeout := c.service.Timeout.Std()
	if timeout <= 0 {
		timeout = defaultTimeout
		c.service.Timeout = config.Duration(timeout)
	}
	if s := header.Get(DeadlineHeader); s != "" {
		ms, err := strconv.ParseInt(s, 10, 64)
		if err != nil || ms <= 0 {
			return malformed("%s: %q is not a positive number", DeadlineHeader, s)
		}
		if ms < timeout.Milliseconds() {
			timeout = time.Duration(ms) * time.Millisecond
		}
	}
	c.Deadline = c.Arrived.Add(timeout)
	switch s := header.Get(UrgencyHeader); s {
	case "", "urgent":
		c.urgent = true
	case "deferrable":
	default:
		return malformed("%s: %q is neither urgent nor deferrable", UrgencyHeader, s)
	}
	if s := header.Get(CostHintHeader); s != "" {
		hint, err := strconv.ParseFloat(s, 64)
		if err != nil || hint <= 0 || math.IsInf(hint, 0) || math.IsNaN(hint) {
			return malformed("%s: %q is not a positive number", CostHintHeader, s)
		}
		c.costHint = hint
	}
	c.Repeat = config.RepeatNever
	if c.idempotent = request.Idempotent(c.method, c.service); c.idempotent {
		c.Repeat = config.RepeatAny
	}
	key := header.Get(IdempotencyKeyHeader)
	if !c.idempotent {
		if key == "" || len(key) > maxKeyBytes || len(header.Values(IdempotencyKeyHeader)) > 1 {
			return malformed("a request that isn't idempotent needs one %s of at most %d bytes", IdempotencyKeyHeader, maxKeyBytes)
		}
		c.claim = claim.Request{
			Account: c.account.Name, Key: key, Attempt: claim.NewAttempt(),
			Body: claim.NewDigest([]byte(c.service.Name), []byte(c.method), []byte(c.path), []byte(c.query), c.body),
		}
	}
	// API keys and ids of resumed streams are meant for this daemon and are not
	// forwarded.
	c.header = upstream.ForwardedHeaders(
		header, "Authorization", IdempotencyKeyHeader, "X-Idempotency-Key", "Last-Event-Id", "Content-Length", request.AttemptHeader, request.IncarnationHeader,
	)
	if key != "" {
		// Two accounts may choose the same key; the digest lets targets tell them apart.
		c.header.Set(IdempotencyKeyHeader, claim.NewDigest([]byte(c.account.Name), []byte(key)).String())
	}
	if c.service.Kind == config.Model {
		c.header.Set("Accept-Encoding", "identity") // events and token usage are parsed while forwarding
	}
	content := c.service.Name
	if c.service.Kind == config.Plain {
		// Many plain requests have no body and differ only in method, path and query.
		content = strings.Join([]string{content, c.method, c.path, c.query}, " ")
	}
	c.Fingerprint = request.Fingerprint(c.account.Name, content, c.body)
	return nil
}
