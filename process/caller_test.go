package process

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"syscall"
	"time"

	"github.com/pkg/errors"

	"rattanline.example/rattanline/frontend"
	"rattanline.example/rattanline/request"
	"rattanline.example/rattanline/standin"
)

func accountKey(account string) string { return "key-of-" + account }

// call is one HTTP request of a caller.
type call struct {
	method, path, body string
	key                string // idempotency key, empty for none
	prompt             string // prompt of a completion, from which the expected content follows
	stream             bool
}

func completion(prompt string, tokens int, stream bool) call {
	return call{
		method: http.MethodPost, path: "/v1/chat/completions", prompt: prompt, stream: stream,
		body: fmt.Sprintf(`{"model":%q,"max_tokens":%d,"stream":%t,"messages":[{"role":"user","content":%q}]}`, assistant, tokens, stream, prompt),
	}
}

func lookup(item string) call {
	return call{method: http.MethodGet, path: "/services/" + stockDesk + "/stock?item=" + item}
}

func reservation(id string) call {
	return call{method: http.MethodPost, path: "/services/" + stockDesk + "/reservations", body: fmt.Sprintf(`{"id":%q}`, id), key: id}
}

// reply is the response of an entry, or the error that took its place.
type reply struct {
	status          int
	outcome         request.Outcome
	reason          request.Reason
	id              string
	err             error         // of the connection or the content
	timeToFirstByte time.Duration // from sending the request to the first byte of the body
	// notConnected is set if the entry refused the connection.
	notConnected bool
}

// notRun reports whether the request is known not to have run.
func (r reply) notRun() bool { return r.notConnected || r.outcome == request.OutcomeNotRun }

// failure returns an error unless the request ran and its response is complete.
func (r reply) failure() error {
	switch {
	case r.err != nil:
		return fmt.Errorf("request %s: %w", r.id, r.err)
	case r.outcome != request.OutcomeRan || r.status/100 != 2:
		return errors.Errorf("request %s: status %d, outcome %q %s", r.id, r.status, r.outcome, r.reason)
	}
	return nil
}

// caller sends requests of one account to the entries that the daemons list.
type caller struct {
	fleet       *fleet
	account     string
	firstDaemon int // index of the daemon that it asks first for entries
	client      *http.Client
	entries     []string
	expires     time.Time
}

// caller returns a caller that asks the daemon with the index first. The index also
// selects the account, and both lists wrap around.
func (f *fleet) caller(firstDaemon int) *caller {
	return &caller{
		fleet: f, account: f.options.accounts[firstDaemon%len(f.options.accounts)], firstDaemon: firstDaemon,
		client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 16}},
	}
}

// entry returns the URL of the entry for the next request. It refreshes the list
// of entries when it has expired, and returns the first daemon of the caller if
// no list can be fetched.
func (x *caller) entry(ctx context.Context) string {
	if len(x.entries) == 0 || time.Now().After(x.expires) {
		x.refresh(ctx)
	}
	if len(x.entries) == 0 {
		return x.fleet.daemons[x.firstDaemon%len(x.fleet.daemons)].url()
	}
	return x.entries[0]
}

// rotateEntries moves the first entry, which refused a request, to the end.
func (x *caller) rotateEntries() {
	if len(x.entries) > 1 {
		x.entries = append(x.entries[1:], x.entries[0])
	}
}

// refresh fetches the list of entries from the first daemon that has one.
func (x *caller) refresh(ctx context.Context) {
	for i := range x.fleet.daemons {
		d := x.fleet.daemons[(x.firstDaemon+i)%len(x.fleet.daemons)]
		var body struct {
			Entries []frontend.Entry `json:"entries"`
			TTL     int              `json:"ttl-seconds"`
		}
		_, page, err := d.get(d.url() + "/v1/entries")
		if err != nil || json.Unmarshal([]byte(page), &body) != nil || len(body.Entries) == 0 || ctx.Err() != nil {
			continue
		}
		x.entries, x.expires = nil, time.Now().Add(time.Duration(body.TTL)*time.Second)
		for _, e := range body.Entries {
			x.entries = append(x.entries, e.URL)
		}
		return
	}
}

