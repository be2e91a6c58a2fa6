package gateway

import (
	"encoding/json"
	"maps"
	"net/http"
	"strconv"
	"time"

	"rattanline.example/rattanline/memory"
	"rattanline.example/rattanline/upstream"
)

// response writes the response of one call. A body shorter than maxHeldBytes is held
// back until it is complete, so that a truncated one can be retried.
type response struct {
	writer  http.ResponseWriter
	control *http.ResponseController
	// closing requests that the connection is closed after the response.
	closing bool

	status int
	header http.Header
	body   []byte
	// complete reports whether the staged response is complete.
	complete bool
	// committed reports whether the head was written, so that no other response can
	// be sent.
	committed bool
	// cut reports whether the response was truncated after it had begun, or was never
	// sent because the caller disconnected.
	cut bool
	// spool holds bytes that the caller has not read yet; nil if they are written at once.
	spool *memory.Spool
	// callerGone reports whether a write to the caller failed.
	callerGone bool
}

// stage prepares a response without writing it.
func (r *response) stage(reply *upstream.Reply) {
	r.status, r.header = reply.StatusCode, upstream.ForwardedHeaders(reply.Header)
	r.body, r.complete = r.body[:0], false
}

// continues reports whether a response of another target can continue the stream that was
// begun.
func (r *response) continues(reply *upstream.Reply) bool {
	return reply.StatusCode == r.status && reply.Header.Get("Content-Type") == r.header.Get("Content-Type")
}

// begin writes the head and the body held so far.
func (r *response) begin() error {
	if r.committed {
		return nil
	}
	header := r.writer.Header()
	for name, values := range r.header {
		header[name] = values
	}
	r.committed = true
	r.writer.WriteHeader(r.status)
	return r.write(r.body)
}

func (r *response) write(p []byte) error {
	if len(p) == 0 {
		return nil
	}
	var err error
	if r.spool != nil {
		_, err = r.spool.Write(p)
	} else {
		_, err = r.writer.Write(p)
	}
	r.callerGone = r.callerGone || err != nil
	return err
}

func (r *response) flush() error {
	if r.spool != nil {
		return nil // it flushes what it has written
	}
	err := r.control.Flush()
	r.callerGone = r.callerGone || err != nil
	return err
}

// drain waits until the caller has read what the spool holds, at most until the write deadline of
// the connection.
func (r *response) drain() error {
	if r.spool == nil {
		return nil
	}
	err := r.spool.Close()
	r.callerGone = r.callerGone || err != nil
	return err
}

// commit writes the staged response, whose body is complete.
func (r *response) commit(head bool) {
	if r.committed {
		return
	}
	bodyless := head || r.status == http.StatusNoContent || r.status == http.StatusNotModified
	if !bodyless && r.header.Get("Content-Length") == "" {
		r.header.Set("Content-Length", strconv.Itoa(len(r.body)))
	}
	_ = r.begin() // the caller may have disconnected
}

// fail writes an error response that this daemon generates.
func (r *response) fail(status int, reason string, retry time.Duration) {
	r.status = status
	body := errorBody(reason)
	maps.Copy(r.writer.Header(), errorHeader(retry, len(body)))
	if r.closing {
		r.writer.Header().Set("Connection", "close")
	}
	r.writer.WriteHeader(status)
	_ = r.write(body) // the caller may have disconnected
}

// errorBody returns the body of an error response that this daemon generates.
func errorBody(reason string) []byte {
	body, err := json.Marshal(struct {
		Error string `json:"error"`
	}{reason})
	if err != nil {
		return []byte(`{}`)
	}
	return body
}

// errorHeader returns the header of an error response that this daemon generates.
func errorHeader(retry time.Duration, length int) http.Header {
	header := http.Header{"Content-Type": {"application/json"}, "Content-Length": {strconv.Itoa(length)}}
	if retry > 0 {
		header.Set("Retry-After", strconv.FormatFloat(retry.Seconds(), 'f', 2, 64))
	}
	return header
}
