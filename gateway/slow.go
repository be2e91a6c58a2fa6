package gateway

import (
	"time"

	"github.com/pkg/errors"

	"rattanline.example/rattanline/memory"
	"rattanline.example/rattanline/port"
	"rattanline.example/rattanline/relay"
	"rattanline.example/rattanline/request"
)

const (
	// bufferBytes is the size of the buffers of one request in progress: those of its two
	// connections, and that in which its response is read.
	bufferBytes = 32 << 10
	// maxSpooledBytes bounds the part of one response that its caller has not read.
	maxSpooledBytes = 256 << 10
	// heldUpTime is the time without a read after which a target may cut off its response.
	heldUpTime = time.Second
)

// SlowReaders bounds what is held for callers and targets that read slowly. It answers load by
// callers that take their responses more slowly than targets generate them, and by large
// requests at few targets. Its methods may be called with a nil receiver, which bounds nothing. The
// exported fields are set before the first request.
type SlowReaders struct {
	// InFlight bounds the bodies at each target, whose memory they take until it has answered.
	InFlight memory.Shares
}

// errTargetShare is the error of a request that is not sent because its target holds enough.
var errTargetShare = errors.New("too many bytes in flight at the target")

// take reports whether a body may be sent to the target, which holds it until giveBack is called.
func (s *SlowReaders) take(target string, bytes int) bool {
	if s == nil || s.InFlight.Take(target, int64(bytes)) {
		return true
	}
	fullTargets.Inc()
	return false
}

func (s *SlowReaders) giveBack(target string, bytes int) {
	if s != nil {
		s.InFlight.Return(target, int64(bytes))
	}
}

// reserveBuffers reserves the buffers of the request before anything is done for it, so that its
// response has memory once it runs.
func (c *call) reserveBuffers() *request.Refusal {
	if c.handler.SlowReaders == nil {
		return nil
	}
	c.buffers = c.handler.Memory.Reservation()
	if err := c.buffers.Grow(bufferBytes); err != nil {
		c.out.closing = true
		return memoryRefusal("too many requests in memory")
	}
	return nil
}

// spool lets the target end its response, and use its slot for another request, before the caller
// has read all of it. Beyond maxSpooledBytes, and without memory, the target is read as fast as
// the caller reads.
func (c *call) spool() {
	if c.handler.SlowReaders == nil || c.out.spool != nil {
		return
	}
	c.out.spool = &memory.Spool{
		Destination: c.out.writer, Flush: c.out.control.Flush, Budget: c.handler.Memory, Limit: maxSpooledBytes,
	}
}

// eventInterval returns the mean time between the events of the current attempt, zero if it was the
// caller who set it.
func (c *call) eventInterval() time.Duration {
	if c.out.spool != nil && c.out.spool.Blocked() > 0 {
		return 0
	}
	return c.events.interval()
}

// interruptedResult is the result of an attempt whose response broke off. A target that was not read
// for some time may have cut it off because of that, which says nothing against the target.
func (c *call) interruptedResult(err error) relay.Result {
	if c.out.spool == nil || c.out.spool.Blocked() < heldUpTime {
		return brokenResult(err)
	}
	slowCallers.Inc()
	return relay.Result{
		Attempt: port.Attempt{Result: port.Canceled}, Final: true,
		Err: errors.WithMessage(err, "the caller reads too slowly"),
	}
}
