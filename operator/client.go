package operator

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/cenkalti/backoff/v5"
	"github.com/dghubble/sling"
	"github.com/pkg/errors"

	"rattanline.example/rattanline/config"
	"rattanline.example/rattanline/submission"
	"rattanline.example/rattanline/timeline"
)

// Client calls the operators' listener of one daemon.
type Client struct {
	URL  string
	HTTP *http.Client // nil means the default client
}

// Configuration returns the configuration in force at the daemon, which fetches at
// least the version atLeast before it answers.
func (c *Client) Configuration(ctx context.Context, atLeast uint64) (config.Document, error) {
	var text []byte
	s := c.sling().Get("v1/configuration").Set(headerVersion, strconv.FormatUint(atLeast, 10))
	if _, err := c.call(ctx, s, &text); err != nil {
		return config.Document{}, fmt.Errorf("get configuration: %w", err)
	}
	d, err := config.Parse(text)
	if err != nil {
		return config.Document{}, fmt.Errorf("get configuration: %w", err)
	}
	return d, nil
}

// Status returns the status of the fleet.
func (c *Client) Status(ctx context.Context) (Status, error) {
	s, err := get[Status](ctx, c, c.sling().Get("v1/status"))
	if err != nil {
		return Status{}, fmt.Errorf("get status: %w", err)
	}
	return s, nil
}

// Events returns the events of all daemons, ordered by time, daemon and sequence.
func (c *Client) Events(ctx context.Context, f timeline.Filter) ([]timeline.Event, error) {
	var lines []byte
	_, err := c.call(ctx, c.sling().Get("v1/events").QueryStruct(newEventParameters(f)), &lines)
	if err != nil {
		return nil, fmt.Errorf("get events: %w", err)
	}
	return timeline.ReadJSON(bytes.NewReader(lines))
}

// Submit submits the document and retries with the same id until the outcome is
// known or ctx ends. An error means that this call stored nothing.
func (c *Client) Submit(ctx context.Context, r submission.Request) (submission.Outcome, error) {
	text, err := r.Document.Marshal()
	if err != nil {
		return nil, fmt.Errorf("submit: %w", err)
	}
	outcome, err := c.change(ctx, r.Resubmitted, func(resubmitted bool) *sling.Sling {
		return c.sling().Post("v1/configuration").Set("Content-Type", typeYAML).Body(bytes.NewReader(text)).
			QueryStruct(parameters{Base: r.Base, ID: r.ID, Resubmitted: resubmitted})
	})
	if err != nil {
		return nil, fmt.Errorf("submit: %w", err)
	}
	return outcome, nil
}

// SetDrained drains or restores a failure domain. After a conflict with another
// operator it retries with the same id until ctx ends, and then returns the
// conflict.
func (c *Client) SetDrained(ctx context.Context, domain string, drained bool, id string) (submission.Outcome, error) {
	action := "restore"
	if drained {
		action = "drain"
	}
	path := "v1/failure-domains/" + url.PathEscape(domain) + "/" + action
	outcome, err := backoff.Retry(ctx, func() (submission.Outcome, error) {
		outcome, err := c.change(ctx, false, func(resubmitted bool) *sling.Sling {
			return c.sling().Post(path).QueryStruct(parameters{ID: id, Resubmitted: resubmitted})
		})
		if err != nil {
			return nil, backoff.Permanent(err)
		}
		if _, ok := outcome.(submission.Conflict); ok {
			return outcome, errConflict
		}
		return outcome, nil
	}, backoff.WithBackOff(newRetryBackoff()), backoff.WithMaxElapsedTime(0))
	if _, ok := outcome.(submission.Conflict); ok {
		return outcome, nil
	}
	if err != nil {
		return nil, fmt.Errorf("%s: %w", action, err)
	}
	return outcome, nil
}

func newRetryBackoff() *backoff.ExponentialBackOff {
	b := backoff.NewExponentialBackOff()
	b.InitialInterval, b.MaxInterval = 100*time.Millisecond, 2*time.Second
	return b
}

