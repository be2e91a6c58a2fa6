package upstream

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"math"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"rattanline.example/rattanline/socket"
)

const (
	// maxStaleResponses bounds the responses that are read until the one that belongs
	// to the call; late responses to other requests may precede it.
	maxStaleResponses = 4
	// ownResponseWait is how long the response to a call is awaited after one that names
	// no call, if that may belong to an earlier call.
	ownResponseWait = 250 * time.Millisecond
	// maxInlineBodyBytes is the size up to which a body is written before the response
	// is read. A larger one is written concurrently, because the target may respond
	// before it has read the body.
	maxInlineBodyBytes = 8 << 10
	// minStatus and maxStatus are the range of status codes.
	minStatus, maxStatus = 100, 599
	// maxHeadBytes bounds the head of a response.
	maxHeadBytes = 64 << 10
	// maxStaleBodyBytes bounds the body of a late response that is skipped.
	maxStaleBodyBytes = 4 << 20
)

// conn is a connection of a Pool.
type conn struct {
	net.Conn
	key         string
	reader      *bufio.Reader
	lastUsed    time.Time
	idleTimeout time.Duration
	noReuse     bool // not to be returned to the pool
	// head limits the bytes read for the head of a response.
	head *io.LimitedReader
	// inFlight is set while the target may not have received all of a request.
	inFlight atomic.Bool
}

// Close resets the connection if the target may not have received all of a request, so that
// one that was given up doesn't reach it later.
func (c *conn) Close() error {
	if c.inFlight.Load() {
		return socket.Reset(c.Conn)
	}
	return c.Conn.Close()
}

// write sends the request and returns the number of bytes written. A small body is
// written together with the head. A larger body is written concurrently, by the returned upload;
// the number of bytes is then 1.
func (c *conn) write(call Call) (*upload, int, error) {
	c.inFlight.Store(true)
	var head bytes.Buffer
	fmt.Fprintf(&head, "%s %s HTTP/1.1\r\nHost: %s\r\n", call.Method, call.URI, call.Host)
	if err := call.Header.Write(&head); err != nil {
		return nil, 0, fmt.Errorf("encode head: %w", err)
	}
	if len(call.Body) > 0 || call.Method != http.MethodGet && call.Method != http.MethodHead {
		fmt.Fprintf(&head, "Content-Length: %d\r\n", len(call.Body))
	}
	head.WriteString("\r\n")
	if len(call.Body) <= maxInlineBodyBytes {
		head.Write(call.Body)
		n, err := c.Write(head.Bytes())
		return nil, n, err
	}
	return startUpload(c.Conn, net.Buffers{head.Bytes(), call.Body}), 1, nil
}

// read returns the response that belongs to the call.
func (c *conn) read(call Call, reused bool) (*http.Response, error) {
	unnamed := false
	for range maxStaleResponses {
		response, err := c.readHead(call.Method)
		switch {
		case err != nil && unnamed:
			return nil, fmt.Errorf("after a response that names no request: %w", err)
		case err != nil:
			return nil, err
		case response.StatusCode/100 == 1:
			continue
		}
		match := call.match(response)
		if match == Own || match == Unnamed && !reused {
			if unnamed {
				_ = c.SetReadDeadline(time.Time{})
			}
			return response, nil
		}
		if match == Unnamed && !unnamed {
			unnamed = true
			_ = c.SetReadDeadline(time.Now().Add(ownResponseWait))
		}
		if err := c.skip(response); err != nil {
			return nil, err
		}
	}
	return nil, errors.New("too many responses to other requests")
}

// statusError reports a response whose status is outside the range of the protocol.
type statusError string

// Error implements error.
func (e statusError) Error() string { return "status " + string(e) + " out of range" }

// readHead reads the head of a response. One with a status out of range is none: no caller could
// understand it.
func (c *conn) readHead(method string) (*http.Response, error) {
	c.head.N = maxHeadBytes
	defer func() { c.head.N = math.MaxInt64 }()
	response, err := http.ReadResponse(c.reader, &http.Request{Method: method})
	if err != nil {
		return nil, fmt.Errorf("head of a response: %w", err)
	}
	if response.StatusCode < minStatus || response.StatusCode > maxStatus {
		return nil, statusError(response.Status)
	}
	return response, nil
}

// skip reads a response to another request to its end. The connection is not used again,
// because the target does not keep to one response for each request.
func (c *conn) skip(response *http.Response) error {
	c.noReuse = true
	if response.ContentLength < 0 && len(response.TransferEncoding) == 0 {
		return errors.New("unframed response to another request")
	}
	if _, err := io.CopyN(io.Discard, response.Body, maxStaleBodyBytes); err != io.EOF {
		return fmt.Errorf("response to another request: %w", ErrBroken)
	}
	return nil
}

// reusable reports whether the connection is open and no byte has arrived on it.
func (c *conn) reusable() bool {
	if c.reader.Buffered() > 0 {
		return false
	}
	return socket.StateOf(c.Conn) == socket.Idle
}
