package coordinator

import (
	"context"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"rattanline.example/rattanline/config"
)

// setBroken cuts or restores the links between the two groups.
func (fl *fleet) setBroken(x, y []string, broken bool) {
	for _, a := range x {
		for _, b := range y {
			fl.links.set(a, b, broken)
		}
	}
}

// Guards against two coordinators that together grant more than a target's
// limit, and against a side without a share that leaves targets idle, when the
// platform is down, a domain is partitioned and an owner in it crashes.
func TestSplitDomainInOutage(t *testing.T) {
	for _, side := range []string{"majority", "minority"} {
		t.Run("coordinator in the "+side, func(t *testing.T) {
			simulate(t, func(c *qt.C, fl *fleet) {
				fl.startAll("ab", 5)
				fl.store.SetOutage(true)
				fl.run(2 * time.Second)
				large, small := []string{fl.leader("b")}, []string(nil)
				for name, n := range fl.nodes {
					switch {
					case n.Self.Domain != "b" || name == large[0]:
					case len(large) < 3:
						large = append(large, name)
					default:
						small = append(small, name)
					}
				}
				if side == "minority" {
					large[0], small[0] = small[0], large[0]
				}
				fl.setBroken(large, small, true)
				fl.crash(large[2])
				fl.until(15*time.Second, "a coordinator on each side", func() bool {
					return len(fl.leaders("b")) == 2 && fl.leases(large[0]) == 2 && fl.leases(small[0]) == 2
				})
				// After this time the coordinators have removed each other's contact.
				fl.run(contactRetention + 5*time.Second)
				fl.setBroken(large, small, false)
				fl.until(15*time.Second, "one coordinator with all leases", func() bool {
					return len(fl.leaders("b")) == 1 && fl.leases(large[0]) == 4 && fl.leases(small[0]) == 4
				})
				fl.start(large[2])
				fl.store.SetOutage(false)
				fl.until(30*time.Second, "all counted after the outage", func() bool { return fl.settled(5) })
			})
		})
	}
}

// leases returns the number of follower leases in the share that a daemon may
// grant, 0 without authority.
func (fl *fleet) leases(name string) int {
	s, ok := fl.nodes[name].Authority(time.Now())
	if !ok {
		return 0
	}
	return s.Leases
}

// Guards against combinations of faults that no other test covers. The checks of
// shares and versions must hold at every step, and the fleet must recover.
func TestRandomFaults(t *testing.T) {
	for seed := range uint64(4) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			simulate(t, func(c *qt.C, fl *fleet) {
				r := rand.New(rand.NewPCG(seed, 1))
				names := []string{"a1", "a2", "a3", "b1", "b2", "b3"}
				fl.startAll("ab", 3)
				version := uint64(0)
				for range 25 {
					x, y := names[r.IntN(len(names))], names[r.IntN(len(names))]
					switch r.IntN(12) {
					case 0:
						fl.store.SetOutage(true)
					case 1:
						fl.store.SetOutage(false)
					case 2, 3:
						fl.links.cut(x, y)
					case 4:
						fl.links.heal(x, y)
					case 5:
						fl.crash(x)
						fl.run(time.Duration(r.IntN(4000)) * time.Millisecond)
						fl.start(x)
					case 6:
						fl.freeze(x)
						fl.run(time.Duration(r.IntN(8000)) * time.Millisecond)
						fl.thaw(x)
					case 7:
						version++
						fl.writeConfiguration(version)
					case 8:
						fl.store.LoseResponses(1 + r.IntN(3))
					case 9:
						fl.store.SetPartitioned(x, r.IntN(2) == 0)
					case 10:
						fl.links.set("a", "b", r.IntN(2) == 0)
					case 11:
						fl.leave(x)
						fl.run(time.Duration(r.IntN(4000)) * time.Millisecond)
						fl.start(x)
					}
					fl.run(time.Duration(r.IntN(3000)) * time.Millisecond)
				}
				fl.store.SetOutage(false)
				fl.links.heal("a", "b")
				fl.setBroken(names, names, false)
				for _, name := range names {
					fl.store.SetPartitioned(name, false)
				}
				fl.until(40*time.Second, "recovered", func() bool { return fl.settled(3) && fl.allHave(version)() })
			})
		})
	}
}

