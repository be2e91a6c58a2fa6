package coordinator

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"rattanline.example/rattanline/member"
)

// Guards against waiting requests of a killed daemon that hold down the floor of
// their service permanently, and against losing those of a daemon that was only
// frozen. The coordinator must clear both and restore the latter.
func TestSilentDaemonExcludedFromFloor(t *testing.T) {
	simulate(t, func(c *qt.C, fl *fleet) {
		fl.startAll("a", 3)
		silent, other := fl.follower("a"), fl.leader("a")
		floor := func(want bool) func() bool {
			return func() bool {
				_, waiting := fl.nodes[other].Ledger.Floor("s")
				return waiting == want
			}
		}
		fl.nodes[silent].Ledger.SetWaiting("s", "x", true)
		fl.until(5*time.Second, "the request is known", floor(true))
		fl.freeze(silent)
		fl.until(5*time.Second, "the frozen daemon holds no floor", floor(false))
		fl.thaw(silent)
		fl.until(5*time.Second, "the request is known again", floor(true))
		fl.crash(silent)
		fl.until(5*time.Second, "the killed daemon holds no floor", floor(false))
	})
}

// Guards against daemons that don't find each other or their coordinators when
// all start together, and against a later daemon that isn't counted.
func TestJoin(t *testing.T) {
	simulate(t, func(c *qt.C, fl *fleet) {
		fl.writeConfiguration(1)
		fl.startAll("abc", 3)
		c.Log("platform calls of 9 daemons until settled:", fl.store.TotalCalls())
		c.Check(fl.allHave(1)(), qt.IsTrue)
		fl.run(10 * time.Second)
		c.Check(fl.settled(3), qt.IsTrue)
		fl.start("b4")
		fl.until(5*time.Second, "new daemon counted everywhere in its domain", func() bool {
			s, ok := fl.nodes["b4"].Authority(time.Now())
			return ok && s == member.Share{Leases: 4, Counted: 4} && len(fl.nodes["a1"].View().Tables["b"].Live()) == 4
		})
	})
}

// state returns the state of a member in the observer's view, empty if absent.
func (fl *fleet) state(observer, name string) member.State {
	m, ok := fl.nodes[observer].View().Find(name)
	if !ok {
		return ""
	}
	return m.State
}

// Guards against a leaving daemon that still owns targets, remains coordinator
// or stays counted, which would reduce the shares of the others.
func TestLeave(t *testing.T) {
	for _, role := range []string{"follower", "coordinator"} {
		t.Run(role, func(t *testing.T) {
			simulate(t, func(c *qt.C, fl *fleet) {
				fl.startAll("ab", 3)
				name := fl.leader("a")
				if role == "follower" {
					name = fl.follower("a")
				}
				c.Assert(fl.nodes[name].Leave(context.Background()), qt.IsNil)
				fl.until(2*time.Second, "leaving seen in the other domain", func() bool { return fl.state("b1", name) == member.Leaving })
				fl.until(3*time.Second, "a live coordinator", func() bool { l := fl.leader("a"); return l != "" && l != name })
				fl.run(time.Second)
				fl.leave(name)
				fl.until(2*time.Second, "no longer live", func() bool { return fl.state("b1", name) == member.Silent })
				fl.until(7*time.Second, "no longer a member", func() bool { return fl.state("b1", name) == "" })
				fl.until(time.Second, "full share of the others", fl.haveShare("a", 2, 2))
			})
		})
	}
}

// Guards against a last daemon of a domain that stays counted permanently after
// it left, so that the next daemon never gets the full share.
func TestLastDaemonLeaves(t *testing.T) {
	simulate(t, func(c *qt.C, fl *fleet) {
		fl.startAll("a", 1)
		fl.leave("a1")
		fl.start("a2")
		fl.until(12*time.Second, "full share of the next daemon", fl.haveShare("a", 1, 1))
	})
}

func (fl *fleet) follower(domain string) string {
	for name, n := range fl.nodes {
		if n.Self.Domain == domain && !n.isCoordinator() {
			return name
		}
	}
	return ""
}

// haveShare returns a condition that holds if all daemons of the domain have the
// share.
func (fl *fleet) haveShare(domain string, leases, counted int) func() bool {
	return func() bool {
		for _, n := range fl.nodes {
			s, ok := n.Authority(time.Now())
			if n.Self.Domain == domain && (!ok || s != member.Share{Leases: leases, Counted: counted}) {
				return false
			}
		}
		return true
	}
}

