package standin

import (
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"time"

	"rattanline.example/rattanline/request"
)

// RequestHead returns the request line and the header fields that a caller of the
// platform sends, without the fields that frame the body and without the empty
// line at the end.
func RequestHead(path, host string, d request.Demand) string {
	var head strings.Builder
	fmt.Fprintf(&head, "POST %s HTTP/1.1\r\nHost: %s\r\nRequest-Id: %s\r\nDeadline-Ms: %d\r\n", path, host, d.ID, d.Wait.Milliseconds())
	if d.APIKey != "" {
		fmt.Fprintf(&head, "Authorization: Token %s\r\n", d.APIKey)
	}
	if len(d.Segments) > 0 {
		segments := make([]string, len(d.Segments))
		for i, segment := range d.Segments {
			segments[i] = fmt.Sprintf("%s:%d", segment.ID, segment.Tokens)
		}
		fmt.Fprintf(&head, "Model: m\r\nToken-Usage: %d,%d\r\nPrefix-Hash: %s\r\n", d.Prompt, d.MaxOutput, strings.Join(segments, ","))
	}
	return head.String()
}

// Signature returns the signature with which a target of the platform signed its
// response.
func Signature(r *http.Response) string { return r.Header.Get("Server-Signature") }

// TargetRequest holds the header fields of a request that a target of the platform
// reads.
type TargetRequest struct {
	ID string
	// ExpectedTarget is the target that the request is meant for, empty for any.
	ExpectedTarget string
	Account        string
	// LastEventID is the id of the event after which a stream resumes, zero for a new
	// stream.
	LastEventID int
}

// ReadTargetRequest reads the header fields of a request and copies its id to the
// response.
func ReadTargetRequest(w http.ResponseWriter, r *http.Request) TargetRequest {
	a := TargetRequest{ID: r.Header.Get("Request-Id"), ExpectedTarget: r.Header.Get("Expect-Instance"), Account: r.Header.Get("Tenant")}
	a.LastEventID, _ = strconv.Atoi(r.Header.Get("Last-Event-Id")) // absent for a new stream
	w.Header().Set("Request-Id", a.ID)
	return a
}

// AnnounceLeaving adds to a response that the target is leaving.
func AnnounceLeaving(w http.ResponseWriter) { w.Header().Set("Server-Leaving", "1") }

// AskForTime answers with 503 and Not-Executed, and asks the sender to send nothing to the
// target for the time.
func AskForTime(w http.ResponseWriter, pause time.Duration) {
	w.Header().Set("Retry-After", strconv.FormatFloat(pause.Seconds(), 'f', 3, 64))
	RefuseFull(w)
}

// RefuseFull answers with 503 and Not-Executed: the target is full and did not run
// the request.
func RefuseFull(w http.ResponseWriter) {
	w.Header().Set("Not-Executed", "1")
	w.WriteHeader(http.StatusServiceUnavailable)
}

// SetResponseHeaders sets the header fields of a target's response that hold its
// signature and its load: the running and waiting requests and the slots.
func SetResponseHeaders(w http.ResponseWriter, signature string, running, waiting, slots int) {
	w.Header().Set("Server-Signature", signature)
	w.Header().Set("Server-Load", fmt.Sprintf("%d,%d,%d", running, waiting, slots))
}
