package config_test

import (
	"bytes"
	"encoding/gob"
	"fmt"
	"testing"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"rattanline.example/rattanline/config"
)

func largeDocument(targets int) config.Document {
	d := config.Document{Version: 1, Services: []config.Service{{Name: "assistant", Kind: config.Model}}}
	for i := range targets {
		d.Targets = append(d.Targets, config.Target{
			Name: fmt.Sprint("target-", i), Service: "assistant", FailureDomain: "kurume",
			URL: fmt.Sprintf("http://10.0.%d.%d:8000", i/256, i%256), ColdLimit: 2, MaxLimit: 64,
		})
	}
	return d
}

func assertSameItems(t *rapid.T, got, want config.Document) {
	if diff := config.Diff(want, got); diff != "" {
		t.Fatalf("documents differ:\n%s", diff)
	}
}

// Guards against a daemon whose document differs from the submitted one after it
// applied a chain of deltas, some of which span several versions.
func TestDeltaChainGivesSameDocument(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		held := largeDocument(5)
		current := held
		for range rapid.IntRange(1, 10).Draw(t, "changes") {
			target := config.Target{Name: fmt.Sprint("target-", rapid.IntRange(0, 8).Draw(t, "target")), MaxLimit: rapid.IntRange(1, 9).Draw(t, "limit")}
			if rapid.Bool().Draw(t, "remove") {
				current = current.WithoutTarget(target.Name)
			} else {
				current = current.WithTarget(target)
			}
			current = current.WithVersion(current.Version + 1)
			if rapid.Bool().Draw(t, "sent") {
				next, err := held.WithDelta(config.DeltaBetween(held, current))
				if err != nil {
					t.Fatal(err)
				}
				held = next
			}
		}
		next, err := held.WithDelta(config.DeltaBetween(held, current))
		if err != nil {
			t.Fatal(err)
		}
		assertSameItems(t, next, current)
	})
}

func TestDelta(t *testing.T) {
	c := qt.New(t)
	from := largeDocument(5600)
	to := from.WithDrained("kurume", true).WithTarget(config.Target{Name: "target-7", MaxLimit: 1}).WithVersion(2)

	// Guards against a delta that exceeds a daemon's budget of control traffic:
	// with 14,000 changes a day, 5 KB/s leave 30 KB for each change.
	c.Run("is small", func(c *qt.C) {
		var b bytes.Buffer
		c.Assert(gob.NewEncoder(&b).Encode(config.DeltaBetween(from, to)), qt.IsNil)
		c.Assert(b.Len() < 30_000, qt.IsTrue, qt.Commentf("%d bytes", b.Len()))
	})
	c.Run("other base", func(c *qt.C) {
		_, err := to.WithDelta(config.DeltaBetween(from, to))
		c.Assert(err, qt.ErrorIs, config.ErrBaseMismatch)
	})
}
