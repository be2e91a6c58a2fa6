package edge

import (
	"fmt"
	"io"
	"text/tabwriter"

	"github.com/spf13/cobra"

	"rattanline.example/rattanline/rollout"
)

// rolloutsPath is the path of the local listener under which operators see the roll-outs.
const rolloutsPath = "/rollouts"

// rolloutList is the body of the answer to GET rolloutsPath.
type rolloutList struct {
	Rollouts []rollout.Summary `json:"rollouts"`
}

// RolloutsCommand returns the command that shows the roll-outs of versions.
func RolloutsCommand(stdout io.Writer) *cobra.Command {
	port := defaultLocalPort
	c := &cobra.Command{
		Use:   "rollouts",
		Short: "Show the roll-outs of versions, and what the daemon on this host saw of them",
		Args:  cobra.NoArgs,
		RunE: func(*cobra.Command, []string) error {
			var list rolloutList
			if err := localCall(localClient(port).Get(rolloutsPath), &list); err != nil {
				return err
			}
			return printRollouts(stdout, list.Rollouts)
		},
	}
	c.Flags().IntVar(&port, "local-port", defaultLocalPort, "port of the daemon's listener on loopback")
	return c
}

func printRollouts(w io.Writer, list []rollout.Summary) error {
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintln(table, "SERVICE\tTO\tPHASE\tELAPSED\tREQUESTS\tTO NEW VERSION\tHELD BACK\tVERDICT\tREASON") // Flush reports errors
	for _, s := range list {
		_, _ = fmt.Fprintf(table, "%s\t%s\t%s\t%.0f s\t%d\t%d\t%t\t%s\t%s\n", s.Service, s.To, s.Phase, s.ElapsedSeconds, s.Requests, s.Exposed, s.HeldBack, s.Verdict, s.Reason)
	}
	if err := table.Flush(); err != nil {
		return fmt.Errorf("print roll-outs: %w", err)
	}
	return nil
}
