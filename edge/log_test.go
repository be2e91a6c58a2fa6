package edge

import (
	"bytes"
	"encoding/json"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"rattanline.example/rattanline/setting"
)

// logBuffer holds the log lines of a daemon.
type logBuffer struct {
	mu   sync.Mutex
	data bytes.Buffer
}

// Write implements io.Writer.
func (b *logBuffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.data.Write(p)
}

// logLine holds the fields of a log line that tests check.
type logLine struct {
	Message, Account, Caller, Cause string
	Addresses                       []string
	Requests                        uint64
	Refused                         uint64 `json:"refused-overloaded"`
}

// lines returns the lines with the message.
func (b *logBuffer) lines(t *testing.T, message string) []logLine {
	t.Helper()
	b.mu.Lock()
	defer b.mu.Unlock()
	var list []logLine
	for _, raw := range bytes.Split(bytes.TrimSpace(b.data.Bytes()), []byte("\n")) {
		var l logLine
		qt.Assert(t, json.Unmarshal(raw, &l), qt.IsNil)
		if l.Message == message {
			list = append(list, l)
		}
	}
	return list
}

// Guards against refusals by an overloaded daemon, and addresses given to callers, of
// which the logs don't say whom they concerned.
func TestOverloadIsTraceable(t *testing.T) {
	r := newRig(t)
	desk := r.serve("desk", "i-desk", nil)
	r.configure(plainRoute("/read/", "idempotent").with("public", false))
	clock := processor{began: time.Now()}
	d := r.startDaemon(&Daemon{ProcessorTime: clock.used}, func(m *setting.HostSettings) { m.Cores = 0.2 })
	r.awaitReady(desk)
	qt.Assert(t, resolve(t, d), qt.HasLen, 1)
	clock.busy.Store(true)
	r.await("all refused", func() bool { return d.overload.refusedPPM.Load() == million })
	assertStatus(t, ask(t, d, "GET", "/read/", "", "Authorization", "Token "+apiKey), 503)

	answers := d.log.lines(t, "directory answered")
	qt.Assert(t, answers, qt.HasLen, 1)
	qt.Check(t, answers[0].Caller, qt.Not(qt.Equals), "")
	qt.Check(t, answers[0].Addresses, qt.DeepEquals, []string{d.Settings.FrontendAddress})
	ended := d.log.lines(t, "request ended")
	qt.Assert(t, ended, qt.HasLen, 1)
	qt.Check(t, ended[0].Account, qt.Equals, "shop")
	qt.Check(t, ended[0].Caller, qt.Not(qt.Equals), "")
	r.await("load logged", func() bool {
		lines := d.log.lines(t, "load")
		return len(lines) > 0 && lines[0].Refused > 0
	})
}
