package submission_test

import (
	"context"
	"testing"
	"testing/synctest"

	qt "github.com/frankban/quicktest"

	"rattanline.example/rattanline/config"
	"rattanline.example/rattanline/submission"
)

// Guards against the submit of a file under version control that undoes a drain or
// repeats an old one, and against an outcome that does not list the states kept.
func TestKeepDrained(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		store := &submission.Store{KeyValue: newLossyKeyValue(1, 0)}
		submit := func(r submission.Request) submission.Outcome {
			o, err := store.Submit(context.Background(), r)
			c.Assert(err, qt.IsNil)
			return o
		}
		drained := func(name string) bool {
			d, _, err := store.Load(context.Background())
			c.Assert(err, qt.IsNil)
			f, ok := d.FailureDomain(name)
			c.Assert(ok, qt.IsTrue)
			return f.Drained
		}
		file := config.Document{FailureDomains: []config.FailureDomain{{Name: "east"}, {Name: "west"}}}
		submit(submission.Request{ID: "first", Document: file})
		submit(submission.Request{ID: "drain", Base: 1, Document: file.WithDrained("east", true), SetsDrained: true})
		c.Assert(drained("east"), qt.IsTrue)

		changed := change(file, 1, 5).WithDrained("west", true).WithFailureDomain(config.FailureDomain{Name: "south", Drained: true})
		const kept = "= failure-domains/east/drained: true (kept; only drain and restore change it)\n" +
			"= failure-domains/west/drained: false (kept; only drain and restore change it)\n"
		o := submit(submission.Request{ID: "conflict", Base: 1, Document: changed}).(submission.Conflict)
		c.Assert(o.Diff, qt.Not(qt.Contains), "- failure-domains/east")
		c.Assert(o.Diff, qt.Contains, "+ accounts/writer-1/max-queued: 5\n")
		c.Assert(o.Diff, qt.Contains, kept)
		// A submit that is sent again after a lost response gets the same outcome.
		for range 2 {
			o := submit(submission.Request{ID: "file", Base: 2, Document: changed})
			c.Assert(o, qt.Equals, submission.Accepted{Version: 3, Kept: kept})
		}
		c.Assert([]bool{drained("east"), drained("west"), drained("south")}, qt.DeepEquals, []bool{true, false, true})

		d, _, _ := store.Load(context.Background())
		submit(submission.Request{ID: "restore", Base: 3, Document: d.WithDrained("east", false), SetsDrained: true})
		c.Assert(drained("east"), qt.IsFalse)
	})
}
