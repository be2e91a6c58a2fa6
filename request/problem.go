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

// MaxProblemBytes is the maximum size of a problem document to parse. The documents
// written here are far smaller.
const MaxProblemBytes = 16 << 10

// Problem is an RFC 9457 problem document with the extension members outcome,
// reason, request-id and retry-after-ms.
type Problem struct {
	Type      string  `json:"type"`
	Title     string  `json:"title"`
	Status    int     `json:"status"`
	Detail    string  `json:"detail,omitempty"`
	Instance  string  `json:"instance,omitempty"`
	Outcome   Outcome `json:"outcome"`
	Reason    Reason  `json:"reason,omitempty"`
	RequestID string  `json:"request-id,omitempty"`
	// RetryAfterMs is the pause before a retry. The Retry-After header has it
	// rounded up to seconds.
	RetryAfterMs int64 `json:"retry-after-ms,omitempty"`
}

// refusalStatuses holds the HTTP statuses of refusals other than 503.
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

// ProblemOfRefusal returns the problem document of a request that was not run.
func ProblemOfRefusal(id string, r *Refusal) Problem {
	retry := r.RetryAfter
	if s := r.Status(); retry <= 0 && (s == http.StatusTooManyRequests || s == http.StatusServiceUnavailable) {
		// A caller without a stated pause retries at once and adds to the overload.
		retry = time.Second
	}
	return Problem{
		Type:         "urn:rattanline:problem:" + string(r.Reason),
		Title:        "The request was not run",
		Status:       r.Status(),
		Detail:       r.Detail,
		Instance:     instanceURN(id),
		Outcome:      OutcomeNotRun,
		Reason:       r.Reason,
		RequestID:    id,
		RetryAfterMs: retry.Milliseconds(),
	}
}

// ProblemOfUnknown returns the problem document of a request that may have been
// run. The status is 504 after a timeout and 502 otherwise.
func ProblemOfUnknown(id string, u Unknown, timeout bool) Problem {
	p := Problem{
		Type:      "urn:rattanline:problem:outcome-unknown",
		Title:     "The request may have been run",
		Status:    http.StatusBadGateway,
		Detail:    u.Cause,
		Instance:  instanceURN(id),
		Outcome:   OutcomeUnknown,
		RequestID: id,
	}
	if timeout {
		p.Status = http.StatusGatewayTimeout
	}
	return p
}

func instanceURN(id string) string {
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
		panic(err) // unreachable: Problem has only strings and numbers
	}
	return data
}

// ParseProblem parses a problem document. Unknown members are ignored.
func ParseProblem(data []byte) (Problem, error) {
	if len(data) > MaxProblemBytes {
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
