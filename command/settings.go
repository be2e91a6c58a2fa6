package command

import (
	"fmt"

	"github.com/spf13/cobra"

	"rattanline.example/rattanline/setting"
)

func settings() *cobra.Command {
	return withHelp("settings", &cobra.Command{
		Use: "settings", Args: exactArgs(0),
		RunE: func(command *cobra.Command, _ []string) error {
			_, err := fmt.Fprint(command.OutOrStdout(), setting.Reference())
			return err
		},
	})
}
