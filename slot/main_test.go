package slot_test

import (
	"flag"
	"os"
	"testing"
)

// TestMain sets a fixed seed and number of runs for the property tests, so that
// results are reproducible. The flags -rapid.seed and -rapid.checks override them.
func TestMain(m *testing.M) {
	flag.Parse()
	// 50 runs are enough to fail if any one mechanism is disabled, and take less
	// than 10 s.
	for name, value := range map[string]string{"rapid.seed": "1", "rapid.checks": "50"} {
		if f := flag.Lookup(name); f.Value.String() == f.DefValue {
			if err := f.Value.Set(value); err != nil {
				panic(err)
			}
		}
	}
	os.Exit(m.Run())
}
