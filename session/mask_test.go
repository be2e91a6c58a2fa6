package session

import (
	"fmt"
	"regexp"
	"strings"

	"github.com/rogpeppe/go-internal/testscript"
)

// mask replaces what varies between runs by names. An id keeps its name within
// one script, so that the expected texts show where it appears again.
type mask struct {
	workDir   string
	addresses *strings.Replacer
	named     []string // pairs of address and name
	ids       map[string]string
}

type maskKey struct{}

func newMask(workDir string) *mask {
	return &mask{workDir: workDir, ids: map[string]string{}, addresses: strings.NewReplacer()}
}

func maskOf(ts *testscript.TestScript) *mask { return ts.Value(maskKey{}).(*mask) }

func (m *mask) address(address, name string) {
	m.named = append(m.named, address, "<"+name+">")
	m.addresses = strings.NewReplacer(m.named...)
}

var (
	uuidPattern = regexp.MustCompile(`[0-9a-f]{8}(-[0-9a-f]{4}){3}-[0-9a-f]{12}`)
	patterns    = []struct {
		pattern *regexp.Regexp
		name    string
	}{
		{regexp.MustCompile(`\d{4}-\d\d-\d\dT\d\d:\d\d:\d\d(\.\d+)?(Z|[+-]\d\d:\d\d)`), "<time>"},
		{regexp.MustCompile(`"created":\d+`), `"created":<seconds>`},
		{regexp.MustCompile(`"incarnation": "[A-Z2-7]{8}"`), `"incarnation": "<incarnation>"`},
		{regexp.MustCompile(`"sequence":\d+`), `"sequence":<number>`},
		{regexp.MustCompile(`-ms":[\d.]+`), `-ms":<ms>`},
		{regexp.MustCompile(`127\.0\.0\.1:\d+`), "<client>"},
	}
)

func (m *mask) apply(text string) string {
	text = m.addresses.Replace(strings.ReplaceAll(text, m.workDir, "$WORK"))
	for _, p := range patterns {
		text = p.pattern.ReplaceAllString(text, p.name)
	}
	return uuidPattern.ReplaceAllStringFunc(text, func(id string) string {
		if _, ok := m.ids[id]; !ok {
			m.ids[id] = fmt.Sprintf("<id-%d>", len(m.ids)+1)
		}
		return m.ids[id]
	})
}

// maskOutput prints a file, or the last output, with names for what varies:
// mask FILE, mask stdout, mask stderr.
func maskOutput(ts *testscript.TestScript, _ bool, args []string) {
	text := ts.ReadFile(args[0])
	fmt.Fprint(ts.Stdout(), maskOf(ts).apply(text))
}
