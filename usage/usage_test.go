package usage_test

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"rattanline.example/rattanline/usage"
)

func equalShares(string) float64 { return 1 }

func source(name string, run int) usage.Source {
	return usage.Source{Daemon: name, Incarnation: fmt.Sprint(run)}
}

// exchange sends a daemon's report to the coordinator's aggregate and the fleet's
// totals back. Either message may be lost.
func exchange(l *usage.Ledger, name string, a *usage.Aggregate, coordinator usage.Source, lost func() bool) {
	report := l.Report(coordinator)
	if lost() {
		return
	}
	acked := a.ApplyReport(report)
	reply := a.ReportFor(name, l.Applied())
	if lost() {
		return
	}
	l.Acknowledge(coordinator, acked)
	l.Apply(reply)
}

func never() bool { return false }

func assertTotal(c *qt.C, l *usage.Ledger, account string, want float64) {
	c.Helper()
	c.Assert(math.Abs(l.Total(account)-want) < 1e-6, qt.IsTrue,
		qt.Commentf("total of %s is %v, want %v", account, l.Total(account), want))
}

// TestTotalsConvergeUnderLoss guards against contributions that are missing from
// the totals or counted twice after messages between daemons and coordinators were
// lost and sent again.
func TestTotalsConvergeUnderLoss(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		seed := rapid.Uint64().Draw(t, "seed")
		r := rand.New(rand.NewPCG(seed, 1))
		lost := func() bool { return r.Float64() < 0.4 }
		coordinators := []usage.Source{source("x", 1), source("y", 1)}
		aggregates := []*usage.Aggregate{usage.NewAggregate(coordinators[0]), usage.NewAggregate(coordinators[1])}
		ledgers := make([]*usage.Ledger, 4)
		for i := range ledgers {
			ledgers[i] = usage.NewLedger(source(fmt.Sprint(i), 1), equalShares)
		}
		want := map[string]float64{}
		exchangeAll := func(lost func() bool) {
			for i, l := range ledgers {
				exchange(l, fmt.Sprint(i), aggregates[i%2], coordinators[i%2], lost)
			}
			for i := range aggregates {
				report := usage.DomainReport{Domain: fmt.Sprint(i), Report: aggregates[i].DomainReport(aggregates[1-i].DomainAck(fmt.Sprint(i)))}
				if !lost() {
					aggregates[1-i].ApplyDomain(report)
				}
			}
		}
		for range 40 {
			account := fmt.Sprint("account-", r.IntN(3))
			cost := r.Float64()*10 - 2
			want[account] += cost
			ledgers[r.IntN(4)].Charge(account, cost)
			exchangeAll(lost)
		}
		for range 3 {
			exchangeAll(never)
		}
		for account, total := range want {
			for _, l := range ledgers {
				if math.Abs(l.Total(account)-total) > 1e-6 {
					t.Fatalf("total of %s is %v, want %v", account, l.Total(account), total)
				}
			}
		}
	})
}

// TestTotalsSurviveRestart guards against a restarted daemon or a new coordinator
// that loses an account's service, so that the account gets a second share.
func TestTotalsSurviveRestart(t *testing.T) {
	c := qt.New(t)
	coordinator := source("x", 1)
	a := usage.NewAggregate(coordinator)
	first := usage.NewLedger(source("d", 1), equalShares)
	observer := usage.NewLedger(source("w", 1), equalShares)
	first.Charge("shop", 100)
	exchange(first, "d", a, coordinator, never)
	exchange(observer, "w", a, coordinator, never)

	c.Run("daemon", func(c *qt.C) {
		second := usage.NewLedger(source("d", 2), equalShares)
		second.Charge("shop", 5)
		exchange(second, "d", a, coordinator, never)
		exchange(second, "d", a, coordinator, never)
		exchange(observer, "w", a, coordinator, never)
		assertTotal(c, second, "shop", 105)
		assertTotal(c, observer, "shop", 105)
	})
	c.Run("coordinator", func(c *qt.C) {
		successor := source("w", 1)
		b := usage.NewAggregate(successor)
		exchange(observer, "w", b, successor, never)
		b.Restore(observer.Total, []string{"shop"})
		exchange(observer, "w", b, successor, never)
		assertTotal(c, observer, "shop", 105)
	})
}

