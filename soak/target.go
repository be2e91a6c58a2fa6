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
	// slotsPerTarget is the number of requests that a target runs at once.
	slotsPerTarget = 16
	// queueLength is the number of requests that may wait at a target. It refuses
	// further ones.
	queueLength = 32
	// leaveDelay is how long a leaving target continues to serve.
	leaveDelay = 4 * time.Second
)

// target is one incarnation of a server behind a proxy.
type target struct {
	cluster  *cluster
	id       string
	service  string
	domain   string
	proxy    *proxy
	started  time.Time
	cold     bool // until coldTime after the start
	server   *http.Server
	inFlight atomic.Int32  // running and queued
	running  chan struct{} // holds a value for each running request

	mu sync.Mutex
	// loseFraction and truncateFraction are the fractions of the responses that are
	// lost and truncated.
	loseFraction, truncateFraction float64
	// saysLeaving is set while all answers say that the target is leaving. Until
	// refusesUntil it refuses all requests and asks for time.
	saysLeaving  bool
	refusesUntil time.Time
}

// startTarget starts a target and adds its entry to the metadata store. Cold applies
// only to the engine service, because the desk service has no cold time. It is called
// before the faults begin or with c.mu held.
func (c *cluster) startTarget(service, domain string, cold bool) error {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return fmt.Errorf("listen for a target: %w", err)
	}
	p, err := newProxy(l.Addr().String())
	if err != nil {
		return err
	}
	c.startedTargets++
	t := &target{
		cluster: c, id: fmt.Sprintf("i-%s", digest(service, c.options.Seed, c.startedTargets)[:10]), service: service, domain: domain, proxy: p,
		started: time.Now(), cold: cold && service == "engine", running: make(chan struct{}, slotsPerTarget),
	}
	t.server = &http.Server{Handler: t, IdleTimeout: 5 * time.Second}
	go func() { _ = t.server.Serve(l) }()
	c.targets = append(c.targets, t)
	t.register(false)
	return nil
}

// register writes the target's entry to the metadata store.
func (t *target) register(leaving bool) {
	cold := time.Duration(0)
	if t.cold {
		cold = max(coldTime-time.Since(t.started), 0)
	}
	t.cluster.store.RegisterTarget(mirror.Target{
		Name: t.id, Service: t.service, Address: t.proxy.address(), Domain: t.domain, Slots: slotsPerTarget, Leaving: leaving,
		Cold: cold, StartTime: t.started.UnixMilli(),
	})
}

// leave ends the target after leaveDelay, and says so in all its answers. Its entry is
// marked as leaving if the end is announced, and removed at once otherwise.
func (t *target) leave(announced bool) {
	t.mu.Lock()
	t.saysLeaving = true
	t.mu.Unlock()
	if announced {
		t.register(true)
	} else {
		t.cluster.store.DeregisterTarget(t.id)
	}
	t.cluster.checker.targetLeaving(t.id)
	go func() {
		time.Sleep(leaveDelay)
		t.cluster.store.DeregisterTarget(t.id)
		_ = t.server.Close()
	}()
}

// crash ends the target at once. Its entry is removed 1.5 s later, as if it had
// expired.
func (t *target) crash() {
	_ = t.server.Close()
	t.proxy.close() // refuses connections, as a host does on which nothing listens
	go func() {
		time.Sleep(1500 * time.Millisecond)
		t.cluster.store.DeregisterTarget(t.id)
	}()
}

// setResponseFaults sets the fractions of the responses that are lost and truncated.
func (t *target) setResponseFaults(lose, truncate float64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.loseFraction, t.truncateFraction = lose, truncate
}

// askForTime makes the target refuse all requests for the time.
func (t *target) askForTime(d time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.refusesUntil = time.Now().Add(d)
}

// notice returns whether the target says that it is leaving, and for how long it asks to
// receive nothing.
func (t *target) notice() (leaving bool, pause time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.saysLeaving, time.Until(t.refusesUntil)
}

func (t *target) drawResponseFault() (lose, truncate bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	x := rand.Float64()
	return x < t.loseFraction, x > 1-t.truncateFraction
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
	t.cluster.checker.requestArrived(t.service, t.id, id, cold)
	leaving, pause := t.notice()
	if leaving {
		standin.AnnounceLeaving(w)
		defer t.cluster.checker.leavingAnnounced(t.id, id)
	}
	if pause > 0 {
		standin.AskForTime(w, pause)
		t.cluster.checker.timeAsked(t.id, id, pause)
		return
	}
	if t.inFlight.Add(1) > queueLength+slotsPerTarget {
		t.inFlight.Add(-1)
		standin.RefuseFull(w)
		return
	}
	defer t.inFlight.Add(-1)
	select {
	case t.running <- struct{}{}:
	case <-r.Context().Done():
		return
	}
	defer func() { <-t.running }()
	t.cluster.checker.executionStarted(t.id, id, r.URL.Path, string(body), arrival.Account)
	lose, truncate := t.drawResponseFault()
	standin.SetResponseHeaders(w, signature(id), len(t.running), max(int(t.inFlight.Load())-slotsPerTarget, 0), slotsPerTarget)
	if t.service == "engine" {
		t.stream(w, r, arrival, lose, truncate)
		return
	}
	time.Sleep(executionTime)
	if lose {
		panic(http.ErrAbortHandler)
	}
	answer := plainBody(id)
	w.Header().Set("Content-Length", strconv.Itoa(len(answer)))
	if truncate {
		_, _ = io.WriteString(w, answer[:len(answer)/2])
		_ = http.NewResponseController(w).Flush()
		panic(http.ErrAbortHandler)
	}
	_, _ = io.WriteString(w, answer)
}

// stream sends the events after the last one that the caller received. A response
// that is to be lost or truncated is cut at a random event. In a resumed stream that may
// lie past the end, which leaves the response whole.
func (t *target) stream(w http.ResponseWriter, r *http.Request, arrival standin.TargetRequest, lose, truncate bool) {
	last := arrival.LastEventID
	w.Header().Set("Content-Type", "text/event-stream")
	control := http.NewResponseController(w)
	stop := last + 1 + rand.IntN(eventCount)
	for n := last + 1; n <= eventCount; n++ {
		select {
		case <-r.Context().Done():
			return
		case <-time.After(eventInterval):
		}
		if t.cluster.checker.hasPoison(arrival.ID) {
			t.cluster.crashByRequest(t)
			return
		}
		e := streamEvent(arrival.ID, n)
		if (lose || truncate) && n == stop {
			if truncate {
				_, _ = io.WriteString(w, e[:len(e)/2])
				_ = control.Flush()
			}
			panic(http.ErrAbortHandler)
		}
		_, _ = io.WriteString(w, e)
		_ = control.Flush()
	}
}
