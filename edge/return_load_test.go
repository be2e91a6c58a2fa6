package edge

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"rattanline.example/rattanline/setting"
)

// requestInterval is the time between two requests to one daemon of a loadedFleet.
const requestInterval = 100 * time.Millisecond

// loadedFleet is a fleet under load whose store comes back from copies.
type loadedFleet struct {
	*rig
	rand    *rand.Rand
	targets []*targetServer // the first ones leave, one with each return
	routes  []route

	mu       sync.Mutex
	statuses map[int]int // number of answers
}

func newLoadedFleet(t *testing.T, daemons int, seed uint64) *loadedFleet {
	t.Helper()
	f := &loadedFleet{
		rig: newRig(t), rand: rand.New(rand.NewPCG(seed, uint64(daemons))), statuses: map[int]int{},
		routes: []route{plainRoute("/read/", "idempotent"), plainRoute("/keyed/", "idempotent").with("public", false)},
	}
	for i := range 6 {
		f.targets = append(f.targets, f.serve("desk", fmt.Sprint("i-", i), nil))
	}
	f.configureKeys([]string{apiKey, "other"}, f.routes...)
	first := f.start()
	for range daemons - 1 {
		f.start(func(s *setting.HostSettings) { s.Seeds = []string{first.Settings.LinkAddress} })
	}
	f.awaitReady(f.targets...)
	return f
}

// pause waits for a random time.
func (f *loadedFleet) pause(least, most time.Duration) {
	time.Sleep(least + time.Duration(f.rand.Int64N(int64(most-least))))
}

// load sends requests to all daemons until the returned function is called.
func (f *loadedFleet) load(t *testing.T) (stop func()) {
	done := make(chan struct{})
	var all sync.WaitGroup
	for _, d := range f.daemons {
		all.Go(func() {
			for {
				select {
				case <-done:
					return
				case <-time.After(requestInterval):
				}
				a := ask(t, d, "GET", "/read/", "")
				f.mu.Lock()
				f.statuses[a.status]++
				f.mu.Unlock()
			}
		})
	}
	return func() {
		close(done)
		all.Wait()
	}
}

// loseChanges lets the store lose a configuration that adds a route and takes a key away, and the entry of
// a target that leaves. It returns the route and the target.
func (f *loadedFleet) loseChanges(number int) (added string, leaving *targetServer) {
	copied := f.store.Copy()
	f.pause(0, time.Second)
	added, leaving = fmt.Sprintf("/added-%d/", number), f.targets[number]
	f.routes = append(f.routes, plainRoute(added, "idempotent"))
	f.configureKeys([]string{apiKey}, f.routes...)
	f.list(leaving, "draining")
	f.pause(time.Second, 3*time.Second)
	f.returnFrom(copied, func() {})
	return added, leaving
}

// writeAgain writes what the store lost.
func (f *loadedFleet) writeAgain(number int) {
	f.version -= 3 // configureKeys adds as much
	f.configureKeys([]string{apiKey}, f.routes...)
	f.list(f.targets[number], "draining")
	for _, s := range f.targets[number+1:] {
		f.list(s, "ready")
	}
}

// assertInForce checks that all daemons act by the lost changes.
func (f *loadedFleet) assertInForce(t *testing.T, added string, leaving *targetServer) {
	t.Helper()
	before := len(leaving.requests())
	for _, d := range f.daemons {
		assertStatus(t, ask(t, d, "GET", "/keyed/", "", "Authorization", "Token other"), 401)
		assertStatus(t, ask(t, d, "GET", added, ""), 200)
	}
	qt.Assert(t, leaving.requests(), qt.HasLen, before)
}

// Guards against requests that are refused, keys and routes that go back, and requests to targets that
// leave, while the store of a small and of a large fleet under load comes back from a copy twice and is
// written again some moments later.
func TestFleetOverReturns(t *testing.T) {
	for _, daemons := range []int{9, 18} {
		t.Run(fmt.Sprint(daemons, " daemons"), func(t *testing.T) {
			f := newLoadedFleet(t, daemons, 1)
			stop := f.load(t)
			for number := range 2 {
				added, leaving := f.loseChanges(number)
				f.assertInForce(t, added, leaving)
				f.pause(0, 2*time.Second)
				f.assertInForce(t, added, leaving)
				f.writeAgain(number)
				f.assertInForce(t, added, leaving)
				f.configureKeys([]string{apiKey, added}, f.routes...)
				f.assertAll("accepts the key that was added after the return", func(d *process) bool {
					return ask(t, d, "GET", "/keyed/", "", "Authorization", "Token "+added).status == 200
				})
				f.assertAll("knows all daemons", func(d *process) bool { return len(d.mirror.View().Members) == daemons })
			}
			stop()
			qt.Assert(t, f.statuses, qt.HasLen, 1, qt.Commentf("answers by status: %v", f.statuses))
		})
	}
}
