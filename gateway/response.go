package gateway

import (
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"rattanline.example/rattanline/upstream"
)

// response writes the response of one call. A whole body is held back up to a
// bound, so that another attempt may follow one that broke off.
type response struct {
	writer  http.ResponseWriter
	control *http.ResponseController
	// closing closes the connection after the response.
	closing bool

	status int
	header http.Header
	body   []byte
	// held tells that the staged response is complete.
	held      bool
	committed bool
	// cut tells that the response is not complete, gone that the caller left.
	cut, gone bool
}

// stage prepares a response; nothing is written yet.
func (r *response) stage(reply *upstream.Reply) {
	r.status, r.header = reply.StatusCode, upstream.ForwardedHeaders(reply.Header)
	r.body, r.held = r.body[:0], false
}

// begin sends the head and what is held of the body.
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
	_, err := r.writer.Write(p)
	r.gone = r.gone || err != nil
	return err
}

func (r *response) flush() error {
	err := r.control.Flush()
	r.gone = r.gone || err != nil
	return err
}

// commit sends the staged response, whose body is complete.
func (r *response) commit(head bool) {
	if r.committed {
		return
	}
	bodyless := head || r.status == http.StatusNoContent || r.status == http.StatusNotModified
	if !bodyless && r.header.Get("Content-Length") == "" {
		r.header.Set("Content-Length", strconv.Itoa(len(r.body)))
	}
	_ = r.begin() // the caller may have left
}

// fail answers with a status of this daemon.
func (r *response) fail(status int, reason string, retry time.Duration) {
	r.status = status
	body, err := json.Marshal(struct {
		Error string `json:"error"`
	}{reason})
	if err != nil {
		body = []byte(`{}`)
	}
	header := r.writer.Header()
	if retry > 0 {
		header.Set("Retry-After", strconv.FormatFloat(retry.Seconds(), 'f', 2, 64))
	}
	if r.closing {
		header.Set("Connection", "close")
	}
	header.Set("Content-Type", "application/json")
	header.Set("Content-Length", strconv.Itoa(len(body)))
	r.writer.WriteHeader(status)
	_ = r.write(body) // the caller may have left
}