// refusalDelay is how long a caller waits after a refusal before its next attempt.
const refusalDelay = 20 * time.Millisecond

// sendUntilAccepted sends the call to one entry after another until one does not
// refuse it or the context ends, and returns the last reply.
func (x *caller) sendUntilAccepted(ctx context.Context, q call) reply {
	for {
		r := x.send(ctx, x.entry(ctx), q)
		if !r.notRun() || ctx.Err() != nil {
			return r
		}
		x.rotateEntries()
		select {
		case <-time.After(refusalDelay):
		case <-ctx.Done():
		}
	}
}

// send sends the call to the entry once.
func (x *caller) send(ctx context.Context, entry string, q call) reply {
	began := time.Now()
	r, err := http.NewRequestWithContext(ctx, q.method, entry+q.path, strings.NewReader(q.body))
	if err != nil {
		return reply{err: err}
	}
	// Without GetBody the HTTP client does not resend a request with a body by
	// itself. If it did, a refused connection on the second attempt would hide that
	// the first attempt was sent.
	r.GetBody = nil
	r.Header.Set("Authorization", "Bearer "+accountKey(x.account))
	if q.key != "" {
		r.Header.Set(frontend.IdempotencyKeyHeader, q.key)
	}
	response, err := x.client.Do(r)
	if err != nil {
		return reply{err: err, notConnected: errors.Is(err, syscall.ECONNREFUSED)}
	}
	defer response.Body.Close()
	body := bufio.NewReader(response.Body)
	_, _ = body.Peek(1)
	a := reply{
		status: response.StatusCode, outcome: request.Outcome(response.Header.Get(frontend.OutcomeHeader)),
		id: response.Header.Get(frontend.RequestIDHeader), timeToFirstByte: time.Since(began),
	}
	if response.Header.Get("Content-Type") == "text/event-stream" {
		content, err := readStream(body)
		a.err = checkContent(q, content, err)
		return a
	}
	data, err := io.ReadAll(body)
	switch {
	case err != nil:
		a.err = fmt.Errorf("read response: %w", err)
	case response.Header.Get("Content-Type") == request.ProblemType:
		p, err := request.ParseProblem(data)
		a.reason, a.err = p.Reason, err
	case q.prompt != "" && a.status == http.StatusOK:
		var c struct {
			Choices [1]struct{ Message struct{ Content string } }
		}
		err := json.Unmarshal(data, &c)
		content := c.Choices[0].Message.Content
		a.err = checkContent(q, content, err)
	}
	return a
}

// errWrongContent reports a response that looks complete but is truncated or
// belongs to another request.
var errWrongContent = errors.New("wrong content")

// checkContent returns err if it is not nil, and errWrongContent if the content
// is not the completion of the prompt.
func checkContent(q call, content string, err error) error {
	if err != nil {
		return err
	}
	if err := standin.CheckContent(q.prompt, content); err != nil {
		return fmt.Errorf("%w: %w", errWrongContent, err)
	}
	return nil
}

// readStream returns the content of a streamed completion. A stream that has an
// error event or ends without the end marker [DONE] is an error.
func readStream(r io.Reader) (string, error) {
	var content bytes.Buffer
	lines := bufio.NewScanner(r)
	event, done := "", false
	for lines.Scan() {
		name, value, _ := strings.Cut(lines.Text(), ": ")
		switch {
		case name == "event":
			event = value
		case name == "data" && event == "error":
			return "", errors.Errorf("error event: %s", value)
		case name == "data" && value == "[DONE]":
			done = true
		case name == "data":
			var c struct {
				Choices []struct{ Delta struct{ Content string } }
			}
			if err := json.Unmarshal([]byte(value), &c); err != nil {
				return "", fmt.Errorf("read event: %w", err)
			}
			for _, choice := range c.Choices {
				content.WriteString(choice.Delta.Content)
			}
		}
	}
	if err := lines.Err(); err != nil {
		return "", fmt.Errorf("read stream: %w", err)
	}
	if !done {
		return "", errors.New("stream ended without its end marker")
	}
	return content.String(), nil
}
