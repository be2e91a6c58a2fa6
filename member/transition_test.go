package member_test

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"rattanline.example/rattanline/member"
)

var rules = member.Timing{SilentAfter: 3200 * time.Millisecond, RemoveAfter: 30 * time.Second, FollowerLease: 6 * time.Second, OwnerLease: 3 * time.Second}

// heard returns evidence of members that were heard at a time and hold a table.
func heard(when time.Time, epoch member.Epoch, names ...string) map[string]member.Status {
	evidence := map[string]member.Status{}
	for _, n := range names {
		evidence[n] = member.Status{Member: member.Member{Name: n, Host: "h-" + n, Incarnation: "run"}, LastContact: when, Epoch: epoch, EpochSince: when}
	}
	return evidence
}

// summary writes a table as "name state/count" with count 0, 1 or joining.
func summary(t member.Table) string {
	s := ""
	for _, m := range t.Members {
		count := "0"
		if m.Counted {
			count = "1"
		}
		if m.Joining {
			count = "joining"
		}
		if m.Vacant {
			count = "vacant"
		}
		s += fmt.Sprintf("%s %s/%s, ", m.Name, m.State, count)
	}
	return s
}

func checkNext(c *qt.C, t member.Table, k member.Inputs, want string) member.Table {
	c.Helper()
	if k.Unlisted == nil {
		k.Unlisted = func(string) bool { return false }
	}
	if k.TermStart.IsZero() {
		k.TermStart = start
	}
	k.Coordinator = "m0"
	next, changed := rules.Next(t, k)
	c.Check(summary(next), qt.Equals, want)
	c.Check(changed, qt.Equals, summary(next) != summary(t))
	return next.WithEpoch(member.Epoch{Revision: t.Epoch.Revision + 1}, "m0")
}

// Guards against members that count before all others know of them.
func TestCounting(t *testing.T) {
	c := qt.New(t)
	e := func(revision int64) map[string]member.Status {
		return heard(at(1), member.Epoch{Revision: revision}, "m0", "m1")
	}
	k := func(revision int64) member.Inputs {
		return member.Inputs{Now: at(1), Confirmed: true, Statuses: e(revision)}
	}
	first := checkNext(c, member.Table{}, k(0), "m0 live/1, m1 live/0, ")
	checkNext(c, first, k(0), "m0 live/1, m1 live/0, ")
	joining := checkNext(c, first, k(1), "m0 live/1, m1 live/joining, ")
	checkNext(c, joining, k(1), "m0 live/1, m1 live/joining, ")
	settle := k(2)
	checkNext(c, joining, settle, "m0 live/1, m1 live/joining, ")
	for name, e := range settle.Statuses {
		e.EpochSince = at(-2)
		settle.Statuses[name] = e
	}
	checkNext(c, joining, settle, "m0 live/1, m1 live/1, ")
	c.Run("not while the platform is down", func(c *qt.C) {
		unconfirmed := k(1)
		unconfirmed.Confirmed = false
		checkNext(c, first, unconfirmed, "m0 live/1, m1 live/0, ")
	})
	c.Run("a joining member that falls silent starts over", func(c *qt.C) {
		silent := k(1)
		silent.Statuses["m1"] = heard(at(-5), member.Epoch{}, "m1")["m1"]
		checkNext(c, joining, silent, "m0 live/1, m1 silent/0, ")
		// Another coordinator may be settling it.
		silent.Confirmed = false
		checkNext(c, joining, silent, "m0 live/1, m1 silent/joining, ")
	})
}

// Guards against ownership that moves before the owner lease has expired, and
// against members that stop being counted without being known to be gone.
func TestStates(t *testing.T) {
	c := qt.New(t)
	three := table(3, 0)
	for i, m := range three.Members {
		m.Host = "h-" + m.Name
		three.Members[i] = m
	}
	base := heard(at(10), member.Epoch{}, "m0", "m1")
	know := func(now time.Time, change func(map[string]member.Status)) member.Inputs {
		evidence := heard(now, member.Epoch{}, "m0", "m1")
		for name, e := range base {
			if name != "m0" {
				evidence[name] = e
			}
		}
		change(evidence)
		return member.Inputs{Now: now, Statuses: evidence, TermStart: at(10)}
	}
	none := func(map[string]member.Status) {}
	checkNext(c, three, know(at(13.1), none), "m0 live/1, m1 live/1, m2 live/1, ")
	checkNext(c, three, know(at(13.2), none), "m0 live/1, m1 silent/1, m2 silent/1, ")
	checkNext(c, three, know(at(100), none), "m0 live/1, m1 silent/1, m2 silent/1, ")
	c.Run("host gone", func(c *qt.C) {
		k := know(at(13.2), none)
		k.Unlisted = func(host string) bool { return host != "h-m1" }
		checkNext(c, three, k, "m0 live/1, m1 silent/1, ")
	})
	for name, test := range map[string]struct {
		change func(*member.Status)
		want   string
	}{
		"goodbye":                {func(e *member.Status) { e.Gone = true }, "m0 live/1, m1 silent/vacant, m2 live/1, "},
		"goodbye, promise ended": {func(e *member.Status) { e.Gone, e.LastContact = true, at(5) }, "m0 live/1, m2 live/1, "},
		"leaving":                {func(e *member.Status) { e.Leaving = true }, "m0 live/1, m1 leaving/1, m2 live/1, "},
		"new run":                {func(e *member.Status) { e.Member.Incarnation, e.Started = "next", at(6) }, "m0 live/1, m1 live/vacant, m2 live/1, "},
		"new run, promise ended": {func(e *member.Status) { e.Member.Incarnation, e.Started = "next", at(5) }, "m0 live/1, m1 live/0, m2 live/1, "},
	} {
		c.Run(name, func(c *qt.C) {
			checkNext(c, three, know(at(11), func(evidence map[string]member.Status) {
				e := evidence["m1"]
				test.change(&e)
				evidence["m1"] = e
			}), test.want)
		})
	}
	c.Run("an uncounted silent member is forgotten", func(c *qt.C) {
		m, _ := three.Find("m2")
		m.Counted = false
		uncounted := three.With(m)
		checkNext(c, uncounted, know(at(39), none), "m0 live/1, m1 silent/1, m2 silent/0, ")
		checkNext(c, uncounted, know(at(41), none), "m0 live/1, m1 silent/1, ")
	})
}

// Guards against a member change that moves more targets than it has to.
func TestMovedTargets(t *testing.T) {
	c := qt.New(t)
	const targets = 10000
	for _, n := range []int{3, 9, 56} {
		full := table(n, 0).Members
		moved := 0
		for i := range targets {
			key := fmt.Sprint("target-", i)
			before, _ := member.Owner(key, full)
			after, _ := member.Owner(key, full[1:])
			if before.Name != after.Name {
				moved++
				c.Assert(before.Name, qt.Equals, full[0].Name)
			}
		}
		share := float64(moved) / targets * float64(n)
		c.Logf("%d members: %.4f of the targets moved, %.2f times 1/n", n, float64(moved)/targets, share)
		c.Check(share > 0.8 && share < 1.2, qt.IsTrue)
	}
}
