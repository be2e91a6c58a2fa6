// Package port holds the interfaces between the decision logic and its environment:
// the platform's key-value service, its host list, the scheduler, and the links
// between daemons.
package port

import (
	"context"
	"time"

	"github.com/pkg/errors"
)

// ErrUnavailable is returned when the platform certainly did not execute a write, or
// when a read or watch failed.
var ErrUnavailable = errors.New("platform unavailable")

// ErrOutcomeUnknown is returned when a write may or may not have taken effect,
// because its response was lost. The caller must read the value back and look for its
// own ID. It may also be returned for a read whose response was lost.
var ErrOutcomeUnknown = errors.New("outcome of the write unknown")

// ErrCompacted is returned by a watch or poll whose start revision has been compacted.
var ErrCompacted = errors.New("watch revision compacted")

// Entry is one key of the key-value service. Revision is the revision of its
// last change; zero means that the key doesn't exist.
type Entry struct {
	Key      string
	Value    []byte
	Revision int64
}

// Condition requires that a key has the revision; zero requires that the key doesn't
// exist.
type Condition struct {
	Key      string
	Revision int64
}

// Write puts a value, or deletes the key if Delete is set. Lease is the lease that
// the key is bound to, zero for none.
type Write struct {
	Key    string
	Value  []byte
	Lease  int64
	Delete bool
}

// Transaction applies all writes if all conditions hold.
type Transaction struct {
	Conditions []Condition
	Writes     []Write
	// Era is that of the revisions in the conditions, which never hold in a later one. Zero means
	// that the service states no era, or that there are no conditions.
	Era Era
}

// Result reports whether a transaction's conditions held, and the revision of the
// store after it. Revision may be zero if the conditions did not hold.
type Result struct {
	Committed bool
	Revision  int64
}

// Event is a change returned by a watch or poll.
type Event struct {
	Entry   Entry
	Deleted bool
}

// KeyValue is the platform's key-value service.
type KeyValue interface {
	Get(ctx context.Context, key string) (Entry, error)
	List(ctx context.Context, prefix string) ([]Entry, error)
	Commit(ctx context.Context, t Transaction) (Result, error)
	GrantLease(ctx context.Context, ttl time.Duration) (id int64, err error)
	// RenewLease returns the remaining time to live; zero if the lease is gone.
	RenewLease(ctx context.Context, id int64) (time.Duration, error)
	RevokeLease(ctx context.Context, id int64) error
	// Watch calls handle for each change under the prefix after the revision,
	// until the context ends or the watch breaks.
	Watch(ctx context.Context, prefix string, after int64, handle func(Event)) error
}
