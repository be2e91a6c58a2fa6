package process

import (
	"fmt"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"rattanline.example/rattanline/config"
	"rattanline.example/rattanline/port"
	"rattanline.example/rattanline/standin"
)

const (
	// noNewWorkLimit is the longest time for which targets that drain or leave may
	// still receive new requests.
	noNewWorkLimit = 5 * time.Second
	// minGoodputFraction is the minimum goodput as a fraction of the remaining
	// capacity.
	minGoodputFraction = 0.95
	// waitRecoveryLimit is the longest time from the end of a drain until the wait
	// is back to normal.
	waitRecoveryLimit = 10 * time.Second
	// maxWaitFactor bounds the p95 wait after a drain relative to the p95 wait
	// before it. Equal load still gives different values, because each is taken
	// from a sample of a few hundred requests.
	maxWaitFactor = 1.25
)

// assertNoNewWork waits until noNewWorkLimit after the acceptance and checks that
// the targets whose names have the prefix receive no requests during the pause.
func (f *fleet) assertNoNewWork(prefix string, accepted time.Time, pause time.Duration) {
	f.c.Helper()
	time.Sleep(time.Until(accepted.Add(noNewWorkLimit)))
	before := f.stats()
	time.Sleep(pause)
	found := 0
	for name, s := range f.stats() {
		if strings.HasPrefix(name, prefix) {
			found++
			f.c.Check(s.Requests, qt.Equals, before[name].Requests, qt.Commentf("requests at %s", name))
		}
	}
	f.c.Check(found > 0, qt.IsTrue)
}

// assertGoodput checks that the goodput of the loads in the interval is at least
// minGoodputFraction of the remaining capacity, both in completions per second.
func assertGoodput(c *qt.C, what string, from, to time.Time, remaining float64, loads ...*load) {
	c.Helper()
	rate := 0.0
	for _, l := range loads {
		rate += l.completionRate(from, to)
	}
	c.Logf("%s: goodput %.1f/s, %.3f of the remaining capacity", what, rate, rate/remaining)
	c.Check(rate >= minGoodputFraction*remaining, qt.IsTrue, qt.Commentf("%s: goodput %.1f/s of %.1f/s", what, rate, remaining))
}

// TestDrain guards against new requests at a drained failure domain, requests
// interrupted by the drain, and loss of the other domains' capacity while the
// domain is drained and restored.
func TestDrain(t *testing.T) {
	t.Parallel()
	f := startFleet(t, options{domains: 3, daemons: 3, engines: 1, engine: smallEngine(8)})
	c := f.c
	next := func(w, n int) call {
		return completion(fmt.Sprintf("worker %d request %d", w, n), 20, n%2 == 0)
	}
	// The steady load has as many requests outstanding as there are slots, so that
	// its wait rises when slots are missing. The extra load keeps requests queued,
	// so that the goodput equals the capacity.
	const slots = 24
	began := time.Now()
	steady, extra := f.startLoad(slots, next), f.startLoad(slots, next)
	time.Sleep(7 * time.Second)
	from := time.Now()
	time.Sleep(3 * time.Second)
	rate := steady.completionRate(from, time.Now()) + extra.completionRate(from, time.Now())
	extra.assertUninterrupted(c)
	from = time.Now()
	time.Sleep(3 * time.Second)
	normal := percentile(waitTimes(steady.endedBetween(from, time.Now())), 0.95)
	c.Logf("before: %.1f/s at most, steady wait p95 %s", rate, normal)

	drained := f.daemons[f.random.IntN(len(f.daemons))].domain
	extra = f.startLoad(slots, next)
	_, accepted := f.setDrained(f.daemons[0], drained, true)
	f.assertNoNewWork(drained, accepted, 4*time.Second)
	_, restored := f.setDrained(f.daemons[0], drained, false)
	extra.assertUninterrupted(c)
	time.Sleep(time.Until(restored.Add(waitRecoveryLimit)))
	back := time.Now()
	time.Sleep(3 * time.Second)
	after := percentile(waitTimes(steady.endedBetween(back, time.Now())), 0.95)
	c.Logf("%s restored: steady wait p95 %s", drained, after)
	assertGoodput(c, "leaving", accepted, accepted.Add(noNewWorkLimit), rate*2/3, steady, extra)
	assertGoodput(c, "gone", accepted.Add(noNewWorkLimit), restored, rate*2/3, steady, extra)
	assertGoodput(c, "returning", restored, restored.Add(waitRecoveryLimit), rate*2/3, steady)
	c.Check(after <= time.Duration(maxWaitFactor*float64(normal)), qt.IsTrue, qt.Commentf("p95 wait %s, before %s", after, normal))
	steady.assertUninterrupted(c)
	steady.writeSeries(c, "drain-series", began, 250*time.Millisecond)
	for name, s := range f.stats() {
		c.Check(s.MaxInFlightCold <= 2, qt.IsTrue, qt.Commentf("%s: %d in flight while cold", name, s.MaxInFlightCold))
	}
}

// TestLeaving guards against new requests at a target that is marked as leaving
// in the configuration, or whose host is marked as leaving in the host list.
func TestLeaving(t *testing.T) {
	t.Parallel()
	f := startFleet(t, options{
		domains: 2, daemons: 2, engines: 2, services: 1, engine: smallEngine(4), service: smallService(4, 10),
	})
	c := f.c
	l := f.startLoad(32, mixedRequest)
	leaving := domainName(0) + "-engine-0"
	_, accepted := f.submit(f.daemons[1], func(d config.Document) config.Document { return d.WithLeaving(leaving, true) })
	f.assertNoNewWork(leaving, accepted, 2*time.Second)

	for _, name := range []string{domainName(1) + "-engine-1", domainName(1) + "-service-0"} {
		f.hosts[name+"-host"] = port.HostLeaving
	}
	f.hostList.Set(f.hosts)
	marked := time.Now()
	f.assertNoNewWork(domainName(1)+"-engine-1", marked, 2*time.Second)
	f.assertNoNewWork(domainName(1)+"-service-0", marked, 2*time.Second)
	before := f.stats()
	time.Sleep(time.Second)
	for _, name := range []string{domainName(0) + "-engine-1", domainName(1) + "-engine-0", domainName(0) + "-service-0"} {
		assertServes(c, name, before[name], f.stats()[name])
	}
	l.assertUninterrupted(c)
}

// assertServes checks that the target completed requests between two statistics.
func assertServes(c *qt.C, name string, before, after standin.Stats) {
	c.Helper()
	c.Check(after.Completed > before.Completed, qt.IsTrue, qt.Commentf("%s completed no request", name))
}
