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
	// archiveInterval is the interval at which the marks are compared with the stored ones.
	archiveInterval = 250 * time.Millisecond
	// archiveTakeover is by how much longer each rank waits before it writes.
	archiveTakeover = time.Second
	// archiveWriters is the number of daemons that write.
	archiveWriters = 3
	// archiveEcho is how long a write may take until the mirror shows it.
	archiveEcho = 2 * time.Second
	// archiveCheck is the interval at which the stored marks are read again. The service may
	// have lost its last writes without a change that the mirror receives.
	archiveCheck = 5 * time.Second
	// archiveTimeout bounds one call of the service.
	archiveTimeout = 2 * time.Second
	// maxSuspects bounds the stored requests.
	maxSuspects = 64
	// maxArchiveWrites bounds the writes of one transaction.
	maxArchiveWrites = 32
)

// Archive keeps the marks of suspect requests in the key-value service, so that they are not lost
// when all daemons end at the same time. All daemons have the same marks, so one of them writes, and
// another one only if that fails. Writes have no conditions: what a daemon writes contains all that
// it received, and what two daemons overwrite or the service loses is written again by the next
// comparison. The exported fields are set before Run.
type Archive struct {
	Registry *Registry
	KeyValue port.KeyValue
	// Stored returns the stored marks by fingerprint, as the mirror of the service shows them.
	Stored func() map[uint64]Suspect
	// Rank returns the position of this daemon among those that may write, zero for the first.
	Rank   func() int
	Logger zerolog.Logger

	// due holds since when the stored marks of a request differ from the known ones. After a
	// write it is in the future, until the mirror must show the write.
	due     map[uint64]time.Time
	checked time.Time
}

// Run keeps the marks until the context ends.
func (a *Archive) Run(ctx context.Context) error {
	for ctx.Err() == nil {
		select {
		case <-ctx.Done():
		case <-time.After(archiveInterval):
		}
		if err := a.update(ctx, time.Now()); err != nil && ctx.Err() == nil {
			a.Logger.Warn().Err(err).Str("dependency", "key-value").Msg("crash marks not stored, trying again")
		}
	}
	return nil
}

// update writes what is due, and checks the stored marks if it is time to.
func (a *Archive) update(ctx context.Context, now time.Time) error {
	rank := a.Rank()
	if rank >= archiveWriters {
		return nil
	}
	changes := a.compare(now, a.Stored())
	if rank == 0 && now.Sub(a.checked) >= archiveCheck && len(a.Registry.Suspects(now)) > 0 {
		a.checked = now
		return a.check(ctx, now)
	}
	return a.commit(ctx, now, a.claim(changes, now, time.Duration(rank)*archiveTakeover))
}

// compare merges the stored marks into the known ones and returns the requests whose stored marks
// must change. One without marks is no longer suspect and must be removed.
func (a *Archive) compare(now time.Time, stored map[uint64]Suspect) map[uint64]Suspect {
	for _, s := range stored {
		a.Registry.Restore(now, s.Marks)
	}
	changes := map[uint64]Suspect{}
	for f := range stored {
		changes[f] = Suspect{Fingerprint: f}
	}
	for _, s := range a.Registry.Suspects(now) {
		if s.equal(stored[s.Fingerprint]) {
			delete(changes, s.Fingerprint)
			continue
		}
		changes[s.Fingerprint] = s
	}
	return changes
}

// claim returns the changes that have been due for the delay.
func (a *Archive) claim(changes map[uint64]Suspect, now time.Time, delay time.Duration) []Suspect {
	due := map[uint64]time.Time{}
	var claimed []Suspect
	for f, s := range changes {
		since, known := a.due[f]
		if !known {
			since = now
		}
		due[f] = since
		if now.Sub(since) >= delay {
			claimed = append(claimed, s)
		}
	}
	a.due = due
	return claimed
}

// check reads the stored marks from the service itself and writes what differs.
func (a *Archive) check(ctx context.Context, now time.Time) error {
	limited, cancel := context.WithTimeout(ctx, archiveTimeout)
	defer cancel()
	entries, err := a.KeyValue.List(limited, KeyPrefix)
	if err != nil {
		return fmt.Errorf("read crash marks: %w", err)
	}
	stored := map[uint64]Suspect{}
	for _, e := range entries {
		s, err := DecodeSuspect(e)
		if err != nil { // of another writer
			a.Logger.Warn().Err(err).Msg("crash marks unreadable")
			continue
		}
		stored[s.Fingerprint] = s
	}
	return a.commit(ctx, now, slices.Collect(maps.Values(a.compare(now, stored))))
}

// commit writes the marks of the requests, or removes those without marks, as many as one
// transaction takes.
func (a *Archive) commit(ctx context.Context, now time.Time, changes []Suspect) error {
	if len(changes) == 0 {
		return nil
	}
	changes = changes[:min(len(changes), maxArchiveWrites)]
	var t port.Transaction
	for _, s := range changes {
		if len(s.Marks) == 0 {
			t.Writes = append(t.Writes, port.Write{Key: keyOf(s.Fingerprint), Delete: true})
			continue
		}
		w, err := s.write()
		if err != nil {
			return err
		}
		t.Writes = append(t.Writes, w)
	}
	limited, cancel := context.WithTimeout(ctx, archiveTimeout)
	defer cancel()
	if _, err := a.KeyValue.Commit(limited, t); err != nil {
		return fmt.Errorf("write crash marks: %w", err)
	}
	if a.due == nil {
		a.due = map[uint64]time.Time{}
	}
	for _, s := range changes {
		a.due[s.Fingerprint] = now.Add(archiveEcho)
	}
	storedSuspects.Add(len(changes))
	a.Logger.Info().Int("requests", len(changes)).Msg("crash marks stored")
	return nil
}
