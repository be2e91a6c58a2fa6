package process

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	qt "github.com/frankban/quicktest"

	"rattanline.example/rattanline/standin"
)

// faultInjector injects one random fault after another into a fleet until it is
// stopped. The seed alone determines the order of the faults and their durations.
type faultInjector struct {
	fleet   *fleet
	random  *rand.Rand
	stop    chan struct{}
	running sync.WaitGroup
	counts  map[string]int
}

func (f *fleet) startFaults(seed uint64) *faultInjector {
	x := &faultInjector{fleet: f, random: rand.New(rand.NewPCG(seed, 1)), stop: make(chan struct{}), counts: map[string]int{}}
	x.running.Go(x.run)
	return x
}

// end stops the injection, reverts the current fault and waits until every daemon
// is ready again.
func (x *faultInjector) end() {
	close(x.stop)
	x.running.Wait()
	for _, d := range x.fleet.daemons {
		d.awaitReady(readyTimeout)
	}
	x.fleet.c.Logf("faults: %v", x.counts)
}

func (x *faultInjector) run() {
	for {
		name, undo := x.inject()
		x.counts[name]++
		ended := x.pause(300, 1500)
		// A suspension lasts 2.3 s to 5.5 s in all, so that it often exceeds the owner
		// and slot leases of 3 s.
		if name == "frozen" && !ended {
			ended = x.pause(2000, 4000)
		}
		undo()
		if ended || x.pause(100, 500) {
			return
		}
	}
}

// pause waits a random number of milliseconds from the half-open interval and
// reports whether the injector was stopped meanwhile.
func (x *faultInjector) pause(from, to int) bool {
	select {
	case <-x.stop:
		return true
	case <-time.After(time.Duration(from+x.random.IntN(to-from)) * time.Millisecond):
		return false
	}
}

// inject begins a random fault and returns its name and a function that reverts
// it.
func (x *faultInjector) inject() (string, func()) {
	f := x.fleet
	d := f.daemons[x.random.IntN(len(f.daemons))]
	domain := domainName(x.random.IntN(f.options.domains))
	switch x.random.IntN(7) {
	case 0:
		d.kill()
		return "killed", d.start
	case 1:
		d.freeze()
		return "frozen", d.resume
	case 2:
		f.relays.isolate(domain)
		return "links cut", func() { f.relays.isolate("") }
	case 3:
		f.platformRelays[domain].setCut(true)
		return "platform cut", func() { f.platformRelays[domain].setCut(false) }
	case 4:
		f.setOutage([]string{standin.OutageRefuse, standin.OutageClose}[x.random.IntN(2)])
		return "platform down", func() { f.setOutage("") }
	case 5:
		x.setLossRates(0.3, 0.1, 0.1)
		return "responses lost", func() { x.setLossRates(0, 0, 0) }
	default:
		name := x.randomService()
		s := f.services[name]
		fault := s.Fault()
		fault.CrashAfter, fault.CrashBefore = x.random.IntN(2), x.random.IntN(2)
		f.c.Check(s.SetFault(fault), qt.IsNil)
		return "target crashes", func() {}
	}
}

func (x *faultInjector) randomService() string {
	var names []string
	for name := range x.fleet.services {
		names = append(names, name)
	}
	slices.Sort(names)
	return names[x.random.IntN(len(names))]
}

// setLossRates sets the probability of a lost response at the platform's
// key-value service, and those of a lost response and a lost request at the
// targets.
func (x *faultInjector) setLossRates(platform, response, request float64) {
	seed := x.random.Uint64()
	f := x.fleet
	f.c.Check(f.keyValue.SetFault(standin.KeyValueFault{Fault: standin.Fault{LoseResponse: platform, Seed: seed}}), qt.IsNil)
	for i := range f.options.domains {
		s := f.services[fmt.Sprintf("%s-service-0", domainName(i))]
		fault := s.Fault()
		fault.LoseResponse, fault.LoseRequest, fault.Seed = response, request, seed+uint64(i)
		f.c.Check(s.SetFault(fault), qt.IsNil)
	}
}
