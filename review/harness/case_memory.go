package main

import (
	"bytes"
	"io"
	"maps"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

const (
	// uploadBytes is the size of a body, below max_body_bytes (4,194,304).
	uploadBytes = 4_000_000
	// uploadPiece and uploadPause pace a client: it sends its body within about 1.5 s.
	uploadPiece = 32_000
	uploadPause = 10 * time.Millisecond
	// uploads is how many users come to each machine in a round: all at once, or uploadsInTurn
	// at a time without trouble.
	uploads, uploadsInTurn = 40, 6
	uploadTime             = 6 * time.Second
)

// pacedBody is a body that a client sends piece by piece. Its length isn't known to net/http,
// which sends it in chunks.
type pacedBody struct{ left *bytes.Reader }

func (p pacedBody) Read(b []byte) (int, error) {
	if p.left.Len() < uploadBytes {
		time.Sleep(uploadPause)
	}
	return p.left.Read(b[:min(len(b), uploadPiece)])
}

// memory lets users send large bodies in chunks, at once or in turn. The platform kills a
// process that exceeds memory_mb, and starts it again.
func memory(w *world) int {
	if !w.build(zones, []string{"desk"}, 6) {
		return notRunnable
	}
	machines := []*daemon{w.daemons[4], w.daemons[5]} // those of kyushu-b
	var over atomic.Bool
	ends := w.limitMemory(machines, &over)
	count := uploadsInTurn
	if w.trouble {
		count = uploads
	}
	data := bytes.Repeat([]byte("x"), uploadBytes)
	var answered, refused, lost atomic.Int64
	tally := func(s sent) {
		switch {
		case s.genuine:
			answered.Add(1)
		case s.status != 0:
			refused.Add(1)
		default:
			lost.Add(1)
		}
	}
	var small, smallLost atomic.Int64
	go func() { // a calm caller of the same machines
		for n := 0; !over.Load(); n++ {
			d := machines[n%2]
			if d.inTouch(time.Now()) {
				go func() {
					s := w.send(d, outgoing{method: "POST", path: "/reserve/1", key: otherKey, body: io.MultiReader(bytes.NewReader([]byte("twig"))), size: 4, deadline: 1500 * time.Millisecond})
					small.Add(1)
					if s.status == 0 {
						smallLost.Add(1)
					}
				}()
			}
			time.Sleep(100 * time.Millisecond)
		}
	}()
	time.Sleep(contactTime + 500*time.Millisecond)
	for round := range 4 {
		w.record("round %d", round)
		var wait sync.WaitGroup
		for _, d := range machines {
			turn := make(chan struct{}, count)
			for range uploads {
				wait.Add(1)
				go func() {
					defer wait.Done()
					turn <- struct{}{}
					defer func() { <-turn }()
					tally(w.send(d, outgoing{method: "POST", path: "/upload/1", key: mainKey, body: pacedBody{bytes.NewReader(data)}, size: uploadBytes, deadline: uploadTime}))
				}()
			}
		}
		wait.Wait()
		for _, d := range machines {
			d.awaitReady(10 * time.Second)
		}
		time.Sleep(contactTime)
	}
	over.Store(true)
	w.say("uploads: %d answered, %d refused, %d without an answer; reservations of another tenant: %d, %d without an answer", answered.Load(), refused.Load(), lost.Load(), small.Load(), smallLost.Load())
	return w.judgeEnds(ends())
}

// limitMemory kills the processes of the machines that exceed memory_mb, and starts them again, as
// the platform does, until over is set. The function returned returns how often, by machine.
func (w *world) limitMemory(machines []*daemon, over *atomic.Bool) func() map[string]int {
	ends := map[string]int{}
	var mu sync.Mutex
	for _, d := range machines {
		go func() {
			peak := 0
			for !over.Load() {
				time.Sleep(10 * time.Millisecond)
				mb := d.residentMB()
				if mb > peak {
					peak = mb
					w.record("%s uses %d MiB", d.name, mb)
				}
				if mb <= memoryLimitMB {
					continue
				}
				w.say("%s uses %d MiB, more than memory_mb = %d: the platform kills it", d.name, mb, memoryLimitMB)
				mu.Lock()
				ends[d.name]++
				mu.Unlock()
				d.signal(syscall.SIGKILL)
				<-d.ended()
				time.Sleep(500 * time.Millisecond)
				if err := d.start(); err != nil {
					w.say("start %s: %v", d.name, err)
				}
				peak = 0
			}
		}()
	}
	return func() map[string]int {
		mu.Lock()
		defer mu.Unlock()
		return maps.Clone(ends)
	}
}

// judgeEnds returns the exit code, given how often the processes of the machines ended by
// themselves.
func (w *world) judgeEnds(ends map[string]int) int {
	w.say("ends by memory: %v", ends)
	bad := 0
	for _, n := range ends {
		if n >= 3 {
			bad++
		}
	}
	if bad >= 2 {
		w.say("BROKEN: on %d of %d machines processes ended by themselves three times (memory over the limit)", bad, len(w.daemons))
		return broken
	}
	return held
}