// Guards against targets that stay with a crashed daemon, and against a follower
// lease of a former run that is counted for the restarted one.
func TestCrashAndRestart(t *testing.T) {
	simulate(t, func(c *qt.C, fl *fleet) {
		fl.startAll("ab", 3)
		name := fl.follower("a")
		fl.crash(name)
		took := fl.until(5*time.Second, "silent", func() bool { return fl.state("b1", name) == member.Silent })
		c.Check(took >= 3*time.Second, qt.IsTrue, qt.Commentf("silent before its owner lease expired: %v", took))
		fl.until(time.Second, "share of the others", fl.haveShare("a", 2, 3))
		fl.start(name)
		fl.until(12*time.Second, "counted again", fl.haveShare("a", 3, 3))
		fl.crash(name)
		fl.start(name)
		fl.until(3*time.Second, "restart within the silent time", func() bool {
			_, ok := fl.nodes[name].Authority(time.Now())
			return ok
		})
		c.Check(fl.state("b1", name), qt.Equals, member.Live)
		fl.until(12*time.Second, "counted again", fl.haveShare("a", 3, 3))
		c.Check(fl.state("b1", name), qt.Equals, member.Live)
	})
}

// Guards against a domain that stays without a coordinator after a crash.
func TestCoordinatorKilled(t *testing.T) {
	simulate(t, func(c *qt.C, fl *fleet) {
		fl.startAll("abc", 3)
		old := fl.leader("b")
		before := fl.store.TotalCalls()
		fl.crash(old)
		took := fl.until(8*time.Second, "successor with the leases of the others", fl.haveShare("b", 2, 3))
		c.Logf("successor in force after %v with %d platform calls", took, fl.store.TotalCalls()-before)
		_, confirmed := fl.nodes[fl.leader("b")].Coordinator()
		c.Check(confirmed, qt.IsTrue)
		fl.start(old)
		fl.until(10*time.Second, "restarted coordinator counted", func() bool { return fl.settled(3) })
	})
}

// Guards against writes and shares of a coordinator that was paused for longer
// than its lease and doesn't know of its successor. A write that it began before
// the pause arrives after the successor's.
func TestCoordinatorFrozen(t *testing.T) {
	simulate(t, func(c *qt.C, fl *fleet) {
		fl.startAll("abc", 3)
		old := fl.leader("b")
		// The coordinator's write of a table with b4 is pending when it pauses, and
		// arrives after the successor's.
		fl.store.Freeze(old)
		fl.start("b4")
		fl.run(time.Second)
		fl.links.freeze(old)
		fl.until(12*time.Second, "successor", func() bool { l := fl.leaders("b"); return len(l) == 2 })
		fl.run(7 * time.Second)
		_, confirmed := fl.nodes[old].Coordinator()
		c.Check(confirmed, qt.IsFalse, qt.Commentf("lease valid by the clock of the paused coordinator"))
		epoch := fl.nodes["a1"].View().Tables["b"].Epoch
		fl.thaw(old)
		fl.until(3*time.Second, "former coordinator follows", func() bool { return len(fl.leaders("b")) == 1 })
		c.Check(fl.leader("b"), qt.Not(qt.Equals), old)
		fl.until(10*time.Second, "all counted", func() bool { return fl.haveShare("b", 4, 4)() })
		c.Check(fl.nodes["a1"].View().Tables["b"].Epoch.Less(epoch), qt.IsFalse)
	})
}

func (fl *fleet) leaders(domain string) []string {
	var leaders []string
	for name, n := range fl.nodes {
		if n.Self.Domain == domain && n.isCoordinator() {
			leaders = append(leaders, name)
		}
	}
	return leaders
}

func (fl *fleet) freeze(name string) {
	fl.links.freeze(name)
	fl.store.Freeze(name)
}

func (fl *fleet) thaw(name string) {
	fl.store.Thaw(name)
	fl.links.thaw(name)
}

// Guards against daemons that lose shares, configuration changes or contact
// during a long platform outage, and against changes that are no longer accepted
// after it.
func TestPlatformDownForAnHour(t *testing.T) {
	simulate(t, func(c *qt.C, fl *fleet) {
		fl.writeConfiguration(1)
		fl.startAll("ab", 2, func(n *Node) { n.Interval = 500 * time.Millisecond })
		// Version 2 is written immediately before the outage, when only domain a's
		// coordinator is sure to have received it.
		fl.writeConfiguration(2)
		fl.until(time.Second, "seen by one daemon", func() bool { return fl.nodes[fl.leader("a")].Configuration().Version == 2 })
		fl.store.SetOutage(true)
		fl.until(2*time.Second, "the change reaches all", fl.allHave(2))
		for range 60 {
			fl.run(time.Second)
			time.Sleep(59 * time.Second)
			synctest.Wait()
			c.Assert(fl.settled(2), qt.IsTrue, qt.Commentf("%s", fl.describe()))
		}
		for name, n := range fl.nodes {
			c.Check(n.Isolated(time.Now()), qt.IsFalse, qt.Commentf(name))
		}
		fl.store.SetOutage(false)
		fl.writeConfiguration(3)
		fl.until(15*time.Second, "changes are accepted again", fl.allHave(3))
		fl.run(20 * time.Second)
		_, confirmed := fl.nodes["b2"].Coordinator()
		c.Check(confirmed, qt.IsTrue)
	})
}

