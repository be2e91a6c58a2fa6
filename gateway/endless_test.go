package gateway

import (
	"io"
	"runtime"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"rattanline.example/rattanline/memory"
	"rattanline.example/rattanline/relay"
)

// endlessBody returns bytes that are no event, up to a number of them, and stalls then.
type endlessBody struct {
	left    int
	stalled chan struct{} // closed once the body stalls
	ended   chan struct{} // lets it end
}

func (b *endlessBody) Read(p []byte) (int, error) {
	if b.left == 0 {
		close(b.stalled)
		<-b.ended
		return 0, io.ErrUnexpectedEOF
	}
	n := min(len(p), b.left)
	for i := range n {
		p[i] = 'x'
	}
	b.left -= n
	return n, nil
}

// heapInUse returns the bytes of the heap that are in use.
func heapInUse() int64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc)
}

// Guards against a process that exceeds its memory because faulty targets send bytes that are no event,
// without end, and all of them are kept.
func TestEndlessEventsAreBounded(t *testing.T) {
	const (
		streams = 400
		sent    = maxEventBytes - 1 // by each target
		limit   = 4 << 20
		others  = streams * 40 << 10 // buffers of the streams themselves
	)
	budget, ended := &memory.Budget{Limit: limit}, make(chan struct{})
	before := heapInUse()
	var results []chan relay.Result
	for range streams {
		c, _ := newSlowCall(nil)
		c.handler.Memory = budget
		body := &endlessBody{left: sent, stalled: make(chan struct{}), ended: ended}
		result := forwarding(c, body)
		results = append(results, result)
		select {
		case <-body.stalled:
		case r := <-result:
			result <- r
		}
	}
	held := heapInUse() - before
	close(ended)
	for _, result := range results {
		qt.Assert(t, (<-result).Complete, qt.IsFalse)
	}
	qt.Assert(t, held <= limit+others, qt.IsTrue, qt.Commentf("%d KB held for %d streams", held>>10, streams))
	qt.Assert(t, budget.Refused() > 0, qt.IsTrue)
	qt.Assert(t, budget.Reserved(), qt.Equals, int64(0))
}

// Guards against long events that are lost although there is memory for them.
func TestLongEventIsForwarded(t *testing.T) {
	c, w := newSlowCall(nil)
	close(w.released)
	stream := "data: " + strings.Repeat("x", maxEventBytes/2) + "\n\n" + events(3)
	r := <-forwarding(c, strings.NewReader(stream))
	qt.Assert(t, r.Complete, qt.IsTrue)
	qt.Assert(t, w.data.String(), qt.Equals, stream)
	qt.Assert(t, c.handler.Memory.Reserved(), qt.Equals, int64(0))
}
