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
	// pollWait is how long the service holds one poll. The age of the proof that
	// the copy is fresh reaches about this, so it stays well below the bounds on
	// that age.
	pollWait = time.Second
	// standbyDelay is how often a daemon that doesn't poll asks whether it should.
	standbyDelay = 100 * time.Millisecond
	// batchDelay is the pause after a poll that brought changes, so that several of
	// them come with one call.
	batchDelay = 60 * time.Millisecond
	// retryDelay is the pause after a failed call.
	retryDelay = 250 * time.Millisecond
)

// Mirror copies the key-value service. The exported fields are set before Run.
type Mirror struct {
	Poller port.Poller
	// Decode reads an entry, nil if it tells nothing; Gone tells what the removal
	// of a key means.
	Decode        func(port.Entry) (Record, error)
	DecodeRemoval func(key string) Record
	// Changed is called after each change with what it told.
	Changed func(v *View, facts []Record)
	Logger  zerolog.Logger
	// Polling tells whether this daemon polls the service itself; others take the
	// copy from their peers. Nil means always.
	Polling func() bool

	mu   sync.Mutex // serialises changes
	view atomic.Pointer[View]
	// proven is when the copy was last known to be complete.
	proven    atomic.Int64
	connected atomic.Bool
}

// View returns the present state, never nil.
func (m *Mirror) View() *View {
	if v := m.view.Load(); v != nil {
		return v
	}
	return newView()
}

// Age returns how long ago the copy was known to be complete. The time counts
// from before the question that proved it was asked.
func (m *Mirror) Age(now clock.Instant) time.Duration {
	return now.Sub(clock.Instant(m.proven.Load()))
}

// Connected tells that the last call of the service succeeded.
func (m *Mirror) Connected() bool { return m.connected.Load() }

// Run copies until the context ends.
func (m *Mirror) Run(ctx context.Context) error {
	after := int64(-1)
	for ctx.Err() == nil {
		if after >= 0 && m.Polling != nil && !m.Polling() {
			select {
			case <-ctx.Done():
			case <-time.After(standbyDelay):
			}
			after = m.View().Revision // what peers passed on isn't polled again
			continue
		}
		asked := clock.Now()
		next, err := m.step(ctx, after, asked)
		if err == nil {
			m.prove(asked)
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

func (m *Mirror) step(ctx context.Context, after int64, asked clock.Instant) (int64, error) {
	if after < 0 {
		entries, at, err := m.Poller.Snapshot(ctx)
		if err != nil {
			return after, err
		}
		m.replace(entries, at)
		return at, nil
	}
	events, at, err := m.Poller.Poll(ctx, after, pollWait)
	if err != nil {
		return after, err
	}
	m.change(func(v *View, now clock.Instant) []Record { return m.applyAll(v, events, now) }, len(events) == 0)
	return at, nil
}

func (m *Mirror) prove(asked clock.Instant) {
	for {
		old := m.proven.Load()
		if int64(asked) <= old || m.proven.CompareAndSwap(old, int64(asked)) {
			return
		}
	}
}

// change applies an update to a copy of the view. An idle update only prunes.
func (m *Mirror) change(update func(*View, clock.Instant) []Record, idle bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := clock.Now()
	v := m.View()
	if idle {
		for _, t := range v.Targets {
			if t.Removed != 0 && now.Sub(t.Removed) > removedMemory {
				idle = false
			}
		}
		if idle {
			return
		}
	}
	v = v.clone()
	facts := update(v, now)
	v.prune(now)
	m.view.Store(v)
	if len(facts) > 0 && m.Changed != nil {
		m.Changed(v, facts)
	}
}

// replace takes a complete set of entries, read at the revision or later.
// Entries of the view that are missing and not newer are removed.
func (m *Mirror) replace(entries []port.Entry, revision int64) {
	m.change(func(v *View, now clock.Instant) []Record {
		var facts []Record
		present := map[string]bool{}
		for _, e := range entries {
			present[e.Key] = true
			if f := m.apply(v, port.Event{Entry: e}, now); f != nil {
				facts = append(facts, f)
			}
		}
		for key, e := range v.entries {
			if !present[key] && e.Revision <= revision {
				if f := m.apply(v, port.Event{Entry: port.Entry{Key: key, Revision: max(revision, e.Revision+1)}, Deleted: true}, now); f != nil {
					facts = append(facts, f)
				}
			}
		}
		v.Revision = max(v.Revision, revision)
		return facts
	}, false)
}

// Adopt takes what another daemon's copy held, with the moment at which that was
// known to be complete: all its entries, or the changes since this copy's
// revision, which may be none.
func (m *Mirror) Adopt(revision int64, entries []port.Entry, changes []Change, complete bool, proven clock.Instant) {
	switch newer := revision > m.View().Revision; {
	case newer && entries != nil:
		m.replace(entries, revision)
	case newer && complete:
		m.change(func(v *View, now clock.Instant) []Record {
			var facts []Record
			for _, c := range changes {
				if f := m.apply(v, c.Event, now.Add(-c.Age)); f != nil {
					facts = append(facts, f)
				}
			}
			v.Revision = max(v.Revision, revision)
			return facts
		}, false)
	}
	if m.View().Revision == revision {
		m.prove(proven)
	}
}

func (m *Mirror) applyAll(v *View, events []port.Event, now clock.Instant) []Record {
	var facts []Record
	for _, e := range events {
		if f := m.apply(v, e, now); f != nil {
			facts = append(facts, f)
		}
	}
	return facts
}
