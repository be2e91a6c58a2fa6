package port

import (
	"context"
	"time"
)

// Poller reads a key-value service so that the reader knows how fresh its mirror is:
// each reply shows the state at a revision, at or after the time of the call.
type Poller interface {
	// Snapshot returns all entries, and a revision from which Poll continues.
	// Single entries may be newer than the revision, without the changes in between.
	Snapshot(ctx context.Context) ([]Entry, int64, error)
	// Poll waits for changes after the revision, at most for the given time, and
	// returns them and the revision that they lead to. It returns ErrCompacted if the
	// changes after the revision are no longer available.
	Poll(ctx context.Context, after int64, wait time.Duration) ([]Event, int64, error)
}
