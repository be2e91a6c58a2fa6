package gateway

import (
	"bytes"
	"fmt"
	"io"
	"net/http"
	"time"

	"rattanline.example/rattanline/request"
)

const (
	// maxDiscard bounds what is read of a body that is too large.
	maxDiscard = 2 << 20
	// assumedBody is counted for a body of unknown length while it is read.
	assumedBody = 256 << 10
	// defaultBody bounds bodies while the configuration sets no bound.
	defaultBody = 4 << 20
)

// read takes the whole body, so that the request can be sent to another target.
func (c *call) read(r *http.Request) *request.Refusal {
	h, limits := c.handler, c.index.Document().Limits
	most := limits.MaxBodyBytes
	if most <= 0 {
		most = defaultBody
	}
	if limits.MaxHeaderBytes > 0 && headerSize(r) > limits.MaxHeaderBytes {
		return &request.Refusal{Reason: request.HeaderTooLarge, Detail: "header too large"}
	}
	if r.ContentLength > most {
		_, _ = io.CopyN(io.Discard, r.Body, maxDiscard) // else the caller may see a reset before the answer
		return &request.Refusal{Reason: request.TooLarge, Detail: "body too large"}
	}
	held := r.ContentLength
	if held < 0 {
		held = assumedBody
	}
	if h.buffered.Add(held) > h.MaxBuffered {
		h.buffered.Add(-held)
		c.out.closing = true
		return &request.Refusal{Reason: request.Overloaded, Detail: "too many bodies in memory", RetryAfter: startRetry}
	}
	refused := c.readBody(r, most)
	h.buffered.Add(int64(len(c.body)) - held)
	c.Fingerprint = request.Fingerprint(c.Account, c.method+" "+c.host+c.uri, c.body)
	return refused
}

// readBody reads the body, which may have at most the given size.
func (c *call) readBody(r *http.Request, most int64) *request.Refusal {
	// The deadline also bounds the time that the caller takes to send the body.
	_ = c.out.control.SetReadDeadline(c.Deadline)
	var buffer bytes.Buffer
	if r.ContentLength > 0 {
		buffer.Grow(int(r.ContentLength))
	}
	n, err := io.Copy(&buffer, io.LimitReader(r.Body, most+1))
	switch {
	case err != nil:
		c.out.closing = true
		return &request.Refusal{Reason: request.BodyTimeout, Detail: fmt.Sprintf("read body: %v", err)}
	case n > most:
		c.out.closing = true
		return &request.Refusal{Reason: request.TooLarge, Detail: "body too large"}
	}
	_ = c.out.control.SetReadDeadline(time.Time{})
	c.body = buffer.Bytes()
	return nil
}

func headerSize(r *http.Request) int {
	n := len(r.Method) + len(r.RequestURI) + len(r.Host)
	for name, values := range r.Header {
		for _, v := range values {
			n += len(name) + len(v) + 4
		}
	}
	return n
}
