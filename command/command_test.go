package command_test

import (
	"bytes"
	"io"
	"strings"
	"sync"
	"testing"

	qt "github.com/frankban/quicktest"
	"github.com/spf13/cobra"

	"rattanline.example/rattanline/command"
)

// Runs check, submit, diff, show, drain and restore on one configuration.
// Guards against a drain that is lost when an operator submits a file that does
// not mention it, and against a stale base version that is accepted.
func TestConfigurationCommands(t *testing.T) {
	s := newCommandRunner(t)
	out, _ := s.run(0, "check", s.file)
	s.Assert(out, qt.Equals, "valid: 0 accounts, 0 services, 1 failure domains, 0 targets\n")
	out, _ = s.run(0, "submit", s.file, "--base", "0")
	s.Assert(out, qt.Equals, "accepted as version 1\n")
	out, _ = s.run(0, "diff", s.file)
	s.Assert(out, qt.Equals, "no difference from version 1\n")
	shown, _ := s.run(0, "show")
	s.Assert(shown, qt.Contains, "version: 1\n")

	s.run(0, "drain", "east")
	// The file does not state whether the domain is drained, so submit keeps
	// the current state.
	const keptDrain = "= failure-domains/east/drained: true (kept; only drain and restore change it)\n"
	out, _ = s.run(0, "diff", s.file)
	s.Assert(out, qt.Equals, "no difference from version 2\n"+keptDrain)
	// Without --base, the base is the version in the file.
	s.write(shown)
	out, stderr := s.run(command.CodeConflict, "submit", s.file)
	s.Assert(out, qt.Equals, keptDrain)
	s.Assert(stderr, qt.Contains, "the current version is 2")
	out, _ = s.run(0, "submit", s.file, "--base", "2")
	s.Assert(out, qt.Equals, "accepted as version 3\n"+keptDrain)
	shown, _ = s.run(0, "show")
	s.Assert(shown, qt.Contains, "drained: true\n")
	out, _ = s.run(0, "restore", "east")
	s.Assert(out, qt.Equals, "accepted as version 4\n")
	shown, _ = s.run(0, "show")
	s.Assert(shown, qt.Not(qt.Contains), "drained")
}

// Guards against a drain that is lost when several operators drain different
// failure domains at the same time and their writes conflict.
func TestRacingDrains(t *testing.T) {
	s := newCommandRunner(t)
	names := []string{"a", "b", "c", "d"}
	s.write("failure-domains: [{name: a, region: r}, {name: b, region: r}, {name: c, region: r}, {name: d, region: r}]\n")
	s.run(0, "submit", s.file, "--base", "0")
	var operators sync.WaitGroup
	codes := make([]int, len(names))
	for i, n := range names {
		operators.Go(func() {
			codes[i] = command.Execute([]string{"drain", n, "--operator", s.url}, io.Discard, io.Discard)
		})
	}
	operators.Wait()
	s.Assert(codes, qt.DeepEquals, []int{0, 0, 0, 0})
	shown, _ := s.run(0, "show")
	s.Assert(strings.Count(shown, "drained: true"), qt.Equals, len(names))
	s.Assert(shown, qt.Contains, "version: 5\n")
}

// Guards against errors that return the wrong exit code: scripts distinguish
// wrong usage from failures.
func TestExitCodes(t *testing.T) {
	s := newCommandRunner(t)
	s.run(command.CodeUsage, "submit")
	s.run(command.CodeUsage, "submit", s.file)
	s.run(command.CodeUsage, "submit", s.file, "--base", "x")
	s.run(command.CodeUsage, "unheard-of")
	s.run(command.CodeUsage, "show", "--key", "k.pem")
	s.run(command.CodeUsage, "timeline", "--since", "yesterday")
	s.run(command.CodeFailure, "check", "no-such-file")
	s.run(command.CodeFailure, "drain", "east")
	s.write("accounts: [{name: a, share: 0}]\n")
	_, stderr := s.run(command.CodeFailure, "check", s.file)
	s.Assert(stderr, qt.Contains, "line 1: accounts[0].share: 0 is not")
	s.url = "http://127.0.0.1:1"
	s.run(command.CodeFailure, "show")
}

// Guards against a change of unknown outcome that is reported as a failure, and
// against one that can't be resolved by submitting again with the same id.
func TestUnknownOutcome(t *testing.T) {
	s := newCommandRunner(t)
	s.keyValue.unknownOutcome = true
	_, stderr := s.run(command.CodeUnknown, "submit", s.file, "--base", "0", "--timeout", "300ms")
	s.Assert(stderr, qt.Contains, "--base 0 --id ")
	_, id, _ := strings.Cut(strings.TrimSpace(stderr), "--id ")
	s.keyValue.mu.Lock()
	s.keyValue.unknownOutcome = false
	s.keyValue.mu.Unlock()
	for range 2 {
		out, _ := s.run(0, "submit", s.file, "--base", "0", "--id", id)
		s.Assert(out, qt.Equals, "accepted as version 1\n")
	}
}

// Guards against status, timeline and settings output that omits daemons, events
// or settings.
func TestStatusAndTimelineOutput(t *testing.T) {
	s := newCommandRunner(t)
	out, _ := s.run(0, "status")
	s.Assert(out, qt.Equals, `version 3; slowest 3 at 1 daemons; 1 of 2 daemons don't answer
FAILURE DOMAIN  DAEMON  HOST  MEMBER  STATE    VERSION  RUNNING  QUEUED  ERROR
east            d1      h1    live    running  3        12       0       
west            d2      h2    silent  -        -        -        -       timeout
`)
	out, _ = s.run(0, "status", "--json")
	s.Assert(out, qt.Contains, `"slowest": 3`)
	out, _ = s.run(0, "timeline", "--account", "a", "--since", "2026-12-04T08:00:00Z")
	s.Assert(out, qt.Contains, `slot-granted             account="a"`)
	out, _ = s.run(0, "timeline", "--json")
	s.Assert(out, qt.Contains, `"kind":"slot-granted"`)
	out, _ = s.run(0, "timeline", "--host", "other")
	s.Assert(out, qt.Equals, "")
	out, _ = s.run(0, "settings")
	s.Assert(out, qt.Contains, "| `follower-lease` | `6s` |")
}

// Guards against commands without help texts, and against errors of commands
// from other packages that are reported as wrong usage.
func TestCommandTree(t *testing.T) {
	c := qt.New(t)
	var out, stderr bytes.Buffer
	root := command.Root(&out, &stderr)
	for _, o := range root.Commands() {
		c.Check(o.Example, qt.Contains, "  rattanline "+o.Name())
		c.Check(o.Long, qt.Not(qt.Equals), "")
	}
	root.AddCommand(&cobra.Command{Use: "extra", RunE: func(*cobra.Command, []string) error { return io.ErrUnexpectedEOF }})
	c.Assert(command.Run(root, []string{"extra"}), qt.Equals, command.CodeFailure)
	c.Assert(stderr.String(), qt.Equals, "rattanline: unexpected EOF\n")
}
