package upstream

import (
	"bytes"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"rattanline.example/rattanline/config"
	"rattanline.example/rattanline/port"
	"rattanline.example/rattanline/request"
)

const streamEvents = 6

func streamEvent(n int) string {
	switch n {
	case streamEvents:
		return fmt.Sprintf("id: %d\ndata: {\"choices\":[],\"usage\":{\"prompt_tokens\":4,\"completion_tokens\":7}}\n\n", n)
	case streamEvents + 1:
		return "data: [DONE]\n\n"
	default:
		return fmt.Sprintf("id: %d\ndata: {\"choices\":[{\"delta\":{\"content\":\"w%d\"}}]}\n\n", n, n)
	}
}

func wholeStream() string {
	var b strings.Builder
	for n := 1; n <= streamEvents+1; n++ {
		b.WriteString(streamEvent(n))
	}
	return b.String()
}

// engine returns a handler that streams events. Each connection breaks within an event
// after cut events, unless cut is zero. A resumed stream starts shift events after the
// requested one.
func engine(cut, shift int, incarnation func(resumed bool) string) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		from, resumed := 1, r.Method == http.MethodGet
		if resumed {
			last, _ := strconv.Atoi(r.Header.Get("Last-Event-ID"))
			from = last + 1 + shift
		}
		w.Header().Set("Content-Type", "text/event-stream")
		w.Header().Set("Target-Incarnation", incarnation(resumed))
		for n := max(1, from); n <= streamEvents+1; n++ {
			if cut > 0 && n == from+cut {
				_, _ = io.WriteString(w, streamEvent(n)[:9])
				_ = http.NewResponseController(w).Flush()
				panic(http.ErrAbortHandler)
			}
			_, _ = io.WriteString(w, streamEvent(n))
		}
	}
}

func sameIncarnation(bool) string { return "run-1" }

func newIncarnation(resumed bool) string { return fmt.Sprint("run-", resumed) }

// Guards against gaps and repeated events in resumed streams, and against truncated
// streams that are treated as complete.
func TestStreams(t *testing.T) {
	for name, c := range map[string]struct {
		handler  http.HandlerFunc
		service  config.Service
		complete bool
		prefix   int // events that the caller must have received if not complete
	}{
		"complete":                       {engine(0, 0, sameIncarnation), modelService, true, 0},
		"resumed repeatedly":             {engine(1, 0, sameIncarnation), modelService, true, 0},
		"resumed with a repeated event":  {engine(3, -1, sameIncarnation), modelService, true, 0},
		"resumed with a missing event":   {engine(3, 1, sameIncarnation), modelService, false, 3},
		"resumed at another incarnation": {engine(3, 0, newIncarnation), modelService, false, 3},
		"not resumable":                  {engine(3, 0, sameIncarnation), config.Service{Kind: config.Model}, false, 3},
		"no end mark": {func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Content-Type", "text/event-stream")
			_, _ = io.WriteString(w, streamEvent(1))
		}, config.Service{Kind: config.Model}, false, 1},
	} {
		t.Run(name, func(t *testing.T) {
			result, body := run(t, attempt(target(t, c.handler), c.service))
			if c.complete {
				assertResult(t, result, port.Succeeded, true, true)
				qt.Assert(t, body, qt.Equals, wholeStream())
				qt.Assert(t, result.Tokens.Output, qt.Equals, 7)
				qt.Assert(t, result.Cost, qt.Equals, 7.0)
				return
			}
			want := port.Crashed
			if name == "no end mark" {
				want = port.Failed // the connection didn't break
			}
			assertResult(t, result, want, true, false)
			qt.Assert(t, strings.Count(body, "id: "), qt.Equals, c.prefix)
			qt.Assert(t, strings.HasPrefix(wholeStream(), body), qt.IsTrue)
			qt.Assert(t, result.Tokens.Output, qt.Equals, c.prefix)
		})
	}
}

// Guards against unbounded memory use for an event that doesn't end.
func TestEventSizeLimit(t *testing.T) {
	r := NewEventReader(strings.NewReader("data: "+strings.Repeat("x", 1<<16)), 1<<10)
	_, err := r.Next()
	qt.Assert(t, err, qt.ErrorMatches, "event longer than 1024 bytes")
}

// Guards against chunks that countFast counts differently than a full parse.
func TestCountFast(t *testing.T) {
	for data, want := range map[string]request.Tokens{
		`{"choices":[{"delta":{"content":"w"}}]}`:                                 {Output: 1},
		`{"choices": [{"delta": {"content": "w"}}]}`:                              {Output: 1},
		`{"choices":[{"delta":{"content":""}}]}`:                                  {},
		`{"choices":[{"delta":{"content":null}}]}`:                                {},
		`{"choices":[{"delta":{"content":"a"}},{"delta":{"content":"b"}}]}`:       {Output: 2},
		`{"choices":[{"delta":{"content":"\"content\":\"x"}}]}`:                   {Output: 1},
		`{"choices":[{"delta":{"content":"","reasoning_content":"r"}}]}`:          {Output: 1},
		`{"choices":[{"delta":{"content":"w"}}],"usage":null}`:                    {Output: 1},
		`{"choices":[{"delta":{"content":"w"}}],"usage":{"completion_tokens":9}}`: {Output: 9},
		`{"usage":{"prompt_tokens":-1,"completion_tokens":-9}}`:                   {},
		`not JSON`: {},
	} {
		qt.Assert(t, countTokens(request.Tokens{}, []byte(data)), qt.Equals, want, qt.Commentf("%s", data))
	}
}

// Checks that the events read form a prefix of the input that ends between events.
func FuzzEvents(f *testing.F) {
	f.Add([]byte(wholeStream()))
	f.Add([]byte("id: 1\r\ndata:a\r\ndata:b\r\n\r\n: comment\n\ndata"))
	f.Fuzz(func(t *testing.T, data []byte) {
		r := NewEventReader(bytes.NewReader(data), 1<<16)
		var read []byte
		for {
			e, err := r.Next()
			if err == io.EOF {
				qt.Assert(t, bytes.Equal(read, data), qt.IsTrue)
				return
			}
			if err != nil {
				return
			}
			read = append(read, e.Raw...)
			qt.Assert(t, bytes.HasPrefix(data, read), qt.IsTrue)
			tokens := countTokens(request.Tokens{}, e.Data)
			qt.Assert(t, tokens.Output >= 0 && tokens.Input >= 0, qt.IsTrue)
		}
	})
}
