package claim

import (
	"context"
	"testing"

	qt "github.com/frankban/quicktest"
)

// Guards against a claim that is blocked by a full batch of claims whose callers no
// longer wait: an empty batch would stop the writer until the next claim arrives.
func TestCanceledClaimsDoNotBlockBatch(t *testing.T) {
	w := newWriter(0, &Service{WriteRate: 1})
	gone, end := context.WithCancel(context.Background())
	end()
	for range MaxBatch {
		w.pending = append(w.pending, &pendingOperation{ctx: gone})
	}
	last := &pendingOperation{ctx: context.Background()}
	w.pending = append(w.pending, last)
	qt.Assert(t, w.nextBatch(nil), qt.HasLen, 1)
	qt.Assert(t, w.pending, qt.HasLen, 0)
}
