package slot

import (
	"time"

	"rattanline.example/rattanline/limit"
)

// Limit is the concurrency limit of one target. limit.Controller implements it.
type Limit interface {
	Limit() int
	Ramping() bool
	// Ejected reports whether the target gets no work but one probe at a time.
	Ejected(now time.Time) bool
	Observe(now time.Time, o limit.Observation)
	Report(now time.Time, l limit.Load)
	Adopt(incarnation string, limit int, ramping bool)
	Incarnation() string
	// Configure sets the limit of a cold target and the maximum after a change of
	// the configuration.
	Configure(cold, max int)
}

// Times are the durations that owner and holder must agree on.
type Times struct {
	// SlotLease is how long a holder may start requests on a slot after it sent
	// the last full renewal that the owner answered.
	SlotLease time.Duration
	// OwnerLease is how long a daemon may act as owner without a heartbeat.
	OwnerLease time.Duration
	// OrphanTime is how long slots of a holder count as in use after its last
	// renewal.
	OrphanTime time.Duration
	// LongestRequest replaces OrphanTime, if it is longer, while a target ramps up.
	LongestRequest time.Duration
	// ChargeTime is how long the owner adds the expected cost of a grant to the
	// counter of the account. By then the usage exchange reports the charged cost.
	ChargeTime time.Duration
}
