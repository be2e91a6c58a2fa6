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

// asDaemon is the environment variable that makes the test binary run as a daemon.
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

// logDirectory returns the directory for the settings and logs of the daemons.
func logDirectory(t *testing.T) string {
	if *logs != "" {
		return *logs
	}
	return t.TempDir()
}

func assertNoViolations(t *testing.T, o Options) {
	t.Helper()
	o.Program, o.Environment = []string{os.Args[0], "machine"}, []string{asDaemon + "=1"}
	o.Directory = logDirectory(t)
	r, err := Run(context.Background(), o)
	qt.Assert(t, err, qt.IsNil)
	var out bytes.Buffer
	Print(&out, r)
	t.Log(out.String())
	qt.Assert(t, r.Violations, qt.HasLen, 0)
}

// Guards against guarantees that hold under each fault alone and are violated when
// faults overlap.
func TestSoak(t *testing.T) {
	assertNoViolations(t, Options{Seed: *seed, Daemons: 4, FaultDuration: 6 * time.Second})
}

// Guards against what daemons know of crashes, keys and leaving targets being lost when all of them
// are killed together, beside other faults.
func TestSoakKillsAll(t *testing.T) {
	assertNoViolations(t, Options{Seed: *seed, Daemons: 4, FaultDuration: 9 * time.Second, Kills: 2})
}

// regressions are seeds whose faults once led to a violation, with its cause.
var regressions = []struct {
	seed  uint64
	cause string
}{}

// Guards against the return of errors that earlier runs of the soak found.
func TestRegressions(t *testing.T) {
	for _, r := range regressions {
		t.Run(fmt.Sprint(r.seed), func(t *testing.T) {
			assertNoViolations(t, Options{Seed: r.seed, Daemons: 4, FaultDuration: 8 * time.Second})
		})
	}
}

// Guards against a checker that misses violations: each case violates one rule and
// expects a report under its name.
func TestCheckerReportsViolations(t *testing.T) {
	reserve, lookup := kinds[0], kinds[1]
	now := time.Now()
	for rule, violate := range map[string]func(*checker){
		"TWICE": func(c *checker) {
			c.executionStarted("t", "reserve", "/p", "b", "a")
			c.executionStarted("t", "reserve", "/p", "b", "a")
		},
		"REFUSED": func(c *checker) {
			c.executionStarted("t", "reserve", "/p", "b", "a")
			c.requestEnded(c.requests["reserve"], 503, false)
		},
		"UNASKED": func(c *checker) { c.requestArrived("desk", "t", "unknown", false) },
		"REVOKED": func(c *checker) {
			c.keyRevoked["k"] = now.Add(-revokeTime - time.Second)
			c.executionStarted("t", "reserve", "/p", "b", "a")
		},
		"DENIED": func(c *checker) { c.requestEnded(c.requests["lookup"], 404, false) },
		"DRAIN": func(c *checker) {
			c.leavingSince["t"] = now.Add(-drainTime - time.Second)
			c.requestArrived("desk", "t", "lookup", false)
		},
		"LEAVING": func(c *checker) {
			c.leavingAnnounced("t", "lookup")
			c.notices.leavingAt[pair{"t", "d"}] = now.Add(-drainTime - time.Second)
			c.requestArrived("desk", "t", "lookup", false)
		},
		"PAUSE": func(c *checker) {
			c.timeAsked("t", "lookup", time.Minute)
			c.notices.pauses[pair{"t", "d"}].from = now.Add(-time.Second)
			for range maxArrivalsInPause + 1 {
				c.requestArrived("desk", "t", "lookup", false)
			}
		},
		"POISON": func(c *checker) {
			c.requests["lookup"].poisoned = true
			for range freePoisonCrashes {
				c.recordPoisonCrash()
			}
			c.poison.crashes[freePoisonCrashes-1] = now.Add(-reconnectTime - time.Second)
			for range maxLatePoison + 1 {
				c.requestArrived("engine", "t", "lookup", false)
			}
		},
		"DIRECTORY": func(c *checker) {
			c.endedAt["d"] = now.Add(-staleDirectoryLimit - time.Second)
			c.directoryAnswered("x", []string{"d"})
		},
		"COLD": func(c *checker) {
			for range 30 {
				c.requestArrived("engine", "t", "lookup", true)
			}
			c.finish(now)
		},
	} {
		t.Run(rule, func(t *testing.T) {
			c := newChecker()
			c.requestSent(&sentRequest{kind: reserve, id: "reserve", at: now, path: "/p", body: "b", key: "k", account: "a", frontend: "d"})
			c.requestSent(&sentRequest{kind: lookup, id: "lookup", at: now, path: "/p", body: "b", frontend: "d"})
			violate(c)
			found := false
			for _, v := range c.violations {
				found = found || v.Rule == rule
			}
			qt.Assert(t, found, qt.IsTrue, qt.Commentf("%v", c.violations))
		})
	}
}
