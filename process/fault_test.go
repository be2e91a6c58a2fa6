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

// faults injects one random fault after another into a fleet until it is
// stopped. The order and the times follow from the seed alone.
type faults struct {
	fleet   *fleet
	random  *rand.Rand
	stop    chan struct{}
	running sync.WaitGroup
	counts  map[string]int
}

func (f *fleet) startFaults(seed uint64) *faults {
	x := &faults{fleet: f, random: rand.New(rand.NewPCG(seed, 1)), stop: make(chan struct{}), counts: map[string]int{}}
	x.running.Go(x.run)
	return x
}

// end stops the faults and waits until every daemon serves again.
func (x *faults) end() {
	close(x.stop)
	x.running.Wait()
	for _, d := range x.fleet.daemons {
		d.awaitReady(readyLimit)
	}
	x.fleet.c.Logf("faults: %v", x.counts)
}

func (x *faults) run() {
	for {
		name, heal := x.inject()
		x.counts[name]++
		ended := x.pause(300, 1500)
		if name == "frozen" && !ended { // longer than all leases
			ended = x.pause(2000, 4000)
		}
		heal()
		if ended || x.pause(100, 500) {
			return
		}
	}
}

// pause waits a random number of milliseconds and tells whether to stop.
func (x *faults) pause(from, to int) bool {
	select {
	case <-x.stop:
		return true
	case <-time.After(time.Duration(from+x.random.IntN(to-from)) * time.Millisecond):
		return false
	}
}

// inject begins a fault and returns its name and how to end it.
func (x *faults) inject() (string, func()) {
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
		f.platform[domain].setDown(true)
		return "platform cut", func() { f.platform[domain].setDown(false) }
	case 4:
		f.outage([]string{standin.OutageRefuse, standin.OutageClose}[x.random.IntN(2)])
		return "platform down", func() { f.outage("") }
	case 5:
		x.lose(0.3, 0.1, 0.1)
		return "responses lost", func() { x.lose(0, 0, 0) }
	default:
		name := x.service()
		s := f.services[name]
		fault := s.Fault()
		fault.CrashAfter, fault.CrashBefore = x.random.IntN(2), x.random.IntN(2)
		f.c.Check(s.SetFault(fault), qt.IsNil)
		return "target crashes", func() {}
	}
}

func (x *faults) service() string {
	var names []string
	for name := range x.fleet.services {
		names = append(names, name)
	}
	slices.Sort(names)
	return names[x.random.IntN(len(names))]
}

// lose sets the probabilities of lost responses of the platform, and of lost
// responses and requests of the targets.
func (x *faults) lose(platform, response, request float64) {
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
