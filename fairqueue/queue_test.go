package fairqueue_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/pkg/errors"
	"pgregory.net/rapid"

	"rattanline.example/rattanline/fairqueue"
	"rattanline.example/rattanline/request"
)

type item = fairqueue.Item[string]

var (
	start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	wide  = fairqueue.Bounds{Requests: 100, Bytes: 1 << 20}
)

func anyItem(*item) bool { return true }

func assertOrder(c *qt.C, q *fairqueue.Queues[string], want ...string) {
	c.Helper()
	var got []string
	for i := q.Next("s", anyItem); i != nil; i = q.Next("s", anyItem) {
		got = append(got, i.Value)
		c.Assert(q.Take(start, i), qt.IsTrue)
	}
	c.Assert(got, qt.DeepEquals, want)
	c.Assert(q.Len(), qt.Equals, 0)
}

func assertQueueFull(c *qt.C, err error, atLeast time.Duration) {
	c.Helper()
	var refusal *request.Refusal
	c.Assert(errors.As(err, &refusal), qt.IsTrue)
	c.Assert(refusal.Reason, qt.Equals, request.QueueFull)
	c.Assert(refusal.RetryAfter >= atLeast, qt.IsTrue, qt.Commentf("%s", refusal.RetryAfter))
}

// TestOrder guards against serving an account before one that was served less, and
// a deferrable request before an urgent one of the same account.
func TestOrder(t *testing.T) {
	c := qt.New(t)
	counters := map[string]float64{"a": 2, "b": 1}
	q := fairqueue.New[string](func(_, account string) float64 { return counters[account] })
	for _, i := range []*item{
		{Account: "a", Urgent: true, Value: "a-urgent"},
		{Account: "b", Value: "b-no-deadline"},
		{Account: "b", Deadline: start.Add(2 * time.Second), Value: "b-late"},
		{Account: "b", Deadline: start.Add(time.Second), Value: "b-early"},
		{Account: "b", Urgent: true, Deadline: start.Add(time.Hour), Value: "b-urgent"},
	} {
		i.Service = "s"
		c.Assert(q.Push(i, wide), qt.IsNil)
	}
	assertOrder(c, q, "b-urgent", "b-early", "b-late", "b-no-deadline", "a-urgent")
}

// TestBounds guards against one account that exhausts the memory of the daemon.
func TestBounds(t *testing.T) {
	c := qt.New(t)
	q := fairqueue.New[string](func(string, string) float64 { return 0 })
	narrow := fairqueue.Bounds{Requests: 2, Bytes: 10}
	first := &item{Service: "s", Account: "a", Bytes: 5}
	c.Assert(q.Push(first, narrow), qt.IsNil)
	assertQueueFull(c, q.Push(&item{Service: "other", Account: "a", Bytes: 6}, narrow), time.Second)
	c.Assert(q.Push(&item{Service: "other", Account: "a", Bytes: 5}, narrow), qt.IsNil)
	assertQueueFull(c, q.Push(&item{Service: "s", Account: "a"}, narrow), time.Second)
	c.Assert(q.Push(&item{Service: "s", Account: "b", Bytes: 10}, narrow), qt.IsNil)
	c.Assert(q.Remove(first), qt.IsTrue)
	c.Assert(q.Remove(first), qt.IsFalse)
	c.Assert(q.Push(&item{Service: "s", Account: "a", Bytes: 5}, narrow), qt.IsNil)
}

// TestExpire guards against running a request after its caller's deadline.
func TestExpire(t *testing.T) {
	c := qt.New(t)
	q := fairqueue.New[string](func(string, string) float64 { return 0 })
	c.Assert(q.Push(&item{Service: "s", Account: "a", Deadline: start, Value: "old"}, wide), qt.IsNil)
	c.Assert(q.Push(&item{Service: "s", Account: "a", Value: "none"}, wide), qt.IsNil)
	expired := q.Expire(start)
	c.Assert(expired, qt.HasLen, 1)
	c.Assert(expired[0].Value, qt.Equals, "old")
	c.Assert(q.Accounts("s"), qt.DeepEquals, []string{"a"})
}

// TestCountsProperty guards against counts that drift from the queued items over
// any sequence of pushes, starts and expiries.
func TestCountsProperty(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		q := fairqueue.New[string](func(_, account string) float64 { return float64(len(account)) })
		queued := map[*item]bool{}
		now := start
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			now = now.Add(time.Second)
			switch rapid.IntRange(0, 3).Draw(t, "step") {
			case 0, 1:
				i := &item{
					Service: "s", Account: rapid.SampledFrom([]string{"a", "bb"}).Draw(t, "account"),
					Urgent: rapid.Bool().Draw(t, "urgent"), Bytes: 1,
					Deadline: now.Add(time.Duration(rapid.IntRange(1, 20).Draw(t, "deadline")) * time.Second),
				}
				if q.Push(i, fairqueue.Bounds{Requests: 10, Bytes: 8}) == nil {
					queued[i] = true
				}
			case 2:
				if i := q.Next("s", anyItem); i != nil && q.Take(now, i) {
					delete(queued, i)
				}
			case 3:
				for _, i := range q.Expire(now) {
					delete(queued, i)
				}
			}
			count := map[string]int{}
			for i := range queued {
				count[i.Account]++
			}
			if q.Len() != len(queued) || q.Waiting("s", "a") != count["a"] || q.Waiting("s", "bb") != count["bb"] {
				t.Fatalf("queue counts %d, want %v", q.Len(), count)
			}
		}
	})
}
