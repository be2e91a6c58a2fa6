package command

import (
	"context"
	"time"

	"github.com/spf13/cobra"
	"github.com/spf13/pflag"

	"rattanline.example/rattanline/operator"
)

// connection holds the flags that tell how to reach a daemon.
type connection struct {
	url         string
	certificate string
	key         string
	authority   string
	timeout     time.Duration
}

func (c *connection) flags(f *pflag.FlagSet) {
	f.StringVar(&c.url, "operator", "http://127.0.0.1:8082", "URL of the operators' listener of any daemon")
	f.StringVar(&c.certificate, "certificate", "", "file with the client certificate, PEM")
	f.StringVar(&c.key, "key", "", "file with the key of the certificate, PEM")
	f.StringVar(&c.authority, "authority", "", "file with the authority of the daemons' certificates, PEM")
	f.DurationVar(&c.timeout, "timeout", 30*time.Second, "time after which the command gives up")
}

// open returns a client and a context with the deadline of the command.
func (c *connection) open(command *cobra.Command) (context.Context, context.CancelFunc, *operator.Client, error) {
	given := 0
	for _, file := range []string{c.certificate, c.key, c.authority} {
		if file != "" {
			given++
		}
	}
	if given != 0 && given != 3 {
		return nil, nil, nil, usagef("--certificate, --key and --authority must be given together")
	}
	client, err := operator.NewHTTPClient(c.certificate, c.key, c.authority)
	if err != nil {
		return nil, nil, nil, err
	}
	ctx, cancel := context.WithTimeout(command.Context(), c.timeout)
	return ctx, cancel, &operator.Client{URL: c.url, HTTP: client}, nil
}

// connected makes the function of a command that calls a daemon.
func (c *connection) connected(
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
