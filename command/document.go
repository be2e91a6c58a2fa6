package command

import (
	"context"
	"fmt"
	"io"
	"os"
	"strings"

	"github.com/google/uuid"
	"github.com/pkg/errors"
	"github.com/spf13/cobra"

	"rattanline.example/rattanline/config"
	"rattanline.example/rattanline/operator"
	"rattanline.example/rattanline/platform"
	"rattanline.example/rattanline/submission"
)

// readDocument reads a document from a file, or from the standard input if the
// name is "-".
func readDocument(command *cobra.Command, name string) (config.Document, error) {
	var data []byte
	var err error
	if name == "-" {
		data, err = io.ReadAll(io.LimitReader(command.InOrStdin(), config.MaxTextBytes+1))
	} else {
		data, err = os.ReadFile(name)
	}
	if err != nil {
		return config.Document{}, fmt.Errorf("read document: %w", err)
	}
	d, err := config.Parse(data)
	if err != nil {
		return config.Document{}, &ExitError{CodeFailure, errors.New(prefixLines(name, err))}
	}
	return d, nil
}

// prefixLines prefixes each line of the error, which describes one problem, with
// the file name.
func prefixLines(name string, err error) string {
	return name + ": " + strings.ReplaceAll(err.Error(), "\n", "\n"+name+": ")
}

func check() *cobra.Command {
	settingsFile := false
	c := withHelp("check", &cobra.Command{
		Use: "check FILE", Args: exactArgs(1),
		RunE: func(command *cobra.Command, args []string) error {
			if settingsFile {
				return checkSettings(command, args[0])
			}
			d, err := readDocument(command, args[0])
			if err != nil {
				return err
			}
			fmt.Fprintf(command.OutOrStdout(), "valid: %d accounts, %d services, %d failure domains, %d targets\n",
				len(d.Accounts), len(d.Services), len(d.FailureDomains), len(d.Targets))
			return nil
		},
	})
	c.Flags().BoolVar(&settingsFile, "settings", false, "FILE is the settings file of one of the platform's machines")
	return c
}

// checkSettings checks the settings file of one of the platform's hosts.
func checkSettings(command *cobra.Command, name string) error {
	s, err := platform.LoadSettings(name)
	if err != nil {
		return &ExitError{CodeFailure, errors.New(prefixLines(name, err))}
	}
	fmt.Fprintf(command.OutOrStdout(), "valid: %s in %s, store %s, %d seeds\n", s.Name, s.FailureDomain, s.StoreAddress, len(s.Seeds))
	return nil
}

func submit(c *connection) *cobra.Command {
	var base uint64
	var id string
	command := withHelp("submit", &cobra.Command{Use: "submit FILE", Args: exactArgs(1)})
	command.Flags().Uint64Var(&base, "base", 0, "version that the file was derived from (default: the version in the file)")
	command.Flags().StringVar(&id, "id", "", "id of an earlier submit of the same file whose outcome is unknown")
	command.RunE = c.withClient(func(ctx context.Context, command *cobra.Command, client *operator.Client, args []string) error {
		d, err := readDocument(command, args[0])
		if err != nil {
			return err
		}
		if !command.Flags().Changed("base") {
			if d.Version == 0 {
				return usagef("--base is required, because the file has no version; it is 0 for the first configuration")
			}
			base = d.Version
		}
		r := submission.Request{Base: base, ID: id, Document: d, Resubmitted: id != ""}
		if r.ID == "" {
			r.ID = uuid.NewString()
		}
		outcome, err := client.Submit(ctx, r)
		if err != nil {
			return err
		}
		resolveCommand := fmt.Sprintf("rattanline submit %s --base %d --id %s", args[0], base, r.ID)
		return printOutcome(command, outcome, resolveCommand)
	})
	return command
}

// printOutcome prints the outcome of a change and returns an error unless the
// change was accepted. If the outcome is unknown, the error names
// resolveCommand, the command line that resolves it.
func printOutcome(command *cobra.Command, outcome submission.Outcome, resolveCommand string) error {
	switch o := outcome.(type) {
	case submission.Accepted:
		fmt.Fprintf(command.OutOrStdout(), "accepted as version %d\n%s", o.Version, o.Kept)
		return nil
	case submission.Conflict:
		fmt.Fprint(command.OutOrStdout(), o.Diff)
		return &ExitError{CodeConflict, fmt.Errorf("conflict: the current version is %d; the difference from it is above", o.Current.Version)}
	default:
		return &ExitError{CodeUnknown, fmt.Errorf("the outcome is unknown; resolve it with:\n  %s", resolveCommand)}
	}
}

func show(c *connection) *cobra.Command {
	var atLeast uint64
	command := withHelp("show", &cobra.Command{Use: "show", Args: exactArgs(0)})
	command.Flags().Uint64Var(&atLeast, "at-least", 0, "version that must be shown, or a later one")
	command.RunE = c.withClient(func(ctx context.Context, command *cobra.Command, client *operator.Client, _ []string) error {
		d, err := client.Configuration(ctx, atLeast)
		if err != nil {
			return err
		}
		text, err := d.Marshal()
		if err != nil {
			return err
		}
		_, err = command.OutOrStdout().Write(text)
		return err
	})
	return command
}

func diff(c *connection) *cobra.Command {
	command := withHelp("diff", &cobra.Command{Use: "diff FILE", Args: exactArgs(1)})
	command.RunE = c.withClient(func(ctx context.Context, command *cobra.Command, client *operator.Client, args []string) error {
		d, err := readDocument(command, args[0])
		if err != nil {
			return err
		}
		current, err := client.Configuration(ctx, 0)
		if err != nil {
			return err
		}
		d, kept := submission.KeepDrained(current, d)
		text := config.Diff(current, d)
		if text == "" {
			text = fmt.Sprintf("no difference from version %d\n", current.Version)
		}
		_, err = fmt.Fprint(command.OutOrStdout(), text+kept)
		return err
	})
	return command
}
