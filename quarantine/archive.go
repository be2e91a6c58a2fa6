package quarantine

import (
	"context"
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/rs/zerolog"

	"rattanline.example/rattanline/port"
)

const (
	// archiveInterval is the interval at which what is known is compared with what is stored.
	archiveInterval = 250 * time.Millisecond
	// archiveTakeover is by how much longer each rank waits before it writes.
	archiveTakeover = time.Second
	// archiveWriters is the number of daemons that write.
	archiveWriters = 3
	// archiveEcho is how long a write may take until the mirror shows it.
	archiveEcho = 2 * time.Second
	// archiveCheck is the interval at which the entries are read again. The service may have
	// lost its last writes without a change that the mirror receives.
	archiveCheck = 5 * time.Second
	// archiveTimeout bounds one call of the service.
	archiveTimeout = 2 * time.Second
	// maxArchiveWrites bounds the writes of one transaction.
	maxArchiveWrites = 32
)

// Contents is what an Archive keeps: records of type T by key.
type Contents[T any] interface {
	// Prefix returns the prefix of all keys.
	Prefix() string
	// Known returns the records that should be stored.
	Known(now time.Time) map[string]T
	// Restore merges a stored record into what is known.
	Restore(now time.Time, record T)
	// UpToDate reports whether the stored record needs no change to hold the known one.
	UpToDate(stored, known T) bool
	Encode(record T) ([]byte, error) // returns the value of an entry
	// Decode decodes an entry. Other writers may have written it.
	Decode(e port.Entry) (T, error)
}

// Archive keeps what is known of crashes in the key-value service, so that it isn't lost when all
// daemons end at the same time. All daemons know the same, so one of them writes, and another one
// only if that fails. Writes have no conditions: what a daemon writes contains all that it
// received, and what two daemons overwrite or the service loses is written again by the next
// comparison. The exported fields are set before Run.
type Archive[T any] struct {
	Contents Contents[T]
	KeyValue port.KeyValue
	// Stored returns the records by key, as the mirror of the service shows them.
	Stored func() map[string]T
	// Rank returns the position of this daemon among those that may write, zero for the first.
	Rank   func() int
	Logger zerolog.Logger

	// due holds since when a record differs from what is known. After a write it is in the
	// future, until the mirror must show the write.
	due     map[string]time.Time
	checked time.Time
}

// change is a record to be written, or an entry to be removed.
type change[T any] struct {
	record T
	remove bool
}

// Run keeps the records until the context ends.
func (a *Archive[T]) Run(ctx context.Context) error {
	for ctx.Err() == nil {
		select {
		case <-ctx.Done():
		case <-time.After(archiveInterval):
		}
		if err := a.update(ctx, time.Now()); err != nil && ctx.Err() == nil {
			a.Logger.Warn().Err(err).Str("dependency", "key-value").Str("prefix", a.Contents.Prefix()).Msg("crashes not stored, trying again")
		}
	}
	return nil
}

// update writes what is due, and checks the entries if it is time to. It makes no calls while no
// crashes are known.
func (a *Archive[T]) update(ctx context.Context, now time.Time) error {
	stored, known := a.Stored(), a.Contents.Known(now)
	if len(stored) == 0 && len(known) == 0 {
		return nil
	}
	rank := a.Rank()
	if rank >= archiveWriters {
		return nil
	}
	changes := a.compare(now, stored)
	if rank == 0 && now.Sub(a.checked) >= archiveCheck {
		a.checked = now
		return a.check(ctx, now)
	}
	return a.commit(ctx, now, a.dueChanges(changes, now, time.Duration(rank)*archiveTakeover))
}

// compare merges the stored records into what is known, and returns by key what must change.
func (a *Archive[T]) compare(now time.Time, stored map[string]T) map[string]change[T] {
	for _, record := range stored {
		a.Contents.Restore(now, record)
	}
	known := a.Contents.Known(now)
	changes := map[string]change[T]{}
	for key := range stored {
		if _, ok := known[key]; !ok {
			changes[key] = change[T]{remove: true}
		}
	}
	for key, record := range known {
		if old, ok := stored[key]; !ok || !a.Contents.UpToDate(old, record) {
			changes[key] = change[T]{record: record}
		}
	}
	return changes
}

// dueChanges returns the changes that have been due for the delay.
func (a *Archive[T]) dueChanges(changes map[string]change[T], now time.Time, delay time.Duration) map[string]change[T] {
	due, ready := map[string]time.Time{}, map[string]change[T]{}
	for key, c := range changes {
		since, known := a.due[key]
		if !known {
			since = now
		}
		due[key] = since
		if now.Sub(since) >= delay {
			ready[key] = c
		}
	}
	a.due = due
	return ready
}

// check reads the entries from the service itself and writes what differs.
func (a *Archive[T]) check(ctx context.Context, now time.Time) error {
	limited, cancel := context.WithTimeout(ctx, archiveTimeout)
	defer cancel()
	entries, err := a.KeyValue.List(limited, a.Contents.Prefix())
	if err != nil {
		return fmt.Errorf("read entries: %w", err)
	}
	stored := map[string]T{}
	for _, e := range entries {
		record, err := a.Contents.Decode(e)
		if err != nil { // of another writer
			a.Logger.Warn().Err(err).Str("key", e.Key).Msg("entry unreadable")
			continue
		}
		stored[e.Key] = record
	}
	return a.commit(ctx, now, a.compare(now, stored))
}

// commit writes the changes, as many as one transaction takes.
func (a *Archive[T]) commit(ctx context.Context, now time.Time, changes map[string]change[T]) error {
	if len(changes) == 0 {
		return nil
	}
	keys := slices.Sorted(maps.Keys(changes))
	keys = keys[:min(len(keys), maxArchiveWrites)]
	var t port.Transaction
	for _, key := range keys {
		w := port.Write{Key: key, Delete: changes[key].remove}
		if !w.Delete {
			value, err := a.Contents.Encode(changes[key].record)
			if err != nil {
				return fmt.Errorf("encode %s: %w", key, err)
			}
			w.Value = value
		}
		t.Writes = append(t.Writes, w)
	}
	limited, cancel := context.WithTimeout(ctx, archiveTimeout)
	defer cancel()
	if _, err := a.KeyValue.Commit(limited, t); err != nil {
		return fmt.Errorf("write entries: %w", err)
	}
	if a.due == nil {
		a.due = map[string]time.Time{}
	}
	for _, key := range keys {
		a.due[key] = now.Add(archiveEcho)
	}
	archiveWrites.Add(len(keys))
	a.Logger.Info().Str("prefix", a.Contents.Prefix()).Int("entries", len(keys)).Msg("crashes stored")
	return nil
}
