package command

import (
	"embed"
	"strings"

	"github.com/spf13/cobra"
)

//go:embed help/*.md
var pages embed.FS

// described fills in the help texts of a command from its Markdown page: the
// title is the short text, a section "Examples" holds the examples.
func described(page string, c *cobra.Command) *cobra.Command {
	data, err := pages.ReadFile("help/" + page + ".md")
	if err != nil {
		panic(err) // the page is missing in the program
	}
	text, examples, _ := strings.Cut(string(data), "\n## Examples\n")
	title, _, _ := strings.Cut(text, "\n")
	c.Short = strings.TrimPrefix(title, "# ")
	c.Long = strings.TrimSpace(text)
	c.Example = strings.Trim(examples, "\n")
	return c
}
