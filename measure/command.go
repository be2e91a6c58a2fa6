package measure

import (
	"encoding/csv"
	"fmt"
	"io"
	"os"
	"strconv"
	"text/tabwriter"
	"time"

	"github.com/spf13/cobra"
)

// Command returns "measure" with its subcommands.
func Command() *cobra.Command {
	c := &cobra.Command{Use: "measure", Short: "Measure fairness and the cost of control on fleets inside this process"}
	c.AddCommand(fairnessCommand(), localCommand())
	return c
}

func localCommand() *cobra.Command {
	f := &fairness{}
	c := &cobra.Command{
		Use:   "local",
		Short: "Simulate daemons that start requests without asking the owners of targets",
		Long: "Simulates the deployments of the design page with two rules that need no owners of targets, and prints\n" +
			"what becomes of the limits, the use of the slots and the gap between accounts.",
		Args: cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			return printFigures(c.OutOrStdout(), f, f.compareLocalRules())
		},
	}
	c.Flags().Uint64Var(&f.seed, "seed", 1, "seed of the costs")
	c.Flags().DurationVar(&f.duration, "duration", 15*time.Second, "the time T")
	return c
}

func fairnessCommand() *cobra.Command {
	f := &fairness{}
	var path string
	c := &cobra.Command{
		Use:   "fairness",
		Short: "Measure how fairly and how fully a fleet shares its targets",
		Long: "Runs the two deployments of the design page with real dispatchers over a link with delay and loss,\n" +
			"and prints the measured figures next to their aims. T is the duration; gaps are measured until T and 4T.",
		Args: cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			figures, err := f.run(c.Context())
			if err != nil {
				return err
			}
			if path != "" {
				if err := writeCSV(path, figures); err != nil {
					return err
				}
			}
			return printFigures(c.OutOrStdout(), f, figures)
		},
	}
	c.Flags().Uint64Var(&f.seed, "seed", 1, "seed of costs, losses and arrivals")
	c.Flags().DurationVar(&f.duration, "duration", 15*time.Second, "the time T")
	c.Flags().StringVar(&path, "csv", "", "also write the figures to this `FILE`")
	return c
}

func printFigures(out io.Writer, f *fairness, figures []figure) error {
	fmt.Fprintf(out, "seed %d, T %s, cost unit %s at a target\n", f.seed, f.duration, timePerCost)
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "deployment\tfigure\tcosts\tplacement\tvalue\tunit\taim")
	for _, v := range figures {
		fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%.4g\t%s\t%s\n", v.Deployment, v.Name, v.Costs, v.Placement, v.Value, v.Unit, v.Aim)
	}
	return w.Flush()
}

func writeCSV(path string, figures []figure) error {
	file, err := os.Create(path)
	if err != nil {
		return fmt.Errorf("create figures file: %w", err)
	}
	w := csv.NewWriter(file)
	rows := [][]string{{"deployment", "figure", "costs", "placement", "value", "unit", "aim"}}
	for _, v := range figures {
		value := strconv.FormatFloat(v.Value, 'g', 6, 64)
		rows = append(rows, []string{v.Deployment, v.Name, v.Costs, v.Placement, value, v.Unit, v.Aim})
	}
	if err := w.WriteAll(rows); err != nil {
		_ = file.Close()
		return fmt.Errorf("write figures: %w", err)
	}
	if err := file.Close(); err != nil {
		return fmt.Errorf("close figures file: %w", err)
	}
	return nil
}
