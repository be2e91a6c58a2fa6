package main

import (
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// rolls is how often all machines are restarted, one after the other: roll_term with share 1.0,
	// x 1 and gap_s 1.3. rollGap is that time, rollPause the time from a roll to the next one.
	rolls     = 4
	rollGap   = 1300 * time.Millisecond
	rollPause = 6 * time.Second
	// poisonPause is how long the caller of the request that crashes servers waits before it
	// sends it again.
	poisonPause = 2500 * time.Millisecond
	// lateRetries is how many retries may reach servers contact_ms after the third crash.
	lateRetries = 3
)

// poison sends a request that crashes each server that runs it, again and again, to all machines
// in turn, while the machines are restarted one after the other.
func poison(w *world) int {
	if !w.build(zones, []string{"desk"}, 6) {
		return notRunnable
	}
	time.Sleep(contactTime)
	var over atomic.Bool
	var calm, lost atomic.Int64
	go func() { // reservations of another tenant
		for n := 0; !over.Load(); n++ {
			if d := w.daemons[n%len(w.daemons)]; d.inTouch(time.Now()) {
				go func() {
					s := w.send(d, outgoing{method: "POST", path: "/reserve/1", key: otherKey, body: strings.NewReader("twig"), size: 4, deadline: 1500 * time.Millisecond})
					calm.Add(1)
					if s.status != 200 && s.status != 503 && s.status != 429 {
						lost.Add(1)
					}
				}()
			}
			time.Sleep(10 * time.Millisecond)
		}
	}()
	var mu sync.Mutex
	touching := map[string]bool{} // whether the machine of an attempt was in touch
	attempt := func(d *daemon) {
		now := d.inTouch(time.Now())
		s := w.send(d, outgoing{method: "POST", path: "/reserve" + poisonPath, key: mainKey, body: strings.NewReader("knot"), size: 4, deadline: 1500 * time.Millisecond})
		mu.Lock()
		touching[s.id] = now && d.inTouch(time.Now())
		mu.Unlock()
	}
	go func() {
		for n := 0; !over.Load(); n++ {
			if d := w.daemons[n%len(w.daemons)]; d.ready() {
				attempt(d)
				time.Sleep(poisonPause)
			}
		}
	}()
	time.Sleep(12 * time.Second)
	w.say("the machines have the request in quarantine: it reached servers %d times", len(w.poisonArrivals(touching, &mu)))
	for range rolls {
		w.roll()
		time.Sleep(rollPause)
	}
	over.Store(true)
	time.Sleep(1600 * time.Millisecond)
	all := w.poisonArrivals(touching, &mu)
	w.say("the request reached servers %d times; reservations of another tenant: %d, of these %d without an answer of a server or a promise", len(all), calm.Load(), lost.Load())
	w.mu.Lock()
	crashes := slices.Clone(w.crashes)
	w.mu.Unlock()
	if len(crashes) < 3 {
		return held
	}
	slices.SortFunc(crashes, time.Time.Compare)
	late := 0
	for _, a := range all {
		if a.touching && a.at.Sub(crashes[2]) > contactTime {
			late++
		}
	}
	w.say("of these, sent by machines in touch later than contact_ms after the third crash: %d, allowed are %d", late, lateRetries)
	if late > lateRetries {
		w.say("BROKEN: BUDGET")
		return broken
	}
	return held
}

// roll restarts all machines one after the other, or waits as long without trouble.
func (w *world) roll() {
	var wait sync.WaitGroup
	for _, d := range w.daemons {
		if w.trouble {
			wait.Add(1)
			go func() {
				defer wait.Done()
				w.record("SIGTERM to %s", d.name)
				d.terminate()
				w.record("%s has ended", d.name)
				if err := d.start(); err != nil {
					w.say("start %s: %v", d.name, err)
				}
			}()
		}
		time.Sleep(rollGap)
	}
	wait.Wait()
	w.record("all machines have been restarted")
}

type poisonArrival struct {
	arrival
	touching bool
}

// poisonArrivals returns the arrivals of the request that crashes servers, in order.
func (w *world) poisonArrivals(touching map[string]bool, touch *sync.Mutex) []poisonArrival {
	touch.Lock()
	defer touch.Unlock()
	w.mu.Lock()
	defer w.mu.Unlock()
	var list []poisonArrival
	for id, ok := range touching {
		for _, a := range w.arrivals[id] {
			list = append(list, poisonArrival{a, ok})
		}
	}
	slices.SortFunc(list, func(a, b poisonArrival) int { return a.at.Compare(b.at) })
	return list
}

// crashed records that the request that crashes servers has crashed one.
func (w *world) crashed(server string) {
	w.mu.Lock()
	w.crashes = append(w.crashes, time.Now())
	w.mu.Unlock()
	w.record("server %s crashes", server)
}
