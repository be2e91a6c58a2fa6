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

	mu sync.Mutex // serializes updates of view
	// offered is the configuration that a peer acts by, while the view is empty.
	offered *port.Entry
	view    atomic.Pointer[View]
	// proofTime is when the mirror was last known to be complete.
	proofTime atomic.Int64
	connected atomic.Bool
	// peerEra is the highest era that a peer has stated.
	peerEra        atomic.Int64
	unstatedLogged atomic.Bool
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

// Proof returns a position of the view and the time since the mirror was last known to be
// complete at it. The time of the proof is read first: a proof that arrives between the two
// readings holds for a position that may be newer.
func (m *Mirror) Proof(now clock.Instant) (at port.Position, age time.Duration) {
	age = m.Age(now)
	return m.View().Position, age
}

// Connected reports whether the last call to the service succeeded.
func (m *Mirror) Connected() bool { return m.connected.Load() }

// Run mirrors the service until the context ends. A daemon that does not poll also
// reads the first snapshot from the service.
func (m *Mirror) Run(ctx context.Context) error {
	var after *port.Position // nil: all entries have to be read
	for ctx.Err() == nil {
		if after != nil && m.Polling != nil && !m.Polling() {
			pause(ctx, standbyInterval)
			m.applyUpdate(unchangedView, true)
			after = &port.Position{}
			*after = m.View().Position // skips the changes received from peers
			continue
		}
		after = m.pollOnce(ctx, after)
	}
	return nil
}

// pollOnce polls the service, records whether it can be reached, and pauses before the next poll.
// It returns the position from which that continues, nil if all entries have to be read.
func (m *Mirror) pollOnce(ctx context.Context, after *port.Position) *port.Position {
	sentAt := clock.Now()
	next, err := m.poll(ctx, after)
	switch {
	case err == nil:
		m.advanceProofTime(sentAt)
		if !m.connected.Swap(true) {
			m.Logger.Info().Str("dependency", "key-value").Int64("era", int64(next.Era)).Int64("revision", next.Revision).Msg("dependency regained")
		}
		if after != nil && next.After(*after) {
			pause(ctx, batchDelay)
		}
		return &next
	case errors.Is(err, port.ErrCompacted):
		m.Logger.Warn().Int64("era", int64(m.KnownEra())).Int64("revision", m.View().Position.Revision).Msg("changes not available, reading all entries again")
		return nil
	}
	if ctx.Err() == nil && m.connected.Swap(false) {
		m.Logger.Warn().Err(err).Str("dependency", "key-value").Int64("revision", m.View().Position.Revision).Msg("dependency lost")
	}
	pause(ctx, retryDelay)
	return after
}

// pause waits for the duration, or until the context ends.
func pause(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}

func (m *Mirror) advanceProofTime(sentAt clock.Instant) {
	for {
		old := m.proofTime.Load()
		if int64(sentAt) <= old || m.proofTime.CompareAndSwap(old, int64(sentAt)) {
			return
		}
	}
}

// applyUpdate applies an update to a clone of the view. An idle update only prunes targets and ends
// what is carried, and does nothing if there is neither.
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
		if idle && v.settlesIn(now, pollWait) > 0 {
			return
		}
	}
	v = v.clone()
	records := append(update(v, now), m.settle(v, now)...)
	v.prune(now)
	m.view.Store(v)
	if len(records) > 0 && m.Changed != nil {
		m.Changed(v, records)
	}
}

// unchangedView is the update of a view that only ages.
func unchangedView(*View, clock.Instant) []Record { return nil }

// applyAll applies all changes after the revision of the view up to that of the last event. All are of its era.
func (m *Mirror) applyAll(v *View, events []port.Event, now clock.Instant) []Record {
	var records []Record
	for _, e := range events {
		v.Position.Revision = max(v.Position.Revision, e.Entry.Revision)
		if r := m.apply(v, e, now); r != nil {
			records = append(records, r)
		}
	}
	return records
}
