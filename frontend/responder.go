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
	// Responses up to this size are held back until they are complete, so that
	// a truncated one can be retried or reported instead of cut.
	maxHeld = 1 << 20
	// Bounds the response kept for resends of a claimed request.
	maxKept = 1 << 20
)

var cutResponses = metrics.NewCounter(`rattanline_cut_responses_total`)

// response is the head of a response and the part of the body held back.
type response struct {
	status  int
	header  http.Header
	outcome request.Outcome
	body    []byte
}

// responder writes the response of one call. It implements io.Writer for the
// body that arrives from a target.
type responder struct {
	writer  http.ResponseWriter
	control *http.ResponseController
	stall   time.Duration
	id      string
	version func() uint64
	// closing closes the connection after the response.
	closing bool
	// detached tells that the request goes on when its caller is gone.
	detached bool
	// keep stores the response for resends.
	keep bool

	staged response
	// held is the complete response of the last attempt.
	held      *response
	stream    bool
	committed bool
	cut       bool
	gone      bool
	kept      []byte
	overKept  bool
}

// stage prepares a response; nothing is written yet.
func (r *responder) stage(status int, header http.Header, outcome request.Outcome, stream bool) {
	r.staged = response{status: status, header: header, outcome: outcome}
	r.stream = stream
	if stream {
		header.Del("Content-Length") // an error event may have to follow
	}
}

// Write implements io.Writer.
func (r *responder) Write(p []byte) (int, error) {
	if r.keep {
		if r.overKept = r.overKept || len(r.kept)+len(p) > maxKept; !r.overKept {
			r.kept = append(r.kept, p...)
		}
	}
	if !r.committed {
		if !r.stream && len(r.staged.body)+len(p) <= maxHeld {
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

// Flush passes on what was written.
func (r *responder) Flush() error {
	if !r.committed || r.gone {
		return nil
	}
	return r.check(r.control.Flush())
}

func (r *responder) write(p []byte) error {
	if r.gone || len(p) == 0 {
		return nil
	}
	_ = r.control.SetWriteDeadline(time.Now().Add(r.stall))
	_, err := r.writer.Write(p)
	return r.check(err)
}

// check hides errors of callers that are gone from requests that go on.
func (r *responder) check(err error) error {
	if err != nil && r.detached {
		r.gone = true
		return nil
	}
	return err
}

func (r *responder) writeHead() {
	r.committed = true
	header := r.writer.Header()
	maps.Copy(header, r.staged.header)
	if header.Get(RequestIDHeader) == "" { // a replayed response has that of the first request
		header.Set(RequestIDHeader, r.id)
	}
	header.Set(OutcomeHeader, string(r.staged.outcome))
	header.Set(VersionHeader, strconv.FormatUint(r.version(), 10))
	if r.closing {
		header.Set("Connection", "close")
	}
	if !r.gone {
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
		// Lets the caller see a truncation.
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

// writeProblem answers a request that belongs to no call.
func writeProblem(w http.ResponseWriter, p request.Problem) {
	maps.Copy(w.Header(), problemHeader(p))
	w.Header().Set(RequestIDHeader, p.RequestID)
	w.Header().Set(OutcomeHeader, string(p.Outcome))
	w.WriteHeader(p.Status)
	_, _ = w.Write(p.Encode())
}

// abort shows that a response which has begun is not complete: a stream gets
// an error event, and the connection is aborted instead of ended.
func (r *responder) abort(p request.Problem) {
	r.cut = true
	cutResponses.Inc()
	if !r.stream || r.gone {
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

// answer returns the response for resends, or the problem document if it was
// cut or too long to be kept.
func (r *responder) answer(cut request.Problem) claim.Answer {
	if r.cut || r.overKept || r.staged.status == 0 {
		header := problemHeader(cut)
		header.Set(RequestIDHeader, r.id)
		header.Set(OutcomeHeader, string(cut.Outcome))
		return claim.Answer{Status: cut.Status, Header: header, Body: cut.Encode()}
	}
	header := r.staged.header.Clone()
	if header == nil {
		header = http.Header{}
	}
	header.Set(RequestIDHeader, r.id)
	header.Set(OutcomeHeader, string(r.staged.outcome))
	body := r.kept
	if r.staged.body != nil {
		body = r.staged.body
	}
	return claim.Answer{Status: r.staged.status, Header: header, Body: body}
}
