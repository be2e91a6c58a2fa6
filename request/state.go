package request

import (
	"github.com/pkg/errors"
)

// State is the state of one request at a daemon: one of Queued, Claimed, Sent,
// Streaming, Done, Refused and Unknown.
type State interface{ isState() }

// Queued is a request that waits for a target. MayHaveRun is whether an earlier
// attempt may have run, so that the request can no longer end as not run.
type Queued struct{ MayHaveRun bool }

// Claimed is a non-idempotent request that waits after its key was claimed.
type Claimed struct{ Attempt string }

// Sent is a request of which a byte may have been written to a target.
// MayHaveRun is whether an attempt before this one may have run.
type Sent struct{ MayHaveRun bool }

// Streaming is a request for which the head of a response was received. MayHaveRun
// is whether an attempt before this one may have run.
type Streaming struct {
	Status     int
	MayHaveRun bool
}

// Done is a request whose complete response was received.
type Done struct {
	Status  int
	Outcome Outcome
}

// Refused is a request that was certainly not run.
type Refused struct{ Refusal *Refusal }

// Unknown is a request that may have been run and has no complete response.
type Unknown struct{ Cause string }

func (Queued) isState()    {}
func (Claimed) isState()   {}
func (Sent) isState()      {}
func (Streaming) isState() {}
func (Done) isState()      {}
func (Refused) isState()   {}
func (Unknown) isState()   {}

// Event changes the state of a request: one of Claim, Write, Answer, Complete,
// Retry, Refuse, Resend, Replay and Lose.
type Event interface{ isEvent() }

// Claim records that the claim of the request's idempotency key was granted.
type Claim struct{ Attempt string }

// Write records that a byte may have been written to a target.
type Write struct{}

// Answer is the head of a response that matches the request.
type Answer struct{ Status int }

// Complete is the end of a response that was received completely. NotRunStatus is
// whether the status is one of the service's config.Service.NotRunStatuses, which
// mean that the request was not run.
type Complete struct{ NotRunStatus bool }

// Retry puts a request back into the queue. It is allowed for requests that are
// idempotent or were not written. NotRun is whether the target answered with a
// not-run status.
type Retry struct{ Idempotent, NotRun bool }

// Refuse ends a request that will not be sent to a target any more.
type Refuse struct{ Refusal *Refusal }

// Resend records that an earlier request with the same idempotency key holds the
// claim of the key, so that the request may have run.
type Resend struct{}

// Replay ends a resend with the response to the earlier request.
type Replay struct {
	Status  int
	Outcome Outcome
}

// Lose ends a request whose response was lost, cut or dropped.
type Lose struct{ Cause string }

func (Claim) isEvent()    {}
func (Write) isEvent()    {}
func (Answer) isEvent()   {}
func (Complete) isEvent() {}
func (Retry) isEvent()    {}
func (Refuse) isEvent()   {}
func (Resend) isEvent()   {}
func (Replay) isEvent()   {}
func (Lose) isEvent()     {}

// Next returns the state after the event, or an error if the event is invalid in
// the state. Refused, and Done with the outcome not-run, are reached only if each
// attempt either wrote no byte to its target or was answered with a not-run status.
// A refusal after a lost attempt leads to Unknown.
func Next(s State, e Event) (State, error) {
	switch s := s.(type) {
	case Queued:
		return s.next(e)
	case Claimed:
		return s.next(e)
	case Sent:
		return s.next(e)
	case Streaming:
		return s.next(e)
	}
	return s, errors.Errorf("event %T after the end %T", e, s)
}

func (s Queued) next(e Event) (State, error) {
	switch e := e.(type) {
	case Claim:
		if s.MayHaveRun {
			return s, errors.New("claim of a request that may have run")
		}
		return Claimed(e), nil
	case Write:
		return Sent(s), nil
	case Retry:
		return s, nil
	case Refuse:
		if s.MayHaveRun {
			return Unknown{Cause: e.Refusal.Detail}, nil
		}
		return Refused(e), nil
	case Resend:
		return Queued{MayHaveRun: true}, nil
	case Replay:
		if s.MayHaveRun {
			return Done(e), nil
		}
	case Lose:
		if s.MayHaveRun {
			return Unknown(e), nil
		}
	}
	return s, invalidTransition(s, e)
}

func (s Claimed) next(e Event) (State, error) {
	switch e := e.(type) {
	case Write:
		return Sent{}, nil
	case Retry:
		return s, nil
	case Refuse:
		return Refused(e), nil
	}
	return s, invalidTransition(s, e)
}

func (s Sent) next(e Event) (State, error) {
	switch e := e.(type) {
	case Write:
		return s, nil
	case Answer:
		return Streaming{Status: e.Status, MayHaveRun: s.MayHaveRun}, nil
	case Retry:
		if e.Idempotent {
			return Queued{MayHaveRun: true}, nil
		}
	case Refuse:
		return Unknown{Cause: e.Refusal.Detail}, nil
	case Lose:
		return Unknown(e), nil
	}
	return s, invalidTransition(s, e)
}

func (s Streaming) next(e Event) (State, error) {
	switch e := e.(type) {
	case Complete:
		return Done{Status: s.Status, Outcome: s.Outcome(e.NotRunStatus)}, nil
	case Retry:
		if e.Idempotent {
			return Queued{MayHaveRun: s.MayHaveRun || !e.NotRun}, nil
		}
	case Refuse:
		return Unknown{Cause: e.Refusal.Detail}, nil
	case Lose:
		return Unknown(e), nil
	}
	return s, invalidTransition(s, e)
}

func invalidTransition(s State, e Event) error { return errors.Errorf("event %T in state %T", e, s) }

// Outcome returns the outcome of the request if its response is complete. The
// parameter is whether the status is a not-run status. Another overload or server
// error does not show whether the request ran.
func (s Streaming) Outcome(notRunStatus bool) Outcome {
	switch {
	case notRunStatus && !s.MayHaveRun:
		return OutcomeNotRun
	case notRunStatus, s.Status == 429, s.Status >= 500:
		return OutcomeUnknown
	default:
		return OutcomeRan
	}
}
