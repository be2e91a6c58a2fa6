package soak

import (
	_ "embed"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"time"

	"github.com/pkg/errors"
	"github.com/spf13/cobra"
)

//go:embed help.md
var help string

// Command returns the subcommand that runs the soak.
func Command() *cobra.Command {
	var o Options
	var first, count uint64
	var program, keep string
	c := &cobra.Command{
		Use: "soak", Short: "Run daemons as processes under random faults and check what callers and targets see",
		Long: help, Args: cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			if program == "" {
				own, err := os.Executable()
				if err != nil {
					return fmt.Errorf("find the daemon's program: %w", err)
				}
				program = filepath.Join(filepath.Dir(own), "rattanlined")
			}
			o.Program = []string{program, "machine"}
			broken := 0
			for seed := first; seed < first+count; seed++ {
				directory, err := os.MkdirTemp(keep, fmt.Sprintf("soak-%d-", seed))
				if err != nil {
					return fmt.Errorf("create directory: %w", err)
				}
				o.Seed, o.Directory = seed, directory
				r, err := Run(c.Context(), o)
				if err != nil {
					return fmt.Errorf("run seed %d: %w", seed, err)
				}
				Print(c.OutOrStdout(), r)
				if len(r.Violations) == 0 && keep == "" {
					_ = os.RemoveAll(directory)
				} else if len(r.Violations) > 0 {
					broken++
					fmt.Fprintf(c.OutOrStdout(), "  logs in %s\n", directory)
				}
			}
			if broken > 0 {
				return errors.Errorf("promises broken with %d of %d seeds", broken, count)
			}
			return nil
		},
	}
	c.Flags().Uint64Var(&first, "seed", 1, "first seed")
	c.Flags().Uint64Var(&count, "seeds", 1, "number of seeds")
	c.Flags().IntVar(&o.Daemons, "machines", 6, "number of daemons")
	c.Flags().DurationVar(&o.FaultDuration, "duration", 20*time.Second, "how long faults are injected")
	c.Flags().IntVar(&o.Kills, "kills", 0, "how often all daemons are killed at the same time")
	c.Flags().StringVar(&program, "program", "", "the daemon's program; by default rattanlined beside this one")
	c.Flags().StringVar(&keep, "logs", "", "directory in which settings and logs of all runs are kept")
	return c
}

// Print writes the report as text: a summary line, and the faults and violations
// if there are any violations.
func Print(out io.Writer, r Report) {
	fmt.Fprintf(out, "seed %d: %d requests, %d faults, %d of %d served after the last one, %d crashes by requests, at most %d MB, %d promises broken\n",
		r.Seed, r.Requests, len(r.Faults), r.Served, r.Sent, r.PoisonCrashes, r.PeakMB, len(r.Violations))
	if len(r.Violations) == 0 {
		return
	}
	for _, f := range r.Faults {
		fmt.Fprintf(out, "  fault %s\n", f)
	}
	for i, v := range r.Violations {
		if i == maxPrinted {
			fmt.Fprintf(out, "  and %d more\n", len(r.Violations)-i)
			break
		}
		fmt.Fprintf(out, "  %s at %.1f s: %s\n", v.Rule, v.At.Seconds(), v.Detail)
	}
}

// maxPrinted bounds the violations that are printed for one seed.
const maxPrinted = 10
