package claim

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"golang.org/x/time/rate"
)

const (
	// Bounds one call of the platform, so that a lost response is noticed.
	platformTimeout = time.Second
	minPause        = 20 * time.Millisecond
	maxPause        = 500 * time.Millisecond
	// A shard of up to a megabyte is forgotten after this time without claims,
	// since a daemon writes to all shards while it can't reach their owners.
	idleTime = time.Minute
)

var (
	claimWrites    = metrics.NewCounter(`rattanline_claim_writes_total`)
	claimConflicts = metrics.NewCounter(`rattanline_claim_conflicts_total`)
)

type outcome struct {
	decision Decision
	err      error
}

// waiting is an operation that waits for its batch.
type waiting struct {
	ctx       context.Context
	operation Operation
	done      chan outcome // buffered
}

// writer appends to one shard: all operations that wait share a transaction.
type writer struct {
	number  int
	service *Service
	limiter *rate.Limiter
	wake    chan struct{}

	mu      sync.Mutex
	pending []*waiting

	shard *Shard // nil if it must be read
}

func newWriter(number int, s *Service) *writer {
	// A burst of one second, so that claims don't wait for the rate while there
	// are few of them.
	return &writer{
		number: number, service: s, wake: make(chan struct{}, 1),
		limiter: rate.NewLimiter(rate.Limit(s.WriteRate), max(1, int(s.WriteRate))),
	}
}

// submit waits for the decision, at most until the context ends.
func (w *writer) submit(ctx context.Context, o Operation) (Decision, error) {
	p := &waiting{ctx: ctx, operation: o, done: make(chan outcome, 1)}
	w.mu.Lock()
	w.pending = append(w.pending, p)
	w.mu.Unlock()
	select {
	case w.wake <- struct{}{}:
	default:
	}
	select {
	case r := <-p.done:
		return r.decision, r.err
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// take returns the batch with new operations added and those dropped whose
// caller no longer waits.
func (w *writer) take(batch []*waiting) []*waiting {
	w.mu.Lock()
	defer w.mu.Unlock()
	gone := func(p *waiting) bool { return p.ctx.Err() != nil }
	w.pending, batch = slices.DeleteFunc(w.pending, gone), slices.DeleteFunc(batch, gone)
	n := min(len(w.pending), MaxBatch-len(batch))
	batch = append(batch, w.pending[:n]...)
	w.pending = append([]*waiting(nil), w.pending[n:]...)
	return batch
}

func (w *writer) run(ctx context.Context) error {
	idle := time.NewTimer(idleTime)
	defer idle.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-idle.C:
			w.shard = nil
			continue
		case <-w.wake:
			idle.Reset(idleTime)
		}
		var batch []*waiting
		for pause := minPause; ; {
			if batch = w.take(batch); len(batch) == 0 {
				break
			}
			// The batch is taken again after the wait, so that operations that
			// came in the meantime don't wait a second time.
			if err := w.limiter.Wait(ctx); err != nil {
				if ctx.Err() != nil {
					return nil
				}
				return fmt.Errorf("wait for the write rate: %w", err)
			}
			if batch = w.take(batch); len(batch) == 0 {
				break
			}
			done, err := w.write(ctx, batch)
			if done {
				batch, pause = nil, minPause
				continue
			}
			if err != nil {
				w.service.Logger.Debug().Err(err).Int("shard", w.number).Msg("claims not written")
			}
			select {
			case <-ctx.Done():
				return nil
			case <-time.After(pause/2 + rand.N(pause/2)):
			}
			pause = min(2*pause, maxPause)
		}
	}
}

// write decides the batch. Not done means that the shard must be read again:
// it has changed, the platform is down, or it is not known whether the write
// took effect. In the last case the attempts are found in the log, or the next
// write takes the revision that a late one would need.
func (w *writer) write(ctx context.Context, batch []*waiting) (done bool, err error) {
	if w.shard == nil {
		if w.shard, err = w.load(ctx); err != nil {
			return false, err
		}
	}
	operations := make([]Operation, len(batch))
	for i, p := range batch {
		operations[i] = p.operation
	}
	now := time.Now()
	plan := w.shard.Plan(now, operations)
	ctx, cancel := context.WithTimeout(ctx, platformTimeout)
	defer cancel()
	// Without writes the transaction still checks that the decisions rest on the
	// present log; that is far shorter than reading it.
	result, err := w.service.KeyValue.Commit(ctx, plan.Transaction)
	if err != nil || !result.Committed {
		w.shard = nil
		if err != nil {
			return false, fmt.Errorf("append claims: %w", err)
		}
		claimConflicts.Inc()
		return false, nil
	}
	claimWrites.Inc()
	w.shard.Apply(now, plan, result.Revision)
	for i, p := range batch {
		p.done <- outcome{decision: plan.Decisions[i]}
	}
	return true, nil
}

func (w *writer) load(ctx context.Context) (*Shard, error) {
	ctx, cancel := context.WithTimeout(ctx, platformTimeout)
	defer cancel()
	entries, err := w.service.KeyValue.List(ctx, ShardKey(w.number))
	if err != nil {
		return nil, fmt.Errorf("read claims: %w", err)
	}
	shard, err := LoadShard(w.number, w.service.Expiry, entries)
	if err != nil {
		return nil, fmt.Errorf("read claims: %w", err)
	}
	return shard, nil
}
