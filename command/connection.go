package command

import (
	"context"
	"time"

	"github.com/spf13/cobra"
	"github.com/spf13/pflag"

	"rattanline.example/rattanline/operator"
)

// connection holds the flags with which a command connects to a daemon.
type connection struct {
	url         string
	certificate string
	key         string
	authority   string
	timeout     time.Duration
}

func (c *connection) addFlags(f *pflag.FlagSet) {
	f.StringVar(&c.url, "operator", "http://127.0.0.1:8082", "URL of the operators' listener of any daemon")
	f.StringVar(&c.certificate, "certificate", "", "file with the client certificate, PEM")
	f.StringVar(&c.key, "key", "", "file with the key of the certificate, PEM")
	f.StringVar(&c.authority, "authority", "", "file with the authority of the daemons' certificates, PEM")
	f.DurationVar(&c.timeout, "timeout", 30*time.Second, "time after which the command gives up")
}

// open returns a client for the daemon and a context that ends at the deadline
// of the command.
func (c *connection) open(command *cobra.Command) (context.Context, context.CancelFunc, *operator.Client, error) {
	fileCount := 0
	for _, file := range []string{c.certificate, c.key, c.authority} {
		if file != "" {
			fileCount++
		}
	}
	if fileCount != 0 && fileCount != 3 {
		return nil, nil, nil, usagef("--certificate, --key and --authority must be given together")
	}
	client, err := operator.NewHTTPClient(c.certificate, c.key, c.authority)
	if err != nil {
		return nil, nil, nil, err
	}
	ctx, cancel := context.WithTimeout(command.Context(), c.timeout)
	return ctx, cancel, &operator.Client{URL: c.url, HTTP: client}, nil
}

// withClient returns a RunE function that opens a client and passes it to run.
func (c *connection) withClient(
	run func(ctx context.Context, command *cobra.Command, client *operator.Client, args []string) error,
) func(*cobra.Command, []string) error {
	return func(command *cobra.Command, args []string) error {
		ctx, cancel, client, err := c.open(command)
		if err != nil {
			return err
		}
		defer cancel()
		return run(ctx, command, client, args)
	}
}
