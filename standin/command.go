package standin

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/signal"
	"strings"
	"syscall"
	"time"

	"github.com/rs/zerolog"
	"github.com/spf13/cobra"
	"github.com/spf13/pflag"

	"rattanline.example/rattanline/config"
)

// Execute runs the program rattanline-stand-in with the arguments, without its
// own name, until it is interrupted, and returns its exit code.
func Execute(args []string, stdout, stderr io.Writer) int {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	c := Command()
	c.SetArgs(args)
	c.SetOut(stdout)
	c.SetErr(stderr)
	if c.ExecuteContext(ctx) != nil {
		return 1
	}
	return 0
}

// Command returns the command tree of the program rattanline-stand-in.
func Command() *cobra.Command {
	c := &cobra.Command{
		Use:          "rattanline-stand-in",
		Short:        "Run a stand-in of a system around the fleet",
		SilenceUsage: true,
	}
	c.AddCommand(keyValueCommand(), metadataCommand(), hostListCommand(), engineCommand(), serviceCommand())
	return c
}

// faultyHandler is a handler with injected faults of type F, as a subcommand runs
// it.
type faultyHandler[F any] interface {
	http.Handler
	Fault() F
	SetFault(F) error
}

// newServerCommand returns a subcommand that serves the result of makeServer, which
// is called after the flags are parsed.
func newServerCommand[F any](use, short string, makeServer func() faultyHandler[F]) *cobra.Command {
	var listen, fault string
	c := &cobra.Command{
		Use:   use,
		Short: short,
		Args:  cobra.NoArgs,
	}
	c.Flags().StringVar(&listen, "listen", "127.0.0.1:0", "address to listen on")
	c.Flags().StringVar(&fault, "fault", "", "initial faults, as the JSON body of POST /admin/fault")
	var common commonFault
	common.addFlags(c.Flags())
	c.RunE = func(c *cobra.Command, _ []string) error {
		log := zerolog.New(c.ErrOrStderr()).With().Timestamp().Str("stand-in", use).Logger()
		s := makeServer()
		f := s.Fault()
		for _, text := range []string{common.json(c.Flags()), fault} {
			if text == "" {
				continue
			}
			d := json.NewDecoder(strings.NewReader(text))
			d.DisallowUnknownFields()
			if err := d.Decode(&f); err != nil {
				return fmt.Errorf("read faults: %w", err)
			}
		}
		if err := s.SetFault(f); err != nil {
			return fmt.Errorf("set faults: %w", err)
		}
		return Run(c.Context(), listen, s, log)
	}
	return c
}

// commonFault holds the values of the flags for those fields of Fault that have a
// flag. The other fields are set by the flag --fault.
type commonFault struct {
	outage       string
	delay        time.Duration
	loseResponse float64
	seed         uint64
}

func (f *commonFault) addFlags(s *pflag.FlagSet) {
	s.StringVar(&f.outage, "outage", "", `"refuse" answers all calls with 503, "close" closes connections`)
	s.DurationVar(&f.delay, "delay", 0, "delay of each call")
	s.Float64Var(&f.loseResponse, "lose-response", 0, "probability that a response is lost after the call took effect")
	s.Uint64Var(&f.seed, "fault-seed", 0, "seed of the faults")
}

// json returns the faults whose flags were set, in the format of the body of POST
// /admin/fault.
func (f *commonFault) json(s *pflag.FlagSet) string {
	m := map[string]any{}
	for name, v := range map[string][2]any{
		"outage":        {"outage", f.outage},
		"delay":         {"delay", f.delay.String()},
		"lose-response": {"lose-response", f.loseResponse},
		"fault-seed":    {"seed", f.seed},
	} {
		if s.Changed(name) {
			m[v[0].(string)] = v[1]
		}
	}
	data, _ := json.Marshal(m)
	return string(data)
}

func keyValueCommand() *cobra.Command {
	return newServerCommand("key-value", "Key-value service (etcd v3 HTTP/JSON gateway, in memory)",
		func() faultyHandler[KeyValueFault] { return NewKeyValue() })
}

func metadataCommand() *cobra.Command {
	return newServerCommand("metadata", "Metadata store of the platform's machines, in memory",
		func() faultyHandler[MetadataFault] { return NewMetadata() })
}

func hostListCommand() *cobra.Command {
	var lag time.Duration
	c := newServerCommand("host-list", "Host list, empty until POST /admin/hosts",
		func() faultyHandler[HostListFault] {
			h := NewHostList()
			f := h.Fault()
			f.Lag = config.Duration(lag)
			_ = h.SetFault(f)
			return h
		})
	c.Flags().DurationVar(&lag, "lag", 0, "age of the list")
	return c
}

func engineCommand() *cobra.Command {
	var o EngineOptions
	c := newServerCommand("engine", "Model engine with OpenAI chat completions",
		func() faultyHandler[EngineFault] { return NewEngine(o) })
	addTargetFlags(c.Flags(), &o.TargetOptions)
	durationVar(c.Flags(), &o.PromptTime, "prompt-time", 20*time.Millisecond, "time to the first token")
	durationVar(c.Flags(), &o.TokenTime, "token-time", 10*time.Millisecond, "time between tokens of a sequence that decodes alone")
	durationVar(c.Flags(), &o.BatchTime, "batch-time", time.Millisecond, "time added for each other sequence of the batch")
	c.Flags().Uint64Var(&o.Seed, "seed", 1, "seed of the completions")
	c.Flags().StringVar(&o.CrashText, "crash-text", "", "text in a request's body that crashes the engine")
	return c
}

func serviceCommand() *cobra.Command {
	var o ServiceOptions
	c := newServerCommand("service", "Plain service with a ledger of executions",
		func() faultyHandler[ServiceFault] { return NewService(o) })
	addTargetFlags(c.Flags(), &o.TargetOptions)
	durationVar(c.Flags(), &o.ProcessingTime, "work", 20*time.Millisecond, "time of one request")
	return c
}

func addTargetFlags(s *pflag.FlagSet, o *TargetOptions) {
	s.IntVar(&o.Capacity, "capacity", 8, "requests that run at once")
	s.IntVar(&o.MaxWaiting, "max-waiting", 64, "requests that wait, beyond which they are refused")
	s.IntVar(&o.ColdLimit, "cold-limit", 2, "requests that it bears while cold")
	durationVar(s, &o.WarmUp, "warm-up", 5*time.Second, "how long it is cold after a start")
	s.Float64Var(&o.ColdFactor, "cold-factor", 2, "multiple of its times while cold")
	s.StringVar(&o.ColdFailure, "cold-failure", ColdRefuse, `failure of requests beyond the cold limit: "refuse", "abort" or "crash"`)
	s.BoolVar(&o.SilentCold, "silent-cold", false, "hide the warm-up from the load report")
	durationVar(s, &o.LoadLag, "load-lag", 200*time.Millisecond, "age of load reports")
	durationVar(s, &o.RestartTime, "restart", 500*time.Millisecond, "how long it accepts nothing after a crash")
}

// durationVar adds a flag for a duration of the type that configurations use.
func durationVar(s *pflag.FlagSet, d *config.Duration, name string, value time.Duration, usage string) {
	s.DurationVar((*time.Duration)(d), name, value, usage)
}
