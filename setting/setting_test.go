package setting_test

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/rs/zerolog"

	"rattanline.example/rattanline/setting"
)

const plain = `name: d1
host: h1
failure-domain: east
entry-address: :8080
entry-url: http://127.0.0.1:8080
link-address: 127.0.0.1:8081
link-advertise: 127.0.0.1:8081
operator-address: localhost:8082
tls-mode: plain
platform-url: http://127.0.0.1:2379
`

// Guards against defaults that differ from the design page.
func TestDefaults(t *testing.T) {
	c := qt.New(t)
	s, err := setting.Parse([]byte(plain))
	c.Assert(err, qt.IsNil)
	c.Assert(s, qt.DeepEquals, setting.Settings{
		Name: "d1", Host: "h1", FailureDomain: "east",
		EntryAddress: ":8080", EntryURL: "http://127.0.0.1:8080",
		LinkAddress: "127.0.0.1:8081", LinkAdvertise: "127.0.0.1:8081", OperatorAddress: "localhost:8082",
		TLS: setting.TLS{Mode: setting.Plain}, PlatformURL: "http://127.0.0.1:2379",
		ExchangeInterval: 200 * time.Millisecond, CoordinatorLease: 5 * time.Second, OwnerLease: 3 * time.Second,
		FollowerLease: 6 * time.Second, SlotLease: 3 * time.Second, RenewInterval: time.Second, OrphanTime: 10 * time.Second,
		Slack: 2, DemandFanOut: 16, LocalitySlack: 5 * time.Millisecond, RetryRatio: 0.1,
		StopDeadline: time.Minute, IsolationPolicy: setting.Refuse, IsolationLimit: 5 * time.Second,
		EntriesTTL: 10 * time.Second, MaxBody: 8 << 20,
		ClaimWriteRate: 8, ClaimExpiry: 10 * time.Minute,
		TimelineEvents: 4096, LogLevel: zerolog.InfoLevel,
	})
}

// Guards against settings that are silently ignored or misread.
func TestValues(t *testing.T) {
	c := qt.New(t)
	path := filepath.Join(t.TempDir(), "d1.yaml")
	mutual := strings.Replace(plain, "tls-mode: plain", "tls-certificate: c.pem\ntls-key: k.pem\ntls-authority: a.pem", 1)
	text := mutual + "peers:\n  - 10.0.0.1:81\n  - 10.0.0.2:81\nmax-body: 512KiB\nlog-level: debug\nslack: 1.5\nisolation-policy: serve\nhost-list-url: \"\"\n"
	c.Assert(os.WriteFile(path, []byte(text), 0o600), qt.IsNil)
	s, err := setting.Load(path)
	c.Assert(err, qt.IsNil)
	c.Assert(s.TLS, qt.Equals, setting.TLS{Mode: setting.Mutual, Certificate: "c.pem", Key: "k.pem", Authority: "a.pem"})
	c.Assert(s.Peers, qt.DeepEquals, []string{"10.0.0.1:81", "10.0.0.2:81"})
	c.Assert(s.MaxBody, qt.Equals, int64(512<<10))
	c.Assert(s.LogLevel, qt.Equals, zerolog.DebugLevel)
	c.Assert(s.Slack, qt.Equals, 1.5)
	c.Assert(s.IsolationPolicy, qt.Equals, setting.Serve)
}

// Guards against invalid settings that are accepted, or whose errors lack the line
// or the name.
func TestErrors(t *testing.T) {
	for _, o := range []struct{ name, old, new, want string }{
		{"unknown", "host:", "hots:", `line 2: hots: unknown setting`},
		{"missing", "host: h1\n", "", `host: the setting is missing`},
		{"no value", "host: h1", "host:", `line 2: host: a value is missing`},
		{"duplicate", "host: h1", "name: d2", `line 2: name: already given on line 1`},
		{"list for a value", "host: h1", "host: [h1]", `line 2: host: must be a single value`},
		{"value for a list", "host: h1", "host: h1\npeers: x", `line 3: peers: must be a list`},
		{"list item", "host: h1", "host: h1\npeers: [x]", `line 3: peers: item 1: "x" is not an address.*`},
		{"syntax", "host: h1", "host: [h1", `line \d+: .*`},
		{"not a mapping", plain, "- a", `line 1: expected a mapping.*`},
		{"empty", plain, "", `the text holds no settings`},
		{"duration", "host: h1", "host: h1\nslot-lease: 3", `line 3: slot-lease: "3" is not a duration.*`},
		{"negative", "host: h1", "host: h1\nlocality-slack: -1s", `line 3: locality-slack: -1s is below 0s`},
		{"part of a second", "host: h1", "host: h1\ncoordinator-lease: 2500ms", `line 3: coordinator-lease: 2.5s is not a whole.*`},
		{"range", "host: h1", "host: h1\nretry-ratio: 2", `line 3: retry-ratio: 2 is not between 0 and 1`},
		{"not a number", "host: h1", "host: h1\nslack: .nan", `line 3: slack: ".nan" is not a number`},
		{"size", "host: h1", "host: h1\nmax-body: 8MB", `line 3: max-body: "8MB" is not a size.*`},
		{"choice", "host: h1", "host: h1\nisolation-policy: maybe", `line 3: isolation-policy: "maybe" is none of refuse, serve`},
		{"URL", "platform-url: http:", "platform-url: tcp:", `line 10: platform-url: .* is not an http or https URL`},
		{"advertise without host", "link-advertise: 127.0.0.1", `link-advertise: `, `line 7: link-advertise: ":8081" has no host.*`},
		{"plain not on loopback", "link-address: 127.0.0.1", "link-address: ", `line 6: link-address: .* not a loopback address.*`},
		{"mutual without files", "tls-mode: plain", "tls-mode: mutual", `tls-certificate \(not given\): a file is required.*`},
		{"lease relation", "host: h1", "host: h1\nfollower-lease: 5s", `line 3: follower-lease: 5s is below twice.*`},
		{"renewal relation", "host: h1", "host: h1\nslot-lease: 1s", `renew-interval \(not given\): 1s is not below.*`},
	} {
		t.Run(o.name, func(t *testing.T) {
			c := qt.New(t)
			c.Assert(strings.Contains(plain, o.old), qt.IsTrue)
			_, err := setting.Parse([]byte(strings.Replace(plain, o.old, o.new, 1)))
			c.Assert(err, qt.ErrorMatches, o.want)
		})
	}
}

// Guards against a reference that lacks a setting of the design page.
func TestReference(t *testing.T) {
	c := qt.New(t)
	c.Assert(setting.Reference(), qt.Contains, "| `slack` | `2` | mean requests |")
	c.Assert(setting.Reference(), qt.Contains, "| `name` | required |")
	c.Assert(setting.Reference(), qt.Contains, "| `host-list-url` | none |")
}