// TestBacklogStartsAtLowestCounter guards against credit for idle time: an account
// that was idle must not displace accounts that were backlogged in the meantime.
func TestBacklogStartsAtLowestCounter(t *testing.T) {
	c := qt.New(t)
	l := usage.NewLedger(source("d", 1), equalShares)
	l.SetWaiting("draft", "busy", true)
	l.Charge("busy", 50)
	l.SetWaiting("stock", "other", true)
	l.Charge("other", 10)

	l.SetWaiting("draft", "idle", true)
	c.Assert(l.Counter("draft", "idle"), qt.Equals, 50.0)
	c.Assert(l.Counter("stock", "idle"), qt.Equals, 0.0)

	c.Run("raised again after another idle period", func(c *qt.C) {
		l.SetWaiting("draft", "idle", false)
		l.Charge("busy", 30)
		l.SetWaiting("draft", "idle", true)
		c.Assert(l.Counter("draft", "idle"), qt.Equals, 80.0)
	})
	c.Run("counter unchanged after a short pause", func(c *qt.C) {
		l.SetWaiting("draft", "busy", false)
		l.SetWaiting("draft", "busy", true)
		c.Assert(l.Counter("draft", "busy"), qt.Equals, 80.0)
	})
}

// TestConcurrentOffsetsMergeByMaximum guards against offsets that add up when two
// daemons raise the counter of the same account.
func TestConcurrentOffsetsMergeByMaximum(t *testing.T) {
	c := qt.New(t)
	coordinator := source("x", 1)
	a := usage.NewAggregate(coordinator)
	ledgers := map[string]*usage.Ledger{}
	for _, name := range []string{"d", "e"} {
		l := usage.NewLedger(source(name, 1), equalShares)
		l.SetWaiting("draft", "busy-"+name, true)
		l.Charge("busy-"+name, 40)
		l.SetWaiting("draft", "idle", true)
		ledgers[name] = l
	}
	for range 2 {
		for name, l := range ledgers {
			exchange(l, name, a, coordinator, never)
		}
	}
	for _, l := range ledgers {
		c.Assert(l.Counter("draft", "idle"), qt.Equals, 40.0)
	}
}

// TestPartitionedDomainExcludedFromFloor guards against a partitioned domain that
// delays accounts that can still be served, and against waiting requests of the
// domain that are missing after it rejoins.
func TestPartitionedDomainExcludedFromFloor(t *testing.T) {
	c := qt.New(t)
	near, far := source("x", 1), source("y", 1)
	a, b := usage.NewAggregate(near), usage.NewAggregate(far)
	local, remote := usage.NewLedger(source("d", 1), equalShares), usage.NewLedger(source("e", 1), equalShares)
	remote.SetWaiting("draft", "climber", true)
	exchange(remote, "e", b, far, never)
	exchangeAll := func() {
		a.ApplyDomain(usage.DomainReport{Domain: "y", Report: b.DomainReport(a.DomainAck("y"))})
		exchange(local, "d", a, near, never)
	}
	exchangeAll()
	_, waiting := local.Floor("draft")
	c.Assert(waiting, qt.IsTrue)

	a.ClearDomainWaiting("y")
	exchange(local, "d", a, near, never)
	_, waiting = local.Floor("draft")
	c.Assert(waiting, qt.IsFalse)

	exchangeAll()
	_, waiting = local.Floor("draft")
	c.Assert(waiting, qt.IsTrue)
}

// TestOutOfOrderReportIsIgnored guards against counters that decrease when a reply
// arrives after a later one.
func TestOutOfOrderReportIsIgnored(t *testing.T) {
	c := qt.New(t)
	coordinator := source("x", 1)
	a := usage.NewAggregate(coordinator)
	l, other := usage.NewLedger(source("d", 1), equalShares), usage.NewLedger(source("e", 1), equalShares)
	charge := func() usage.Report {
		other.Charge("shop", 10)
		exchange(other, "e", a, coordinator, never)
		return a.ReportFor("d", l.Applied())
	}
	early, late := charge(), charge()
	l.Apply(late)
	l.Apply(early)
	assertTotal(c, l, "shop", 20)
}
