package config_test

import (
	"testing"

	"rattanline.example/rattanline/config"
)

// Guards against text that crashes the process that parses it. The third seed made
// the YAML library panic.
func FuzzParse(f *testing.F) {
	f.Add([]byte(valid))
	f.Add([]byte("accounts: &a [{name: b, share: 1}]\nservices: *a\n"))
	f.Add([]byte("accounts:\n  - services: !0\n0:0\n  #0"))
	f.Fuzz(func(_ *testing.T, data []byte) {
		_, _ = config.Parse(data)
	})
}
