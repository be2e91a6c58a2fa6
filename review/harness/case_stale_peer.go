package main

import (
	"sync"
	"sync/atomic"
	"time"
)

const (
	// rejectTime is how long the store turns one machine away: platform_down, how nodes, for_s 9.
	// That happens rejections times.
	rejectTime = 9 * time.Second
	rejections = 3
	// rejectChanges is how many versions of the configuration are written meanwhile, each
	// changePause after the one before.
	rejectChanges = 4
	changePause   = 2100 * time.Millisecond
	// revertSlack is revert_slack_ms.
	revertSlack = 250 * time.Millisecond
)

// stalePeer changes the configuration while the store turns one machine away, and while one
// tenant sends many times its usual to another machine of the zone, which passes requests on.
func stalePeer(w *world) int {
	if !w.build(zones, []string{"desk", "desk2"}, 64) {
		return notRunnable
	}
	busy := w.daemons[0]
	time.Sleep(contactTime)
	var over atomic.Bool
	var mu sync.Mutex
	var answers []sent
	go w.hotTenant(busy, &over, func(s sent) {
		mu.Lock()
		defer mu.Unlock()
		answers = append(answers, s)
	})
	time.Sleep(8 * time.Second)
	changes := []time.Time{}
	for range rejections {
		w.reject.Store(w.trouble)
		w.record("the store turns %s away: %t", w.daemons[rejectedMachine].name, w.trouble)
		for range rejectChanges {
			time.Sleep(changePause)
			changes = append(changes, time.Now())
			w.configure(7+len(changes), w.services[len(changes)%2])
		}
		time.Sleep(rejectTime - rejectChanges*changePause)
		w.reject.Store(false)
		w.record("the store serves all machines")
		time.Sleep(3 * time.Second)
	}
	over.Store(true)
	time.Sleep(3 * time.Second)
	mu.Lock()
	defer mu.Unlock()
	w.mu.Lock()
	regressed := make([]int, len(changes))
	latest := make([]time.Duration, len(changes))
	for n, sentAt := range changes {
		service, until := w.services[(n+1)%2], time.Now()
		if n+1 < len(changes) {
			until = changes[n+1]
		}
		var effect time.Time // when a server first saw the version in a request to the machine
		for _, s := range answers {
			for _, r := range w.runs[s.id] {
				if r.service == service && r.at.After(sentAt) && r.at.Before(until) && (effect.IsZero() || r.at.Before(effect)) {
					effect = r.at
				}
			}
		}
		for _, s := range answers {
			for _, r := range w.runs[s.id] {
				if since := s.at.Sub(effect); !effect.IsZero() && r.service != service && since > revertSlack && r.at.Before(until) {
					regressed[n]++
					latest[n] = max(latest[n], since)
				}
			}
		}
	}
	w.mu.Unlock()
	w.say("requests sent to %s: %d", busy.name, len(answers))
	w.say("run by the service of the version before, though sent to %s more than revert_slack_ms after the new one took effect there: %v, up to %v after", busy.name, regressed, latest)
	for _, n := range regressed {
		if n > 0 {
			w.say("BROKEN: CONFIG")
			return broken
		}
	}
	return held
}
