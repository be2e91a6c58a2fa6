// Package quarantine detects requests, and segments that the prompts of several requests
// share, that crash the targets that run them. It keeps such requests from being sent to any
// target of the fleet.
package quarantine

import "time"

// Mark is a crash mark: it records that a request was in flight at a target when
// the target crashed. Marks are few and merge as a set, so daemons exchange all of
// them.
type Mark struct {
	Fingerprint uint64
	// Crash identifies the crash by target name and, if it is known, incarnation. A
	// time distinguishes a later crash of the same name.
	Crash string
	// Alone reports whether no other marked request was in flight at the target.
	Alone bool
	// Late reports whether the answer of the request had gone on when the target crashed. Most
	// such requests are not the cause.
	Late bool
	// Answered reports whether a target has completed an answer to the request since the crash.
	Answered bool
	Expires  time.Time
}

// counts reports whether the mark is evidence against the request. A request that crashes the
// targets that run it gets no complete answer.
func (m Mark) counts() bool { return !m.Answered }

// crashTime returns the time of the crash that the mark records.
func (m Mark) crashTime() time.Time { return m.Expires.Add(-markLifetime) }

// merge combines two marks of the same request and crash. The result does not depend on their
// order. A mark is late only if it is late at all daemons that sent the request.
func (m Mark) merge(o Mark) Mark {
	m.Alone = m.Alone && o.Alone
	m.Late = m.Late && o.Late
	m.Answered = m.Answered || o.Answered
	if o.Expires.After(m.Expires) {
		m.Expires = o.Expires
	}
	return m
}
