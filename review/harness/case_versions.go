package main

import (
	"strings"
	"sync/atomic"
	"time"
)

const (
	// grownRoutes is the number of routes that the configuration has grown by: big_config with
	// count 350, eleven times. Its value then is below max_value_bytes (1,048,576).
	grownRoutes = 11 * 350
	// versionPause is the time between two versions of the configuration.
	versionPause = 140 * time.Millisecond
	// versionTime is how long versions are written.
	versionTime = 95 * time.Second
)

// versions changes a configuration that has grown by many routes again and again.
func versions(w *world) int {
	if !w.build(zones, []string{"desk", "desk2"}, 6) {
		return notRunnable
	}
	time.Sleep(contactTime)
	var over atomic.Bool
	ends := w.limitMemory(w.daemons, &over)
	var calm, lost atomic.Int64
	go func() { // reservations
		for n := 0; !over.Load(); n++ {
			if d := w.daemons[n%len(w.daemons)]; d.inTouch(time.Now()) {
				go func() {
					s := w.send(d, outgoing{method: "POST", path: "/reserve/1", key: otherKey, body: strings.NewReader("twig"), size: 4, deadline: 1500 * time.Millisecond})
					calm.Add(1)
					if s.status == 0 {
						lost.Add(1)
					}
				}()
			}
			time.Sleep(30 * time.Millisecond)
		}
	}()
	if w.trouble {
		w.moreRoutes = grownRoutes
	}
	begun, version := time.Now(), 7
	for time.Since(begun) < versionTime {
		version++
		w.configure(version, w.services[version%2])
		time.Sleep(versionPause)
	}
	over.Store(true)
	time.Sleep(1600 * time.Millisecond)
	w.mu.Lock()
	size := len(w.store.items["op/config"].Value)
	w.mu.Unlock()
	w.say("%d versions of the configuration, of %d bytes; reservations: %d, %d without an answer", version-7, size, calm.Load(), lost.Load())
	return w.judgeEnds(ends())
}