// Guards against a configuration that is delayed without any fault, or lost with
// the coordinator that should have distributed it.
func TestConfigurationReachesAll(t *testing.T) {
	simulate(t, func(c *qt.C, fl *fleet) {
		fl.startAll("abc", 3)
		fl.writeConfiguration(1)
		c.Log("version in force at 9 daemons after", fl.until(2*time.Second, "version 1 at all", fl.allHave(1)))
		fl.writeConfiguration(2)
		fl.crash(fl.leader("b"))
		// The limit is shorter than a succession, because daemons without a
		// coordinator call daemons of other domains.
		c.Log("with a coordinator killed after", fl.until(4*time.Second, "version 2 at all", fl.allHave(2)))
		n := fl.nodes[fl.follower("c")]
		fl.writeConfiguration(3)
		c.Assert(n.Refresh(context.Background(), 3), qt.IsNil)
		c.Check(n.Configuration().Version >= 3, qt.IsTrue)
		fl.until(10*time.Second, "version 3 at all", fl.allHave(3))
		// An older version that was written again is adopted by no daemon.
		fl.writeConfiguration(1)
		fl.run(2 * time.Second)
		c.Check(fl.allHave(3)(), qt.IsTrue)
		// During an outage, only one daemon knows version 4 at first.
		fl.store.SetOutage(true)
		n = fl.nodes[fl.follower("a")]
		n.mu.Lock()
		n.adoptConfiguration(config.Document{Version: 4})
		n.mu.Unlock()
		fl.until(2*time.Second, "version 4 at all", fl.allHave(4))
	})
}

// Guards against a partitioned domain that doesn't detect its isolation and so
// would miss a drain, against its waiting accounts that delay others, and
// against its older configuration version that spreads when it rejoins.
func TestPartitionedDomainRejoins(t *testing.T) {
	simulate(t, func(c *qt.C, fl *fleet) {
		fl.writeConfiguration(1)
		fl.startAll("abc", 3)
		fl.nodes["b1"].Ledger.SetWaiting("service", "x", true)
		waits := func() bool { _, ok := fl.nodes["a1"].Ledger.Floor("service"); return ok }
		fl.until(2*time.Second, "waiting account known", waits)
		fl.links.cut("b", "*")
		for i := 1; i <= 3; i++ {
			fl.store.SetPartitioned(fmt.Sprint("b", i), true)
		}
		fl.writeConfiguration(2)
		fl.run(4 * time.Second)
		c.Check(fl.isolatedDaemons("b"), qt.Equals, 0)
		c.Check(waits(), qt.IsFalse, qt.Commentf("account of an unreachable domain still counts as waiting"))
		fl.run(2 * time.Second)
		c.Check(fl.isolatedDaemons("b"), qt.Equals, 3)
		c.Check(fl.isolatedDaemons("a"), qt.Equals, 0)
		c.Check(fl.nodes["a3"].Versions()["b1"], qt.Equals, uint64(1))
		fl.run(20 * time.Second)
		c.Check(fl.nodes["b1"].Configuration().Version, qt.Equals, uint64(1))
		c.Check(fl.nodes["a1"].Configuration().Version, qt.Equals, uint64(2))
		fl.links.heal("b", "*")
		fl.until(5*time.Second, "waiting account known again", waits)
		fl.until(5*time.Second, "rejoined without the platform", func() bool { return fl.allHave(2)() && fl.isolatedDaemons("b") == 0 })
		for i := 1; i <= 3; i++ {
			fl.store.SetPartitioned(fmt.Sprint("b", i), false)
		}
		fl.until(30*time.Second, "settled", func() bool { return fl.settled(3) })
		name := fl.follower("a")
		fl.links.cut(name, "*")
		fl.writeConfiguration(3)
		fl.run(4 * time.Second)
		c.Check(fl.nodes["b1"].Versions()[name], qt.Equals, uint64(2))
		c.Check(fl.nodes["b1"].Versions()["c1"], qt.Equals, uint64(3))
		fl.links.heal(name, "*")
		fl.until(5*time.Second, "versions of all daemons known at all", func() bool {
			for _, n := range fl.nodes {
				for name := range fl.nodes {
					if n.Versions()[name] != 3 {
						return false
					}
				}
			}
			return true
		})
	})
}

func (fl *fleet) isolatedDaemons(domain string) int {
	sum := 0
	for _, n := range fl.nodes {
		if n.Self.Domain == domain && n.Isolated(time.Now()) {
			sum++
		}
	}
	return sum
}
