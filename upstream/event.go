package upstream

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"sync"

	"rattanline.example/rattanline/request"
)

// Event is one event of a stream. Raw holds its bytes as they were received,
// including the blank line at its end.
type Event struct {
	Raw   []byte
	Data  []byte
	ID    string
	HasID bool
}

// unreservedEventBytes is the size of an event up to which its memory isn't reserved.
const unreservedEventBytes = 16 << 10

// EventReader reads complete events; a partial event at the end of the input is
// an error, so that it is never forwarded.
type EventReader struct {
	// Reserve reserves memory for a long event before more of it is read. The event isn't read if
	// it fails. Nil means that there is always enough.
	Reserve func(bytes int64) error

	reader *bufio.Reader
	max    int
	raw    []byte
	data   []byte
}

// eventReaders holds the readers of ended streams, to reuse their buffers.
var eventReaders = sync.Pool{New: func() any { return &EventReader{reader: bufio.NewReaderSize(nil, 8<<10)} }}

// NewEventReader returns a reader that accepts events of at most limit bytes.
func NewEventReader(r io.Reader, limit int) *EventReader {
	e := eventReaders.Get().(*EventReader)
	e.reader.Reset(r)
	e.max = limit
	return e
}

// Release makes the reader available to other streams. The reader must not be used
// afterwards.
func (r *EventReader) Release() {
	r.reader.Reset(nil)
	r.Reserve = nil
	if cap(r.raw) <= unreservedEventBytes { // the buffer of a long event is not kept
		eventReaders.Put(r)
	}
}

// Next returns the next event, which is valid until the following call. The error is
// io.EOF at the end of the input and io.ErrUnexpectedEOF within an event.
func (r *EventReader) Next() (Event, error) {
	r.raw, r.data = r.raw[:0], r.data[:0]
	var e Event
	lines := 0
	for {
		start := len(r.raw)
		for {
			part, err := r.reader.ReadSlice('\n')
			if err := r.extend(part); err != nil {
				return Event{}, err
			}
			if err == nil {
				break
			}
			if err == bufio.ErrBufferFull {
				continue
			}
			if err == io.EOF && len(r.raw) > 0 {
				err = io.ErrUnexpectedEOF
			}
			return Event{}, err
		}
		line := bytes.TrimSuffix(bytes.TrimSuffix(r.raw[start:], []byte("\n")), []byte("\r"))
		if len(line) == 0 {
			e.Raw, e.Data = r.raw, r.data
			return e, nil
		}
		name, value, _ := bytes.Cut(line, []byte(":"))
		value = bytes.TrimPrefix(value, []byte(" "))
		switch string(name) {
		case "data":
			if lines > 0 {
				r.data = append(r.data, '\n')
			}
			lines++
			r.data = append(r.data, value...)
		case "id":
			if bytes.IndexByte(value, 0) < 0 {
				e.ID, e.HasID = string(value), true
			}
		}
	}
}

// extend adds a part to the event that is being read. The memory reserved for a larger buffer also
// covers the one before it, or the copy of the data.
func (r *EventReader) extend(part []byte) error {
	size := len(r.raw) + len(part)
	if size > r.max {
		return boundError(fmt.Sprintf("event longer than %d bytes", r.max))
	}
	if size > cap(r.raw) {
		larger := max(size, 2*cap(r.raw))
		if larger > unreservedEventBytes && r.Reserve != nil {
			if err := r.Reserve(int64(larger)); err != nil {
				return fmt.Errorf("event of %d bytes: %w", size, err)
			}
		}
		r.raw = append(make([]byte, 0, larger), r.raw...)
	}
	r.raw = append(r.raw, part...)
	return nil
}

// Buffered reports whether more bytes are available without waiting.
func (r *EventReader) Buffered() bool { return r.reader.Buffered() > 0 }

// usage is the token count of the chat completions API.
type usage struct {
	PromptTokens     int `json:"prompt_tokens"`
	CompletionTokens int `json:"completion_tokens"`
}

func (u usage) tokens() request.Tokens {
	return request.Tokens{Input: max(0, u.PromptTokens), Output: max(0, u.CompletionTokens)}
}

// chunk holds the fields of a chat completions chunk from which costs are derived.
type chunk struct {
	Choices []struct {
		Delta struct {
			Content          string          `json:"content"`
			ReasoningContent string          `json:"reasoning_content"`
			ToolCalls        json.RawMessage `json:"tool_calls"`
		} `json:"delta"`
	} `json:"choices"`
	Usage *usage `json:"usage"`
}

var doneData = []byte("[DONE]")

// These keys determine whether the tokens of a chunk can be counted without parsing
// it. Quotes within JSON strings are escaped, so they match keys only.
var (
	contentKey    = []byte(`"content":`)
	fullParseKeys = [][]byte{[]byte(`"usage":{`), []byte(`"usage": {`), []byte(`"reasoning_content"`), []byte(`"tool_calls"`)}
)

// countFast counts the tokens of the usual chunk, which has one content field and no
// usage. It takes a tenth of the time of parsing the JSON. If ok is false, the chunk
// must be parsed.
func countFast(data []byte) (tokens int, ok bool) {
	for _, key := range fullParseKeys {
		if bytes.Contains(data, key) {
			return 0, false
		}
	}
	_, value, found := bytes.Cut(data, contentKey)
	value = bytes.TrimLeft(value, " ")
	if !found || len(value) < 2 || value[0] != '"' || bytes.Contains(value, contentKey) {
		return 0, false
	}
	if value[1] == '"' {
		return 0, true
	}
	return 1, true
}

// countTokens adds the tokens of the event to t: one for each choice with content. The
// usage that the engine reports at the end replaces the count.
func countTokens(t request.Tokens, data []byte) request.Tokens {
	if len(data) == 0 || data[0] != '{' {
		return t
	}
	if tokens, ok := countFast(data); ok {
		t.Output += tokens
		return t
	}
	var c chunk
	if json.Unmarshal(data, &c) != nil {
		return t
	}
	if c.Usage != nil {
		return c.Usage.tokens()
	}
	for _, choice := range c.Choices {
		d := choice.Delta
		if d.Content != "" || d.ReasoningContent != "" || len(d.ToolCalls) > 0 {
			t.Output++
		}
	}
	return t
}
