// Package limit derives how many requests a target may have in flight.
package limit

import "time"

// Observation sums up the attempts at a target over a short time.
type Observation struct {
	Successes int
	Failures  int
	Overloads int
	Crashes   int
	FirstByte time.Duration // mean of the successes
	Saturated bool          // all granted slots were busy at some time
	// Incarnation of the target as it named itself, empty if it didn't.
	Incarnation string
}

// Load is a target's own report. It lags by Age.
type Load struct {
	Running     int
	Queued      int
	Incarnation string
	Age         time.Duration
}
