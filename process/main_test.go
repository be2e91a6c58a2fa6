// Package process tests fleets of daemon processes under faults. Each daemon is
// a child process that runs this test binary, so that a test can kill, suspend
// and stop it like the real program. The stand-ins run in the test process.
package process

import (
	"encoding/csv"
	"flag"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"rattanline.example/rattanline/daemon"
)

// daemonVariable is the environment variable that makes the test binary run as a
// daemon instead of running the tests.
const daemonVariable = "RATTANLINE_PROCESS_TEST_DAEMON"

var (
	seed         = flag.Uint64("seed", 1, "seed of the random faults and loads")
	csvDirectory = flag.String("csv", "", "directory for the measured figures as CSV")
	logDirectory = flag.String("logs", "", "directory for the logs of the daemons")
	reservations = flag.Int("reservations", 0, "reservations for each seed; zero: 500")
	answers      = flag.Int("answers", 0, "answers whose digest is checked; zero: 4,000")
)

func TestMain(m *testing.M) {
	if os.Getenv(daemonVariable) != "" {
		os.Exit(daemon.Execute(os.Args[1:], os.Stdout, os.Stderr))
	}
	os.Exit(m.Run())
}

// orShort returns short under go test -short, and normal otherwise.
func orShort(normal, short int) int {
	if testing.Short() {
		return short
	}
	return normal
}

// writeCSV writes the rows to NAME.csv in the directory of the flag -csv. It does
// nothing if the flag is not set.
func writeCSV(c *qt.C, name string, rows [][]string) {
	if *csvDirectory == "" {
		return
	}
	c.Assert(os.MkdirAll(*csvDirectory, 0o755), qt.IsNil)
	f, err := os.Create(filepath.Join(*csvDirectory, name+".csv"))
	c.Assert(err, qt.IsNil)
	defer f.Close()
	c.Assert(csv.NewWriter(f).WriteAll(rows), qt.IsNil)
}

// eventually polls the check until it returns nil, and fails the test if it does
// not within the limit.
func eventually(c *qt.C, limit time.Duration, what string, check func() error) {
	c.Helper()
	deadline := time.Now().Add(limit)
	for {
		err := check()
		if err == nil {
			return
		}
		if time.Now().After(deadline) {
			c.Fatalf("%s: not within %s: %v", what, limit, err)
		}
		time.Sleep(20 * time.Millisecond)
	}
}

// percentile returns the value below which the given fraction of the durations
// lies, zero for no durations.
func percentile(d []time.Duration, fraction float64) time.Duration {
	if len(d) == 0 {
		return 0
	}
	d = slices.Sorted(slices.Values(d))
	return d[min(len(d)-1, int(fraction*float64(len(d))))]
}

// formatMilliseconds returns the number of milliseconds with one decimal place.
func formatMilliseconds(d time.Duration) string {
	return fmt.Sprintf("%.1f", float64(d)/float64(time.Millisecond))
}
