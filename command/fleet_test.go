package command_test

import (
	"bytes"
	"context"
	"net/http/httptest"
	"os"
	"path/filepath"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/rs/zerolog"

	"rattanline.example/rattanline/command"
	"rattanline.example/rattanline/config"
	"rattanline.example/rattanline/operator"
	"rattanline.example/rattanline/port"
	"rattanline.example/rattanline/submission"
	"rattanline.example/rattanline/timeline"
)

// keyValue is a key-value service with one key.
type keyValue struct {
	port.KeyValue
	mu    sync.Mutex
	entry port.Entry
	lost  bool // every response to a write is lost, and no write takes effect
}

func (k *keyValue) Get(context.Context, string) (port.Entry, error) {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.entry, nil
}

func (k *keyValue) Commit(_ context.Context, t port.Transaction) (port.Result, error) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.lost {
		return port.Result{}, port.ErrOutcomeUnknown
	}
	if t.Conditions[0].Revision != k.entry.Revision {
		return port.Result{}, nil
	}
	k.entry.Value = t.Writes[0].Value
	k.entry.Revision++
	return port.Result{Committed: true}, nil
}

// fleet is a daemon that is always up to date.
type fleet struct{ *submission.Store }

func (f fleet) Configuration() config.Document {
	d, _, _ := f.Load(context.Background())
	return d
}

func (f fleet) Refresh(context.Context, uint64) error { return nil }

func (f fleet) Status(context.Context) []operator.HostStatus {
	return []operator.HostStatus{
		{Daemon: "d1", Host: "h1", FailureDomain: "east", MemberState: "live", StatusReply: operator.StatusReply{Version: 3, State: "running", Running: 12}},
		{Daemon: "d2", Host: "h2", FailureDomain: "west", MemberState: "silent", Error: "timeout"},
	}
}

func (f fleet) Events(_ context.Context, filter timeline.Filter) []timeline.Event {
	e := timeline.Event{Time: time.Date(2026, 12, 4, 8, 0, 0, 0, time.UTC), Daemon: "d1", Kind: "slot-granted", Account: "a"}
	if !filter.Match(e) {
		return nil
	}
	return []timeline.Event{e}
}

// shell runs commands against a listener.
type shell struct {
	*qt.C
	keyValue *keyValue
	url      string
	file     string
}

func newShell(t *testing.T) *shell {
	k := &keyValue{entry: port.Entry{Key: submission.Key}}
	server := httptest.NewServer((&operator.Server{Fleet: fleet{&submission.Store{KeyValue: k}}, Log: zerolog.Nop()}).Handler())
	t.Cleanup(server.Close)
	s := &shell{C: qt.New(t), keyValue: k, url: server.URL, file: filepath.Join(t.TempDir(), "fleet.yaml")}
	s.write("failure-domains: [{name: east, region: r}]\n")
	return s
}

func (s *shell) write(text string) {
	s.Helper()
	s.Assert(os.WriteFile(s.file, []byte(text), 0o600), qt.IsNil)
}

// run runs a command, checks its exit code and returns both outputs.
func (s *shell) run(code int, args ...string) (stdout, stderr string) {
	s.Helper()
	var out, errors bytes.Buffer
	got := command.Execute(append(args, "--operator", s.url), &out, &errors)
	s.Assert(got, qt.Equals, code, qt.Commentf("%v\n%s%s", args, out.String(), errors.String()))
	return out.String(), errors.String()
}
