package request

import (
	"fmt"
	"time"
)

// Reason is the machine-readable reason of a refusal in problem documents.
type Reason string

// The reasons of refusals.
const (
	QueueFull        Reason = "queue-full"
	DeadlinePassed   Reason = "deadline-passed"
	Stopping         Reason = "stopping"
	Drained          Reason = "drained"
	Isolated         Reason = "isolated"
	NoTarget         Reason = "no-target"
	Quarantined      Reason = "quarantined"
	ClaimUnavailable Reason = "claim-unavailable"
	ClaimsFull       Reason = "claims-full"
	KeyReused        Reason = "key-reused"
	Unauthenticated  Reason = "unauthenticated"
	Forbidden        Reason = "forbidden"
	UnknownService   Reason = "unknown-service"
	TooLarge         Reason = "too-large"
	Malformed        Reason = "malformed"
	CallerGone       Reason = "caller-gone"
	RetryBudget      Reason = "retry-budget"
	Overloaded       Reason = "overloaded"
	HeaderTooLarge   Reason = "header-too-large"
	BodyTimeout      Reason = "body-timeout"
)

// Refusal is the error of a request that was certainly not run.
type Refusal struct {
	Reason     Reason
	Detail     string
	RetryAfter time.Duration
}

// Error implements error.
func (r *Refusal) Error() string {
	return fmt.Sprintf("not run: %s: %s", r.Reason, r.Detail)
}
