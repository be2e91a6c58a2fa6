package submission_test

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"rattanline.example/rattanline/config"
	"rattanline.example/rattanline/submission"
)

const (
	rounds  = 1000
	writers = 4
)

// race is the state of one test run: the outcomes returned to each writer.
type race struct {
	c        *qt.C
	store    *submission.Store
	accepted [writers][]uint64
	unknown  [writers]int
	conflict [writers]int
}

func name(writer int) string { return fmt.Sprintf("writer-%d", writer) }

// change returns the document with the round stored in the writer's own account.
func change(d config.Document, writer, round int) config.Document {
	return d.WithAccount(config.Account{Name: name(writer), Share: 1, MaxQueued: round})
}

// run makes one change of the writer. Like an operator, it repeats a submit of
// unknown outcome with the same ID, and derives the change again from the current
// document after a conflict.
func (r *race) run(writer, round int, base config.Document) {
	request := submission.Request{Author: name(writer)}
	for try := 0; ; {
		if !request.Resubmitted {
			request.Base, request.Document = base.Version, change(base, writer, round)
			request.ID = fmt.Sprintf("%d-%d-%d", writer, round, try)
		}
		ctx, cancel := context.WithTimeout(context.Background(), 60*time.Millisecond)
		outcome, err := r.store.Submit(ctx, request)
		cancel()
		if err != nil {
			continue
		}
		switch o := outcome.(type) {
		case submission.Accepted:
			r.accepted[writer] = append(r.accepted[writer], o.Version)
			return
		case submission.Conflict:
			r.conflict[writer]++
			base, request.Resubmitted = o.Current, false
			try++
		case submission.Unknown:
			r.unknown[writer]++
			request.Resubmitted = true
		}
	}
}

func (r *race) check(written []submission.Envelope) {
	c := r.c
	c.Assert(written, qt.HasLen, rounds*writers)
	author := map[uint64]string{}
	for i, e := range written {
		c.Assert(e.Version, qt.Equals, uint64(i+1))
		author[e.Version] = e.Author
		if i > 0 {
			// A version differs from its predecessor only in its author's change.
			before := written[i-1].Document
			a, _ := e.Document.Account(e.Author)
			c.Assert(config.Diff(before.WithAccount(a), e.Document.WithAccount(a)), qt.Equals, "")
		}
	}
	reported := map[uint64]bool{}
	for w := range writers {
		c.Assert(r.accepted[w], qt.HasLen, rounds)
		for _, v := range r.accepted[w] {
			c.Assert(reported[v], qt.IsFalse, qt.Commentf("version %d was reported twice", v))
			c.Assert(author[v], qt.Equals, name(w))
			reported[v] = true
		}
		a, _ := written[len(written)-1].Document.Account(name(w))
		c.Assert(a.MaxQueued, qt.Equals, rounds)
	}
}

// Guards against a change that is lost, applied twice or reverted when operators
// submit concurrently and the platform loses responses.
func TestRacingSubmits(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		const seed = 20261204
		k := newLossyKeyValue(seed, 0.4)
		r := &race{c: c, store: &submission.Store{KeyValue: k}}
		for round := 1; round <= rounds; round++ {
			base := k.latest()
			done := make(chan bool)
			for w := range writers {
				go func() {
					r.run(w, round, base)
					done <- true
				}()
			}
			for range writers {
				<-done
			}
		}
		// Writes without a response that are still in flight must not take effect.
		time.Sleep(time.Second)
		r.check(k.written)
		c.Logf("seed %d: unknown %v, conflicts %v", seed, r.unknown, r.conflict)
	})
}

// Guards against an unknown outcome that is reported as a conflict or an error.
func TestSubmitOutcomes(t *testing.T) {
	submit := func(c *qt.C, k *lossyKeyValue, r submission.Request) (submission.Outcome, error) {
		ctx, cancel := context.WithTimeout(context.Background(), 500*time.Millisecond)
		defer cancel()
		return (&submission.Store{KeyValue: k}).Submit(ctx, r)
	}
	run := func(name string, f func(c *qt.C, k *lossyKeyValue)) {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { f(qt.New(t), newLossyKeyValue(1, 0)) })
		})
	}
	run("same id again", func(c *qt.C, k *lossyKeyValue) {
		for range 2 {
			o, err := submit(c, k, submission.Request{ID: "a"})
			c.Assert(err, qt.IsNil)
			c.Assert(o, qt.Equals, submission.Accepted{Version: 1})
		}
		c.Assert(k.written, qt.HasLen, 1)
	})
	run("conflict", func(c *qt.C, k *lossyKeyValue) {
		_, err := submit(c, k, submission.Request{ID: "a", Document: change(config.Document{}, 1, 5)})
		c.Assert(err, qt.IsNil)
		o, err := submit(c, k, submission.Request{ID: "b", Document: change(config.Document{}, 1, 6)})
		c.Assert(err, qt.IsNil)
		c.Assert(o.(submission.Conflict).Current.Version, qt.Equals, uint64(1))
		c.Assert(o.(submission.Conflict).Diff, qt.Equals, "- accounts/writer-1/max-queued: 5\n+ accounts/writer-1/max-queued: 6\n")
	})
	run("platform down", func(c *qt.C, k *lossyKeyValue) {
		k.loss = 1
		_, err := submit(c, k, submission.Request{ID: "a"})
		c.Assert(err, qt.IsNotNil)
		o, err := submit(c, k, submission.Request{ID: "a", Resubmitted: true})
		c.Assert(err, qt.IsNil)
		c.Assert(o, qt.Equals, submission.Unknown{})
	})
	run("history too short", func(c *qt.C, k *lossyKeyValue) {
		for v := range uint64(66) {
			_, err := submit(c, k, submission.Request{ID: fmt.Sprint(v), Base: v})
			c.Assert(err, qt.IsNil)
		}
		o, err := submit(c, k, submission.Request{ID: "0", Base: 0, Resubmitted: true})
		c.Assert(err, qt.IsNil)
		c.Assert(o, qt.Equals, submission.Unknown{})
		o, err = submit(c, k, submission.Request{ID: "other", Base: 2, Resubmitted: true})
		c.Assert(err, qt.IsNil)
		c.Assert(o, qt.Satisfies, func(o submission.Outcome) bool { _, ok := o.(submission.Conflict); return ok })
	})
	run("invalid document", func(c *qt.C, k *lossyKeyValue) {
		_, err := submit(c, k, submission.Request{ID: "a", Document: config.Document{Accounts: []config.Account{{}}}})
		c.Assert(err, qt.ErrorMatches, "submit: (.|\n)*share(.|\n)*")
		c.Assert(k.written, qt.HasLen, 0)
	})
}
