package main

import (
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

const (
	// freezeTime is how long a machine stands still: node_freeze, for_s 3.8.
	freezeTime = 3800 * time.Millisecond
	// routeTimeout is timeout_ms of the routes, answerMargin what the rule adds.
	routeTimeout, answerMargin = 800 * time.Millisecond, 500 * time.Millisecond
	// minUnanswered is how many requests must be unanswered for the rule to count.
	minUnanswered = 8
)

// frozenPeer lets one tenant send many times its usual to one machine of a zone, which passes
// on what it has no processor time for, while another machine of the zone stands still.
func frozenPeer(w *world) int {
	if !w.build(zones, []string{"desk"}, 64) {
		return notRunnable
	}
	busy, peer := w.daemons[0], w.daemons[1]
	time.Sleep(contactTime)
	var over atomic.Bool
	var mu sync.Mutex
	var answers []sent
	go w.hotTenant(busy, &over, func(s sent) {
		mu.Lock()
		defer mu.Unlock()
		answers = append(answers, s)
	})
	if time.Sleep(hotRamp); !w.passing.Load() {
		w.say("%s has processor time for all requests", busy.name)
		return notRunnable
	}
	for range 3 {
		if w.trouble {
			w.record("%s freezes", peer.name)
			peer.signal(syscall.SIGSTOP)
		}
		time.Sleep(freezeTime)
		if w.trouble {
			peer.signal(syscall.SIGCONT)
			w.record("%s wakes", peer.name)
		}
		time.Sleep(8 * time.Second)
	}
	over.Store(true)
	time.Sleep(3 * time.Second)
	mu.Lock()
	defer mu.Unlock()
	statuses := map[int]int{}
	late, later := 0, 0
	for _, s := range answers {
		statuses[s.status]++
		if s.took > routeTimeout {
			late++
		}
		if s.took > routeTimeout+answerMargin {
			later++
		}
	}
	w.say("answers of %s by status (0: none): %v", busy.name, statuses)
	w.say("unanswered at the route's timeout: %d; half a second later: %d", late, later)
	if later >= minUnanswered && 2*later > late {
		w.say("BROKEN: CONFIG")
		return broken
	}
	return held
}

const (
	// hotRate is how many requests the hot tenant sends in a second at first, maxHotRate the most.
	// Between them it grows by hotGrowth every hotStep until the machine passes hotPassed requests
	// on in that time, since it depends on the processor how many the machine has time for.
	hotRate, maxHotRate = 400, 760
	hotGrowth           = 1.1
	hotStep             = 500 * time.Millisecond
	hotPassed           = 50
	// hotRamp is how long that may take.
	hotRamp = 14 * time.Second
	// hotClients bounds the requests that the hot tenant waits for at a time.
	hotClients = 600
)

// hotTenant sends the requests of one tenant to the machine, each on a new connection, until over
// is set.
func (w *world) hotTenant(d *daemon, over *atomic.Bool, answered func(sent)) {
	places := make(chan struct{}, hotClients)
	rate, passing, passed := float64(hotRate), false, d.passedOn()
	checked, next := time.Now(), time.Now()
	for ; !over.Load(); next = next.Add(time.Duration(float64(time.Second) / rate)) {
		time.Sleep(time.Until(next))
		if now := time.Now(); now.Sub(checked) >= hotStep {
			before := passed
			passed, checked = d.passedOn(), now
			if passing = passing || passed-before >= hotPassed; passing {
				w.passing.Store(true)
			} else {
				rate = min(rate*hotGrowth, maxHotRate)
				w.record("the hot tenant sends %.0f requests a second", rate)
			}
		}
		select {
		case places <- struct{}{}:
		default:
			continue // its clients are waiting
		}
		go func() {
			defer func() { <-places }()
			answered(w.send(d, outgoing{method: "POST", path: "/reserve/1", key: mainKey, body: strings.NewReader("twig"), size: 4, deadline: 1500 * time.Millisecond}))
		}()
	}
}
