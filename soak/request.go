package soak

import (
	"fmt"
	"time"

	"github.com/cespare/xxhash/v2"

	"rattanline.example/rattanline/config"
)

// kind is a kind of request with its route and service. Keyed kinds need the key of
// an account.
type kind struct {
	name, prefix, service string
	repeat                config.Repeat
	stream, keyed         bool
}

// repeatable reports whether the request may run more than once.
func (k kind) repeatable() bool { return k.repeat != config.RepeatNever }

var kinds = []kind{
	{name: "reserve", prefix: "/reserve/", service: "desk", repeat: config.RepeatNever, keyed: true},
	{name: "lookup", prefix: "/lookup/", service: "desk", repeat: config.RepeatAny},
	{name: "draft", prefix: "/draft/", service: "engine", repeat: config.RepeatNever, stream: true, keyed: true},
	{name: "notes", prefix: "/notes/", service: "engine", repeat: config.RepeatResume, stream: true},
}

const (
	routeHost = "soak.example"
	// eventCount is the number of events in a stream.
	eventCount = 12
	// eventInterval is the time between two events of a stream.
	eventInterval = 25 * time.Millisecond
	// executionTime is how long a target works on a plain request.
	executionTime = 12 * time.Millisecond
	// requestTime is how long callers wait for a response, and the timeout of all routes.
	requestTime = 4 * time.Second
)

// digest returns the hash of the values as 16 hexadecimal digits.
func digest(parts ...any) string {
	return fmt.Sprintf("%016x", xxhash.Sum64String(fmt.Sprint(parts...)))
}

// plainBody returns the response body of a plain request.
func plainBody(id string) string {
	body := ""
	for i := range 20 {
		body += digest(id, i)
	}
	return body
}

// signature returns the signature of the response to a request. It depends only on
// the request, because another target may continue a stream.
func signature(id string) string { return digest("signature", id) }

// streamEvent returns the event with the number, which starts at one.
func streamEvent(id string, number int) string {
	return fmt.Sprintf("id: %d\ndata: %s\n\n", number, digest(id, number))
}
