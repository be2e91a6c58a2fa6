package config_test

import (
	"encoding/json"
	"fmt"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"rattanline.example/rattanline/config"
)

const valid = `accounts:
  - name: counter
    share: 2
    services: [chat, stock]
    key-digests:
      - 6ab9f1eb8f7d3388f4f9d586f66e99fd54080df2c446f0e58668b09c08a16dd0
services:
  - name: chat
    kind: model
    price: {input-token: 0.1, output-token: 1}
  - name: stock
    kind: plain
    price: {request: 5}
    timeout: 30s
failure-domains:
  - name: east
    region: kyushu
targets:
  - name: t1
    service: chat
    failure-domain: east
    url: http://127.0.0.1:9001
    cold-limit: 2
    max-limit: 8
`

func parse(c *qt.C, text string) config.Document {
	c.Helper()
	d, err := config.Parse([]byte(text))
	c.Assert(err, qt.IsNil)
	return d
}

// Guards against a document that changes when it is encoded, as YAML or in the
// stored form, and decoded again.
func TestRoundTrip(t *testing.T) {
	c := qt.New(t)
	d := parse(c, valid).WithDrained("east", true).WithVersion(7)
	text, err := d.Marshal()
	c.Assert(err, qt.IsNil)
	c.Assert(parse(c, string(text)), qt.DeepEquals, d)
	data, err := config.Encode(d)
	c.Assert(err, qt.IsNil)
	var decoded config.Document
	c.Assert(config.Decode(data, &decoded), qt.IsNil)
	c.Assert(decoded, qt.DeepEquals, d)
}

// Guards against invalid documents that are accepted, or whose errors lack the line
// or the field.
func TestParseErrors(t *testing.T) {
	for _, o := range []struct{ name, old, new, want string }{
		{"unknown field", "    share: 2", "    shares: 2", `line 3: accounts\[0\].shares: unknown field.*`},
		{"duplicate field", "    share: 2", "    name: b", `line 3: .*`},
		{"wrong type", "cold-limit: 2", "cold-limit: two", `line 23: targets\[0\].cold-limit: .*`},
		{"syntax", "share: 2", "share: [2", `line \d+: .*`},
		{"duration", "timeout: 30s", "timeout: 30", `line 14: services\[1\].timeout: "30" is not a duration.*`},
		{"share", "share: 2", "share: 0", `line 3: accounts\[0\].share: .*`},
		{"share not a number", "share: 2", "share: .nan", `line 3: accounts\[0\].share: .*`},
		{"account's service", "[chat, stock]", "[chat, none]", `line 4: accounts\[0\].services\[1\]: service "none" does not exist`},
		{"digest", "6ab9f1", "6ab9f1G", `line 6: accounts\[0\].key-digests\[0\]: .*`},
		{"kind", "kind: plain", "kind: tcp", `line 12: services\[1\].kind: "tcp" is neither .*`},
		{"no price", "{request: 5}", "{request: 0}", `line 13: services\[1\].price: at least one .*`},
		{"negative price", "input-token: 0.1", "input-token: -1", `line 10: services\[0\].price.input-token: .*`},
		{"unique name", "name: stock", "name: chat", `line 11: services\[1\].name: "chat" is not unique\n(.|\n)*`},
		{"target's service", "service: chat", "service: none", `line 20: targets\[0\].service: .*`},
		{"domain", "failure-domain: east", "failure-domain: west", `line 21: targets\[0\].failure-domain: .*`},
		{"URL", "http://127.0.0.1:9001", "ftp://x", `line 22: targets\[0\].url: "ftp://x" is not .*`},
		{"cold limit", "cold-limit: 2", "cold-limit: 0", `line 23: targets\[0\].cold-limit: 0 is below 1`},
		{"limits", "max-limit: 8", "max-limit: 1", `line 23: targets\[0\].cold-limit: 2 is above .*`},
		{"missing field", "    url: http://127.0.0.1:9001\n", "", `line 19: targets\[0\].url: .*`},
		{"empty", valid, "# nothing\n", "the text holds no document"},
		{"nested brackets", valid, strings.Repeat("[", 1_000_000), `line 1: more than 64 lists or mappings are nested`},
		{"nested lists", valid, strings.Repeat("- ", 1_000_000), `line 1: more than 64 lists are nested`},
		{"two documents", "targets:", "---\ntargets:", `.*more than one.*`},
	} {
		t.Run(o.name, func(t *testing.T) {
			c := qt.New(t)
			c.Assert(strings.Contains(valid, o.old), qt.IsTrue)
			_, err := config.Parse([]byte(strings.Replace(valid, o.old, o.new, 1)))
			c.Assert(err, qt.ErrorMatches, o.want)
			var problems config.Problems
			c.Assert(err, qt.ErrorAs, &problems)
		})
	}
}

