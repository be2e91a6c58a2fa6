package member_test

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"rattanline.example/rattanline/member"
)

var timing = member.Timing{SilentAfter: 3200 * time.Millisecond, RemoveAfter: 30 * time.Second, FollowerLease: 6 * time.Second, OwnerLease: 3 * time.Second}

// statuses returns the statuses of members whose last heartbeat was at the time
// and reported the table's epoch.
func statuses(when time.Time, epoch member.Epoch, names ...string) map[string]member.Status {
	byName := map[string]member.Status{}
	for _, n := range names {
		byName[n] = member.Status{Member: member.Member{Name: n, Host: "h-" + n, Incarnation: "run"}, LastContact: when, Epoch: epoch, EpochSince: when}
	}
	return byName
}

// summary formats members as "name state/count" with count 0, 1, joining or
// vacant.
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

func checkNext(c *qt.C, t member.Table, in member.Inputs, want string) member.Table {
	c.Helper()
	if in.Unlisted == nil {
		in.Unlisted = func(string) bool { return false }
	}
	if in.TermStart.IsZero() {
		in.TermStart = start
	}
	in.Coordinator = "m0"
	next, changed := timing.Next(t, in)
	c.Check(summary(next), qt.Equals, want)
	c.Check(changed, qt.Equals, summary(next) != summary(t))
	return next.WithEpoch(member.Epoch{Revision: t.Epoch.Revision + 1}, "m0")
}

// Guards against members that are counted before all counted members hold the
// table with them: two coordinators with different tables could then hold shares
// that add up to more than a target's limit.
func TestCountedMembers(t *testing.T) {
	c := qt.New(t)
	atEpoch := func(revision int64) map[string]member.Status {
		return statuses(at(1), member.Epoch{Revision: revision}, "m0", "m1")
	}
	inputs := func(revision int64) member.Inputs {
		return member.Inputs{Now: at(1), Confirmed: true, Statuses: atEpoch(revision)}
	}
	first := checkNext(c, member.Table{}, inputs(0), "m0 live/1, m1 live/0, ")
	checkNext(c, first, inputs(0), "m0 live/1, m1 live/0, ")
	joining := checkNext(c, first, inputs(1), "m0 live/1, m1 live/joining, ")
	checkNext(c, joining, inputs(1), "m0 live/1, m1 live/joining, ")
	settle := inputs(2)
	checkNext(c, joining, settle, "m0 live/1, m1 live/joining, ")
	for name, s := range settle.Statuses {
		s.EpochSince = at(-2)
		settle.Statuses[name] = s
	}
	checkNext(c, joining, settle, "m0 live/1, m1 live/1, ")
	c.Run("no joining while the platform is down", func(c *qt.C) {
		unconfirmed := inputs(1)
		unconfirmed.Confirmed = false
		checkNext(c, first, unconfirmed, "m0 live/1, m1 live/0, ")
	})
	c.Run("a joining member that falls silent starts over", func(c *qt.C) {
		silent := inputs(1)
		silent.Statuses["m1"] = statuses(at(-5), member.Epoch{}, "m1")["m1"]
		checkNext(c, joining, silent, "m0 live/1, m1 silent/0, ")
		// While the platform is down, another coordinator may settle the member.
		silent.Confirmed = false
		checkNext(c, joining, silent, "m0 live/1, m1 silent/joining, ")
	})
}

// Guards against ownership that moves before the owner lease has expired, which
// happens if a member turns silent too early, and against members that stop
// being counted although they aren't known to be gone.
func TestMemberStates(t *testing.T) {
	c := qt.New(t)
	three := table(3, 0)
	for i, m := range three.Members {
		m.Host = "h-" + m.Name
		three.Members[i] = m
	}
	initial := statuses(at(10), member.Epoch{}, "m0", "m1")
	inputs := func(now time.Time, change func(map[string]member.Status)) member.Inputs {
		byName := statuses(now, member.Epoch{}, "m0", "m1")
		for name, s := range initial {
			if name != "m0" {
				byName[name] = s
			}
		}
		change(byName)
		return member.Inputs{Now: now, Statuses: byName, TermStart: at(10)}
	}
	unchanged := func(map[string]member.Status) {}
	checkNext(c, three, inputs(at(13.1), unchanged), "m0 live/1, m1 live/1, m2 live/1, ")
	checkNext(c, three, inputs(at(13.2), unchanged), "m0 live/1, m1 silent/1, m2 silent/1, ")
	checkNext(c, three, inputs(at(100), unchanged), "m0 live/1, m1 silent/1, m2 silent/1, ")
	c.Run("host removed from the list", func(c *qt.C) {
		in := inputs(at(13.2), unchanged)
		in.Unlisted = func(host string) bool { return host != "h-m1" }
		checkNext(c, three, in, "m0 live/1, m1 silent/1, ")
	})
	for name, test := range map[string]struct {
		change func(*member.Status)
		want   string
	}{
		"stopped":                         {func(s *member.Status) { s.Gone = true }, "m0 live/1, m1 silent/vacant, m2 live/1, "},
		"stopped, follower lease expired": {func(s *member.Status) { s.Gone, s.LastContact = true, at(5) }, "m0 live/1, m2 live/1, "},
		"leaving":                         {func(s *member.Status) { s.Leaving = true }, "m0 live/1, m1 leaving/1, m2 live/1, "},
		"new incarnation":                 {func(s *member.Status) { s.Member.Incarnation, s.Started = "next", at(6) }, "m0 live/1, m1 live/vacant, m2 live/1, "},
		"new incarnation, follower lease expired": {func(s *member.Status) { s.Member.Incarnation, s.Started = "next", at(5) }, "m0 live/1, m1 live/0, m2 live/1, "},
	} {
		c.Run(name, func(c *qt.C) {
			checkNext(c, three, inputs(at(11), func(byName map[string]member.Status) {
				s := byName["m1"]
				test.change(&s)
				byName["m1"] = s
			}), test.want)
		})
	}
	c.Run("an uncounted silent member is removed", func(c *qt.C) {
		m, _ := three.Find("m2")
		m.Counted = false
		uncounted := three.With(m)
		checkNext(c, uncounted, inputs(at(39), unchanged), "m0 live/1, m1 silent/1, m2 silent/0, ")
		checkNext(c, uncounted, inputs(at(41), unchanged), "m0 live/1, m1 silent/1, ")
	})
}

// Guards against a removed member that moves other members' targets too, and
// against an uneven distribution of the targets over the members.
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
		ratio := float64(moved) / targets * float64(n)
		c.Logf("%d members: %.4f of the targets moved, %.2f times 1/n", n, float64(moved)/targets, ratio)
		c.Check(ratio > 0.8 && ratio < 1.2, qt.IsTrue)
	}
}
