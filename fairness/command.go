package fairness

import (
	_ "embed"
	"fmt"
	"io"
	"os"
	"slices"
	"strings"
	"text/tabwriter"

	"github.com/spf13/cobra"
)

//go:embed help.md
var help string

// Command returns the command that prints how work was divided among the accounts.
func Command() *cobra.Command {
	title, _, _ := strings.Cut(help, "\n")
	text, examples, _ := strings.Cut(help, "\n## Examples\n")
	most := 0
	c := &cobra.Command{
		Use: "fairness [FILE...]", Short: strings.TrimPrefix(title, "# "),
		Long: strings.TrimSpace(text), Example: strings.Trim(examples, "\n"),
		RunE: func(c *cobra.Command, files []string) error { return run(c.InOrStdin(), c.OutOrStdout(), files, most) },
	}
	c.Flags().IntVar(&most, "most", 10, "number of accounts to print")
	return c
}

func run(stdin io.Reader, stdout io.Writer, files []string, most int) error {
	m := &Meter{}
	if len(files) == 0 {
		if err := ReadLog(stdin, m.Add); err != nil {
			return err
		}
	}
	for _, name := range files {
		if err := readFile(name, m); err != nil {
			return err
		}
	}
	return write(stdout, WorstByAccount(m.Windows()), most)
}

func readFile(name string, m *Meter) error {
	f, err := os.Open(name)
	if err != nil {
		return fmt.Errorf("open log: %w", err)
	}
	defer func() { _ = f.Close() }()
	if err := ReadLog(f, m.Add); err != nil {
		return fmt.Errorf("%s: %w", name, err)
	}
	return nil
}

// write prints the windows, and the lowest ratio of all.
func write(w io.Writer, windows []Window, most int) error {
	if len(windows) == 0 {
		_, err := fmt.Fprintf(w, "no account had to wait in each second of %d seconds\n", WindowSeconds)
		return err
	}
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintln(table, "account\tratio\tfrom s\tbegun\tdue\tasked\tbest\tbest account\tnot run")
	for _, v := range windows[:min(len(windows), most)] {
		_, _ = fmt.Fprintf(table, "%s\t%.2f\t%.1f\t%.0f\t%.0f\t%.0f\t%.0f\t%s\t%s\n", v.Account, v.Ratio(), v.Start.Seconds(), v.Begun, v.Due, v.Asked, v.Best, v.BestAccount, counts(v.NotRun))
	}
	if err := table.Flush(); err != nil {
		return fmt.Errorf("print windows: %w", err)
	}
	_, err := fmt.Fprintf(w, "worst ratio %.2f\n", windows[0].Ratio())
	return err
}

// counts prints the reasons with their numbers, the most frequent first.
func counts(notRun map[string]int) string {
	reasons := make([]string, 0, len(notRun))
	for reason := range notRun {
		reasons = append(reasons, reason)
	}
	slices.SortFunc(reasons, func(a, b string) int {
		if n := notRun[b] - notRun[a]; n != 0 {
			return n
		}
		return strings.Compare(a, b)
	})
	for i, reason := range reasons {
		reasons[i] = fmt.Sprintf("%s %d", reason, notRun[reason])
	}
	return strings.Join(reasons, ", ")
}
