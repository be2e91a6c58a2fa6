package member_test

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"rattanline.example/rattanline/member"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func at(seconds float64) time.Time { return start.Add(time.Duration(seconds * float64(time.Second))) }

// table returns settled members m0, m1, ... followed by joining ones.
func table(settled, joining int) member.Table {
	var t member.Table
	for i := range settled + joining {
		t = t.With(member.Member{
			Name: fmt.Sprint("m", i), Incarnation: "run", State: member.Live, Counted: true, Joining: i >= settled,
		})
	}
	return t
}

// checkDivisions divides the members among three coordinators in all possible
// ways, with each coordinator using any of the tables. It returns false and the
// shares if they add up to more than a limit from 0 to 9.
func checkDivisions(members int, tables []member.Table) (string, bool) {
	power := func(base, n int) int {
		p := 1
		for range n {
			p *= base
		}
		return p
	}
	for division := range power(3, members) {
		for use := range power(len(tables), 3) {
			var shares [3]member.Share
			for k, u := 0, use; k < 3; k, u = k+1, u/len(tables) {
				f := member.NewFollowers(3 * time.Second)
				for i, d := 0, division; i < members; i, d = i+1, d/3 {
					if d%3 == k {
						f.Renew(fmt.Sprint("m", i), "run", start)
					}
				}
				shares[k] = f.Share(tables[u%len(tables)], at(1))
			}
			for limit := range 10 {
				sum := 0
				for _, s := range shares {
					if s.Counted > 0 {
						sum += s.Limit(limit)
					}
				}
				if sum > limit {
					return fmt.Sprint(shares, " of limit ", limit), false
				}
			}
		}
	}
	return "", true
}

// Guards against shares of partitioned coordinators that add up to more than a
// target's limit while the coordinators hold different tables.
func TestSharesOfPartitionedCoordinators(t *testing.T) {
	c := qt.New(t)
	for settled := range 4 {
		for joining := range 3 {
			old, joint, next := table(settled, 0), table(settled, joining), table(settled+joining, 0)
			for name, tables := range map[string][]member.Table{"begin": {old, joint}, "settle": {joint, next}} {
				detail, ok := checkDivisions(settled+joining, tables)
				c.Check(ok, qt.IsTrue, qt.Commentf("%d settled, %d joining, %s: %s", settled, joining, name, detail))
			}
		}
	}
	// Without the joining step the shares would add up to more than a limit.
	_, ok := checkDivisions(4, []member.Table{table(3, 0), table(4, 0)})
	c.Check(ok, qt.IsFalse)
}

// Guards against a follower lease that is counted by two coordinators: the
// follower must not promise it to another one before the promise has ended.
func TestPromise(t *testing.T) {
	c := qt.New(t)
	var p member.Promise
	c.Check(p.Allows("x", at(0)), qt.IsTrue)
	p = p.Extend("x", at(0), 6*time.Second)
	c.Check(p.Allows("x", at(1)), qt.IsTrue)
	c.Check(p.Allows("y", at(6)), qt.IsFalse)
	c.Check(p.Allows("y", at(6.1)), qt.IsTrue)
	c.Check(p.Release("y").Allows("y", at(1)), qt.IsFalse)
	c.Check(p.Release("x").Allows("y", at(1)), qt.IsTrue)
}

// Guards against a lease that is held after it expired or after its run was
// replaced, and against a late heartbeat that shortens it.
func TestFollowers(t *testing.T) {
	c := qt.New(t)
	f := member.NewFollowers(3 * time.Second)
	m := member.Member{Name: "m0", Incarnation: "run"}
	f.Renew("m0", "run", at(2))
	f.Renew("m0", "run", at(1))
	c.Check(f.Follows(m, at(4.9)), qt.IsTrue)
	c.Check(f.Follows(m, at(5)), qt.IsFalse)
	m.Incarnation = "next run"
	c.Check(f.Follows(m, at(4)), qt.IsFalse)
	f.Drop("m0")
	c.Check(f.Share(table(1, 0), at(4)), qt.Equals, member.Share{Counted: 1})
}
