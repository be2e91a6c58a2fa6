package port

import (
	"context"
	"time"
)

// Poller reads a key-value service so that the reader knows how fresh its mirror is:
// each reply shows the state at a position, at or after the time of the call. The era of a
// position is the one that the reply states, zero if it states none.
type Poller interface {
	// Snapshot returns all entries, and a position from which Poll continues.
	// Single entries may be newer than the position, without the changes in between. It returns
	// ErrCompacted if the era changed while the entries were read.
	Snapshot(ctx context.Context) ([]Entry, Position, error)
	// Poll waits for changes after the position, at most for the given time, and
	// returns them and the position that they lead to. It returns ErrCompacted if the
	// changes after the position are no longer available. If the reply is of another era than the
	// position, changes may be missing.
	Poll(ctx context.Context, after Position, wait time.Duration) ([]Event, Position, error)
	// Era returns the highest era that any reply of the service has stated.
	Era() Era
}
