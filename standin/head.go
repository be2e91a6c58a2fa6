package standin

import (
	"fmt"
	"net/http"
	"strconv"
	"strings"

	"rattanline.example/rattanline/request"
)

// RequestHead returns the lines of a request's head that a caller of the platform
// sends, without those that frame the body.
func RequestHead(path, host string, d request.Demand) string {
	var head strings.Builder
	fmt.Fprintf(&head, "POST %s HTTP/1.1\r\nHost: %s\r\nRequest-Id: %s\r\nDeadline-Ms: %d\r\n", path, host, d.ID, d.Wait.Milliseconds())
	if d.Key != "" {
		fmt.Fprintf(&head, "Authorization: Token %s\r\n", d.Key)
	}
	if len(d.Segments) > 0 {
		parts := make([]string, len(d.Segments))
		for i, p := range d.Segments {
			parts[i] = fmt.Sprintf("%s:%d", p.ID, p.Tokens)
		}
		fmt.Fprintf(&head, "Model: m\r\nToken-Usage: %d,%d\r\nPrefix-Hash: %s\r\n", d.Prompt, d.MaxOutput, strings.Join(parts, ","))
	}
	return head.String()
}

// Signature returns what a target of the platform signed its answer with.
func Signature(r *http.Response) string { return r.Header.Get("Server-Signature") }

// TargetRequest is what a target of the platform reads of a request's head.
type TargetRequest struct {
	ID string
	// ExpectedTarget is the target that the request is meant for, empty for any.
	ExpectedTarget string
	Account        string
	// LastEvent is the number of the event after which a stream goes on.
	LastEvent int
}

// ReadTargetRequest reads a request's head, and echoes its id.
func ReadTargetRequest(w http.ResponseWriter, r *http.Request) TargetRequest {
	a := TargetRequest{ID: r.Header.Get("Request-Id"), ExpectedTarget: r.Header.Get("Expect-Instance"), Account: r.Header.Get("Tenant")}
	a.LastEvent, _ = strconv.Atoi(r.Header.Get("Last-Event-Id")) // none for a new stream
	w.Header().Set("Request-Id", a.ID)
	return a
}

// RefuseFull answers that the target is full and did not run the request.
func RefuseFull(w http.ResponseWriter) {
	w.Header().Set("Not-Executed", "1")
	w.WriteHeader(http.StatusServiceUnavailable)
}

// SetResponseHeaders prepares the answer of a target with its signature and its load.
func SetResponseHeaders(w http.ResponseWriter, signature string, running, waiting, slots int) {
	w.Header().Set("Server-Signature", signature)
	w.Header().Set("Server-Load", fmt.Sprintf("%d,%d,%d", running, waiting, slots))
}
