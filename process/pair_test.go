package process

import (
	"context"
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"rattanline.example/rattanline/request"
	"rattanline.example/rattanline/standin"
)

// serveLimit is how long a daemon may not serve after a coordinator is lost: its
// lease of 5 s, and the owner and slot leases that the successor waits for.
const serveLimit = 20 * time.Second

func (f *fleet) assertServes(d *daemonProcess, limit time.Duration) {
	f.c.Helper()
	x, began := f.caller(0), time.Now()
	eventually(f.c, limit, d.name+" serves", func() error {
		ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
		defer cancel()
		return x.send(ctx, d.url(), completion(fmt.Sprint("serves ", time.Now().UnixNano()), 4, true)).fault()
	})
	f.c.Logf("%s serves after %s", d.name, time.Since(began).Round(time.Millisecond))
}

// others returns the daemons of the failure domain, or of all if it is empty,
// but for one.
func (f *fleet) others(domain string, but *daemonProcess) []*daemonProcess {
	var found []*daemonProcess
	for _, d := range f.daemons {
		if d != but && (domain == "" || d.domain == domain) {
			found = append(found, d)
		}
	}
	return found
}

// TestPairs guards against faults that only show when two failures meet.
func TestPairs(t *testing.T) {
	t.Parallel()
	f := startFleet(t, options{domains: 3, daemons: 2, engines: 1, engine: smallEngine(8), relays: true})
	c, v := f.c, watchVersions(f)
	first, second := domainName(0), domainName(1)

	// The platform is down while a coordinator dies, and a daemon starts meanwhile.
	lost := f.coordinator(first)
	f.outage(standin.OutageClose)
	lost.kill()
	time.Sleep(time.Second)
	f.assertServes(f.others(first, lost)[0], serveLimit)
	lost.start()
	f.assertServes(lost, serveLimit)
	f.outage("")
	lost.awaitReady(readyLimit)

	// A drain is accepted just before the platform goes down.
	l := f.startLoad(24, func(w, n int) call { return completion(fmt.Sprintf("worker %d request %d", w, n), 20, true) })
	version, accepted := f.setDrained(f.others(first, nil)[0], second, true)
	f.outage(standin.OutageClose)
	f.assertNoNewWork(second, accepted, 2*time.Second)
	v.assertInForce(c, f.daemons, version, accepted, inForceLimitWithKilled)
	f.outage("")
	version, accepted = f.setDrained(f.others(first, nil)[0], second, false)
	v.assertInForce(c, f.daemons, version, accepted, inForceLimitWithKilled)
	l.assertUninterrupted(c)

	// A domain is cut off from all and rejoins with an older version.
	f.relays.isolate(first)
	f.platform[first].setDown(true)
	version, _ = f.submit(f.others(second, nil)[0], withShare(5))
	time.Sleep(6 * time.Second) // past the isolation limit
	r := f.caller(0).send(context.Background(), f.others(first, nil)[0].url(), completion("isolated", 4, true))
	c.Check(r.reason, qt.Equals, request.Isolated, qt.Commentf("%v", r.fault()))
	f.relays.isolate("")
	f.platform[first].setDown(false)
	took := v.assertInForce(c, f.daemons, version, time.Now(), inForceLimitWithKilled)
	c.Logf("rejoined with the newer version after %s", took)
	f.assertServes(f.others(first, nil)[0], serveLimit)

	// A frozen coordinator resumes after its successor wrote.
	frozen := f.coordinator(second)
	frozen.freeze()
	version, accepted = f.submit(f.others(second, frozen)[0], withShare(6))
	v.assertInForce(c, f.others("", frozen), version, accepted, inForceLimitWithKilled)
	time.Sleep(time.Until(accepted.Add(8 * time.Second))) // past its lease
	c.Check(f.coordinator(second) == frozen, qt.IsFalse)
	frozen.resume()
	v.assertInForce(c, f.daemons, version, time.Now(), inForceLimitWithKilled)
	f.assertServes(frozen, serveLimit)
	v.assertNeverLowered(c)
}

// TestPoison guards against a request that crashes one target after another
// while its caller resends it to all daemons for a minute.
func TestPoison(t *testing.T) {
	t.Parallel()
	engine := smallEngine(8)
	engine.CrashText, engine.RestartTime = "poison", milliseconds(200)
	f := startFleet(t, options{domains: 3, daemons: 1, engines: 2, engine: engine})
	c := f.c
	l := f.startLoad(12, func(w, n int) call { return completion(fmt.Sprintf("worker %d request %d", w, n), 20, true) })
	ctx, cancel := context.WithTimeout(context.Background(), time.Duration(orShort(60, 10))*time.Second)
	defer cancel()
	outcomes := map[request.Outcome]int{}
	for n := 0; ctx.Err() == nil; n++ {
		limited, cancel := context.WithTimeout(ctx, 10*time.Second)
		r := f.caller(0).send(limited, f.daemons[n%len(f.daemons)].url(), completion("poison", 20, true))
		cancel()
		outcomes[r.outcome]++
		time.Sleep(50 * time.Millisecond)
	}
	l.stop()
	crashes, others := 0, 0
	for _, s := range f.stats() {
		crashes += s.Crashes
	}
	for _, a := range l.ended {
		if a.err != nil {
			others++
		}
	}
	c.Logf("%d crashes; outcomes of the poison request %v; %d of %d other requests failed", crashes, outcomes, others, len(l.ended))
	c.Check(crashes <= 3, qt.IsTrue, qt.Commentf("%d crashes", crashes))
	c.Check(crashes > 0, qt.IsTrue)
}
