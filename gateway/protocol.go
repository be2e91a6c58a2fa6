// Package gateway is the HTTP listener for requests that name a route by host and
// path.
package gateway

import (
	"net/http"
	"time"

	"rattanline.example/rattanline/placement"
	"rattanline.example/rattanline/request"
)

// Protocol translates the heads of requests and responses.
type Protocol interface {
	// Demand reads what a caller's request says of itself.
	Demand(r *http.Request) request.Demand
	// Outgoing returns the header for a target, given that of the caller.
	Outgoing(in http.Header, o Outgoing) http.Header
	// Answer reads the head of a target's response to the request with the id.
	Answer(r *http.Response, id string) Answer
}

// Outgoing is what this daemon tells a target beside what the caller said.
type Outgoing struct {
	Target  string
	Account string
	// TimeLeft is the time that is left for the request.
	TimeLeft time.Duration
	// CacheHolder is the address of a target that keeps parts of the prompt, from which
	// the target is to fetch them; empty for none.
	CacheHolder string
	// LastEventID is the event after which a stream goes on, empty to leave what
	// the caller said.
	LastEventID string
}

// Answer is what the head of a response says.
type Answer struct {
	// Matches tells that it is the response to the request.
	Matches bool
	// NotRun tells that the target did not run the request and never will.
	NotRun bool
	// Misdirected tells that another target has the address.
	Misdirected bool
	// Authentic tells that a success is the target's own and unchanged.
	Authentic bool
	Load    *placement.Load
}
