package operator

import (
	"encoding/json"
	"net/http"
	"strings"
	"time"

	"github.com/pkg/errors"

	"rattanline.example/rattanline/config"
	"rattanline.example/rattanline/timeline"
)

// Request headers. Instead of a header, a request may use the query parameter that
// is given in the header's comment.
const (
	headerVersion     = "Rattanline-Config-Version" // minimum version, and in responses the version sent; query "version"
	headerBase        = "Rattanline-Base-Version"   // query "base"
	headerSubmitID    = "Rattanline-Submit-Id"      // query "id"
	headerResubmitted = "Rattanline-Resubmitted"    // query "resubmitted"
)

const (
	typeYAML    = "application/yaml"
	typeJSON    = "application/json"
	typeNDJSON  = "application/x-ndjson"
	typeProblem = "application/problem+json"
)

// parameters are the query parameters of the client's changes.
type parameters struct {
	Base        uint64 `url:"base"`
	ID          string `url:"id"`
	Resubmitted bool   `url:"resubmitted,omitempty"`
}

// eventParameters are the query parameters for a timeline.Filter.
type eventParameters struct {
	Request string `url:"request,omitempty"`
	Account string `url:"account,omitempty"`
	Target  string `url:"target,omitempty"`
	Host    string `url:"host,omitempty"`
	Since   string `url:"since,omitempty"`
}

func newEventParameters(f timeline.Filter) eventParameters {
	p := eventParameters{Request: f.Request, Account: f.Account, Target: f.Target, Host: f.Host}
	if !f.Since.IsZero() {
		p.Since = f.Since.Format(time.RFC3339Nano)
	}
	return p
}

// parameter returns a parameter of the request from the header or, if that is
// empty, from the query.
func parameter(r *http.Request, header, query string) string {
	if v := r.Header.Get(header); v != "" {
		return v
	}
	return r.URL.Query().Get(query)
}

// Values of result.Outcome.
const (
	accepted = "accepted"
	conflict = "conflict"
	unknown  = "unknown"
)

// result is the response to a change. The HTTP status is 200 for an accepted
// change, 409 for a conflict and 202 for an unknown outcome.
type result struct {
	Outcome    string `json:"outcome"`
	SubmitID   string `json:"submit-id"`
	Version    uint64 `json:"version,omitempty"` // accepted version; for a conflict, the current version
	Difference string `json:"difference,omitempty"`
	// Kept lists the drained states that an accepted submit left unchanged although
	// the submitted document has others.
	Kept string `json:"kept,omitempty"`
	// Current is the current document. It is set for a conflict only.
	Current *config.Document `json:"current,omitempty"`
}

// problem is an RFC 9457 problem document.
type problem struct {
	Title  string `json:"title"`
	Status int    `json:"status"`
	Detail string `json:"detail,omitempty"`
}

// Error implements error.
func (p problem) Error() string {
	return strings.ToLower(p.Title) + ": " + p.Detail
}

func newProblem(status int, err error) problem {
	return problem{Title: http.StatusText(status), Status: status, Detail: err.Error()}
}

func writeProblem(w http.ResponseWriter, err error) {
	var p problem
	if !errors.As(err, &p) {
		p = newProblem(http.StatusInternalServerError, err)
	}
	writeJSON(w, p.Status, typeProblem, p)
}

func writeJSON[T any](w http.ResponseWriter, status int, contentType string, v T) {
	data, err := json.Marshal(v)
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", contentType)
	w.WriteHeader(status)
	_, _ = w.Write(append(data, '\n')) // the operator may have disconnected
}
