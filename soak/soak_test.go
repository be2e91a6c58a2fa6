package soak

import (
	"bytes"
	"context"
	"flag"
	"fmt"
	"os"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"rattanline.example/rattanline/daemon"
)

// asDaemon is the environment variable that makes the test binary a daemon.
const asDaemon = "RATTANLINE_SOAK_TEST_DAEMON"

var (
	seed = flag.Uint64("seed", 1, "seed of the faults")
	logs = flag.String("logs", "", "directory for the logs of the daemons")
)

func TestMain(m *testing.M) {
	if os.Getenv(asDaemon) != "" {
		os.Exit(daemon.Execute(os.Args[1:], os.Stdout, os.Stderr))
	}
	os.Exit(m.Run())
}

func assertKept(t *testing.T, o Options) {
	t.Helper()
	o.Program, o.Environment = []string{os.Args[0], "machine"}, []string{asDaemon + "=1"}
	o.Directory = t.TempDir()
	if *logs != "" {
		o.Directory = *logs
	}
	r, err := Run(context.Background(), o)
	qt.Assert(t, err, qt.IsNil)
	var out bytes.Buffer
	Print(&out, r)
	t.Log(out.String())
	qt.Assert(t, r.Violations, qt.HasLen, 0)
}

// Guards against promises that fail when faults overlap.
func TestSoak(t *testing.T) {
	assertKept(t, Options{Seed: *seed, Daemons: 4, FaultDuration: 6 * time.Second})
}

// regressions are the seeds that once showed a broken promise, with the cause.
var regressions = []struct {
	seed  uint64
	cause string
}{}

// Guards against the return of faults that the soak has found.
func TestRegressions(t *testing.T) {
	for _, r := range regressions {
		t.Run(fmt.Sprint(r.seed), func(t *testing.T) { assertKept(t, Options{Seed: r.seed, Daemons: 4, FaultDuration: 8 * time.Second}) })
	}
}

// Guards against a judge that sees nothing: each case breaks one promise.
func TestJudge(t *testing.T) {
	reserve, lookup := kinds[0], kinds[1]
	now := time.Now()
	for rule, breakIt := range map[string]func(*judge){
		"TWICE":   func(j *judge) { j.ran("t", "reserve", "/p", "b", "a"); j.ran("t", "reserve", "/p", "b", "a") },
		"REFUSED": func(j *judge) { j.ran("t", "reserve", "/p", "b", "a"); j.answered(j.requests["reserve"], 503, false) },
		"UNASKED": func(j *judge) { j.arrived("desk", "t", "unknown", false) },
		"REVOKED": func(j *judge) {
			j.revoked["k"] = now.Add(-revokeTime - time.Second)
			j.ran("t", "reserve", "/p", "b", "a")
		},
		"DENIED": func(j *judge) { j.answered(j.requests["lookup"], 404, false) },
		"DRAIN": func(j *judge) {
			j.leaving["t"] = now.Add(-drainTime - time.Second)
			j.arrived("desk", "t", "lookup", false)
		},
		"DIRECTORY": func(j *judge) { j.dead["d"] = now.Add(-deadTime - time.Second); j.named("x", []string{"d"}) },
		"COLD": func(j *judge) {
			for range 30 {
				j.arrived("engine", "t", "lookup", true)
			}
			j.finish(now)
		},
	} {
		t.Run(rule, func(t *testing.T) {
			j := newJudge()
			j.send(&sent{kind: reserve, id: "reserve", at: now, path: "/p", body: "b", key: "k", account: "a", daemon: "d"})
			j.send(&sent{kind: lookup, id: "lookup", at: now, path: "/p", body: "b", daemon: "d"})
			breakIt(j)
			found := false
			for _, v := range j.violations {
				found = found || v.Rule == rule
			}
			qt.Assert(t, found, qt.IsTrue, qt.Commentf("%v", j.violations))
		})
	}
}
