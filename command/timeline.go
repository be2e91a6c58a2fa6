package command

import (
	"context"
	"time"

	"github.com/spf13/cobra"

	"rattanline.example/rattanline/operator"
	"rattanline.example/rattanline/timeline"
)

func timelineCommand(c *connection) *cobra.Command {
	var filter timeline.Filter
	var since string
	var asJSON bool
	command := withHelp("timeline", &cobra.Command{Use: "timeline", Args: exactArgs(0)})
	flags := command.Flags()
	flags.StringVar(&filter.Request, "request", "", "only events of this request id")
	flags.StringVar(&filter.Account, "account", "", "only events of this client account")
	flags.StringVar(&filter.Target, "target", "", "only events of this target")
	flags.StringVar(&filter.Host, "host", "", "only events of daemons on this host")
	flags.StringVar(&since, "since", "", "only events after this time (RFC 3339), or not older than this duration")
	flags.BoolVar(&asJSON, "json", false, "print one JSON object a line")
	command.RunE = c.withClient(func(ctx context.Context, command *cobra.Command, client *operator.Client, _ []string) error {
		var err error
		if filter.Since, err = parseSince(since, time.Now()); err != nil {
			return err
		}
		events, err := client.Events(ctx, filter)
		if err != nil {
			return err
		}
		if asJSON {
			return timeline.WriteJSON(command.OutOrStdout(), events)
		}
		return timeline.WriteText(command.OutOrStdout(), events)
	})
	return command
}

func parseSince(text string, now time.Time) (time.Time, error) {
	if text == "" {
		return time.Time{}, nil
	}
	if d, err := time.ParseDuration(text); err == nil && d >= 0 {
		return now.Add(-d), nil
	}
	t, err := time.Parse(time.RFC3339, text)
	if err != nil {
		return time.Time{}, usagef("--since: %q is neither a duration such as 10m nor a time such as 2026-01-31T12:00:00Z", text)
	}
	return t, nil
}
