// Package limit controls how many requests a target may have in flight.
package limit

import "time"

// Observation aggregates the attempts at a target over a short interval.
type Observation struct {
	Successes int
	Failures  int
	Overloads int
	Crashes   int
	FirstByte time.Duration // mean of the successes
	Saturated bool          // all granted slots were busy at some time
	// Incarnation is the incarnation that the target reported, empty if it didn't.
	Incarnation string
}

// Load is a load report of a target, in requests.
type Load struct {
	Running     int
	Queued      int
	Incarnation string
	Age         time.Duration // since the target took the report
}
