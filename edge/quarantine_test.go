package edge

import (
	"context"
	"fmt"
	"io"
	"maps"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// serveCrashing starts targets i-0, i-1 and so on of the service "desk". A target crashes, and stays down,
// when it receives a body that begins with "poison". It answers any other body after 20 ms. The returned
// counter holds the number of crashes.
func (r *rig) serveCrashing(count int) *atomic.Int32 {
	r.t.Helper()
	crashes := &atomic.Int32{}
	for i := range count {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		qt.Assert(r.t, err, qt.IsNil)
		r.t.Cleanup(func() { _ = l.Close() })
		s := &targetServer{id: fmt.Sprint("i-", i), service: "desk", address: l.Addr().String()}
		handler := &http.Server{}
		handler.Handler = http.HandlerFunc(func(w http.ResponseWriter, q *http.Request) {
			body, _ := io.ReadAll(q.Body)
			if strings.HasPrefix(string(body), "poison") {
				crashes.Add(1)
				_ = handler.Close() // and with it all connections
				panic(http.ErrAbortHandler)
			}
			time.Sleep(20 * time.Millisecond)
			w.Header().Set("Request-Id", q.Header.Get("Request-Id"))
			w.Header().Set("Server-Signature", "s")
		})
		go func() { _ = handler.Serve(l) }()
		r.t.Cleanup(func() { _ = handler.Close() })
		r.list(s, "ready")
	}
	return crashes
}

// Guards against the refusal of a sound request whose callers send the same content so often that it is
// in flight at most crashes of targets.
func TestSoundRequestBesideCrashes(t *testing.T) {
	const crashed = 5
	r := newRig(t)
	crashes := r.serveCrashing(crashed + 3)
	r.configure(plainRoute("/once/", "non_idempotent"))
	daemons := []*process{r.start(), r.start()}
	r.awaitReady()
	r.await("targets", func() bool { return daemons[0].table.Known("i-7") && daemons[1].table.Known("i-7") })
	ctx, cancel := context.WithCancel(t.Context())
	var callers sync.WaitGroup
	for n := range 32 {
		callers.Go(func() {
			for ctx.Err() == nil {
				ask(t, daemons[n%2], "POST", "/once/", "sound")
			}
		})
	}
	for n := range crashed {
		ask(t, daemons[0], "POST", "/once/", fmt.Sprint("poison ", n))
		time.Sleep(200 * time.Millisecond)
	}
	cancel()
	callers.Wait()
	qt.Assert(t, crashes.Load(), qt.Equals, int32(crashed))
	marks := map[uint64]int{}
	for _, m := range daemons[0].quarantine.Marks(time.Now()) {
		marks[m.Fingerprint]++
	}
	most := slices.Max(slices.Collect(maps.Values(marks)))
	qt.Assert(t, most >= 3, qt.IsTrue, qt.Commentf("the sound request was in flight at %d crashes", most))
	for _, d := range daemons {
		assertStatus(t, ask(t, d, "POST", "/once/", "sound"), 200)
	}
}

// restartAll ends all daemons, and then starts as many.
func (r *rig) restartAll() {
	r.t.Helper()
	ended := r.daemons
	r.daemons = nil
	for _, d := range ended {
		d.stop()
	}
	for _, d := range ended {
		<-d.done
	}
	for range ended {
		r.start()
	}
	r.awaitReady()
}

// Guards against a prompt segment that crashes engines anew after all daemons have ended at the same
// time.
func TestPoisonSegmentOutlivesAllDaemons(t *testing.T) {
	r, f := newRig(t), &engineFleet{}
	r.start()
	r.start()
	var targets []*targetServer
	for n := range 6 {
		targets = append(targets, f.start(r, fmt.Sprint("i-", n)))
	}
	r.configure(streamRoute("/chat/", false))
	r.awaitReady(targets...)
	for n := range 6 {
		ask(t, r.daemons[0], "POST", "/chat/", fmt.Sprint("poison ", n), prompt(poisonSegment)...)
		time.Sleep(300 * time.Millisecond)
	}
	r.await("stored segment", func() bool { return len(r.daemons[0].mirror.View().PoisonSegments) == 1 })
	reached := f.reached.Load()
	r.restartAll()
	for n, d := range r.daemons {
		assertStatus(t, ask(t, d, "POST", "/chat/", fmt.Sprint("poison again ", n), prompt(poisonSegment)...), 503)
	}
	qt.Assert(t, f.reached.Load(), qt.Equals, reached)
}

// Guards against a request that crashes targets anew after all daemons have ended at the same time,
// because what is known of its crashes ended with them.
func TestQuarantineOutlivesAllDaemons(t *testing.T) {
	r := newRig(t)
	crashes := r.serveCrashing(6)
	r.configure(plainRoute("/once/", "non_idempotent"))
	r.start()
	r.start()
	r.awaitReady()
	for n := range 2 {
		r.await("targets", func() bool { return r.daemons[0].table.Known("i-5") })
		assertStatus(t, ask(t, r.daemons[0], "POST", "/once/", "poison"), 502)
		r.await("crash marks", func() bool { return len(r.daemons[1].quarantine.Marks(time.Now())) == n+1 })
	}
	r.await("stored crash marks", func() bool { return len(r.daemons[0].mirror.View().Suspects) == 1 })
	r.restartAll()
	for _, d := range r.daemons {
		assertStatus(t, ask(t, d, "POST", "/once/", "poison"), 503)
		assertStatus(t, ask(t, d, "POST", "/once/", "harmless"), 200)
	}
	qt.Assert(t, crashes.Load(), qt.Equals, int32(2))
}
