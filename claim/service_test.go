package claim_test

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"rattanline.example/rattanline/claim"
)

func newRequest(account, key string) claim.Request {
	return claim.Request{Account: account, Key: key, Body: claim.NewDigest([]byte("body")), Attempt: claim.NewAttempt()}
}

func timeoutContext(t testing.TB, d time.Duration) context.Context {
	ctx, cancel := context.WithTimeout(context.Background(), d)
	t.Cleanup(cancel)
	return ctx
}

func mustClaim(t testing.TB, n *node, r claim.Request) claim.Decision {
	t.Helper()
	d, err := n.Claim(timeoutContext(t, 5*time.Second), r)
	qt.Assert(t, err, qt.IsNil)
	return d
}

func isGranted(d claim.Decision) bool {
	_, ok := d.(claim.Granted)
	return ok
}

func assertGranted(t testing.TB, n *node, r claim.Request) {
	t.Helper()
	qt.Assert(t, isGranted(mustClaim(t, n, r)), qt.IsTrue)
}

// awaitEarlier resends the request at the node and returns the result of the earlier
// request.
func awaitEarlier(t testing.TB, n *node, r claim.Request, wait time.Duration) (claim.PriorResult, error) {
	t.Helper()
	r.Attempt = claim.NewAttempt()
	d, ok := mustClaim(t, n, r).(claim.Duplicate)
	qt.Assert(t, ok, qt.IsTrue)
	return n.Await(timeoutContext(t, wait), r, d)
}

// Guards against a key that is granted to two daemons at once, with and without
// links, under faults of the key-value service and for any owner of the shard.
func TestConcurrentClaimsGrantOnce(t *testing.T) {
	for _, cut := range []bool{false, true} {
		t.Run(fmt.Sprint("links cut ", cut), func(t *testing.T) {
			f := newFleet(t, 3)
			f.setCut(cut)
			f.memory.fault = faults(7, 0.3)
			for k := range 20 {
				var wg sync.WaitGroup
				decisions := make([]claim.Decision, 6)
				for i := range decisions {
					wg.Go(func() { decisions[i] = mustClaim(t, f.nodes[i%3], newRequest("one", fmt.Sprint(k))) })
				}
				wg.Wait()
				n := 0
				for _, d := range decisions {
					if isGranted(d) {
						n++
					}
				}
				qt.Assert(t, n, qt.Equals, 1)
			}
		})
	}
}

// Guards against an attempt that takes its own claim for a duplicate after the
// response to the write was lost, and against a claim that is granted although its
// write never took effect.
func TestLostResponse(t *testing.T) {
	for _, fault := range []string{"lost", "late", "dropped"} {
		t.Run(fault, func(t *testing.T) {
			f := newFleet(t, 1)
			failures := 2
			f.memory.fault = func() string {
				if failures--; failures >= 0 {
					return fault
				}
				return ""
			}
			r := newRequest("one", "k")
			assertGranted(t, f.nodes[0], r)
			time.Sleep(50 * time.Millisecond) // until late writes have taken effect
			f.kill(0)
			second := f.start(0) // a new incarnation, which knows only the log
			d, ok := mustClaim(t, second, newRequest("one", "k")).(claim.Duplicate)
			qt.Assert(t, ok, qt.IsTrue)
			qt.Assert(t, d.Attempt, qt.Equals, r.Attempt)
		})
	}
}

// Guards against a key that stays claimed by an attempt that was never sent.
func TestLateWrite(t *testing.T) {
	f := newFleet(t, 2)
	// The write takes effect after the attempt was abandoned.
	f.memory.setFault(func() string { return "late" })
	r := newRequest("one", "late")
	_, err := f.nodes[0].Claim(timeoutContext(t, 15*time.Millisecond), r)
	qt.Assert(t, err, qt.IsNotNil)
	time.Sleep(100 * time.Millisecond)
	f.memory.setFault(func() string { return "" })
	for _, n := range f.nodes { // the claiming daemon and another
		again := newRequest("one", "late")
		if d, ok := mustClaim(t, n, again).(claim.Duplicate); ok {
			earlier, err := n.Await(timeoutContext(t, time.Second), again, d)
			qt.Assert(t, err, qt.IsNil)
			qt.Assert(t, earlier, qt.Equals, claim.PriorResult(claim.NotSent{}))
			again.Supersedes, again.Attempt = d.Attempt, claim.NewAttempt()
			assertGranted(t, n, again)
		}
		qt.Assert(t, n.Release(timeoutContext(t, time.Second), again), qt.IsNil)
	}
	assertGranted(t, f.nodes[1], newRequest("one", "late"))
}

// Guards against a response that is returned to another client account, at the
// claiming daemon and over the link.
func TestAnswersAreIsolatedByAccount(t *testing.T) {
	f := newFleet(t, 2)
	one, two := newRequest("one", "k"), newRequest("two", "k")
	assertGranted(t, f.nodes[0], one)
	assertGranted(t, f.nodes[0], two)
	f.nodes[0].Finish(one, claim.Answer{Status: 200, Body: []byte("one")})
	d := claim.Duplicate{Claimer: f.nodes[0].Self, Attempt: one.Attempt}
	for _, n := range f.nodes {
		for r, want := range map[claim.Request]string{one: "claim.Answered", two: "claim.Lost"} {
			earlier, err := n.Await(timeoutContext(t, time.Second), r, d)
			qt.Assert(t, err, qt.IsNil)
			qt.Assert(t, fmt.Sprintf("%T", earlier), qt.Equals, want)
		}
	}
}

// Guards against resends that wait indefinitely, and against a result other than
// Lost for a request whose daemon was restarted.
func TestResendWithoutAnswer(t *testing.T) {
	f := newFleet(t, 2)
	r := newRequest("one", "k")
	assertGranted(t, f.nodes[0], r)
	for _, n := range f.nodes {
		_, err := awaitEarlier(t, n, r, 100*time.Millisecond)
		qt.Assert(t, err, qt.ErrorMatches, ".*deadline exceeded")
	}
	f.kill(0)
	f.start(0)
	for _, n := range f.nodes {
		earlier, err := awaitEarlier(t, n, r, 2*time.Second)
		qt.Assert(t, err, qt.IsNil)
		_, lost := earlier.(claim.Lost)
		qt.Assert(t, lost, qt.IsTrue)
	}
}

// Guards against unbounded memory for responses. A request whose response was
// dropped must not count as not sent.
func TestAnswerMemoryIsBounded(t *testing.T) {
	n := newFleet(t, 1).nodes[0]
	for _, key := range []string{"old", "new"} {
		r := newRequest("one", key)
		assertGranted(t, n, r)
		n.Finish(r, claim.Answer{Status: 200, Body: make([]byte, maxAnswerBytes-1000)})
	}
	for key, want := range map[string]string{"old": "claim.Lost", "new": "claim.Answered"} {
		earlier, err := awaitEarlier(t, n, newRequest("one", key), time.Second)
		qt.Assert(t, err, qt.IsNil)
		qt.Assert(t, fmt.Sprintf("%T", earlier), qt.Equals, want)
	}
}
