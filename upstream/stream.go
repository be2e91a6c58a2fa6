package upstream

import (
	"bytes"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/pkg/errors"

	"rattanline.example/rattanline/request"
)

const (
	// maxResumes bounds consecutive resumptions without a new event.
	maxResumes = 3
	// resumeDelay is the delay of the first resumption, because the engine needs time to
	// detect the broken connection. It doubles with each resumption without a new event.
	resumeDelay = 50 * time.Millisecond
	// doneGrace bounds the wait for the end of the body after the end mark.
	doneGrace = time.Second
)

// stream is the progress of a stream over its original and resumed connections.
type stream struct {
	lastID    string
	hasID     bool
	forwarded bool
	// sparseIDs reports whether the ids of the first connection are not consecutive
	// numbers, so that they can't reveal a gap.
	sparseIDs bool
	done      bool // the end mark was forwarded
	bytes     int64
	tokens    request.Tokens
}

var (
	errGap = errors.New("gap after the resumed event")
	// errNoEndMark is the error for a body that ended regularly between two events.
	errNoEndMark = errors.New("stream ended without its end mark")
	// errStreamUnknown is the error if the target no longer has the stream.
	errStreamUnknown = errors.New("stream unknown to the target")
)

// forwardEvents forwards complete events, and resumes a truncated stream if the service
// allows it.
func (e *Exchange) forwardEvents(destination io.Writer, charge func(cost float64)) Result {
	s := &stream{tokens: request.Tokens{Input: request.EstimateTokens(len(e.attempt.Body), 0).Input}}
	err := e.copyEvents(s, destination, e.response.Body, false, charge)
	for resumes := 0; resumes < maxResumes && err != nil && e.mayResume(s, err); resumes++ {
		body, rerr := e.resume(s, resumeDelay<<resumes)
		if rerr != nil {
			err = fmt.Errorf("%w, not resumed: %w", err, rerr)
			continue
		}
		resumedStreams.Inc()
		before := s.bytes
		err = e.copyEvents(s, destination, body, true, charge)
		_ = body.Close()
		if s.bytes > before {
			resumes = -1 // limits only resumptions without progress; a long stream may break often
		}
	}
	result := e.endResult(err)
	result.Tokens = s.tokens
	return result
}

// mayResume reports whether the truncated stream can be resumed. Without an event id
// this is possible only if nothing was forwarded.
func (e *Exchange) mayResume(s *stream, err error) bool {
	var w writeError
	var b boundError
	if errors.As(err, &w) || errors.As(err, &b) || errors.Is(err, errGap) || errors.Is(err, errStreamUnknown) ||
		errors.Is(err, request.ErrMismatch) {
		return false
	}
	return e.attempt.Service.Resume && e.ctx.Err() == nil && (s.hasID || !s.forwarded)
}

// copyEvents forwards the events of one connection. After the end mark it reads on to
// the end of the body.
func (e *Exchange) copyEvents(s *stream, w io.Writer, body io.Reader, resumed bool, charge func(float64)) error {
	reader := NewEventReader(body, e.client.MaxEvent)
	defer reader.Release()
	flusher, _ := w.(interface{ Flush() error })
	price := e.attempt.Service.Price
	for {
		ev, err := reader.Next()
		if err == io.EOF {
			if s.done {
				return nil
			}
			return errNoEndMark
		}
		if err != nil {
			if s.done {
				return nil // the end mark was complete
			}
			return err
		}
		if resumed && ev.HasID && s.hasID {
			repeat, gap := CompareIDs(s.lastID, ev.ID)
			if gap && !s.sparseIDs {
				return fmt.Errorf("event %q after %q: %w", ev.ID, s.lastID, errGap)
			}
			if repeat {
				continue
			}
		}
		if s.bytes += int64(len(ev.Raw)); s.bytes > e.client.MaxResponse {
			return boundError(fmt.Sprintf("stream longer than %d bytes", e.client.MaxResponse))
		}
		if _, err := w.Write(ev.Raw); err != nil {
			return writeError{err}
		}
		s.forwarded = true
		if ev.HasID {
			if _, gap := CompareIDs(s.lastID, ev.ID); gap && s.hasID {
				s.sparseIDs = true
			}
			s.lastID, s.hasID = ev.ID, true
		}
		if flusher != nil && !reader.Buffered() {
			if err := flusher.Flush(); err != nil {
				return writeError{err}
			}
		}
		if bytes.Equal(ev.Data, doneData) {
			s.done = true
			// The end of the body is awaited, so that the connection of a resumed
			// stream can be reused, but only for doneGrace in case the target keeps the
			// body open. Exchange.close closes the original connection in any case.
			defer time.AfterFunc(doneGrace, e.cancel).Stop()
			continue
		}
		if t := countTokens(s.tokens, ev.Data); t != s.tokens {
			s.tokens = t
			if charge != nil {
				charge(request.Cost(price, t))
			}
		}
	}
}

// CompareIDs reports whether the event with the id repeats a forwarded one, or leaves
// a gap after the last one. If an id isn't a number, only a repetition of the last
// event is detected.
func CompareIDs(last, id string) (repeat, gap bool) {
	if id == last {
		return true, false
	}
	l, lerr := strconv.ParseInt(last, 10, 64)
	n, nerr := strconv.ParseInt(id, 10, 64)
	if lerr != nil || nerr != nil {
		return false, false
	}
	return n <= l, n > l+1
}

// resume requests the rest of the stream from the same incarnation of the target.
func (e *Exchange) resume(s *stream, pause time.Duration) (io.ReadCloser, error) {
	timer := time.NewTimer(pause)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-e.ctx.Done():
		return nil, e.ctx.Err()
	}
	a := e.attempt
	a.Method, a.Body, a.AtMostOnce, a.Query = http.MethodGet, nil, false, ""
	a.BeforeWrite = nil // the request runs already
	a.Path = "/v1/chat/completions/" + a.Identity.String()
	a.Header = http.Header{"Accept": {"text/event-stream"}}
	if s.hasID {
		a.Header.Set("Last-Event-ID", s.lastID)
	}
	call, err := e.client.call(a)
	if err != nil {
		return nil, err
	}
	response, err := e.client.roundTrip(e.ctx, call)
	if err != nil {
		return nil, err
	}
	if _, err := a.Identity.Check(response.Header); err != nil {
		droppedResponses.Inc()
		_ = response.Body.Close()
		return nil, err
	}
	if response.StatusCode != http.StatusOK {
		_ = response.Body.Close()
		if response.StatusCode < http.StatusInternalServerError && response.StatusCode != http.StatusTooManyRequests {
			return nil, fmt.Errorf("status %d: %w", response.StatusCode, errStreamUnknown)
		}
		return nil, errors.Errorf("status %d", response.StatusCode)
	}
	return response.Body, nil
}
