package command

import (
	"bytes"
	"os"
	"path/filepath"
	"testing"

	qt "github.com/frankban/quicktest"
)

// Guards against a faulty settings file of a host that check accepts, and
// against errors that do not name the line and the field.
func TestCheckSettings(t *testing.T) {
	name := filepath.Join(t.TempDir(), "settings.toml")
	check := func(text string) (int, string) {
		qt.Assert(t, os.WriteFile(name, []byte(text), 0o600), qt.IsNil)
		var out, errs bytes.Buffer
		code := Execute([]string{"check", "--settings", name}, &out, &errs)
		return code, out.String() + errs.String()
	}
	good := "node_name = \"m-1\"\nzone = \"a\"\n[listen]\nfrontend = \"10.0.0.1:1\"\nready = \"10.0.0.1:2\"\n" +
		"control_plane = \"10.0.0.1:3\"\ndirectory = \"10.0.0.1:4\"\n[platform]\naddress = \"10.0.0.2:5\"\n"
	code, text := check(good)
	qt.Assert(t, code, qt.Equals, CodeOK)
	qt.Assert(t, text, qt.Equals, "valid: m-1 in a, store 10.0.0.2:5, 0 seeds\n")
	code, text = check("node_name = 7\n")
	qt.Assert(t, code, qt.Equals, CodeFailure)
	qt.Assert(t, text, qt.Matches, "(?s).*settings.toml: .*line 1 .*node_name.*")
	code, text = check("node_name = \"m\"\n")
	qt.Assert(t, code, qt.Equals, CodeFailure)
	qt.Assert(t, text, qt.Matches, "(?s).*field \"zone\" is missing.*")
}
