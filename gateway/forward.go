package gateway

import (
	"fmt"
	"io"
	"net/http"
	"slices"
	"time"

	"github.com/pkg/errors"

	"rattanline.example/rattanline/port"
	"rattanline.example/rattanline/relay"
	"rattanline.example/rattanline/upstream"
)

const (
	// maxEventBytes bounds a single event of a stream.
	maxEventBytes = 256 << 10
	// maxHeldBytes is the size below which a body is held back until it is complete,
	// and the size of the read buffer for longer bodies.
	maxHeldBytes = 16 << 10
)

// forward forwards the response to the caller. It calls onFirst once it has read the
// first event of a stream, or up to maxHeldBytes of any other response.
func (c *call) forward(reply *upstream.Reply, answer Answer, onFirst func()) relay.Result {
	success := reply.StatusCode/100 == 2
	switch {
	case success && !answer.Authentic:
		return failedResult(errors.New("response isn't the target's own"))
	case !success && c.out.committed:
		return failedResult(errors.Errorf("target answered %d to a resumed stream", reply.StatusCode))
	case !success && impliesNotRun(reply.StatusCode):
		// Callers take the status to mean that the request was not run, which the
		// target did not state.
		return failedResult(errors.Errorf("target answered %d without saying that it did not run the request", reply.StatusCode))
	case c.out.committed && !c.out.continues(reply):
		return failedResult(errors.Errorf("target resumed a stream with %d, %q", reply.StatusCode, reply.Header.Get("Content-Type")))
	case success && c.routed.Stream:
		return c.forwardEvents(reply, onFirst)
	}
	return c.forwardBody(reply, onFirst)
}

// failedResult is the result of an attempt whose response must not be forwarded.
func failedResult(err error) relay.Result {
	return relay.Result{Attempt: port.Attempt{Result: port.Failed}, Err: err}
}

// brokenResult is the result of an attempt whose response was truncated.
func brokenResult(err error) relay.Result {
	return relay.Result{Attempt: port.Attempt{Result: port.Crashed}, Err: fmt.Errorf("response broke off: %w", err)}
}

// callerGoneResult is the result of an attempt whose caller disconnected.
func callerGoneResult(err error) relay.Result {
	return relay.Result{Attempt: port.Attempt{Result: port.Canceled}, Final: true, Err: fmt.Errorf("caller left: %w", err)}
}

// completeResult is the result of an attempt whose response was forwarded or is held
// back. After a server error another attempt may follow.
func completeResult(status int) relay.Result {
	if status >= http.StatusInternalServerError {
		return relay.Result{Attempt: port.Attempt{Result: port.Failed}, Complete: true}
	}
	return relay.Result{Attempt: port.Attempt{Result: port.Succeeded}, Complete: true, Final: true}
}

// impliesNotRun reports whether callers take the status to mean that the request
// was not run.
func impliesNotRun(status int) bool {
	return slices.Contains([]int{
		http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable,
	}, status)
}

// forwardBody forwards a response that isn't an event stream.
func (c *call) forwardBody(reply *upstream.Reply, onFirst func()) relay.Result {
	c.out.stage(reply)
	buffer := make([]byte, maxHeldBytes)
	n, err := io.ReadFull(reply, buffer)
	onFirst()
	c.out.body = buffer[:n]
	switch {
	case err == io.EOF, err == io.ErrUnexpectedEOF && bodyEnded(reply, n):
		c.out.complete = true
		return completeResult(reply.StatusCode)
	case err != nil:
		return brokenResult(err)
	}
	// The body may exceed maxHeldBytes; the rest is forwarded as it arrives.
	c.spool()
	if err := c.out.begin(); err != nil {
		return callerGoneResult(err)
	}
	for {
		n, err := reply.Read(buffer)
		if err := c.out.write(buffer[:n]); err != nil {
			return callerGoneResult(err)
		}
		if err == io.EOF {
			result := completeResult(reply.StatusCode)
			result.Final = true
			return result
		}
		if err != nil {
			return c.interruptedResult(err)
		}
	}
}

// bodyEnded reports whether the n bytes of a short read are the whole body.
func bodyEnded(reply *upstream.Reply, n int) bool {
	return reply.Complete() && (reply.ContentLength < 0 || reply.ContentLength == int64(n))
}

// forwardEvents forwards an event stream, complete events only. A stream resumed at
// another target continues after the last forwarded event.
func (c *call) forwardEvents(reply *upstream.Reply, onFirst func()) relay.Result {
	resumed := c.out.committed
	if !resumed {
		c.out.stage(reply)
		c.out.header.Del("Content-Length")
	} else if c.lastEventID != "" {
		resumedStreams.Inc()
	}
	c.spool()
	reader := upstream.NewEventReader(reply, maxEventBytes)
	defer reader.Release()
	held := c.handler.Memory.Reservation()
	defer held.Release()
	reader.Reserve = held.Grow
	for first := true; ; first = false {
		event, err := reader.Next()
		if err == io.EOF {
			if err := c.out.begin(); err != nil {
				return callerGoneResult(err)
			}
			return completeResult(reply.StatusCode)
		}
		if err != nil {
			if c.out.committed { // received events must not wait until the stream is resumed
				_ = c.out.flush()
			}
			return c.interruptedResult(err)
		}
		c.recordEvent(time.Now())
		if first {
			onFirst()
		}
		repeat, gap := c.follows(event)
		if gap && resumed {
			return failedResult(errors.Errorf("event %q of a resumed stream after %q", event.ID, c.lastEventID))
		}
		if repeat && resumed {
			continue
		}
		if event.HasID {
			c.lastEventID, c.sparseIDs = event.ID, c.sparseIDs || gap
		}
		if err := c.out.begin(); err != nil {
			return callerGoneResult(err)
		}
		forwardedEvents.Inc()
		if err := c.out.write(event.Raw); err != nil {
			return callerGoneResult(err)
		}
		if reader.Buffered() {
			continue // more bytes are buffered
		}
		if err := c.out.flush(); err != nil {
			return callerGoneResult(err)
		}
		if pause := c.handler.EventBatchDelay(); pause > 0 {
			time.Sleep(pause) // the next read returns all events received during the pause
		}
	}
}

// follows reports whether the caller already has the event, and whether an event before it
// is missing.
func (c *call) follows(event upstream.Event) (repeat, gap bool) {
	if !event.HasID || c.lastEventID == "" {
		return false, false
	}
	repeat, gap = upstream.CompareIDs(c.lastEventID, event.ID)
	return repeat, gap && !c.sparseIDs
}
