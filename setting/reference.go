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
		defaultText := "none"
		switch {
		case r.required:
			defaultText = "required"
		case r.defaultValue != "":
			defaultText = "`" + r.defaultValue + "`"
		}
		fmt.Fprintf(&b, "| `%s` | %s | %s | %s |\n", r.name, defaultText, r.unit, r.description)
	}
	return b.String()
}