// Guards against a burst of platform calls when the platform returns after an
// outage, and against frequent retries during the outage.
func TestPlatformCallsAfterOutage(t *testing.T) {
	simulate(t, func(c *qt.C, fl *fleet) {
		fl.startAll("abc", 3)
		fl.store.SetOutage(true)
		before := fl.store.TotalCalls()
		fl.run(time.Minute)
		calls := fl.store.TotalCalls() - before
		c.Log("platform calls of 9 daemons in a minute of outage:", calls)
		c.Check(calls <= 60, qt.IsTrue)
		before = fl.store.TotalCalls()
		fl.store.SetOutage(false)
		fl.run(10 * time.Second)
		calls = fl.store.TotalCalls() - before
		c.Log("platform calls of 9 daemons in the first 10 s after an outage:", calls)
		// A coordinator regains its lease with 4 calls, reads and writes its
		// table with 3, watches with 3 and renews its lease every 1.7 s.
		c.Check(calls <= 3*(4+3+3+6), qt.IsTrue)
	})
}

// Guards against a domain that stays without a coordinator because it crashed
// during a platform outage, when no lease can be granted.
func TestCoordinatorKilledInOutage(t *testing.T) {
	simulate(t, func(c *qt.C, fl *fleet) {
		fl.writeConfiguration(1)
		fl.startAll("abc", 3)
		fl.store.SetOutage(true)
		fl.run(20 * time.Second)
		old := fl.leader("b")
		fl.crash(old)
		took := fl.until(8*time.Second, "unconfirmed successor", func() bool {
			c.Assert(fl.isolatedDaemons("b"), qt.Equals, 0)
			return fl.haveShare("b", 2, 3)()
		})
		c.Logf("unconfirmed successor in force after %v", took)
		fl.until(2*time.Second, "silent", func() bool { return fl.state("a1", old) == member.Silent })
		fl.start("b5")
		fl.until(5*time.Second, "daemon started in the outage is a member with configuration", func() bool {
			n := fl.nodes["b5"]
			_, ok := n.Authority(time.Now())
			return ok && n.Configuration().Version == 1 && fl.state("a1", "b5") == member.Live
		})
		m, _ := fl.nodes["a1"].View().Find("b5")
		c.Check(m.Counted, qt.IsFalse)
		fl.store.SetOutage(false)
		fl.until(20*time.Second, "confirmed after the outage", func() bool {
			_, confirmed := fl.nodes["b5"].Coordinator()
			return confirmed && len(fl.leaders("b")) == 1
		})
	})
}

// Guards against a candidate that waits for its own lease to expire after the
// platform's response to its write was lost, and against a second lease.
func TestLostResponse(t *testing.T) {
	simulate(t, func(c *qt.C, fl *fleet) {
		fl.store.LoseResponses(1)
		fl.start("a1")
		fl.until(5*time.Second, "coordinator", func() bool { return fl.leader("a") == "a1" })
		c.Check(fl.store.CallCount("grant"), qt.Equals, 1)
	})
}

// Guards against a watch that permanently restarts at a compacted revision, when
// the store was compacted during an outage.
func TestCompaction(t *testing.T) {
	simulate(t, func(c *qt.C, fl *fleet) {
		fl.writeConfiguration(1)
		fl.startAll("a", 1)
		fl.store.SetOutage(true)
		fl.run(time.Second)
		fl.writeConfiguration(2)
		fl.store.CompactAll()
		fl.store.SetOutage(false)
		fl.until(10*time.Second, "version after the compaction", fl.allHave(2))
		fl.run(20 * time.Second)
		before := fl.store.CallCount("watch")
		fl.writeConfiguration(3)
		fl.until(time.Second, "watched version", fl.allHave(3))
		fl.run(20 * time.Second)
		c.Check(fl.store.CallCount("watch"), qt.Equals, before)
	})
}

// Guards against a coordinator that writes its table although the record names
// another coordinator.
func TestFencing(t *testing.T) {
	simulate(t, func(c *qt.C, fl *fleet) {
		fl.startAll("a", 2)
		old, table := fl.leader("a"), fl.store.Entry("rattanline/domains/a")
		fl.store.Put("rattanline/coordinators/a", []byte(`{"name":"a9","failure-domain":"a","link-address":"a9:1"}`))
		fl.start("a3")
		fl.until(2*time.Second, "no coordinator", func() bool { return fl.leader("a") != old })
		c.Check(fl.store.Entry("rattanline/domains/a").Revision, qt.Equals, table.Revision)
	})
}

// Guards against all daemons calling the platform at once when their coordinator
// crashes: only the candidate may.
func TestPlatformCallsOnSuccession(t *testing.T) {
	simulate(t, func(c *qt.C, fl *fleet) {
		fl.startAll("a", 9)
		fl.crash(fl.leader("a"))
		before := fl.store.TotalCalls()
		fl.until(9*time.Second, "successor", fl.haveShare("a", 8, 9))
		calls := fl.store.TotalCalls() - before
		c.Log("platform calls of 8 daemons that lost their coordinator:", calls)
		c.Check(calls <= 25, qt.IsTrue)
	})
}
