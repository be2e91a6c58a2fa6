// Package command implements the commands of the operators' program rattanline.
package command

import (
	"context"
	"io"
	"os"
	"os/signal"
	"syscall"

	"github.com/spf13/cobra"
)

// Root returns the command tree, which writes to stdout and stderr. Callers can
// add commands with AddCommand and run the tree with Run.
func Root(stdout, stderr io.Writer) *cobra.Command {
	root := withHelp("root", &cobra.Command{
		Use:           "rattanline",
		Args:          cobra.NoArgs,
		SilenceUsage:  true,
		SilenceErrors: true,
		RunE:          func(c *cobra.Command, _ []string) error { return c.Help() },
	})
	root.SetOut(stdout)
	root.SetErr(stderr)
	c := &connection{}
	c.addFlags(root.PersistentFlags())
	root.AddCommand(
		check(), submit(c), show(c), diff(c), status(c),
		drain(c), restore(c), timelineCommand(c), settings(),
	)
	return root
}

// Execute runs the program and returns its exit code. The arguments do not
// include the name of the program.
func Execute(args []string, stdout, stderr io.Writer) int {
	return Run(Root(stdout, stderr), args)
}

// Run runs a command tree and returns the exit code. SIGINT and SIGTERM cancel
// the context of the command instead of ending the process, so that the command
// can still report an unknown outcome.
func Run(root *cobra.Command, args []string) int {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	ran := false
	recordRun(root, &ran)
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

// recordRun wraps the command and its subcommands so that ran is set when one of
// them is entered. Cobra has no separate error type for wrong usage; an error
// returned before a command is entered is one.
func recordRun(c *cobra.Command, ran *bool) {
	if run := c.RunE; run != nil {
		c.RunE = func(c *cobra.Command, args []string) error {
			*ran = true
			return run(c, args)
		}
	}
	for _, child := range c.Commands() {
		recordRun(child, ran)
	}
}
