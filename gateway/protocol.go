// Package gateway serves HTTP requests that select a route by host and path.
package gateway

import (
	"net/http"
	"time"

	"rattanline.example/rattanline/placement"
	"rattanline.example/rattanline/request"
)

// Protocol translates the headers of requests and responses.
type Protocol interface {
	// Demand reads the key, deadline, size and other properties that a caller
	// states in the header of its request.
	Demand(r *http.Request) request.Demand
	// Identify reads the id, the key and the size of a request from its unparsed head.
	Identify(head []byte) request.Demand
	// Outgoing returns the header for a target, given the caller's header.
	Outgoing(in http.Header, o Outgoing) http.Header
	// Answer reads the status and header of a target's response to the request with
	// the id.
	Answer(r *http.Response, id string) Answer
}

// Outgoing holds the values that this daemon adds to, or replaces in, the caller's
// header.
type Outgoing struct {
	Target  string
	Account string
	// TimeLeft is the time until the deadline of the request.
	TimeLeft time.Duration
	// CacheHolder is the address of a target that has cached segments of the prompt,
	// from which the target is to fetch them; empty for none.
	CacheHolder string
	// LastEventID is the id of the event after which a stream resumes; empty keeps the
	// caller's value.
	LastEventID string
}

// Answer holds what the status and header of a response state.
type Answer struct {
	// Matches reports whether the response names the request, Unnamed whether it is a
	// refusal that names none.
	Matches, Unnamed bool
	// NotRun reports whether the target stated that it did not and will not run the
	// request.
	NotRun bool
	// Misdirected reports whether the address now belongs to another target.
	Misdirected bool
	// Authentic reports whether a success response comes from the target itself and is
	// unchanged.
	Authentic bool
	// Leaving reports whether the target stated that it is leaving.
	Leaving bool
	// Pause is the time, as stated, for which the target asked this daemon to send nothing
	// to it, empty if it didn't.
	Pause string
	// Load is the load that the target reported, nil if none. OddLoad is a load as stated that
	// has another form, and is ignored.
	Load    *placement.Load
	OddLoad string
}
