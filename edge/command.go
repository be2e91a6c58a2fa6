package edge

import (
	"context"
	"fmt"
	"io"
	"net"
	"os"
	"os/signal"
	"runtime/debug"
	"strconv"
	"syscall"
	"time"

	"github.com/rs/zerolog"
	"github.com/rs/zerolog/diode"
	"github.com/spf13/cobra"

	"rattanline.example/rattanline/platform"
)

const (
	// logBufferLines is the capacity of the log buffer. When it is full, new lines
	// overwrite the oldest ones, which are counted as dropped, so that logging never
	// delays a request.
	logBufferLines = 4096
	// logTimeFormat is RFC 3339 with milliseconds.
	logTimeFormat = "2006-01-02T15:04:05.000Z07:00"
	// memoryLimitPercent is the soft memory limit of the Go runtime in percent of
	// HostSettings.MemoryMB. Above it the garbage collector runs more often.
	memoryLimitPercent = 62
)

// CommandName is the name of the command that runs a daemon on one of the platform's hosts.
const CommandName = "machine"

// CatchHangups makes SIGHUP no longer end the process. The settings are read after it, so that
// a signal that arrives before then needs no other answer.
func CatchHangups() { signal.Notify(make(chan os.Signal, 1), syscall.SIGHUP) }

// Command returns the command that runs a daemon on one of the platform's hosts.
func Command(stdout io.Writer) *cobra.Command {
	var ports listenerPorts
	c := &cobra.Command{
		Use:   CommandName,
		Short: "Run a daemon on a machine of the platform",
		Long: "Runs a daemon with the settings file that the environment variable " + platform.SettingsVariable +
			" names.\nLogs are JSON lines on the standard output.",
		Args: cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error { return run(c.Context(), stdout, ports) },
	}
	c.Flags().IntVar(&ports.metrics, "metrics-port", 0, "port of the machine's address that serves /metrics; 0 for none")
	c.Flags().IntVar(&ports.local, "local-port", defaultLocalPort, "port of the loopback address that serves operators on this machine; 0 for none")
	return c
}

// listenerPorts holds the ports of the listeners that the settings file doesn't name.
type listenerPorts struct{ metrics, local int }

func run(ctx context.Context, stdout io.Writer, ports listenerPorts) error {
	signals := make(chan os.Signal, 4)
	signal.Notify(signals, os.Interrupt, syscall.SIGTERM, syscall.SIGHUP)
	path := os.Getenv(platform.SettingsVariable)
	settings, err := platform.LoadSettings(path)
	if err != nil {
		return err
	}
	debug.SetMemoryLimit(int64(settings.MemoryMB) << 20 * memoryLimitPercent / 100)
	zerolog.TimeFieldFormat = logTimeFormat
	writer := diode.NewWriter(stdout, logBufferLines, 0, func(missed int) { droppedLogLines.Add(missed) })
	defer func() { _ = writer.Close() }()
	logger := zerolog.New(writer).With().Timestamp().Str("daemon", settings.Name).
		Str("failure-domain", settings.FailureDomain).Logger()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	d := &Daemon{Settings: settings, Logger: logger}
	if ports.metrics > 0 {
		d.MetricsAddress = net.JoinHostPort(settings.IP, strconv.Itoa(ports.metrics))
	}
	if ports.local > 0 {
		d.LocalAddress = net.JoinHostPort("127.0.0.1", strconv.Itoa(ports.local))
	}
	go d.watch(ctx, cancel, signals, path)
	if err := d.Run(ctx); err != nil {
		return fmt.Errorf("run daemon: %w", err)
	}
	return nil
}

// settingsPollInterval is the interval between two reads of the settings file,
// which may change without a signal.
const settingsPollInterval = 2 * time.Second

// watch reloads the settings file on SIGHUP and every settingsPollInterval. On any
// other signal it cancels the daemon's context.
func (d *Daemon) watch(ctx context.Context, cancel context.CancelFunc, signals <-chan os.Signal, path string) {
	for {
		select {
		case <-ctx.Done():
			return
		case s := <-signals:
			d.Logger.Info().Str("signal", s.String()).Msg("signal received")
			if s != syscall.SIGHUP {
				cancel()
				return
			}
			d.reload(path)
		case <-time.After(settingsPollInterval):
			d.reload(path)
		}
	}
}
