package operator_test

import (
	"bytes"
	"context"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/rs/zerolog"

	"rattanline.example/rattanline/config"
	"rattanline.example/rattanline/operator"
	"rattanline.example/rattanline/submission"
	"rattanline.example/rattanline/timeline"
)

// eastDocument returns a document with the single failure domain "east".
func eastDocument(version uint64, drained bool) config.Document {
	// The lists are empty instead of nil, as in a parsed document.
	d := config.Document{
		Accounts: []config.Account{}, Services: []config.Service{}, Targets: []config.Target{},
		FailureDomains: []config.FailureDomain{{Name: "east", Region: "r"}},
	}
	return d.WithVersion(version).WithDrained("east", drained)
}

func TestSubmit(t *testing.T) {
	ctx := context.Background()
	request := submission.Request{Base: 3, ID: "x", Document: eastDocument(0, true)}

	// Guards against a change that is stored under another base, id or author.
	t.Run("accepted", func(t *testing.T) {
		f := &fakeFleet{document: eastDocument(3, false)}
		c, client := serve(t, f, nil)
		o, err := client.Submit(ctx, request)
		c.Assert(err, qt.IsNil)
		c.Assert(o, qt.Equals, submission.Accepted{Version: 4})
		c.Assert(f.requests, qt.DeepEquals, []submission.Request{{Base: 3, ID: "x", Author: "plain", Document: eastDocument(0, true)}})
	})
	// Guards against a response that omits which drained states were kept.
	t.Run("drained state kept", func(t *testing.T) {
		want := submission.Accepted{Version: 4, Kept: "= kept\n"}
		c, client := serve(t, &fakeFleet{script: []submission.Outcome{want}}, nil)
		o, err := client.Submit(ctx, request)
		c.Assert(err, qt.IsNil)
		c.Assert(o, qt.Equals, want)
	})
	// Guards against conflicts without the difference and the current document.
	t.Run("conflict", func(t *testing.T) {
		c, client := serve(t, &fakeFleet{document: eastDocument(5, false)}, nil)
		o, err := client.Submit(ctx, request)
		c.Assert(err, qt.IsNil)
		c.Assert(o, qt.DeepEquals, submission.Outcome(submission.Conflict{
			Current: eastDocument(5, false), Diff: "+ failure-domains/east/drained: true\n",
		}))
	})
	// Guards against an unknown outcome that is not resolved by a retry with the same
	// id.
	t.Run("unknown, then accepted", func(t *testing.T) {
		f := &fakeFleet{document: eastDocument(3, false), script: []submission.Outcome{submission.Unknown{}}}
		c, client := serve(t, f, nil)
		o, err := client.Submit(ctx, request)
		c.Assert(err, qt.IsNil)
		c.Assert(o, qt.Equals, submission.Accepted{Version: 4})
		c.Assert(f.requests[1].ID, qt.Equals, f.requests[0].ID)
		c.Assert(f.requests[1].Resubmitted, qt.IsTrue)
	})
	// Guards against a lost response that is reported as a failure, although the
	// change may have been stored.
	t.Run("response lost", func(t *testing.T) {
		lose := func(http.Handler) http.Handler {
			return http.HandlerFunc(func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) })
		}
		c, client := serve(t, &fakeFleet{}, lose)
		limited, cancel := context.WithTimeout(ctx, 300*time.Millisecond)
		defer cancel()
		o, err := client.Submit(limited, request)
		c.Assert(err, qt.IsNil)
		c.Assert(o, qt.Equals, submission.Unknown{})
	})
	// Guards against an outcome that is reported as unknown although the request was
	// never sent.
	t.Run("no connection", func(t *testing.T) {
		c := qt.New(t)
		_, err := (&operator.Client{URL: "http://127.0.0.1:1"}).Submit(ctx, request)
		c.Assert(err, qt.ErrorMatches, "submit: .*refused.*")
	})
	// Guards against invalid documents that reach the key-value service.
	t.Run("invalid", func(t *testing.T) {
		f := &fakeFleet{}
		c, client := serve(t, f, nil)
		_, err := client.Submit(ctx, submission.Request{ID: "x", Document: config.Document{Accounts: []config.Account{{Name: "a"}}}})
		c.Assert(err, qt.ErrorMatches, `(?s)submit: bad request: line \d+: accounts\[0\].share: .*`)
		c.Assert(f.requests, qt.HasLen, 0)
	})
}

