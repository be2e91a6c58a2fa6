package port

import (
	"context"
	"time"

	"rattanline.example/rattanline/config"
	"rattanline.example/rattanline/request"
)

// Job describes a request that needs a slot at a target of its service.
type Job struct {
	RequestID string
	Account   string
	Service   string
	// Route is the name of the route of the request.
	Route  string
	Urgent bool
	// Arrived is when the whole request had arrived; Deadline is when its caller gives up.
	Arrived, Deadline time.Time
	// Cost is a rough estimate of the cost in priced units.
	Cost float64
	// Bytes is the size of the body held while the request waits.
	Bytes int64
	// Avoid names targets to which the request should not be sent, such as those at
	// which an earlier attempt failed.
	Avoid []string
	// Isolated asks for the target that runs the fewest other requests, because the request
	// may crash it.
	Isolated bool
	// Retry reports whether the request was sent to a target before.
	Retry bool
	// Resumed reports whether the caller received a part of the response of the last target in
	// Avoid, which another target is to continue.
	Resumed bool
	// Fingerprint identifies the request's content for the poison quarantine.
	Fingerprint uint64
	// LatencyAim is the time to the first event within which the request has its full
	// value, zero if it has none.
	LatencyAim time.Duration
	// PauseAim is the longest time between two events with which a stream has its full value,
	// zero if it has none.
	PauseAim time.Duration
	// Demand holds what the request states about its prompt.
	Demand request.Demand
}

// AttemptResult is the result of one attempt at a target.
type AttemptResult string

// The results of an attempt.
const (
	Succeeded  AttemptResult = "succeeded"
	Overloaded AttemptResult = "overloaded" // the target refused for lack of capacity
	Failed     AttemptResult = "failed"     // an error response or a timeout
	Crashed    AttemptResult = "crashed"    // the connection broke, the target may be down
	Canceled   AttemptResult = "canceled"   // the caller disconnected
	NotSent    AttemptResult = "not-sent"   // no byte went to the target

	Unreachable AttemptResult = "unreachable" // no connection could be made
	Misdirected AttemptResult = "misdirected" // another target listens on the address
)

// Attempt describes how an assignment ended: its result, its actual cost as far as it
// is known, and the times from which the target's limit is derived.
type Attempt struct {
	Result AttemptResult
	Cost   float64
	// FirstByte is the time to the first byte of the response, zero if the response
	// doesn't show when the target started it.
	FirstByte time.Duration
	Total     time.Duration
	// EventInterval is the mean time between two events of the response, zero if there were
	// few.
	EventInterval time.Duration
	// Incarnation is the target incarnation that answered, empty if the response
	// doesn't state it.
	Incarnation string
}

// Assignment is one slot at one target, held for one attempt.
type Assignment interface {
	Target() config.Target
	// Basis returns the data on which the choice of the target was based.
	Basis() Basis
	// Usable reports whether the request may still be sent to the target: it hasn't been
	// withdrawn, and no lease has ended, since the assignment was made.
	Usable() bool
	// ResponseStarted reports that the target has started its response.
	ResponseStarted()
	// Charge reports the cost seen so far while the response streams.
	Charge(cost float64)
	// Finish ends the attempt. It must be called exactly once.
	Finish(Attempt)
}

// Basis holds the data on which the choice of a target was based. Fields that don't
// apply are zero.
type Basis struct {
	// Wait is the expected time until the target starts its response.
	Wait time.Duration
	// MedianQueueWait is the median time that a request waits for others at the targets of the
	// service.
	MedianQueueWait time.Duration
	// Prompt is the number of prompt tokens that the target has to process.
	Prompt float64
	// CacheHolder is the address of another target that has cached prompt segments.
	CacheHolder string
	Cold        bool
	// Pressure is the expected time to the first event as a multiple of the latency
	// aim. Served is the work per second that the account gets; Share is the work per
	// second that it may get.
	Pressure, Served, Share float64
}

// Scheduler assigns slots to requests in the order of their accounts' fair shares.
type Scheduler interface {
	// Acquire waits until a slot is free for the job. Its errors are
	// *request.Refusal values: the request was not run.
	Acquire(ctx context.Context, job Job) (Assignment, error)
}
