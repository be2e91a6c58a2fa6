package mirror

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"github.com/rs/zerolog"

	"rattanline.example/rattanline/clock"
	"rattanline.example/rattanline/port"
)

const (
	// pollWait is how long the service holds one poll without changes. Age reaches
	// about this value, so it must stay well below the limits on Age.
	pollWait = time.Second
	// standbyInterval is the interval at which a daemon that does not poll checks
	// whether it should.
	standbyInterval = 100 * time.Millisecond
	// batchDelay is the pause after a poll that returned changes, so that the next
	// poll returns several changes at once.
	batchDelay = 60 * time.Millisecond
	// retryDelay is the pause after a failed call.
	retryDelay = 250 * time.Millisecond
)

// Mirror mirrors the key-value service. The exported fields are set before Run.
type Mirror struct {
	Poller port.Poller
	// Decode decodes an entry. It returns nil if the entry holds no Record.
	Decode func(port.Entry) (Record, error)
	// DecodeRemoval returns the record that the removal of a key affects, nil if
	// there is none.
	DecodeRemoval func(key string) Record
	// Changed is called after each update of the view that changes records.
	Changed func(v *View, records []Record)
	Logger  zerolog.Logger
	// Polling reports whether this daemon polls the service itself. Other daemons
	// receive its content from their peers. Nil means always.
	Polling func() bool

	mu   sync.Mutex // serializes updates of view
	view atomic.Pointer[View]
	// proofTime is when the mirror was last known to be complete.
	proofTime atomic.Int64
	connected atomic.Bool
}

// View returns the current state, never nil.
func (m *Mirror) View() *View {
	if v := m.view.Load(); v != nil {
		return v
	}
	return newView()
}

// Age returns the time since the mirror was last known to be complete. It counts
// from the start of the call whose result proved this.
func (m *Mirror) Age(now clock.Instant) time.Duration {
	return now.Sub(clock.Instant(m.proofTime.Load()))
}

// Proof returns a revision of the view and the time since the mirror was last known to be
// complete at it. The time of the proof is read first: a proof that arrives between the two
// readings holds for a revision that may be newer.
func (m *Mirror) Proof(now clock.Instant) (revision int64, age time.Duration) {
	age = m.Age(now)
	return m.View().Revision, age
}

// Connected reports whether the last call to the service succeeded.
func (m *Mirror) Connected() bool { return m.connected.Load() }

// Run mirrors the service until the context ends. A daemon that does not poll also
// reads the first snapshot from the service.
func (m *Mirror) Run(ctx context.Context) error {
	after := int64(-1)
	for ctx.Err() == nil {
		if after >= 0 && m.Polling != nil && !m.Polling() {
			select {
			case <-ctx.Done():
			case <-time.After(standbyInterval):
			}
			after = m.View().Revision // skips the changes received from peers
			continue
		}
		sentAt := clock.Now()
		next, err := m.poll(ctx, after)
		if err == nil {
			m.advanceProofTime(sentAt)
			if !m.connected.Swap(true) {
				m.Logger.Info().Str("dependency", "key-value").Int64("revision", next).Msg("dependency regained")
			}
			if after >= 0 && next > after {
				select {
				case <-ctx.Done():
				case <-time.After(batchDelay):
				}
			}
			after = next
			continue
		}
		if errors.Is(err, port.ErrCompacted) {
			m.Logger.Warn().Int64("revision", after).Msg("history compacted, reading all again")
			after = -1
			continue
		}
		if ctx.Err() == nil && m.connected.Swap(false) {
			m.Logger.Warn().Err(err).Str("dependency", "key-value").Int64("revision", after).Msg("dependency lost")
		}
		select {
		case <-ctx.Done():
		case <-time.After(retryDelay):
		}
	}
	return nil
}

func (m *Mirror) advanceProofTime(sentAt clock.Instant) {
	for {
		old := m.proofTime.Load()
		if int64(sentAt) <= old || m.proofTime.CompareAndSwap(old, int64(sentAt)) {
			return
		}
	}
}

// applyUpdate applies an update to a clone of the view. An idle update only prunes
// targets, and does nothing if there are none to prune.
func (m *Mirror) applyUpdate(update func(*View, clock.Instant) []Record, idle bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.applyLocked(update, idle)
}

// applyLocked is applyUpdate for a caller that holds the lock.
func (m *Mirror) applyLocked(update func(*View, clock.Instant) []Record, idle bool) {
	now := clock.Now()
	v := m.View()
	if idle {
		for _, t := range v.Targets {
			if t.Removed != 0 && now.Sub(t.Removed) > removedRetention {
				idle = false
			}
		}
		if idle {
			return
		}
	}
	v = v.clone()
	records := update(v, now)
	v.prune(now)
	m.view.Store(v)
	if len(records) > 0 && m.Changed != nil {
		m.Changed(v, records)
	}
}

// Adopt applies the content of another daemon's mirror at the revision: all
// entries, or if complete is true the changes after this mirror's revision, which
// may be none. The other mirror was known to be complete at proofTime, which counts
// for this mirror if both are then at the same revision.
func (m *Mirror) Adopt(revision int64, entries []port.Entry, changes []Change, complete bool, proofTime clock.Instant) {
	m.adopt(revision, entries, changes, complete)
	if m.View().Revision == revision {
		m.advanceProofTime(proofTime)
	}
}

// adopt compares the revisions under the lock: a poll that ends in between may have removed an
// entry, which an older content would bring back.
func (m *Mirror) adopt(revision int64, entries []port.Entry, changes []Change, complete bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	switch newer := revision > m.View().Revision; {
	case newer && entries != nil:
		m.applyLocked(m.replacement(entries, revision), false)
	case newer && complete:
		m.applyLocked(func(v *View, now clock.Instant) []Record {
			var records []Record
			for _, c := range changes {
				if r := m.apply(v, c.Event, now.Add(-c.Age)); r != nil {
					records = append(records, r)
				}
			}
			v.Revision = max(v.Revision, revision)
			return records
		}, false)
	}
}

// applyAll applies all changes after the revision of the view up to that of the last event.
func (m *Mirror) applyAll(v *View, events []port.Event, now clock.Instant) []Record {
	var records []Record
	for _, e := range events {
		v.Revision = max(v.Revision, e.Entry.Revision)
		if r := m.apply(v, e, now); r != nil {
			records = append(records, r)
		}
	}
	return records
}