func TestSetDrained(t *testing.T) {
	ctx := context.Background()
	// Guards against a drain that fails after a conflict with another operator, or
	// reverts that operator's change.
	t.Run("conflict with another operator", func(t *testing.T) {
		current := eastDocument(9, false).WithFailureDomain(config.FailureDomain{Name: "west", Drained: true})
		f := &fakeFleet{document: current, stale: eastDocument(3, true)}
		c, client := serve(t, f, nil)
		o, err := client.SetDrained(ctx, "east", true, "x")
		c.Assert(err, qt.IsNil)
		c.Assert(o, qt.Equals, submission.Accepted{Version: 10})
		c.Assert(f.document, qt.DeepEquals, current.WithDrained("east", true).WithVersion(10))
	})
	// Guards against a restore that is handled like a submit, which would keep the
	// domain drained.
	t.Run("restore", func(t *testing.T) {
		f := &fakeFleet{document: eastDocument(3, true)}
		c, client := serve(t, f, nil)
		_, err := client.SetDrained(ctx, "east", false, "x")
		c.Assert(err, qt.IsNil)
		c.Assert(f.document, qt.DeepEquals, eastDocument(4, false))
		c.Assert(f.requests[0].SetsDrained, qt.IsTrue)
	})
	t.Run("unknown domain", func(t *testing.T) {
		c, client := serve(t, &fakeFleet{document: eastDocument(3, false)}, nil)
		_, err := client.SetDrained(ctx, "west", true, "x")
		c.Assert(err, qt.ErrorMatches, `drain: not found: version 3 has no failure domain "west"`)
	})
}

func TestReads(t *testing.T) {
	ctx := context.Background()
	f := &fakeFleet{document: eastDocument(7, true)}
	c, client := serve(t, f, nil)
	d, err := client.Configuration(ctx, 0)
	c.Assert(err, qt.IsNil)
	c.Assert(d, qt.DeepEquals, f.document)

	// Guards against a daemon that returns an older version than the operator has
	// already seen.
	_, err = client.Configuration(ctx, 8)
	c.Assert(err, qt.ErrorMatches, "get configuration: service unavailable: fetch version 8: platform down")
	c.Assert(f.refreshed, qt.Equals, uint64(8))

	// Guards against a silent daemon that is left out of the status, or counts as the
	// one with the lowest version.
	s, err := client.Status(ctx)
	c.Assert(err, qt.IsNil)
	want := operator.Summarize(f.Status(ctx))
	want.Drained = []string{"east"}
	c.Assert(s, qt.DeepEquals, want)
	c.Assert([]any{s.Version, s.Slowest, s.SlowestDaemons, s.Silent}, qt.DeepEquals, []any{uint64(7), uint64(6), []string{"d2"}, 1})

	// Guards against filter fields that are lost or altered in the query.
	filter := timeline.Filter{Request: "r", Account: "a&b", Target: "t", Host: "h", Since: time.Now().UTC().Round(0)}
	events, err := client.Events(ctx, filter)
	c.Assert(err, qt.IsNil)
	c.Assert(f.filter, qt.DeepEquals, filter)
	c.Assert(events, qt.DeepEquals, f.Events(ctx, filter))
}

// Guards against malformed requests that are accepted with default values instead
// of being refused.
func TestMalformedRequests(t *testing.T) {
	for _, o := range []struct {
		name, method, path, body string
		status                   int
	}{
		{"no base", "POST", "/v1/configuration?id=x", "accounts: []", 400},
		{"bad base", "POST", "/v1/configuration?base=-1", "accounts: []", 400},
		{"bad flag", "POST", "/v1/configuration?base=1&resubmitted=perhaps", "accounts: []", 400},
		{"empty", "POST", "/v1/configuration?base=1", "", 400},
		{"too large", "POST", "/v1/configuration?base=1", strings.Repeat("#", config.MaxTextBytes+1), 413},
		{"bad since", "GET", "/v1/events?since=yesterday", "", 400},
		{"wrong method", "GET", "/v1/failure-domains/east/drain", "", 405},
	} {
		t.Run(o.name, func(t *testing.T) {
			f := &fakeFleet{}
			c, client := serve(t, f, nil)
			request, err := http.NewRequest(o.method, client.URL+o.path, strings.NewReader(o.body))
			c.Assert(err, qt.IsNil)
			response, err := client.HTTP.Do(request)
			c.Assert(err, qt.IsNil)
			defer response.Body.Close()
			text, _ := io.ReadAll(response.Body)
			c.Assert(response.StatusCode, qt.Equals, o.status, qt.Commentf("%s", text))
			c.Assert(f.requests, qt.HasLen, 0)
		})
	}
}

// Guards against changes whose author is not recorded and logged.
func TestAuthor(t *testing.T) {
	c := qt.New(t)
	var log bytes.Buffer
	f := &fakeFleet{document: eastDocument(3, false)}
	s := &operator.Server{Fleet: f, Log: zerolog.New(&log)}
	r := httptest.NewRequest("POST", "/v1/failure-domains/east/drain", nil)
	r.TLS = &tls.ConnectionState{PeerCertificates: []*x509.Certificate{{Subject: pkix.Name{CommonName: "yanagi"}}}}
	s.Handler().ServeHTTP(httptest.NewRecorder(), r)
	c.Assert(f.requests[0].Author, qt.Equals, "yanagi")
	c.Assert(f.requests[0].ID, qt.Not(qt.Equals), "")
	for _, want := range []string{`"author":"yanagi"`, `"action":"drain east"`, `"outcome":"accepted"`, `"version":4`} {
		c.Assert(log.String(), qt.Contains, want)
	}
}
