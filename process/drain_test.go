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
	// noWorkLimit is the aim for new work at what leaves.
	noWorkLimit = 5 * time.Second
	// goodputPart is the aim for goodput, as a part of the remaining capacity.
	goodputPart = 0.95
	// normalLimit is the aim for the return of the wait to normal.
	normalLimit = 10 * time.Second
	// normalFactor is how far the p95 of some seconds may be above that of
	// others at the same load and still be normal: both are samples of a few
	// hundred requests.
	normalFactor = 1.25
)

// assertNoNewWork checks that targets whose names have the prefix get nothing
// between the aim after the acceptance and the end of the pause.
func (f *fleet) assertNoNewWork(prefix string, accepted time.Time, pause time.Duration) {
	f.c.Helper()
	time.Sleep(time.Until(accepted.Add(noWorkLimit)))
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

// assertGoodput checks the goodput of an interval.
func assertGoodput(c *qt.C, what string, from, to time.Time, remaining float64, loads ...*load) {
	c.Helper()
	rate := 0.0
	for _, l := range loads {
		rate += l.rate(from, to)
	}
	c.Logf("%s: goodput %.1f/s, %.3f of what remains", what, rate, rate/remaining)
	c.Check(rate >= goodputPart*remaining, qt.IsTrue, qt.Commentf("%s: goodput %.1f/s of %.1f/s", what, rate, remaining))
}

// TestDrain guards against work at a drained failure domain, interrupted
// requests, and capacity lost while it leaves and returns.
func TestDrain(t *testing.T) {
	t.Parallel()
	f := startFleet(t, options{domains: 3, daemons: 3, engines: 1, engine: smallEngine(8)})
	c := f.c
	next := func(w, n int) call {
		return completion(fmt.Sprintf("worker %d request %d", w, n), 20, n%2 == 0)
	}
	// The steady load has as many requests as there are slots, so that its wait
	// shows missing ones. The extra load keeps requests waiting, so that the
	// goodput shows the capacity.
	const slots = 24
	began := time.Now()
	steady, extra := f.startLoad(slots, next), f.startLoad(slots, next)
	time.Sleep(7 * time.Second)
	from := time.Now()
	time.Sleep(3 * time.Second)
	rate := steady.rate(from, time.Now()) + extra.rate(from, time.Now())
	extra.assertUninterrupted(c)
	from = time.Now()
	time.Sleep(3 * time.Second)
	normal := percentile(waits(steady.between(from, time.Now())), 0.95)
	c.Logf("before: %.1f/s at most, steady wait p95 %s", rate, normal)

	drained := f.daemons[f.random.IntN(len(f.daemons))].domain
	extra = f.startLoad(slots, next)
	_, accepted := f.setDrained(f.daemons[0], drained, true)
	f.assertNoNewWork(drained, accepted, 4*time.Second)
	_, restored := f.setDrained(f.daemons[0], drained, false)
	extra.assertUninterrupted(c)
	time.Sleep(time.Until(restored.Add(normalLimit)))
	back := time.Now()
	time.Sleep(3 * time.Second)
	after := percentile(waits(steady.between(back, time.Now())), 0.95)
	c.Logf("%s restored: steady wait p95 %s", drained, after)
	assertGoodput(c, "leaving", accepted, accepted.Add(noWorkLimit), rate*2/3, steady, extra)
	assertGoodput(c, "gone", accepted.Add(noWorkLimit), restored, rate*2/3, steady, extra)
	assertGoodput(c, "returning", restored, restored.Add(normalLimit), rate*2/3, steady)
	c.Check(after <= time.Duration(normalFactor*float64(normal)), qt.IsTrue, qt.Commentf("p95 wait %s, before %s", after, normal))
	steady.assertUninterrupted(c)
	steady.series(c, "drain-series", began, 250*time.Millisecond)
	for name, s := range f.stats() {
		c.Check(s.MaxInFlightCold <= 2, qt.IsTrue, qt.Commentf("%s: %d in flight while cold", name, s.MaxInFlightCold))
	}
}

// TestLeaving guards against new work at a target that the configuration or
// whose host the host list marks as leaving.
func TestLeaving(t *testing.T) {
	t.Parallel()
	f := startFleet(t, options{
		domains: 2, daemons: 2, engines: 2, services: 1, engine: smallEngine(4), service: smallService(4, 10),
	})
	c := f.c
	l := f.startLoad(32, mixed)
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

func assertServes(c *qt.C, name string, before, after standin.Stats) {
	c.Helper()
	c.Check(after.Completed > before.Completed, qt.IsTrue, qt.Commentf("%s gets no work", name))
}
