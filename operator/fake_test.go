package operator_test

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"sync"
	"testing"

	qt "github.com/frankban/quicktest"
	"github.com/rs/zerolog"

	"rattanline.example/rattanline/config"
	"rattanline.example/rattanline/operator"
	"rattanline.example/rattanline/submission"
	"rattanline.example/rattanline/timeline"
)

// fakeFleet implements operator.Fleet. Its submits first have the scripted outcomes
// and are stored in memory after that.
type fakeFleet struct {
	mu        sync.Mutex
	document  config.Document
	stale     config.Document      // returned by Configuration if its version is set
	script    []submission.Outcome // outcomes of the next submits; nil stores the document
	requests  []submission.Request
	refreshed uint64
	filter    timeline.Filter
}

func (f *fakeFleet) Configuration() config.Document {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.stale.Version > 0 {
		return f.stale
	}
	return f.document
}

func (f *fakeFleet) Refresh(_ context.Context, version uint64) error {
	f.refreshed = version
	return fmt.Errorf("platform down")
}

func (f *fakeFleet) Submit(_ context.Context, r submission.Request) (submission.Outcome, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.requests = append(f.requests, r)
	if len(f.script) > 0 {
		o := f.script[0]
		f.script = f.script[1:]
		if o != nil {
			return o, nil
		}
	}
	if r.Base != f.document.Version {
		return submission.Conflict{Current: f.document, Diff: config.Diff(f.document, r.Document)}, nil
	}
	f.document = r.Document.WithVersion(r.Base + 1)
	return submission.Accepted{Version: f.document.Version}, nil
}

func (f *fakeFleet) Status(context.Context) []operator.HostStatus {
	return []operator.HostStatus{
		{Daemon: "d1", StatusReply: operator.StatusReply{Version: 7}},
		{Daemon: "d2", StatusReply: operator.StatusReply{Version: 6}},
		{Daemon: "d3", Error: "timeout"},
	}
}

func (f *fakeFleet) Events(_ context.Context, filter timeline.Filter) []timeline.Event {
	f.filter = filter
	return []timeline.Event{{Daemon: "d1", Kind: "k", Sequence: 3}}
}

// serve starts a server for the fleet and returns a client for it. If wrap is not
// nil, it replaces the handler.
func serve(t *testing.T, f *fakeFleet, wrap func(http.Handler) http.Handler) (*qt.C, *operator.Client) {
	handler := (&operator.Server{Fleet: f, Log: zerolog.Nop()}).Handler()
	if wrap != nil {
		handler = wrap(handler)
	}
	server := httptest.NewServer(handler)
	t.Cleanup(server.Close)
	return qt.New(t), &operator.Client{URL: server.URL, HTTP: server.Client()}
}
