// Package session tests user sessions from start to end. Each script runs the
// programs as separate processes and compares their output with the expected
// text in the script. "go test ./session -update" rewrites these texts.
package session

import (
	"flag"
	"os"
	"testing"

	"github.com/rogpeppe/go-internal/testscript"

	"rattanline.example/rattanline/command"
	"rattanline.example/rattanline/daemon"
	"rattanline.example/rattanline/demo"
	"rattanline.example/rattanline/standin"
)

var update = flag.Bool("update", false, "rewrite the expected texts of the scripts")

func TestMain(m *testing.M) {
	testscript.Main(m, map[string]func(){
		"rattanline": func() {
			root := command.Root(os.Stdout, os.Stderr)
			root.AddCommand(demo.Command())
			os.Exit(command.Run(root, os.Args[1:]))
		},
		"rattanlined":         func() { os.Exit(daemon.Execute(os.Args[1:], os.Stdout, os.Stderr)) },
		"rattanline-stand-in": func() { os.Exit(standin.Execute(os.Args[1:], os.Stdout, os.Stderr)) },
		"http":                func() { os.Exit(httpMain(os.Args[1:], os.Stdout, os.Stderr)) },
	})
}

// TestSessions guards against faults that tests within one process do not detect:
// wrong exit codes, unclear messages, and documents that differ from what is shown.
func TestSessions(t *testing.T) {
	testscript.Run(t, testscript.Params{
		Dir:                 "testdata/script",
		UpdateScripts:       *update,
		RequireExplicitExec: true,
		RequireUniqueNames:  true,
		Setup: func(e *testscript.Env) error {
			e.Values[maskKey{}] = newMask(e.WorkDir)
			return nil
		},
		Cmds: map[string]func(*testscript.TestScript, bool, []string){
			"await":        await,
			"certificates": certificates,
			"eventually":   eventually,
			"exits":        exits,
			"expand":       expand,
			"mask":         maskOutput,
			"ports":        ports,
			"request-id":   requestID,
			"settings":     settings,
			"terminate":    terminate,
		},
	})
}
