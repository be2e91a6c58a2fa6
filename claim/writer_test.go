package claim

import (
	"context"
	"testing"

	qt "github.com/frankban/quicktest"
)

// Guards against claims that stay behind a full batch of claims whose callers are
// gone: an empty batch ends the writing until another claim comes.
func TestGoneCallersHoldNothingUp(t *testing.T) {
	w := newWriter(0, &Service{WriteRate: 1})
	gone, end := context.WithCancel(context.Background())
	end()
	for range MaxBatch {
		w.pending = append(w.pending, &waiting{ctx: gone})
	}
	last := &waiting{ctx: context.Background()}
	w.pending = append(w.pending, last)
	qt.Assert(t, w.take(nil), qt.HasLen, 1)
	qt.Assert(t, w.pending, qt.HasLen, 0)
}
