package command

import (
	"cmp"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"strings"
	"text/tabwriter"

	"github.com/spf13/cobra"

	"rattanline.example/rattanline/operator"
)

func status(c *connection) *cobra.Command {
	var asJSON bool
	command := withHelp("status", &cobra.Command{Use: "status", Args: exactArgs(0)})
	command.Flags().BoolVar(&asJSON, "json", false, "print JSON")
	command.RunE = c.withClient(func(ctx context.Context, command *cobra.Command, client *operator.Client, _ []string) error {
		s, err := client.Status(ctx)
		if err != nil {
			return err
		}
		if asJSON {
			encoder := json.NewEncoder(command.OutOrStdout())
			encoder.SetIndent("", "  ")
			return encoder.Encode(s)
		}
		return writeStatus(command.OutOrStdout(), s)
	})
	return command
}

func writeStatus(w io.Writer, s operator.Status) error {
	fmt.Fprintf(w, "version %d; slowest %d at %d daemons; %d of %d daemons don't answer",
		s.Version, s.Slowest, len(s.SlowestDaemons), s.Silent, len(s.Hosts))
	if len(s.Drained) > 0 {
		fmt.Fprintf(w, "; drained: %s", strings.Join(s.Drained, ", "))
	}
	fmt.Fprintln(w)
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(t, "FAILURE DOMAIN\tDAEMON\tHOST\tMEMBER\tSTATE\tVERSION\tRUNNING\tQUEUED\tERROR")
	for _, h := range s.Hosts {
		version, running, queued := fmt.Sprint(h.Version), fmt.Sprint(h.Running), fmt.Sprint(h.Queued)
		if h.Error != "" {
			version, running, queued = "-", "-", "-"
		}
		fmt.Fprintf(t, "%s\t%s\t%s\t%s\t%s\t%s\t%s\t%s\t%s\n", h.FailureDomain, h.Daemon, h.Host,
			h.MemberState, cmp.Or(h.State, "-"), version, running, queued, h.Error)
	}
	return t.Flush()
}