// Guards against a key that is matched to another account, or to one although no
// account has it.
func TestAccountByKey(t *testing.T) {
	c := qt.New(t)
	d := parse(c, valid).WithAccount(config.Account{Name: "b", Share: 1, KeyDigests: []string{config.KeyDigest("k2")}})
	type finder interface {
		AccountByKey(key string) (config.Account, bool)
	}
	for _, f := range []finder{d, config.NewIndex(d)} {
		for key, want := range map[string]string{"secret": "", "k2": "b", "": "", config.KeyDigest("k2"): "", "k1": "counter"} {
			a, ok := f.AccountByKey(key)
			c.Check(a.Name, qt.Equals, want, qt.Commentf("%T %q", f, key))
			c.Check(ok, qt.Equals, want != "")
		}
	}
}

// Guards against lookups whose results differ between the document and its index.
func TestLookups(t *testing.T) {
	c := qt.New(t)
	d := parse(c, valid)
	x := config.NewIndex(d)
	c.Assert(x.TargetsOf("chat"), qt.DeepEquals, d.TargetsOf("chat"))
	c.Assert(x.TargetsOf("stock"), qt.HasLen, 0)
	s, ok := x.Service("chat")
	c.Assert(ok, qt.IsTrue)
	c.Assert(s.Timeout.Std(), qt.Equals, config.DefaultTimeout)
	a, _ := d.Account("counter")
	c.Assert(a.MaxQueued, qt.Equals, config.DefaultMaxQueued)
	_, ok = d.FailureDomain("west")
	c.Assert(ok, qt.IsFalse)
}

// Guards against With methods that modify the document they are called on.
func TestImmutable(t *testing.T) {
	c := qt.New(t)
	d := parse(c, valid)
	d.WithDrained("east", true).WithLeaving("t1", true).WithoutService("chat").
		WithTarget(config.Target{Name: "t1"}).WithoutAccount("counter").WithFailureDomain(config.FailureDomain{Name: "east"})
	c.Assert(d, qt.DeepEquals, parse(c, valid))
}

// Guards against differences that Diff omits, or reports for equal documents.
func TestDiff(t *testing.T) {
	c := qt.New(t)
	d := parse(c, valid)
	c.Assert(config.Diff(d, d.WithVersion(9)), qt.Equals, "")
	changed := d.WithDrained("east", true).WithTarget(config.Target{Name: "t2", Service: "chat"})
	changed.Accounts[0].Services = []string{"stock"}
	c.Assert(config.Diff(parse(c, valid), changed), qt.Equals, `- accounts/counter/services: chat
+ failure-domains/east/drained: true
+ targets/t2/cold-limit: 0
+ targets/t2/failure-domain: 
+ targets/t2/max-limit: 0
+ targets/t2/name: t2
+ targets/t2/service: chat
+ targets/t2/url: 
`)
}

// large returns a document of the size of the largest planned fleet.
func large() config.Document {
	var d config.Document
	for i := range 4 {
		name := fmt.Sprintf("model-%d", i)
		d.Services = append(d.Services, config.Service{Name: name, Kind: config.Model, Price: config.Price{OutputToken: 1}})
	}
	for i := range 27 {
		d.FailureDomains = append(d.FailureDomains, config.FailureDomain{Name: fmt.Sprintf("region-%d-domain-%d", i%7, i), Region: fmt.Sprintf("region-%d", i%7)})
	}
	for i := range 980 {
		name := fmt.Sprintf("client-account-%04d", i)
		d.Accounts = append(d.Accounts, config.Account{
			Name: name, Share: 1 + float64(i%4), Services: []string{"model-0", "model-1", "model-2", "model-3"},
			KeyDigests: []string{config.KeyDigest(name), config.KeyDigest(name + "b")},
		})
	}
	for i := range 5600 {
		d.Targets = append(d.Targets, config.Target{
			Name: fmt.Sprintf("target-%04d", i), Service: fmt.Sprintf("model-%d", i%4), FailureDomain: d.FailureDomains[i%27].Name,
			URL: fmt.Sprintf("http://10.%d.%d.%d:8000", i%27, i/256, i%256), Host: fmt.Sprintf("server-%04d", i), ColdLimit: 4, MaxLimit: 128,
		})
	}
	return d
}

// Guards against a size limit that refuses the largest planned fleet, and
// against a document that the key-value service refuses.
func TestSizeLimit(t *testing.T) {
	c := qt.New(t)
	d := large()
	c.Assert(d.Validate(), qt.IsNil)
	data, err := config.Encode(d)
	c.Assert(err, qt.IsNil)
	text, err := json.Marshal(d)
	c.Assert(err, qt.IsNil)
	c.Logf("largest planned fleet: %d bytes of JSON, %d stored", len(text), len(data))
	for i := range 30_000 {
		d.Accounts[0].KeyDigests = append(d.Accounts[0].KeyDigests, config.KeyDigest(fmt.Sprint(i)))
	}
	c.Assert(d.Validate(), qt.ErrorMatches, "the stored document has .* bytes, at most 967232 are allowed")
}

func BenchmarkAccountByKey(b *testing.B) {
	x := config.NewIndex(large())
	for b.Loop() {
		x.AccountByKey("client-account-0500")
	}
}

func BenchmarkParseLarge(b *testing.B) {
	text, err := large().Marshal()
	if err != nil {
		b.Fatal(err)
	}
	b.Logf("%d bytes of YAML", len(text))
	for b.Loop() {
		if _, err := config.Parse(text); err != nil {
			b.Fatal(err)
		}
	}
}
