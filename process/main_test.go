// Package process tests fleets of whole daemon processes under failure. Each
// daemon is this test binary started again, so that it can be killed, frozen
// and stopped like the program; the stand-ins run inside the test.
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

// asDaemon is the environment variable that makes the test binary a daemon.
const asDaemon = "RATTANLINE_PROCESS_TEST_DAEMON"

var (
	seed         = flag.Uint64("seed", 1, "seed of the random faults and loads")
	csvDirectory = flag.String("csv", "", "directory for the measured figures as CSV")
	logDirectory = flag.String("logs", "", "directory for the logs of the daemons")
	reservations = flag.Int("reservations", 0, "reservations for each seed; zero: 500")
	answers      = flag.Int("answers", 0, "answers whose digest is checked; zero: 4,000")
)

func TestMain(m *testing.M) {
	if os.Getenv(asDaemon) != "" {
		os.Exit(daemon.Execute(os.Args[1:], os.Stdout, os.Stderr))
	}
	os.Exit(m.Run())
}

// orShort returns the smaller number for go test -short.
func orShort(normal, short int) int {
	if testing.Short() {
		return short
	}
	return normal
}

// writeCSV writes measured figures if the flag -csv asks for them.
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

// eventually waits until the check returns no error.
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

// percentile returns the value below which the part of the durations lies.
func percentile(d []time.Duration, part float64) time.Duration {
	if len(d) == 0 {
		return 0
	}
	d = slices.Sorted(slices.Values(d))
	return d[min(len(d)-1, int(part*float64(len(d))))]
}

func ms(d time.Duration) string { return fmt.Sprintf("%.1f", float64(d)/float64(time.Millisecond)) }
