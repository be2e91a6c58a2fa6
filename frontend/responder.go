package frontend

import (
	"encoding/json"
	"maps"
	"net/http"
	"strconv"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"rattanline.example/rattanline/claim"
	"rattanline.example/rattanline/request"
)

const (
	// maxHeldBytes is the size up to which responses are held back until they are
	// complete, so that a truncated one can be retried or reported as an error.
	maxHeldBytes = 1 << 20
	// maxRecordedBytes bounds the response stored for resends of a claimed request.
	maxRecordedBytes = 1 << 20
)

var cutResponses = metrics.NewCounter(`rattanline_cut_responses_total`)

// response holds the head of a response and the body bytes held back.
type response struct {
	status  int
	header  http.Header
	outcome request.Outcome
	body    []byte
}

// responder writes the response of one call. It implements io.Writer for the body
// received from a target.
type responder struct {
	writer       http.ResponseWriter
	control      *http.ResponseController
	writeTimeout time.Duration
	id           string
	version      func() uint64
	// closing requests that the connection is closed after the response.
	closing bool
	// stopping reports whether callers should move to other daemons, in which case the
	// connection is closed after the response as well.
	stopping func() bool
	// detached reports whether the request continues after its caller disconnects.
	detached bool
	// record requests that the response is recorded for resends.
	record bool

	staged response
	// held is the response of the last attempt if it was complete, nil otherwise.
	held           *response
	stream         bool
	committed      bool
	cut            bool
	callerGone     bool // a write of a detached request failed; later ones are skipped
	recorded       []byte
	recordOverflow bool
}

// stage prepares a response without writing it.
func (r *responder) stage(status int, header http.Header, outcome request.Outcome, stream bool) {
	r.staged = response{status: status, header: header, outcome: outcome}
	r.stream = stream
	if stream {
		header.Del("Content-Length") // an error event may be appended
	}
}

// Write implements io.Writer.
func (r *responder) Write(p []byte) (int, error) {
	if r.record {
		if r.recordOverflow = r.recordOverflow || len(r.recorded)+len(p) > maxRecordedBytes; !r.recordOverflow {
			r.recorded = append(r.recorded, p...)
		}
	}
	if !r.committed {
		if !r.stream && len(r.staged.body)+len(p) <= maxHeldBytes {
			r.staged.body = append(r.staged.body, p...)
			return len(p), nil
		}
		r.writeHead()
		if err := r.write(r.staged.body); err != nil {
			return 0, err
		}
		r.staged.body = nil
	}
	if err := r.write(p); err != nil {
		return 0, err
	}
	return len(p), nil
}

// Flush flushes the written bytes to the caller.
func (r *responder) Flush() error {
	if !r.committed || r.callerGone {
		return nil
	}
	return r.check(r.control.Flush())
}

func (r *responder) write(p []byte) error {
	if r.callerGone || len(p) == 0 {
		return nil
	}
	_ = r.control.SetWriteDeadline(time.Now().Add(r.writeTimeout))
	_, err := r.writer.Write(p)
	return r.check(err)
}

// check suppresses write errors of a detached request, whose caller has disconnected.
func (r *responder) check(err error) error {
	if err != nil && r.detached {
		r.callerGone = true
		return nil
	}
	return err
}

func (r *responder) writeHead() {
	r.committed = true
	header := r.writer.Header()
	maps.Copy(header, r.staged.header)
	if header.Get(RequestIDHeader) == "" { // a replayed response has the id of the first request
		header.Set(RequestIDHeader, r.id)
	}
	header.Set(OutcomeHeader, string(r.staged.outcome))
	header.Set(VersionHeader, strconv.FormatUint(r.version(), 10))
	if r.closing || r.stopping() {
		header.Set("Connection", "close")
	}
	if !r.callerGone {
		r.writer.WriteHeader(r.staged.status)
	}
}

// commit writes the staged response, whose body is complete.
func (r *responder) commit(head bool) {
	if r.committed {
		return
	}
	bodyless := head || r.staged.status == http.StatusNoContent || r.staged.status == http.StatusNotModified
	if !bodyless {
		if r.staged.header == nil {
			r.staged.header = http.Header{}
		}
		// Allows the caller to detect a truncation.
		r.staged.header.Set("Content-Length", strconv.Itoa(len(r.staged.body)))
	}
	r.writeHead()
	_ = r.write(r.staged.body)
}

// problem writes a problem document instead of a response.
func (r *responder) problem(p request.Problem) {
	if r.committed {
		return
	}
	r.stage(p.Status, problemHeader(p), p.Outcome, false)
	r.staged.body = p.Encode()
	r.commit(false)
}

func problemHeader(p request.Problem) http.Header {
	header := http.Header{"Content-Type": {request.ProblemType}}
	if retry := p.RetryAfter(); retry != "" {
		header.Set("Retry-After", retry)
	}
	if p.Status == http.StatusUnauthorized {
		header.Set("Www-Authenticate", "Bearer")
	}
	return header
}

// writeProblem writes a problem document for a request without a call.
func writeProblem(w http.ResponseWriter, p request.Problem) {
	maps.Copy(w.Header(), problemHeader(p))
	w.Header().Set(RequestIDHeader, p.RequestID)
	w.Header().Set(OutcomeHeader, string(p.Outcome))
	w.WriteHeader(p.Status)
	_, _ = w.Write(p.Encode())
}

// abort marks a response that has begun as truncated: an error event is appended to a
// stream, and the connection is aborted after the call.
func (r *responder) abort(p request.Problem) {
	r.cut = true
	cutResponses.Inc()
	if !r.stream || r.callerGone {
		return
	}
	event, err := json.Marshal(struct {
		Error request.Problem `json:"error"`
	}{p})
	if err != nil {
		return
	}
	if r.write([]byte("event: error\ndata: "+string(event)+"\n\n")) == nil {
		_ = r.Flush()
	}
}

// answer returns the response to be stored for resends, or the problem document p if
// there is no response, or it was truncated or is too long.
func (r *responder) answer(p request.Problem) claim.Answer {
	if r.cut || r.recordOverflow || r.staged.status == 0 {
		header := problemHeader(p)
		header.Set(RequestIDHeader, r.id)
		header.Set(OutcomeHeader, string(p.Outcome))
		return claim.Answer{Status: p.Status, Header: header, Body: p.Encode()}
	}
	header := r.staged.header.Clone()
	if header == nil {
		header = http.Header{}
	}
	header.Set(RequestIDHeader, r.id)
	header.Set(OutcomeHeader, string(r.staged.outcome))
	body := r.recorded
	if r.staged.body != nil {
		body = r.staged.body
	}
	return claim.Answer{Status: r.staged.status, Header: header, Body: body}
}
