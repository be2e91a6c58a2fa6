package demo

import (
	_ "embed"
	"time"

	"github.com/rs/zerolog"
	"github.com/spf13/cobra"
)

//go:embed help.md
var help string

// Command returns the subcommand "demo", which runs the demonstration.
func Command() *cobra.Command {
	var duration time.Duration
	var verbose bool
	c := &cobra.Command{
		Use: "demo", Short: "Run an embedded fleet under load and print the service per account",
		Long: help, Args: cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			logger := zerolog.Nop()
			if verbose {
				logger = zerolog.New(c.ErrOrStderr()).With().Timestamp().Logger()
			}
			d := &Demo{Out: c.OutOrStdout(), Duration: duration, Logger: logger}
			return d.Run(c.Context())
		},
	}
	c.Flags().DurationVar(&duration, "duration", 5*time.Second, "how long the accounts are kept backlogged")
	c.Flags().BoolVar(&verbose, "verbose", false, "log what the daemons do to the standard error")
	return c
}
