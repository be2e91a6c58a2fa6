package command

import (
	"embed"
	"strings"

	"github.com/spf13/cobra"
)

//go:embed help/*.md
var pages embed.FS

// withHelp sets the help texts of a command from its embedded Markdown page: the
// title is the short text, and the section "Examples" holds the examples.
func withHelp(page string, c *cobra.Command) *cobra.Command {
	data, err := pages.ReadFile("help/" + page + ".md")
	if err != nil {
		panic(err) // the page was not embedded
	}
	text, examples, _ := strings.Cut(string(data), "\n## Examples\n")
	title, _, _ := strings.Cut(text, "\n")
	c.Short = strings.TrimPrefix(title, "# ")
	c.Long = strings.TrimSpace(text)
	c.Example = strings.Trim(examples, "\n")
	return c
}
