// Package command holds the commands of the operators' program rattanline.
package command

import (
	"context"
	"io"
	"os"
	"os/signal"
	"syscall"

	"github.com/spf13/cobra"
)

// Root returns the command tree. Other packages add theirs with AddCommand and
// run the tree with Run.
func Root(stdout, stderr io.Writer) *cobra.Command {
	root := described("root", &cobra.Command{
		Use:           "rattanline",
		Args:          cobra.NoArgs,
		SilenceUsage:  true,
		SilenceErrors: true,
		RunE:          func(c *cobra.Command, _ []string) error { return c.Help() },
	})
	root.SetOut(stdout)
	root.SetErr(stderr)
	c := &connection{}
	c.flags(root.PersistentFlags())
	root.AddCommand(
		check(), submit(c), show(c), diff(c), status(c),
		drain(c), restore(c), timelineCommand(c), settings(),
	)
	return root
}

// Execute runs the program with the arguments, without its own name, and
// returns its exit code.
func Execute(args []string, stdout, stderr io.Writer) int {
	return Run(Root(stdout, stderr), args)
}

// Run runs a command tree and returns the exit code. An interrupt ends the
// command in order, so that it still reports an unknown outcome.
func Run(root *cobra.Command, args []string) int {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	ran := false
	markRun(root, &ran)
	root.SetArgs(args)
	err := root.ExecuteContext(ctx)
	if err == nil {
		return CodeOK
	}
	code := exitCode(err, ran)
	root.PrintErrln("rattanline: " + err.Error())
	if code == CodeUsage {
		root.PrintErrln("See 'rattanline help'.")
	}
	return code
}

// markRun notes when a command is entered: an error before that is one of usage,
// which cobra does not tell apart.
func markRun(c *cobra.Command, ran *bool) {
	if run := c.RunE; run != nil {
		c.RunE = func(c *cobra.Command, args []string) error {
			*ran = true
			return run(c, args)
		}
	}
	for _, o := range c.Commands() {
		markRun(o, ran)
	}
}
