package soak

import (
	"fmt"
	"time"

	"github.com/cespare/xxhash/v2"
)

// kind is a kind of request, with the route and service it uses.
type kind struct {
	name, prefix, service, routeType string
	stream, resumable                bool
	// repeat tells that the request may run more than once.
	repeat bool
	keyed  bool
	// cold tells that targets of the service are cold after a start.
	cold bool
}

// The kinds of request.
var kinds = []kind{
	{name: "reserve", prefix: "/reserve/", service: "desk", routeType: "non_idempotent", keyed: true},
	{name: "lookup", prefix: "/lookup/", service: "desk", routeType: "idempotent", repeat: true},
	{name: "draft", prefix: "/draft/", service: "engine", routeType: "streaming", stream: true, keyed: true, cold: true},
	{name: "notes", prefix: "/notes/", service: "engine", routeType: "streaming", stream: true, resumable: true, repeat: true, cold: true},
}

const (
	routeHost = "soak.example"
	// events is the length of a stream.
	events = 12
	// eventPause is the time between two events, workTime that of a plain request.
	eventPause = 25 * time.Millisecond
	workTime   = 12 * time.Millisecond
	// requestTime is how long callers wait.
	requestTime = 4 * time.Second
)

// sum is a digest as it stands in bodies and headers.
func sum(parts ...any) string { return fmt.Sprintf("%016x", xxhash.Sum64String(fmt.Sprint(parts...))) }

// plainBody is what a target answers to a plain request.
func plainBody(id string) string {
	body := ""
	for i := range 20 {
		body += sum(id, i)
	}
	return body
}

// signature is what a target signs an answer with. That of a stream doesn't
// depend on the run, because another target may continue it.
func signature(id string) string { return sum("signature", id) }

// event is one event of a stream.
func event(id string, number int) string {
	return fmt.Sprintf("id: %d\ndata: %s\n\n", number, sum(id, number))
}
