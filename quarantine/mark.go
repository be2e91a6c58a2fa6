// Package quarantine finds requests that crash the targets that run them and
// keeps them away from targets over the whole fleet.
package quarantine

import "time"

// Mark records that a request was in flight at a target when it crashed. Marks
// are few and merge as a set, so daemons exchange all of them.
type Mark struct {
	Fingerprint uint64
	// Crash identifies the crash: target name and incarnation.
	Crash string
	// Alone tells that no other marked request was in flight there.
	Alone   bool
	Expires time.Time
}
