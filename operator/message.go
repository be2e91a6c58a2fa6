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

// Request headers; each can also be given as the query parameter after it.
const (
	headerVersion     = "Rattanline-Config-Version" // in requests: at least this one; query "version"
	headerBase        = "Rattanline-Base-Version"   // query "base"
	headerSubmitID    = "Rattanline-Submit-Id"      // query "id"
	headerResubmitted = "Rattanline-Resubmitted"    // query "resubmitted"
)

const (
	typeYAML    = "application/yaml"
	typeJSON    = "application/json"
	typeLines   = "application/x-ndjson"
	typeProblem = "application/problem+json"
)

// parameters are the parameters of all requests of the client, as a query.
type parameters struct {
	Base        uint64 `url:"base"`
	ID          string `url:"id"`
	Resubmitted bool   `url:"resubmitted,omitempty"`
}

// eventParameters carry a timeline.Filter.
type eventParameters struct {
	Request string `url:"request,omitempty"`
	Account string `url:"account,omitempty"`
	Target  string `url:"target,omitempty"`
	Host    string `url:"host,omitempty"`
	Since   string `url:"since,omitempty"`
}

func eventParametersOf(f timeline.Filter) eventParameters {
	p := eventParameters{Request: f.Request, Account: f.Account, Target: f.Target, Host: f.Host}
	if !f.Since.IsZero() {
		p.Since = f.Since.Format(time.RFC3339Nano)
	}
	return p
}

// parameter returns a parameter of a request from its header or query.
func parameter(r *http.Request, header, query string) string {
	if v := r.Header.Get(header); v != "" {
		return v
	}
	return r.URL.Query().Get(query)
}

// The values of result.Outcome.
const (
	accepted = "accepted"
	conflict = "conflict"
	unknown  = "unknown"
)

// result is the response to a change: status 200, 409 or 202.
type result struct {
	Outcome    string `json:"outcome"`
	SubmitID   string `json:"submit-id"`
	Version    uint64 `json:"version,omitempty"` // accepted, or the current one in a conflict
	Difference string `json:"difference,omitempty"`
	// Kept lists the drained states that an accepted submit did not change.
	Kept string `json:"kept,omitempty"`
	// Current is the current document in a conflict.
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

func problemf(status int, err error) problem {
	return problem{Title: http.StatusText(status), Status: status, Detail: err.Error()}
}

func writeProblem(w http.ResponseWriter, err error) {
	var p problem
	if !errors.As(err, &p) {
		p = problemf(http.StatusInternalServerError, err)
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