// change sends a change and retries until its outcome is known. Once a response was
// lost or reported the outcome as unknown, retries are sent as resubmitted. The
// refusal of a retry doesn't show whether an earlier attempt was stored, so the
// outcome is then submission.Unknown instead of an error.
func (c *Client) change(
	ctx context.Context, uncertain bool, request func(resubmitted bool) *sling.Sling,
) (submission.Outcome, error) {
	outcome, err := backoff.Retry(ctx, func() (submission.Outcome, error) {
		var r result
		sent, err := c.call(ctx, request(uncertain), &r)
		var p problem
		switch {
		case errors.As(err, &p):
			if p.Status < http.StatusInternalServerError || !uncertain {
				return nil, backoff.Permanent(err)
			}
			return nil, err
		case err != nil:
			uncertain = uncertain || sent
			if !uncertain {
				return nil, backoff.Permanent(err)
			}
			return nil, err
		}
		o := r.outcome()
		if _, ok := o.(submission.Unknown); ok {
			uncertain = true
			return nil, errors.New("the outcome is unknown")
		}
		return o, nil
	}, backoff.WithBackOff(newRetryBackoff()), backoff.WithMaxElapsedTime(0))
	if err != nil && uncertain {
		return submission.Unknown{}, nil
	}
	return outcome, err
}

func (r result) outcome() submission.Outcome {
	switch r.Outcome {
	case accepted:
		return submission.Accepted{Version: r.Version, Kept: r.Kept}
	case conflict:
		o := submission.Conflict{Diff: r.Difference}
		if r.Current != nil {
			o.Current = *r.Current
		}
		return o
	default:
		return submission.Unknown{}
	}
}

func (c *Client) sling() *sling.Sling {
	client := c.HTTP
	if client == nil {
		client = http.DefaultClient
	}
	return sling.New().Client(client).Base(strings.TrimRight(c.URL, "/") + "/").ResponseDecoder(decoder{})
}

func get[T any](ctx context.Context, c *Client, s *sling.Sling) (T, error) {
	var v T
	_, err := c.call(ctx, s, &v)
	return v, err
}

// call sends one request. The error is a problem if the daemon refused the request.
// The result sent reports whether the daemon may have received it.
func (c *Client) call(ctx context.Context, s *sling.Sling, v any) (sent bool, err error) {
	request, err := s.Request()
	if err != nil {
		return false, err
	}
	var wrote atomic.Bool
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{WroteHeaders: func() { wrote.Store(true) }})
	var r refusal
	response, err := s.Do(request.WithContext(ctx), v, &r)
	if err != nil {
		// The daemon sends a TLS alert before it handles a request, so a request that
		// ends with one was not executed. With TLS 1.3 the client may have written the
		// request before it receives the alert.
		var failed *net.OpError
		rejected := errors.As(err, &failed) && failed.Op == "remote error"
		return wrote.Load() && !rejected, err
	}
	switch response.StatusCode {
	case http.StatusOK, http.StatusAccepted:
		return true, nil
	case http.StatusConflict:
		if o, ok := v.(*result); ok && r.result.Outcome == conflict {
			*o = r.result
			return true, nil
		}
	}
	r.problem.Status = response.StatusCode
	if r.problem.Title == "" {
		r.problem.Title = response.Status
	}
	return true, r.problem
}

// refusal is the body of a response with an error status.
type refusal struct {
	problem problem
	result  result // set for a conflict
}

// decoder decodes JSON, or reads the whole body if the value is a *[]byte.
type decoder struct{}

// Decode implements sling.ResponseDecoder.
func (decoder) Decode(r *http.Response, v any) error {
	data, err := io.ReadAll(r.Body)
	if err != nil {
		return err
	}
	switch o := v.(type) {
	case *[]byte:
		*o = data
		return nil
	case *refusal:
		switch r.Header.Get("Content-Type") {
		case typeJSON:
			return json.Unmarshal(data, &o.result)
		case typeProblem:
			return json.Unmarshal(data, &o.problem)
		default:
			// The standard library's handlers send refusals as plain text.
			o.problem.Detail = strings.TrimSpace(string(data))
			return nil
		}
	default:
		return json.Unmarshal(data, v)
	}
}
