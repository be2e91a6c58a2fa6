package relay

import (
	"context"

	"github.com/pkg/errors"

	"rattanline.example/rattanline/request"
)

// abortError is the cause of a request's context that Abort ended.
type abortError struct{ refusal *request.Refusal }

// Error implements error.
func (e *abortError) Error() string { return e.refusal.Detail }

// Abort ends the running requests that match. The ones that were not sent get the refusal, the
// others the answer that it is unknown whether they ran. It returns their number.
func (f *Forwarder) Abort(refusal *request.Refusal, match func(*Call) bool) int {
	return f.tracker.abort(&abortError{refusal}, match)
}

// abortRefusal returns the refusal with which the request was aborted, nil if it wasn't.
func abortRefusal(ctx context.Context) *request.Refusal {
	var a *abortError
	if errors.As(context.Cause(ctx), &a) {
		return a.refusal
	}
	return nil
}
