package session

import (
	"fmt"
	"regexp"
	"strings"

	"github.com/rogpeppe/go-internal/testscript"
)

// mask replaces text that varies between runs by placeholders. An id has the same
// placeholder throughout a script, so that the expected texts show where it
// recurs.
type mask struct {
	workDir      string
	addresses    *strings.Replacer
	replacements []string          // alternately an address and its placeholder
	ids          map[string]string // placeholder by id
}

type maskKey struct{}

func newMask(workDir string) *mask {
	return &mask{workDir: workDir, ids: map[string]string{}, addresses: strings.NewReplacer()}
}

func maskOf(ts *testscript.TestScript) *mask { return ts.Value(maskKey{}).(*mask) }

// addAddress makes apply replace the address by a placeholder with the name.
func (m *mask) addAddress(address, name string) {
	m.replacements = append(m.replacements, address, "<"+name+">")
	m.addresses = strings.NewReplacer(m.replacements...)
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

// apply returns the text with placeholders for what varies.
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

// maskOutput implements the script command "mask FILE", which prints a file with
// placeholders for what varies. The files stdout and stderr are the last outputs.
func maskOutput(ts *testscript.TestScript, _ bool, args []string) {
	text := ts.ReadFile(args[0])
	fmt.Fprint(ts.Stdout(), maskOf(ts).apply(text))
}
