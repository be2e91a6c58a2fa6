package setting

import (
	"fmt"
	"strings"
)

// Reference returns a Markdown table of all settings.
func Reference() string {
	var b strings.Builder
	b.WriteString("| setting | default | unit | meaning |\n|---|---|---|---|\n")
	for _, r := range table {
		fallback := "none"
		switch {
		case r.required:
			fallback = "required"
		case r.fallback != "":
			fallback = "`" + r.fallback + "`"
		}
		fmt.Fprintf(&b, "| `%s` | %s | %s | %s |\n", r.name, fallback, r.unit, r.about)
	}
	return b.String()
}
