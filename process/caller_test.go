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

func keyOf(account string) string { return "key-of-" + account }

// call is one request of a caller.
type call struct {
	method, path, body string
	key                string // idempotency key, empty for none
	prompt             string // of a completion, checked against the content
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

// reply is what one entry answered.
type reply struct {
	status  int
	outcome request.Outcome
	reason  request.Reason
	id      string
	err     error         // of the connection or the content
	first   time.Duration // until the first byte of the body
	// unsent tells that no connection could be made.
	unsent bool
}

func (r reply) notRun() bool { return r.unsent || r.outcome == request.OutcomeNotRun }

// fault returns an error unless the reply is the complete answer.
func (r reply) fault() error {
	switch {
	case r.err != nil:
		return fmt.Errorf("request %s: %w", r.id, r.err)
	case r.outcome != request.OutcomeRan || r.status/100 != 2:
		return errors.Errorf("request %s: status %d, outcome %q %s", r.id, r.status, r.outcome, r.reason)
	}
	return nil
}

// caller sends the requests of an account to the entries that the fleet names.
type caller struct {
	fleet   *fleet
	account string
	home    int // the daemon that it asks for entries first
	client  *http.Client
	entries []string
	expires time.Time
}

func (f *fleet) caller(home int) *caller {
	return &caller{
		fleet: f, account: f.options.accounts[home%len(f.options.accounts)], home: home,
		client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 16}},
	}
}

// entry returns the entry to use now.
func (x *caller) entry(ctx context.Context) string {
	if len(x.entries) == 0 || time.Now().After(x.expires) {
		x.refresh(ctx)
	}
	if len(x.entries) == 0 {
		return x.fleet.daemons[x.home%len(x.fleet.daemons)].url()
	}
	return x.entries[0]
}

// avoid puts the entry last after it refused.
func (x *caller) avoid() {
	if len(x.entries) > 1 {
		x.entries = append(x.entries[1:], x.entries[0])
	}
}

// refresh asks one daemon after another for the entries.
func (x *caller) refresh(ctx context.Context) {
	for i := range x.fleet.daemons {
		d := x.fleet.daemons[(x.home+i)%len(x.fleet.daemons)]
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

// refusedPause keeps a refused caller from sending again at once.
const refusedPause = 20 * time.Millisecond

// do sends the call to one entry after another until one doesn't refuse it.
func (x *caller) do(ctx context.Context, q call) reply {
	for {
		r := x.send(ctx, x.entry(ctx), q)
		if !r.notRun() || ctx.Err() != nil {
			return r
		}
		x.avoid()
		select {
		case <-time.After(refusedPause):
		case <-ctx.Done():
		}
	}
}

// send sends the call to one entry, once.
func (x *caller) send(ctx context.Context, entry string, q call) reply {
	began := time.Now()
	r, err := http.NewRequestWithContext(ctx, q.method, entry+q.path, strings.NewReader(q.body))
	if err != nil {
		return reply{err: err}
	}
	// The client must not send a request again by itself: a refused connection
	// would then hide that the first attempt was sent.
	r.GetBody = nil
	r.Header.Set("Authorization", "Bearer "+keyOf(x.account))
	if q.key != "" {
		r.Header.Set(frontend.KeyHeader, q.key)
	}
	response, err := x.client.Do(r)
	if err != nil {
		return reply{err: err, unsent: errors.Is(err, syscall.ECONNREFUSED)}
	}
	defer response.Body.Close()
	body := bufio.NewReader(response.Body)
	_, _ = body.Peek(1)
	a := reply{
		status: response.StatusCode, outcome: request.Outcome(response.Header.Get(frontend.OutcomeHeader)),
		id: response.Header.Get(frontend.RequestIDHeader), first: time.Since(began),
	}
	if response.Header.Get("Content-Type") == "text/event-stream" {
		content, err := readStream(body)
		a.err = check(q, content, err)
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
		a.err = check(q, content, err)
	}
	return a
}

// errWrong is a response that seems complete and isn't the one asked for.
var errWrong = errors.New("wrong answer")

func check(q call, content string, err error) error {
	if err != nil {
		return err
	}
	if err := standin.CheckContent(q.prompt, content); err != nil {
		return fmt.Errorf("%w: %w", errWrong, err)
	}
	return nil
}

// readStream returns the content of a completion that is streamed to its end
// marker.
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
