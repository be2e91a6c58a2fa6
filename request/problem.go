package request

import (
	"encoding/json"
	"fmt"
	"net/http"
	"time"

	"github.com/pkg/errors"
)

// ProblemType is the media type of RFC 9457 problem documents.
const ProblemType = "application/problem+json"

// MaxProblem bounds a problem document that is read; ours are far smaller.
const MaxProblem = 16 << 10

// Problem is an RFC 9457 problem document with our extension members.
type Problem struct {
	Type      string  `json:"type"`
	Title     string  `json:"title"`
	Status    int     `json:"status"`
	Detail    string  `json:"detail,omitempty"`
	Instance  string  `json:"instance,omitempty"`
	Outcome   Outcome `json:"outcome"`
	Reason    Reason  `json:"reason,omitempty"`
	RequestID string  `json:"request-id,omitempty"`
	// RetryAfterMs is the pause that the Retry-After header rounds up to seconds.
	RetryAfterMs int64 `json:"retry-after-ms,omitempty"`
}

// refusalStatuses holds the statuses of refusals that differ from 503.
var refusalStatuses = map[Reason]int{
	QueueFull:       http.StatusTooManyRequests,
	KeyReused:       http.StatusUnprocessableEntity,
	Unauthenticated: http.StatusUnauthorized,
	Forbidden:       http.StatusForbidden,
	UnknownService:  http.StatusNotFound,
	TooLarge:        http.StatusRequestEntityTooLarge,
	HeaderTooLarge:  http.StatusRequestHeaderFieldsTooLarge,
	BodyTimeout:     http.StatusRequestTimeout,
	Malformed:       http.StatusBadRequest,
}

// Status returns the HTTP status of the refusal.
func (r *Refusal) Status() int {
	if status, ok := refusalStatuses[r.Reason]; ok {
		return status
	}
	return http.StatusServiceUnavailable
}

// ProblemOfRefusal describes a request that was not run.
func ProblemOfRefusal(id string, r *Refusal) Problem {
	retry := r.RetryAfter
	if s := r.Status(); retry <= 0 && (s == http.StatusTooManyRequests || s == http.StatusServiceUnavailable) {
		// A caller without a hint retries at once and adds to the overload.
		retry = time.Second
	}
	return Problem{
		Type:         "urn:rattanline:problem:" + string(r.Reason),
		Title:        "The request was not run",
		Status:       r.Status(),
		Detail:       r.Detail,
		Instance:     instance(id),
		Outcome:      OutcomeNotRun,
		Reason:       r.Reason,
		RequestID:    id,
		RetryAfterMs: retry.Milliseconds(),
	}
}

// ProblemOfUnknown describes a request that may have been run. Status is 504
// after the deadline and 502 otherwise.
func ProblemOfUnknown(id string, u Unknown, timeout bool) Problem {
	p := Problem{
		Type:      "urn:rattanline:problem:outcome-unknown",
		Title:     "The request may have been run",
		Status:    http.StatusBadGateway,
		Detail:    u.Cause,
		Instance:  instance(id),
		Outcome:   OutcomeUnknown,
		RequestID: id,
	}
	if timeout {
		p.Status = http.StatusGatewayTimeout
	}
	return p
}

func instance(id string) string {
	if id == "" {
		return ""
	}
	return "urn:uuid:" + id
}

// RetryAfter returns the value of the Retry-After header, empty for none.
func (p Problem) RetryAfter() string {
	if p.RetryAfterMs <= 0 {
		return ""
	}
	return fmt.Sprint((p.RetryAfterMs-1)/1000 + 1)
}

// Encode returns the document as JSON.
func (p Problem) Encode() []byte {
	data, err := json.Marshal(p)
	if err != nil {
		panic(err) // the type has only strings and numbers
	}
	return data
}

// ParseProblem reads a problem document, ignoring members it doesn't know.
func ParseProblem(data []byte) (Problem, error) {
	if len(data) > MaxProblem {
		return Problem{}, errors.Errorf("problem document of %d bytes", len(data))
	}
	var p Problem
	if err := json.Unmarshal(data, &p); err != nil {
		return Problem{}, fmt.Errorf("read problem document: %w", err)
	}
	switch p.Outcome {
	case OutcomeRan, OutcomeNotRun, OutcomeUnknown:
	default:
		return Problem{}, errors.Errorf("problem document with outcome %q", p.Outcome)
	}
	if p.Status < 400 || p.Status > 599 || p.RetryAfterMs < 0 {
		return Problem{}, errors.Errorf("problem document with status %d, retry after %d ms", p.Status, p.RetryAfterMs)
	}
	return p, nil
}
