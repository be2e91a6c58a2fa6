package daemon

import (
	"context"
	_ "embed"
	"fmt"
	"io"
	"os"
	"os/signal"
	"syscall"

	"github.com/rs/zerolog"
	"github.com/spf13/cobra"

	"rattanline.example/rattanline/edge"
	"rattanline.example/rattanline/setting"
)

//go:embed help.md
var help string

// Exit codes of the program.
const (
	exitOK      = 0
	exitFailure = 1
	exitUsage   = 2 // invalid arguments or settings
)

// usageError wraps an error caused by invalid arguments or settings.
type usageError struct{ error }

func (e usageError) Unwrap() error { return e.error }

// Execute runs the program with the arguments, which don't include the program
// name, and returns its exit code.
func Execute(args []string, stdout, stderr io.Writer) int {
	if len(args) > 0 && args[0] == edge.CommandName {
		edge.CatchHangups()
	}
	var path string
	entered := false
	c := &cobra.Command{
		Use:   "rattanlined --settings FILE",
		Short: "Run a daemon of the router fleet",
		Long:  help, Args: cobra.NoArgs, SilenceUsage: true, SilenceErrors: true,
		RunE: func(c *cobra.Command, _ []string) error {
			entered = true
			return run(c.Context(), path, stderr)
		},
	}
	c.Flags().StringVar(&path, "settings", "", "settings file in YAML")
	_ = c.MarkFlagRequired("settings")
	for _, child := range []*cobra.Command{edge.Command(stdout), edge.QuarantineCommand(stdout), edge.RolloutsCommand(stdout)} {
		recordEntry(child, &entered)
		c.AddCommand(child)
	}
	c.SetArgs(args)
	c.SetOut(stdout)
	c.SetErr(stderr)
	err := c.ExecuteContext(context.Background())
	if err == nil {
		return exitOK
	}
	fmt.Fprintln(stderr, "rattanlined:", err)
	if !entered {
		fmt.Fprintln(stderr, "See 'rattanlined --help'.")
		return exitUsage
	}
	if _, usage := err.(usageError); usage {
		return exitUsage
	}
	return exitFailure
}

// recordEntry wraps a command and its subcommands so that entered is set when one of them runs.
func recordEntry(c *cobra.Command, entered *bool) {
	run := c.RunE
	c.RunE = func(c *cobra.Command, args []string) error {
		*entered = true
		return run(c, args)
	}
	for _, child := range c.Commands() {
		recordEntry(child, entered)
	}
}

// run runs a daemon until the first SIGINT or SIGTERM and then shuts it down
// gracefully. A second signal ends the graceful shutdown early.
func run(ctx context.Context, path string, logs io.Writer) error {
	settings, err := setting.Load(path)
	if err != nil {
		return usageError{err}
	}
	logger := zerolog.New(logs).Level(settings.LogLevel).With().Timestamp().Str("daemon", settings.Name).
		Str("host", settings.Host).Str("failure-domain", settings.FailureDomain).Logger()
	signals := make(chan os.Signal, 2)
	signal.Notify(signals, os.Interrupt, syscall.SIGTERM)
	defer signal.Stop(signals)
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	force := make(chan struct{})
	go func() {
		<-signals
		cancel()
		<-signals
		close(force)
	}()
	d := &Daemon{Settings: settings, Logger: logger, Force: force}
	if err := d.Run(ctx); err != nil {
		return fmt.Errorf("run daemon: %w", err)
	}
	return nil
}
