package standin

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"hash/fnv"
	"math/rand/v2"
	"strings"
	"time"

	"github.com/pkg/errors"
)

// digestPrefix starts the last token of a completion.
const digestPrefix = "sha256:"

var vocabulary = strings.Fields("amber basket canopy date ember frond grove harvest " +
	"island jetty knot ladder market nursery orchard palm quay rattan shade terrace " +
	"upland valley willow yarn")

type message struct {
	Role    string `json:"role,omitempty"`
	Content string `json:"content"`
}

type completionRequest struct {
	Model         string    `json:"model"`
	Messages      []message `json:"messages"`
	Stream        bool      `json:"stream"`
	MaxTokens     int       `json:"max_tokens"`
	StreamOptions struct {
		IncludeUsage bool `json:"include_usage"`
	} `json:"stream_options"`
}

// prompt returns the contents of the messages, joined by line ends. Each word
// counts as an input token.
func (q completionRequest) prompt() string {
	contents := make([]string, len(q.Messages))
	for i, m := range q.Messages {
		contents[i] = m.Content
	}
	return strings.Join(contents, "\n")
}

// tokens returns the completion. It begins with a digest of the prompt and ends
// with a digest of all preceding content, so that a caller detects a response
// that is damaged, truncated or meant for another caller. The number of tokens is
// max_tokens if set, and otherwise derived from prompt and seed.
func (q completionRequest) tokens(seed uint64) []string {
	h := fnv.New64a()
	_, _ = h.Write([]byte(q.prompt()))
	r := rand.New(rand.NewPCG(seed, h.Sum64()))
	n := q.MaxTokens
	if n == 0 {
		n = 4 + r.IntN(60)
	}
	tokens := []string{promptToken(q.prompt()) + " "}
	for len(tokens) < n-1 {
		tokens = append(tokens, vocabulary[r.IntN(len(vocabulary))]+" ")
	}
	sum := sha256.Sum256([]byte(strings.Join(tokens, "")))
	return append(tokens, digestPrefix+hex.EncodeToString(sum[:]))
}

func promptToken(prompt string) string {
	sum := sha256.Sum256([]byte(prompt))
	return "prompt:" + hex.EncodeToString(sum[:8])
}

// CheckContent returns an error unless the content is a complete, undamaged
// completion of the prompt. The prompt is the contents of the messages, joined by
// line ends.
func CheckContent(prompt, content string) error {
	if !strings.HasPrefix(content, promptToken(prompt)+" ") {
		return errors.New("content answers another prompt")
	}
	i := strings.LastIndex(content, digestPrefix)
	if i < 0 {
		return errors.New("content is truncated: no digest")
	}
	sum := sha256.Sum256([]byte(content[:i]))
	if content[i+len(digestPrefix):] != hex.EncodeToString(sum[:]) {
		return errors.New("content doesn't match its digest")
	}
	return nil
}

type usage struct {
	PromptTokens     int `json:"prompt_tokens"`
	CompletionTokens int `json:"completion_tokens"`
	TotalTokens      int `json:"total_tokens"`
}

func (q completionRequest) usage(completion int) *usage {
	p := len(strings.Fields(q.prompt()))
	return &usage{p, completion, p + completion}
}

type choice struct {
	Index        int      `json:"index"`
	Delta        *message `json:"delta,omitempty"`
	Message      *message `json:"message,omitempty"`
	FinishReason *string  `json:"finish_reason"`
}

type completion struct {
	ID      string   `json:"id"`
	Object  string   `json:"object"`
	Created int64    `json:"created"`
	Model   string   `json:"model"`
	Choices []choice `json:"choices"`
	Usage   *usage   `json:"usage,omitempty"`
}

var stopReason = "stop"

// sequence is the result of one request. The events of its stream have the ids 1
// to eventCount.
type sequence struct {
	id      string
	request completionRequest
	created int64
	tokens  []string
}

func newSequence(id string, q completionRequest, seed uint64) *sequence {
	return &sequence{id: id, request: q, created: time.Now().Unix(), tokens: q.tokens(seed)}
}

func (s *sequence) envelope(object string, c ...choice) completion {
	return completion{
		ID: "chatcmpl-" + s.id, Object: object, Created: s.created, Model: s.request.Model, Choices: c,
	}
}

// eventCount returns the number of events of the stream: the tokens, the finish
// reason, the usage if requested, and the end marker.
func (s *sequence) eventCount() int {
	if s.request.StreamOptions.IncludeUsage {
		return len(s.tokens) + 3
	}
	return len(s.tokens) + 2
}

// event returns the encoded server-sent event with the id.
func (s *sequence) event(id int) string {
	const object = "chat.completion.chunk"
	n := len(s.tokens)
	var c completion
	switch {
	case id <= n:
		m := &message{Content: s.tokens[id-1]}
		if id == 1 {
			m.Role = "assistant"
		}
		c = s.envelope(object, choice{Delta: m})
	case id == n+1:
		c = s.envelope(object, choice{Delta: &message{}, FinishReason: &stopReason})
	case id < s.eventCount():
		c = s.envelope(object)
		c.Choices = []choice{}
		c.Usage = s.request.usage(n)
	default:
		return fmt.Sprintf("id: %d\ndata: [DONE]\n\n", id)
	}
	data, _ := json.Marshal(c)
	return fmt.Sprintf("id: %d\ndata: %s\n\n", id, data)
}

// response returns the response to a request without streaming.
func (s *sequence) response() completion {
	m := &message{Role: "assistant", Content: strings.Join(s.tokens, "")}
	c := s.envelope("chat.completion", choice{Message: m, FinishReason: &stopReason})
	c.Usage = s.request.usage(len(s.tokens))
	return c
}
