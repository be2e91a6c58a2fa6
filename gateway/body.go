package gateway

import (
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"rattanline.example/rattanline/memory"
	"rattanline.example/rattanline/request"
)

const (
	// maxDiscardBytes bounds how much of an oversized body is read and discarded.
	maxDiscardBytes = 2 << 20
	// defaultMaxBodyBytes bounds a body if the configuration sets no limit.
	defaultMaxBodyBytes = 4 << 20
)

// read buffers the whole body, so that the request can be sent to another target.
func (c *call) read(r *http.Request) *request.Refusal {
	limits := c.index.Document().Limits
	limit := limits.MaxBodyBytes
	if limit <= 0 {
		limit = defaultMaxBodyBytes
	}
	if limits.MaxHeaderBytes > 0 && headerSize(r) > limits.MaxHeaderBytes {
		return &request.Refusal{Reason: request.HeaderTooLarge, Detail: "header too large"}
	}
	if r.ContentLength > limit {
		_, _ = io.CopyN(io.Discard, r.Body, maxDiscardBytes) // otherwise the caller may see a connection reset before the response
		return &request.Refusal{Reason: request.TooLarge, Detail: "body too large"}
	}
	refused := c.readBody(r, limit)
	c.Fingerprint = request.Fingerprint(c.Account, c.method+" "+c.host+c.uri, c.body())
	c.Content = c.demand.Content(c.Fingerprint)
	return refused
}

// readBody reads the body, which may have at most limit bytes.
func (c *call) readBody(r *http.Request, limit int64) *request.Refusal {
	// The deadline of the request also bounds how long the caller may take to send
	// the body.
	_ = c.out.control.SetReadDeadline(c.Deadline)
	if refused := c.reserveBuffers(); refused != nil {
		return refused
	}
	c.buffer = c.handler.Memory.Buffer()
	err := c.buffer.ReadAll(r.Body, r.ContentLength, limit)
	if err == nil {
		_ = c.out.control.SetReadDeadline(time.Time{})
		c.whole = time.Now()
		return nil
	}
	c.release() // a refused request holds nothing
	c.out.closing = true
	switch {
	case errors.Is(err, memory.ErrExhausted):
		return memoryRefusal("too many bodies in memory")
	case errors.Is(err, memory.ErrTooLong):
		return &request.Refusal{Reason: request.TooLarge, Detail: "body too large"}
	}
	return &request.Refusal{Reason: request.BodyTimeout, Detail: fmt.Sprintf("read body: %v", err)}
}

// memoryRefusal returns the refusal of a request for which there is no memory.
func memoryRefusal(detail string) *request.Refusal {
	return &request.Refusal{Reason: request.Overloaded, Detail: detail, RetryAfter: defaultRetryAfter}
}

// release returns the memory of the request, once its response was written.
func (c *call) release() {
	_ = c.out.drain() // already recorded, unless the handler panics
	c.buffer.Release()
	c.buffers.Release()
}

// body returns the body of the request.
func (c *call) body() []byte { return c.buffer.Bytes() }

// headerSize returns the approximate size of the request head in bytes.
func headerSize(r *http.Request) int {
	n := len(r.Method) + len(r.RequestURI) + len(r.Host)
	for name, values := range r.Header {
		for _, v := range values {
			n += len(name) + len(v) + 4
		}
	}
	return n
}
