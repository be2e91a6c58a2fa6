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
	Urgent    bool
	Deadline  time.Time
	// Cost is the estimate in priced units, known only roughly beforehand.
	Cost float64
	// Bytes is the size of the body held while the request waits.
	Bytes int64
	// Avoid names targets at which an earlier attempt failed.
	Avoid []string
	// Fingerprint identifies the request's content for the poison quarantine.
	Fingerprint uint64
	// LatencyAim is the time to the first event within which the request is of
	// full worth, zero if it has none.
	LatencyAim time.Duration
	// Demand is what the request says of its prompt.
	Demand request.Demand
}

// AttemptResult tells how one attempt at a target ended.
type AttemptResult string

// The results of an attempt.
const (
	Succeeded  AttemptResult = "succeeded"
	Overloaded AttemptResult = "overloaded" // the target refused for lack of capacity
	Failed     AttemptResult = "failed"     // an error response or a timeout
	Crashed    AttemptResult = "crashed"    // the connection broke, the target may be gone
	Canceled   AttemptResult = "canceled"   // the caller went away
	NotSent    AttemptResult = "not-sent"   // no byte went to the target

	Unreachable AttemptResult = "unreachable" // no connection could be made
	Misdirected AttemptResult = "misdirected" // another target has the address
)

// Attempt is how an assignment ended: its result, its true cost as far as it is
// known, and the times that the target's limit is derived from.
type Attempt struct {
	Result AttemptResult
	Cost   float64
	// FirstByte is zero if the response doesn't show when the target began it.
	FirstByte time.Duration
	Total     time.Duration
	// Incarnation is the target incarnation that answered, if it said so.
	Incarnation string
}

// Assignment is one slot at one target, held for one attempt.
type Assignment interface {
	Target() config.Target
	// Basis returns what the choice of the target was based on.
	Basis() Basis
	// ResponseStarted tells that the target has begun to answer.
	ResponseStarted()
	// Charge reports the cost seen so far while the response streams.
	Charge(cost float64)
	// Finish ends the attempt. It must be called exactly once.
	Finish(Attempt)
}

// Basis is what a choice of a target was based on. Fields that don't apply are
// zero.
type Basis struct {
	// Wait is the expected time until the target begins to answer.
	Wait time.Duration
	// Prompt is the number of tokens that it has to read.
	Prompt float64
	// CacheHolder is the address of another target that keeps parts of the prompt.
	CacheHolder string
	Cold        bool
	// Pressure is the expected time to the first event in latency aims. Served is
	// the work per second that the account gets, Share what it may get.
	Pressure, Served, Share float64
}

// Scheduler assigns slots to requests in the order of fair shares.
type Scheduler interface {
	// Acquire waits until a slot is free for the job. Its errors are
	// *request.Refusal values: the request was not run.
	Acquire(ctx context.Context, job Job) (Assignment, error)
}
