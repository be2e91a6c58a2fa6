package dispatch_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"rattanline.example/rattanline/config"
	"rattanline.example/rattanline/dispatch"
	"rattanline.example/rattanline/measure"
)

// ownersReady is the time after the start from which owners grant slots: they no
// longer wait for reports of slots of former owners.
const ownersReady = 6100 * time.Millisecond

var domains = []string{"east", "north", "west"}

// document returns a configuration with one service. Its targets are spread over
// the failure domains, and its accounts have equal shares.
func document(targets, cold, limit int, accounts ...string) config.Document {
	d := config.Document{Version: 1, Services: []config.Service{{Name: "s"}}}
	for i := range targets {
		d.Targets = append(d.Targets, config.Target{
			Name: fmt.Sprintf("target-%d", i), Service: "s", FailureDomain: domains[i%3], ColdLimit: cold, MaxLimit: limit,
		})
	}
	for _, name := range domains {
		d.FailureDomains = append(d.FailureDomains, config.FailureDomain{Name: name})
	}
	for _, name := range accounts {
		d.Accounts = append(d.Accounts, config.Account{Name: name, Share: 1})
	}
	return d
}

// fleet is a simulated fleet that runs in a synctest bubble.
type fleet struct {
	*measure.Fleet
	c     *qt.C
	ctx   context.Context
	meter *measure.Meter
	rand  *rand.Rand
}

// run starts a fleet, waits until its owners grant slots, calls the function and
// stops the fleet. The seed of losses and costs is fixed.
func run(t *testing.T, daemons int, d config.Document, test func(f *fleet)) {
	runTimes(t, daemons, d, dispatch.Times{}, test)
}

func runTimes(t *testing.T, daemons int, d config.Document, times dispatch.Times, test func(f *fleet)) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		f := &fleet{
			Fleet: &measure.Fleet{
				Document: d, Domains: domains, Daemons: daemons, WarmUpTime: 5 * time.Second, Times: times,
				Network: measure.NewNetwork(7, 3*time.Millisecond, 0.01),
			},
			c: qt.New(t), ctx: ctx, meter: measure.NewMeter(), rand: rand.New(rand.NewPCG(7, 2)),
		}
		f.Start(ctx)
		time.Sleep(ownersReady)
		test(f)
		cancel()
		f.Wait()
	})
}

func (f *fleet) client(daemon, account string) *measure.Client {
	r := rand.New(rand.NewPCG(f.rand.Uint64(), 3))
	return &measure.Client{
		Fleet: f.Fleet, Meter: f.meter, Daemon: daemon, Account: account, Service: "s",
		TimePerCost: 300 * time.Millisecond, Cost: r.ExpFloat64,
	}
}

func (f *fleet) assertNeverAbove(target string, limit int) {
	f.c.Helper()
	_, peak := f.Target(target).Running()
	f.c.Assert(peak <= limit, qt.IsTrue, qt.Commentf("%s ran %d requests at once, limit %d", target, peak, limit))
}

// Crashed returns the number of interrupted requests at all targets.
func (f *fleet) Crashed() int {
	sum := 0
	for _, t := range f.Document.Targets {
		sum += f.Target(t.Name).CrashedRequests()
	}
	return sum
}
