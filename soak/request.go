package soak

import (
	"fmt"
	"time"

	"github.com/cespare/xxhash/v2"

	"rattanline.example/rattanline/config"
)

// kind is a kind of request, with the route and service it uses.
type kind struct {
	name, prefix, service string
	repeat                config.Repeat
	stream, keyed         bool
}

// again tells that the request may run more than once.
func (k kind) again() bool { return k.repeat != config.RepeatNever }

// The kinds of request.
var kinds = []kind{
	{name: "reserve", prefix: "/reserve/", service: "desk", repeat: config.RepeatNever, keyed: true},
	{name: "lookup", prefix: "/lookup/", service: "desk", repeat: config.RepeatAny},
	{name: "draft", prefix: "/draft/", service: "engine", repeat: config.RepeatNever, stream: true, keyed: true},
	{name: "notes", prefix: "/notes/", service: "engine", repeat: config.RepeatResume, stream: true},
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
