package command

import (
	"fmt"

	"github.com/pkg/errors"
	"github.com/spf13/cobra"
)

// Exit codes of the program.
const (
	CodeOK       = 0
	CodeFailure  = 1 // nothing was changed
	CodeUsage    = 2 // wrong arguments
	CodeConflict = 3 // the base version is not the current one
	CodeUnknown  = 4 // the change may or may not have been accepted
)

// ExitError is an error that determines the exit code of the program.
type ExitError struct {
	Code int
	Err  error
}

// Error implements error.
func (e *ExitError) Error() string { return e.Err.Error() }

// Unwrap returns the cause.
func (e *ExitError) Unwrap() error { return e.Err }

func usagef(format string, args ...any) error {
	return &ExitError{Code: CodeUsage, Err: fmt.Errorf(format, args...)}
}

// exactArgs rejects calls without exactly n arguments. In contrast to
// cobra.ExactArgs, the error carries CodeUsage and shows the use line.
func exactArgs(n int) cobra.PositionalArgs {
	return func(c *cobra.Command, args []string) error {
		if len(args) != n {
			return usagef("%d arguments given; usage: %s", len(args), c.UseLine())
		}
		return nil
	}
}

func exitCode(err error, ran bool) int {
	var exit *ExitError
	switch {
	case errors.As(err, &exit):
		return exit.Code
	case !ran:
		return CodeUsage
	default:
		return CodeFailure
	}
}
