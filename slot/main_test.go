package slot_test

import (
	"flag"
	"os"
	"testing"
)

// TestMain fixes the seed and the number of runs of the property tests, so that a run can be repeated.
// Others are tried with -rapid.seed and -rapid.checks.
func TestMain(m *testing.M) {
	flag.Parse()
	// 50 runs find each disabled mechanism and take less than 10 s.
	for name, value := range map[string]string{"rapid.seed": "1", "rapid.checks": "50"} {
		if f := flag.Lookup(name); f.Value.String() == f.DefValue {
			if err := f.Value.Set(value); err != nil {
				panic(err)
			}
		}
	}
	os.Exit(m.Run())
}
