package edge

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"text/tabwriter"
	"time"

	"github.com/dghubble/sling"
	"github.com/pkg/errors"
	"github.com/spf13/cobra"

	"rattanline.example/rattanline/quarantine"
)

// defaultLocalPort is the port of the listener for operators on the host.
const defaultLocalPort = 9465

// localCallTimeout bounds a call to the daemon on the same host.
const localCallTimeout = 5 * time.Second

// QuarantineCommand returns the command that shows and ends the quarantine of prompt segments.
func QuarantineCommand(stdout io.Writer) *cobra.Command {
	port := defaultLocalPort
	c := &cobra.Command{
		Use:   "quarantine",
		Short: "Show the prompt segments that crash targets, and end the quarantine of one",
		Long:  "Calls the daemon on this host, which knows the same as all others of the fleet.",
		Args:  cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			var list quarantineList
			if err := localCall(localClient(port).Get(quarantinePath), &list); err != nil {
				return err
			}
			return printSegments(stdout, list.Segments)
		},
	}
	c.PersistentFlags().IntVar(&port, "local-port", defaultLocalPort, "port of the daemon's listener on loopback")
	c.AddCommand(&cobra.Command{
		Use:   "lift MODEL SEGMENT",
		Short: "End the quarantine of a prompt segment in the whole fleet",
		Long:  "Ends the quarantine. The segment is quarantined again if it crashes six more targets.",
		Args:  cobra.ExactArgs(2),
		RunE: func(_ *cobra.Command, args []string) error {
			query := struct {
				Model   string `url:"model"`
				Segment string `url:"segment"`
			}{args[0], args[1]}
			return localCall(localClient(port).Delete(quarantinePath).QueryStruct(query), nil)
		},
	})
	return c
}

func localClient(port int) *sling.Sling {
	address := net.JoinHostPort("127.0.0.1", strconv.Itoa(port))
	return sling.New().Client(&http.Client{Timeout: localCallTimeout}).Base("http://" + address)
}

// localCall calls the daemon on this host.
func localCall(call *sling.Sling, reply any) error {
	response, err := call.ReceiveSuccess(reply)
	switch {
	case err != nil:
		return fmt.Errorf("call the daemon on this host: %w", err)
	case response.StatusCode == http.StatusNotFound:
		return errors.New("the segment is not quarantined")
	case response.StatusCode != http.StatusOK:
		return errors.Errorf("the daemon answered %s", response.Status)
	}
	return nil
}

func printSegments(w io.Writer, segments []quarantine.SegmentStatus) error {
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintln(table, "MODEL\tSEGMENT\tQUARANTINED\tINTERRUPTED\tINDEPENDENT\tLAST CRASH\tPROBES\tNEXT PROBE\tTARGETS\tSEEN BY") // Flush reports errors
	for _, s := range segments {
		_, _ = fmt.Fprintf(table, "%s\t%s\t%t\t%d\t%d\t%.0f s ago\t%d\tin %.0f s\t%v\t%v\n", s.Model, s.Segment, s.Quarantined, s.Interrupted, s.Independent,
			s.LastCrashSeconds, s.Probes, s.NextProbeSeconds, s.Targets, s.Daemons)
	}
	if err := table.Flush(); err != nil {
		return fmt.Errorf("print segments: %w", err)
	}
	return nil
}
