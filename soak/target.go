package soak

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"rattanline.example/rattanline/mirror"
	"rattanline.example/rattanline/standin"
)

const (
	// slots is what a target runs at once; it refuses what comes beyond its queue.
	slots, queueLength = 16, 32
	// lingerTime is how long a leaving target serves on.
	lingerTime = 4 * time.Second
)

// target is one incarnation of a server behind a proxy.
type target struct {
	world   *world
	id      string
	service string
	zone    string
	proxy   *proxy
	started time.Time
	cold    bool // until coldTime after the start
	server  *http.Server
	waiting atomic.Int32
	places  chan struct{}

	mu sync.Mutex
	// lose and garble are the parts of the answers that are lost or spoiled.
	lose, garble float64
}

// startTarget starts a target and lists it.
func (w *world) startTarget(service, zone string, cold bool) error {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return fmt.Errorf("listen for a target: %w", err)
	}
	p, err := newProxy(l.Addr().String())
	if err != nil {
		return err
	}
	w.started++
	t := &target{
		world: w, id: fmt.Sprintf("i-%s", sum(service, w.options.Seed, w.started)[:10]), service: service, zone: zone, proxy: p,
		started: time.Now(), cold: cold && service == "engine", places: make(chan struct{}, slots),
	}
	t.server = &http.Server{Handler: t, IdleTimeout: 5 * time.Second}
	go func() { _ = t.server.Serve(l) }()
	w.targets = append(w.targets, t)
	t.list(false)
	return nil
}

// list writes the target's entry.
func (t *target) list(leaving bool) {
	cold := time.Duration(0)
	if t.cold {
		cold = max(coldTime-time.Since(t.started), 0)
	}
	t.world.store.RegisterTarget(mirror.Target{
		Name: t.id, Service: t.service, Address: t.proxy.address(), Domain: t.zone, Slots: slots, Leaving: leaving,
		Cold: cold, StartTime: t.started.UnixMilli(),
	})
}

// leave lets the target serve on for a while and end.
func (t *target) leave(announced bool) {
	if announced {
		t.list(true)
	} else {
		t.world.store.DeregisterTarget(t.id)
	}
	t.world.judge.leaves(t.id)
	go func() {
		time.Sleep(lingerTime)
		t.world.store.DeregisterTarget(t.id)
		_ = t.server.Close()
	}()
}

// crash ends the target at once. Its entry lapses a little later.
func (t *target) crash() {
	_ = t.server.Close()
	t.proxy.reset()
	go func() {
		time.Sleep(1500 * time.Millisecond)
		t.world.store.DeregisterTarget(t.id)
	}()
}

// spoil sets the parts of the answers that are lost or spoiled.
func (t *target) spoil(lose, garble float64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.lose, t.garble = lose, garble
}

func (t *target) fate() (lose, garble bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	x := rand.Float64()
	return x < t.lose, x > 1-t.garble
}

// ServeHTTP implements http.Handler.
func (t *target) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	arrival := standin.ReadTargetRequest(w, r)
	id := arrival.ID
	if arrival.ExpectedTarget != "" && arrival.ExpectedTarget != t.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	cold := t.cold && time.Since(t.started) < coldTime
	t.world.judge.arrived(t.service, t.id, id, cold)
	if t.waiting.Add(1) > queueLength+slots {
		t.waiting.Add(-1)
		standin.RefuseFull(w)
		return
	}
	defer t.waiting.Add(-1)
	select {
	case t.places <- struct{}{}:
	case <-r.Context().Done():
		return
	}
	defer func() { <-t.places }()
	t.world.judge.ran(t.id, id, r.URL.Path, string(body), arrival.Account)
	lose, garble := t.fate()
	standin.SetResponseHeaders(w, signature(id), len(t.places), max(int(t.waiting.Load())-slots, 0), slots)
	if t.service == "engine" {
		t.stream(w, r, arrival, lose, garble)
		return
	}
	time.Sleep(workTime)
	if lose {
		panic(http.ErrAbortHandler)
	}
	answer := plainBody(id)
	w.Header().Set("Content-Length", strconv.Itoa(len(answer)))
	if garble {
		_, _ = io.WriteString(w, answer[:len(answer)/2])
		_ = http.NewResponseController(w).Flush()
		panic(http.ErrAbortHandler)
	}
	_, _ = io.WriteString(w, answer)
}

func (t *target) stream(w http.ResponseWriter, r *http.Request, arrival standin.TargetRequest, lose, garble bool) {
	last := arrival.LastEventID
	w.Header().Set("Content-Type", "text/event-stream")
	control := http.NewResponseController(w)
	stop := last + 1 + rand.IntN(events)
	for n := last + 1; n <= events; n++ {
		select {
		case <-r.Context().Done():
			return
		case <-time.After(eventPause):
		}
		e := event(arrival.ID, n)
		if (lose || garble) && n == stop {
			if garble {
				_, _ = io.WriteString(w, e[:len(e)/2])
				_ = control.Flush()
			}
			panic(http.ErrAbortHandler)
		}
		_, _ = io.WriteString(w, e)
		_ = control.Flush()
	}
}
