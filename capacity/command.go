package capacity

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

// baseScenario is the fleet of which the sweeps change one size at a time.
var baseScenario = Scenario{Daemons: 27, Domains: 3, Accounts: 128, Targets: 150}

// sweep measures baseScenario with several values of one size.
type sweep struct {
	name   string
	values []int
	apply  func(Scenario, int) Scenario
}

var sweeps = []sweep{
	{"daemons", []int{9, 27, 81, 243}, func(c Scenario, v int) Scenario { c.Daemons = v; return c }},
	{"accounts", []int{16, 128, 980}, func(c Scenario, v int) Scenario { c.Accounts = v; return c }},
	{"targets", []int{15, 150, 1400}, func(c Scenario, v int) Scenario { c.Targets = v; return c }},
	{"domains", []int{3, 9, 27}, func(c Scenario, v int) Scenario { c.Domains = v; return c }},
}

// Command returns the subcommand that measures the cost of the control plane.
func Command() *cobra.Command {
	var settle, duration, interval time.Duration
	var path, only string
	var idle bool
	c := &cobra.Command{
		Use: "capacity", Short: "Measure what control costs each daemon against the size of the fleet",
		Args: cobra.NoArgs,
		Long: `Runs fleets of several sizes in this process, over real links on loopback, and
prints bytes, processor time and heap of each daemon with straight lines fitted
to them. One size is changed at a time; the others stay at ` + fmt.Sprintf("%d daemons,\n%d failure domains, %d client accounts (a tenth backlogged), %d targets.",
			baseScenario.Daemons, baseScenario.Domains, baseScenario.Accounts, baseScenario.Targets),
		RunE: func(c *cobra.Command, _ []string) error {
			var costs []Cost
			for _, s := range sweeps {
				if only != "" && only != s.name {
					continue
				}
				var measured []Cost
				for _, v := range s.values {
					scenario := s.apply(baseScenario, v)
					scenario.Idle, scenario.Interval = idle, interval
					cost, err := Measure(c.Context(), scenario, settle, duration)
					if err != nil {
						return fmt.Errorf("measure %s %d: %w", s.name, v, err)
					}
					measured = append(measured, cost)
				}
				if err := s.print(c.OutOrStdout(), measured); err != nil {
					return err
				}
				costs = append(costs, measured...)
			}
			return writeCSV(path, costs)
		},
	}
	c.Flags().DurationVar(&settle, "settle", 10*time.Second, "time before each measurement")
	c.Flags().DurationVar(&duration, "duration", 8*time.Second, "time of each measurement")
	c.Flags().DurationVar(&interval, "interval", 200*time.Millisecond, "time between heartbeats and exchanges")
	c.Flags().StringVar(&path, "csv", "", "file for the figures as CSV")
	c.Flags().StringVar(&only, "only", "", "measure only this size: daemons, accounts, targets or domains")
	c.Flags().BoolVar(&idle, "idle", false, "without requests")
	return c
}

// figure is a measured value. Its name states the unit.
type figure struct {
	name string
	of   func(Cost) float64
}

var figures = []figure{
	{"requests/s, fleet", func(c Cost) float64 { return c.RequestsPerSecond }},
	{"bytes/s, mean", func(c Cost) float64 { return c.MeanBytesPerSecond }},
	{"bytes/s, largest", func(c Cost) float64 { return c.MaxBytesPerSecond }},
	{"core, %", func(c Cost) float64 { return 100 * c.CPUFraction }},
	{"heap, KiB", func(c Cost) float64 { return c.HeapBytes / 1024 }},
	{"platform reads/s, fleet", func(c Cost) float64 { return c.ReadsPerSecond }},
	{"platform writes/s, fleet", func(c Cost) float64 { return c.WritesPerSecond }},
}

// print writes a table of the figures of a sweep and of the lines fitted to them.
func (s sweep) print(out io.Writer, measured []Cost) error {
	x := make([]float64, len(s.values))
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintf(w, "%s\t", s.name)
	for i, v := range s.values {
		x[i] = float64(v)
		fmt.Fprintf(w, "%d\t", v)
	}
	fmt.Fprintln(w, "slope\tintercept\terror\texplained\t")
	for _, f := range figures {
		y := make([]float64, len(measured))
		fmt.Fprintf(w, "%s\t", f.name)
		for i, c := range measured {
			y[i] = f.of(c)
			fmt.Fprintf(w, "%.4g\t", y[i])
		}
		l := Fit(x, y)
		fmt.Fprintf(w, "%.3g\t%.3g\t%.2g\t%.2f\t\n", l.Slope, l.Intercept, l.ResidualDeviation, l.RSquared)
	}
	fmt.Fprintln(w)
	if err := w.Flush(); err != nil {
		return fmt.Errorf("print figures: %w", err)
	}
	return nil
}

// writeCSV writes one row for each scenario to a file. It does nothing if the path is
// empty.
func writeCSV(path string, costs []Cost) error {
	if path == "" {
		return nil
	}
	file, err := os.Create(path)
	if err != nil {
		return fmt.Errorf("write CSV: %w", err)
	}
	defer file.Close()
	w := csv.NewWriter(file)
	header := []string{"daemons", "domains", "accounts", "targets"}
	for _, f := range figures {
		header = append(header, f.name)
	}
	rows := [][]string{header}
	for _, c := range costs {
		row := []string{strconv.Itoa(c.Daemons), strconv.Itoa(c.Domains), strconv.Itoa(c.Accounts), strconv.Itoa(c.Targets)}
		for _, f := range figures {
			row = append(row, strconv.FormatFloat(f.of(c), 'g', 6, 64))
		}
		rows = append(rows, row)
	}
	if err := w.WriteAll(rows); err != nil {
		return fmt.Errorf("write CSV: %w", err)
	}
	return nil
}
