package standin

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// runCommand starts a subcommand and returns its URL. Like scripts, it reads the
// address from the log.
func runCommand(c *qt.C, args ...string) string {
	ctx, cancel := context.WithCancel(context.Background())
	r, w := io.Pipe()
	cmd := Command()
	cmd.SetArgs(args)
	cmd.SetErr(w)
	ended := make(chan error, 1)
	go func() { ended <- cmd.ExecuteContext(ctx); _ = w.Close() }()
	c.Cleanup(func() {
		cancel()
		c.Assert(<-ended, qt.IsNil)
	})
	var line struct{ Address string }
	c.Assert(json.NewDecoder(r).Decode(&line), qt.IsNil)
	return "http://" + line.Address
}

func TestSubcommands(t *testing.T) {
	c := qt.New(t)
	for _, name := range []string{"key-value", "host-list", "engine", "service"} {
		c.Run(name, func(c *qt.C) {
			url := runCommand(c, name, "--delay", "1ms", "--fault", `{"seed":7}`)
			r, err := http.Get(url + "/admin/fault")
			c.Assert(err, qt.IsNil)
			defer func() { _ = r.Body.Close() }()
			var f struct {
				Delay string
				Seed  int
			}
			c.Assert(json.NewDecoder(r.Body).Decode(&f), qt.IsNil)
			c.Assert(f.Delay, qt.Equals, time.Millisecond.String())
			c.Assert(f.Seed, qt.Equals, 7)
		})
	}
	c.Run("a misspelt fault is an error", func(c *qt.C) {
		cmd := Command()
		cmd.SetArgs([]string{"engine", "--fault", `{"dealy":"1s"}`})
		cmd.SetErr(&bytes.Buffer{})
		c.Assert(cmd.Execute(), qt.ErrorMatches, "read faults: .*dealy.*")
	})
}
