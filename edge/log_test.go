package edge

import (
	"bytes"
	"encoding/json"
	"fmt"
	"sync"
	"testing"

	qt "github.com/frankban/quicktest"
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
	Message, Request, Account, Caller, Cause string
	Addresses                                []string
	RequestIDs                               []string `json:"request-ids"`
	Refused                                  uint64   `json:"refused-overloaded"`
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
	d, _ := overloadedDaemon(t, r, desk)
	qt.Assert(t, resolve(t, d), qt.HasLen, 1)
	head := fmt.Sprintf("GET /read/ HTTP/1.1\r\nHost: %s\r\nAuthorization: Token %s\r\nRequest-Id: ", routeHost, apiKey)
	_, _ = sendRaw(t, d, head+"whole\r\n\r\n")
	_, _ = sendRaw(t, d, head+"parts\r\n", "\r\n")

	answers := d.log.lines(t, "directory answered")
	qt.Assert(t, answers, qt.HasLen, 1)
	qt.Check(t, answers[0].Caller, qt.Not(qt.Equals), "")
	qt.Check(t, answers[0].Addresses, qt.DeepEquals, []string{d.Settings.FrontendAddress})
	ended := d.log.lines(t, "request ended")
	qt.Assert(t, ended, qt.HasLen, 1)
	qt.Check(t, ended[0].Request, qt.Equals, "parts")
	qt.Check(t, ended[0].Account, qt.Equals, "shop")
	qt.Check(t, ended[0].Caller, qt.Not(qt.Equals), "")
	r.await("refusal logged", func() bool { return len(d.log.lines(t, "requests refused")) > 0 })
	refused := d.log.lines(t, "requests refused")
	qt.Check(t, refused[0].RequestIDs, qt.DeepEquals, []string{"whole"})
	qt.Check(t, refused[0].Account, qt.Equals, "shop")
	qt.Check(t, refused[0].Cause, qt.Equals, ended[0].Cause)
	r.await("load logged", func() bool {
		lines := d.log.lines(t, "load")
		return len(lines) > 0 && lines[0].Refused > 0
	})
}
