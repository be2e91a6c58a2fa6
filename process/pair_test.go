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

// recoveryTimeout is how long a daemon may serve no requests after the loss of a
// coordinator. It covers the coordinator's lease of 5 s, and the owner and slot
// leases whose end the successor awaits.
const recoveryTimeout = 20 * time.Second

// assertServes waits until the daemon completes a request, and fails the test if
// it does not within the limit.
func (f *fleet) assertServes(d *daemonProcess, limit time.Duration) {
	f.c.Helper()
	x, began := f.caller(0), time.Now()
	eventually(f.c, limit, d.name+" serves", func() error {
		ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
		defer cancel()
		return x.send(ctx, d.url(), completion(fmt.Sprint("serves ", time.Now().UnixNano()), 4, true)).failure()
	})
	f.c.Logf("%s serves after %s", d.name, time.Since(began).Round(time.Millisecond))
}

// otherDaemons returns the daemons of the failure domain, or of all failure
// domains if the name is empty, except one.
func (f *fleet) otherDaemons(domain string, except *daemonProcess) []*daemonProcess {
	var found []*daemonProcess
	for _, d := range f.daemons {
		if d != except && (domain == "" || d.domain == domain) {
			found = append(found, d)
		}
	}
	return found
}

// TestCoincidingFailures guards against defects that appear only when two failures coincide:
// a platform outage with the loss of a coordinator or with a drain, a partition
// with a configuration change, and a suspended coordinator with its successor.
func TestCoincidingFailures(t *testing.T) {
	t.Parallel()
	f := startFleet(t, options{domains: 3, daemons: 2, engines: 1, engine: smallEngine(8), relays: true})
	c, v := f.c, watchVersions(f)
	first, second := domainName(0), domainName(1)

	// A coordinator is killed and restarted during a platform outage.
	lost := f.coordinator(first)
	f.setOutage(standin.OutageClose)
	lost.kill()
	time.Sleep(time.Second)
	f.assertServes(f.otherDaemons(first, lost)[0], recoveryTimeout)
	lost.start()
	f.assertServes(lost, recoveryTimeout)
	f.setOutage("")
	lost.awaitReady(readyTimeout)

	// A drain is accepted just before a platform outage.
	l := f.startLoad(24, func(w, n int) call { return completion(fmt.Sprintf("worker %d request %d", w, n), 20, true) })
	version, accepted := f.setDrained(f.otherDaemons(first, nil)[0], second, true)
	f.setOutage(standin.OutageClose)
	f.assertNoNewWork(second, accepted, 2*time.Second)
	v.assertInForce(c, f.daemons, version, accepted, inForceLimitAfterFailure)
	f.setOutage("")
	version, accepted = f.setDrained(f.otherDaemons(first, nil)[0], second, false)
	v.assertInForce(c, f.daemons, version, accepted, inForceLimitAfterFailure)
	l.assertUninterrupted(c)

	// A failure domain is cut off from the other domains and the platform, and
	// rejoins with an outdated version.
	f.relays.isolate(first)
	f.platformRelays[first].setCut(true)
	version, _ = f.submit(f.otherDaemons(second, nil)[0], withShare(5))
	time.Sleep(6 * time.Second) // beyond the isolation limit of 5 s
	r := f.caller(0).send(context.Background(), f.otherDaemons(first, nil)[0].url(), completion("isolated", 4, true))
	c.Check(r.reason, qt.Equals, request.Isolated, qt.Commentf("%v", r.failure()))
	f.relays.isolate("")
	f.platformRelays[first].setCut(false)
	took := v.assertInForce(c, f.daemons, version, time.Now(), inForceLimitAfterFailure)
	c.Logf("rejoined with the newer version after %s", took)
	f.assertServes(f.otherDaemons(first, nil)[0], recoveryTimeout)

	// A suspended coordinator resumes after the other daemon of its failure domain
	// wrote a version and another coordinator took over.
	frozen := f.coordinator(second)
	frozen.freeze()
	version, accepted = f.submit(f.otherDaemons(second, frozen)[0], withShare(6))
	v.assertInForce(c, f.otherDaemons("", frozen), version, accepted, inForceLimitAfterFailure)
	time.Sleep(time.Until(accepted.Add(8 * time.Second))) // beyond the coordinator's lease
	c.Check(f.coordinator(second) == frozen, qt.IsFalse)
	frozen.resume()
	v.assertInForce(c, f.daemons, version, time.Now(), inForceLimitAfterFailure)
	f.assertServes(frozen, recoveryTimeout)
	v.assertNoRegression(c)
}

// TestPoison guards against a poison request that crashes one target after
// another while its caller resends it to all daemons for 60 s. At most 3 crashes
// are allowed.
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
	for _, a := range l.results {
		if a.err != nil {
			others++
		}
	}
	c.Logf("%d crashes; outcomes of the poison request %v; %d of %d other requests failed", crashes, outcomes, others, len(l.results))
	c.Check(crashes <= 3, qt.IsTrue, qt.Commentf("%d crashes", crashes))
	c.Check(crashes > 0, qt.IsTrue)
}
