package command

import (
	"context"

	"github.com/google/uuid"
	"github.com/spf13/cobra"

	"rattanline.example/rattanline/operator"
)

func drain(c *connection) *cobra.Command { return setDrained(c, "drain", true) }

func restore(c *connection) *cobra.Command { return setDrained(c, "restore", false) }

func setDrained(c *connection, name string, drained bool) *cobra.Command {
	command := withHelp(name, &cobra.Command{Use: name + " DOMAIN", Args: exactArgs(1)})
	command.RunE = c.withClient(func(ctx context.Context, command *cobra.Command, client *operator.Client, args []string) error {
		outcome, err := client.SetDrained(ctx, args[0], drained, uuid.NewString())
		if err != nil {
			return err
		}
		return printOutcome(command, outcome, "rattanline "+name+" "+args[0])
	})
	return command
}
