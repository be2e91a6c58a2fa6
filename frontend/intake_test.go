package frontend

import (
	"bufio"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"rattanline.example/rattanline/request"
)

// Checks that every request gets a response whose outcome and status agree, and that
// no request that intake should refuse reaches the scheduler.
func FuzzIntake(f *testing.F) {
	f.Add("POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer key-one\r\nContent-Length: 17\r\n\r\n{\"model\":\"model\"}")
	f.Add("GET /services/stock/a?b HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer key-one\r\nRattanline-Deadline-Ms: 5\r\n\r\n")
	f.Add("POST /services/stock/%2e%2e/x HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer key-one\r\nIdempotency-Key: k\r\nContent-Length: 1\r\n\r\nb")
	f.Add("POST /services/stock/ HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer key-one\r\nTransfer-Encoding: chunked\r\n\r\n1\r\nb")
	r := newRig(f)
	r.acquire = func() *request.Refusal { return &request.Refusal{Reason: request.NoTarget} }
	f.Fuzz(func(t *testing.T, raw string) {
		q, err := http.ReadRequest(bufio.NewReader(strings.NewReader(raw)))
		if err != nil {
			return
		}
		r.jobs = nil
		w := httptest.NewRecorder()
		r.ServeHTTP(w, q)
		if !strings.HasPrefix(q.URL.Path, "/v1/chat/") && !strings.HasPrefix(q.URL.Path, "/services/") {
			return
		}
		p, err := request.ParseProblem(w.Body.Bytes())
		qt.Assert(t, err, qt.IsNil)
		qt.Assert(t, []any{p.Status, p.Outcome}, qt.DeepEquals, []any{w.Code, request.OutcomeNotRun})
		qt.Assert(t, len(r.jobs) == 1, qt.Equals, p.Reason == request.NoTarget)
		for _, job := range r.jobs {
			qt.Assert(t, job.Cost >= 0 && job.Account == "one" && time.Until(job.Deadline) < defaultTimeout, qt.IsTrue)
		}
	})
}

// Guards against an account that occupies memory with slowly sent bodies.
func TestSlowBodiesAreBounded(t *testing.T) {
	r := newRig(t, answer(200, "ran"))
	call := r.serve(t)
	slow, body := io.Pipe()
	q, _ := http.NewRequest("PUT", r.url+"/services/stock/x", slow)
	q.Header.Set("Authorization", "Bearer key-one")
	q.ContentLength = 900
	done := make(chan error)
	go func() { _, err := http.DefaultClient.Do(q); done <- err }()
	for len(r.bounds.receivingAccounts()) == 0 {
		time.Sleep(time.Millisecond)
	}
	assertReply(t, call("PUT", "/services/stock/x", strings.Repeat("x", 900)), 429, request.OutcomeNotRun)
	_ = body.CloseWithError(io.ErrUnexpectedEOF)
	qt.Assert(t, <-done, qt.IsNotNil)
	for len(r.bounds.receivingAccounts()) > 0 {
		time.Sleep(time.Millisecond)
	}
	assertReply(t, call("PUT", "/services/stock/x", strings.Repeat("x", 900)), 200, request.OutcomeRan)
}

// receivingAccounts returns the accounts whose bodies are being received.
func (b *bounds) receivingAccounts() (accounts []string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for account := range b.receivingBytes {
		accounts = append(accounts, account)
	}
	return accounts
}

// Guards against callers that stop reading their response and so hold a slot.
func TestStalledCaller(t *testing.T) {
	r := newRig(t, func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "text/event-stream")
		for range 2000 {
			_, _ = w.Write([]byte("data: " + strings.Repeat("x", 16<<10) + "\n\n"))
		}
	})
	r.WriteTimeout = 100 * time.Millisecond
	s := httptest.NewServer(r.Handler)
	defer s.Close()
	q, _ := http.NewRequest("POST", s.URL+"/v1/chat/completions", strings.NewReader(chatBody))
	q.Header.Set("Authorization", "Bearer key-one")
	response, err := http.DefaultClient.Do(q)
	qt.Assert(t, err, qt.IsNil)
	defer func() { _ = response.Body.Close() }()
	began := time.Now()
	for len(r.Drain(t.Context())) > 0 {
	}
	qt.Assert(t, time.Since(began) < 5*time.Second, qt.IsTrue)
	qt.Assert(t, string(r.attempts[0].Result), qt.Equals, "canceled")
}
