package upstream

import (
	"io"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"rattanline.example/rattanline/request"
)

// Guards against a process that exceeds its memory because faulty engines send completions without end,
// of which all bytes are kept to read the usage.
func TestEndlessCompletionIsBounded(t *testing.T) {
	r := &usageRecorder{}
	n, err := io.Copy(r, io.LimitReader(strings.NewReader(strings.Repeat("x", 8<<20)), 8<<20))
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, n, qt.Equals, int64(8<<20))
	held := cap(r.begin) + cap(r.end)
	qt.Assert(t, held <= 6*maxUsagePartBytes, qt.IsTrue, qt.Commentf("%d KB held", held>>10)) // doubled as they grow
	qt.Assert(t, r.tokens(), qt.Equals, request.Tokens{})
}

// Guards against completions whose usage isn't read, and so not charged, wherever it stands.
func TestUsageOfLongCompletion(t *testing.T) {
	const stated = `"usage":{"prompt_tokens":7,"completion_tokens":11}`
	for _, size := range []int{10, maxUsagePartBytes, 2 * maxUsagePartBytes, 3*maxUsagePartBytes - 1, 40 * maxUsagePartBytes} {
		text := strings.Repeat(`\"usage\": x`, size/12)
		for name, body := range map[string]string{
			"at the end":       `{"choices":[{"message":{"content":"` + text + `"}}],` + stated + `}`,
			"at the beginning": `{` + stated + `,"choices":[{"message":{"content":"` + text + `"}}]}`,
		} {
			r := &usageRecorder{}
			_, err := io.Copy(r, strings.NewReader(body))
			qt.Assert(t, err, qt.IsNil)
			qt.Check(t, r.tokens(), qt.Equals, request.Tokens{Input: 7, Output: 11}, qt.Commentf("%d bytes, %s", len(body), name))
		}
	}
}
