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

// keyValue is a fake key-value service that holds a single entry.
type keyValue struct {
	port.KeyValue
	mu    sync.Mutex
	entry port.Entry
	// unknownOutcome makes every write fail with port.ErrOutcomeUnknown, as if
	// its response was lost. No such write takes effect.
	unknownOutcome bool
}

func (k *keyValue) Get(context.Context, string) (port.Entry, error) {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.entry, nil
}

func (k *keyValue) Commit(_ context.Context, t port.Transaction) (port.Result, error) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.unknownOutcome {
		return port.Result{}, port.ErrOutcomeUnknown
	}
	if t.Conditions[0].Revision != k.entry.Revision {
		return port.Result{}, nil
	}
	k.entry.Value = t.Writes[0].Value
	k.entry.Revision++
	return port.Result{Committed: true}, nil
}

// upToDateFleet implements operator.Fleet for a daemon whose configuration is
// always the stored one. Its status and its only event are fixed.
type upToDateFleet struct{ *submission.Store }

func (f upToDateFleet) Configuration() config.Document {
	d, _, _ := f.Load(context.Background())
	return d
}

func (f upToDateFleet) Refresh(context.Context, uint64) error { return nil }

func (f upToDateFleet) Status(context.Context) []operator.HostStatus {
	return []operator.HostStatus{
		{Daemon: "d1", Host: "h1", FailureDomain: "east", MemberState: "live", StatusReply: operator.StatusReply{Version: 3, State: "running", Running: 12}},
		{Daemon: "d2", Host: "h2", FailureDomain: "west", MemberState: "silent", Error: "timeout"},
	}
}

func (f upToDateFleet) Events(_ context.Context, filter timeline.Filter) []timeline.Event {
	e := timeline.Event{Time: time.Date(2026, 12, 4, 8, 0, 0, 0, time.UTC), Daemon: "d1", Kind: "slot-granted", Account: "a"}
	if !filter.Match(e) {
		return nil
	}
	return []timeline.Event{e}
}

// commandRunner runs commands against an operators' listener and a configuration
// file.
type commandRunner struct {
	*qt.C
	keyValue *keyValue
	url      string
	file     string
}

func newCommandRunner(t *testing.T) *commandRunner {
	k := &keyValue{entry: port.Entry{Key: submission.Key}}
	server := httptest.NewServer((&operator.Server{Fleet: upToDateFleet{&submission.Store{KeyValue: k}}, Log: zerolog.Nop()}).Handler())
	t.Cleanup(server.Close)
	s := &commandRunner{C: qt.New(t), keyValue: k, url: server.URL, file: filepath.Join(t.TempDir(), "fleet.yaml")}
	s.write("failure-domains: [{name: east, region: r}]\n")
	return s
}

func (s *commandRunner) write(text string) {
	s.Helper()
	s.Assert(os.WriteFile(s.file, []byte(text), 0o600), qt.IsNil)
}

// run runs a command, checks its exit code and returns what it wrote to the
// standard output and the standard error.
func (s *commandRunner) run(code int, args ...string) (stdout, stderr string) {
	s.Helper()
	var out, errors bytes.Buffer
	got := command.Execute(append(args, "--operator", s.url), &out, &errors)
	s.Assert(got, qt.Equals, code, qt.Commentf("%v\n%s%s", args, out.String(), errors.String()))
	return out.String(), errors.String()
}
