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
	// platformTimeout bounds one call to the platform, so that a lost response is
	// detected.
	platformTimeout = time.Second
	minRetryPause   = 20 * time.Millisecond
	maxRetryPause   = 500 * time.Millisecond
	// shardIdleTimeout is how long a shard without new operations is kept in memory.
	// A shard takes up to a megabyte, and a daemon that cannot reach the owners
	// writes to all shards.
	shardIdleTimeout = time.Minute
)

var (
	claimWrites    = metrics.NewCounter(`rattanline_claim_writes_total`)
	claimConflicts = metrics.NewCounter(`rattanline_claim_conflicts_total`)
)

// outcome is the decision on an operation, or the error that prevented it.
type outcome struct {
	decision Decision
	err      error
}

// pendingOperation is an operation that waits for its decision.
type pendingOperation struct {
	ctx       context.Context
	operation Operation
	done      chan outcome // buffered
}

// writer appends to one shard. Operations that wait at the same time share a
// transaction.
type writer struct {
	number  int
	service *Service
	limiter *rate.Limiter
	wake    chan struct{}

	mu      sync.Mutex
	pending []*pendingOperation

	shard *Shard // nil if it must be loaded; used only by run
}

func newWriter(number int, s *Service) *writer {
	// The burst is the writes of one second, so that claims don't wait for the
	// limiter while there are few.
	return &writer{
		number: number, service: s, wake: make(chan struct{}, 1),
		limiter: rate.NewLimiter(rate.Limit(s.WriteRate), max(1, int(s.WriteRate))),
	}
}

// submit queues the operation and waits for its decision until the context ends.
func (w *writer) submit(ctx context.Context, o Operation) (Decision, error) {
	p := &pendingOperation{ctx: ctx, operation: o, done: make(chan outcome, 1)}
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

// nextBatch returns the batch with pending operations added up to MaxBatch.
// Operations whose caller no longer waits are dropped.
func (w *writer) nextBatch(batch []*pendingOperation) []*pendingOperation {
	w.mu.Lock()
	defer w.mu.Unlock()
	abandoned := func(p *pendingOperation) bool { return p.ctx.Err() != nil }
	w.pending, batch = slices.DeleteFunc(w.pending, abandoned), slices.DeleteFunc(batch, abandoned)
	n := min(len(w.pending), MaxBatch-len(batch))
	batch = append(batch, w.pending[:n]...)
	w.pending = append([]*pendingOperation(nil), w.pending[n:]...)
	return batch
}

// run writes the pending operations until the context ends. A batch that was not
// committed is retried as long as one of its callers waits.
func (w *writer) run(ctx context.Context) error {
	idle := time.NewTimer(shardIdleTimeout)
	defer idle.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-idle.C:
			w.shard = nil
			continue
		case <-w.wake:
			idle.Reset(shardIdleTimeout)
		}
		var batch []*pendingOperation
		for pause := minRetryPause; ; {
			if batch = w.nextBatch(batch); len(batch) == 0 {
				break
			}
			// The batch is extended again after the wait, so that operations that
			// arrived during the wait don't wait a second time.
			if err := w.limiter.Wait(ctx); err != nil {
				if ctx.Err() != nil {
					return nil
				}
				return fmt.Errorf("wait for the write rate: %w", err)
			}
			if batch = w.nextBatch(batch); len(batch) == 0 {
				break
			}
			done, err := w.write(ctx, batch)
			if done {
				batch, pause = nil, minRetryPause
				continue
			}
			if err != nil {
				w.service.Logger.Debug().Err(err).Int("shard", w.number).Msg("claim batch not committed, retrying")
			}
			select {
			case <-ctx.Done():
				return nil
			case <-time.After(pause/2 + rand.N(pause/2)):
			}
			pause = min(2*pause, maxRetryPause)
		}
	}
}

// write decides the batch in one transaction. If it returns false, the shard must
// be loaded again: the log has changed, the platform is unavailable, or it is
// unknown whether the write took effect. In the last case either the next load
// finds the attempts in the log, or the next write invalidates the conditions of
// the late write.
func (w *writer) write(ctx context.Context, batch []*pendingOperation) (done bool, err error) {
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
	// A transaction without writes still checks that the decisions are based on the
	// current log. That takes far less than reading the log.
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
