package rollout

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/rs/zerolog"

	"rattanline.example/rattanline/clock"
	"rattanline.example/rattanline/mirror"
	"rattanline.example/rattanline/placement"
	"rattanline.example/rattanline/platform"
	"rattanline.example/rattanline/port"
	"rattanline.example/rattanline/simulation"
)

// fleet is a few controllers in virtual time, with the store and the targets of service "desk".
type fleet struct {
	t     *testing.T
	store *simulation.KeyValue
	nodes []*node
	// failing is the share of failures of the new version.
	failing float64
	mu      sync.Mutex
	// stopped reports that the old targets have stopped, lost counts the requests that were sent
	// to them since.
	stopped bool
	lost    int
	// newAt is when the new version last received a request. total counts all requests, fresh
	// those to the new version and bad its failures.
	newAt             time.Time
	total, fresh, bad int
	other             int // requests to a third version
	// fiftieth is when the 50th failure of the new version was answered.
	fiftieth time.Time
	// crashing reports whether each failure of the new version crashes its target, which then
	// doesn't answer until the time in down.
	crashing atomic.Bool
	down     map[string]time.Time
	// keyless reports whether requests have no keys, which the gateway accepts only by a young mirror.
	keyless   atomic.Bool
	storeLost atomic.Bool
	// statuses are the states that operators read, without repetitions.
	statuses []string
}

// node is one daemon.
type node struct {
	fleet   *fleet
	name    string
	control *Controller
	// view is what the node last read from the store, proofAt when.
	view    atomic.Pointer[mirror.View]
	proofAt atomic.Int64
	client  *simulation.Client
	cancel  context.CancelFunc
	// dead reports that the daemon does nothing, isolated that it has no contact to others.
	dead, isolated atomic.Bool
}

const orderedVersion = "v2"

// playFleet plays an order of 12 s for a version, of which the share of answers fails, on three
// daemons, and calls disturb beside.
func playFleet(t *testing.T, failing float64, disturb func(*fleet)) *fleet {
	f := &fleet{t: t, store: simulation.NewKeyValue(), failing: failing, down: map[string]time.Time{}}
	synctest.Test(t, func(t *testing.T) {
		defer f.store.Close()
		ctx, cancel := context.WithCancel(context.Background())
		for i := range 6 {
			f.list(fmt.Sprint("old-", i), "v1")
		}
		var all sync.WaitGroup
		for i := range 3 {
			f.start(ctx, &all, fmt.Sprint("d", i))
		}
		all.Go(func() { f.watchStatus(ctx) })
		time.Sleep(500 * time.Millisecond)
		for i := range 6 {
			f.list(fmt.Sprint("new-", i), orderedVersion)
		}
		f.order(orderedVersion)
		disturb(f)
		time.Sleep(22 * time.Second)
		cancel()
		all.Wait()
	})
	return f
}

func (f *fleet) list(name, version string) { f.listAs(name, version, "ready", 0) }

func (f *fleet) listAs(name, version, state string, cold time.Duration) {
	f.store.Put("servers/"+name, fmt.Appendf(nil, `{"service":"desk","address":"10.0.0.1:80","zone":"a","version":%q,"slots":8,"state":%q,"cold_remaining_ms":%d,"sequence":1}`,
		version, state, cold.Milliseconds()))
}

func (f *fleet) order(to string) {
	f.store.Put("op/rollout/desk", fmt.Appendf(nil, `{"service":"desk","to":%q,"duration_s":12}`, to))
}

func (f *fleet) start(ctx context.Context, all *sync.WaitGroup, name string) {
	ctx, cancel := context.WithCancel(ctx)
	n := &node{fleet: f, name: name, cancel: cancel, client: &simulation.Client{Store: f.store, Name: name}}
	n.control = &Controller{
		Plan:         Plan{ExposureShare: 0.1, ExposureSlack: 50, StaleLimit: 3200 * time.Millisecond},
		RollbackTime: 5 * time.Second, MirrorAge: n.age,
		Daemons: func() []string { return []string{"d0", "d1", "d2"} }, Rank: n.rank, PeerEvidence: n.peerEvidence,
		StoreLost: func() bool { return f.storeLost.Load() },
		Running:   func([]string) int { return 0 }, Store: n.client, OrderKey: platform.RolloutKey, Status: platform.RolloutStatus, Logger: zerolog.Nop(),
	}
	n.control.now = virtualNow
	f.nodes = append(f.nodes, n)
	all.Go(func() { _ = n.control.Run(ctx) })
	all.Go(func() { n.follow(ctx) })
	all.Go(func() { n.send(ctx) })
}

// kill ends a daemon at once.
func (n *node) kill() {
	n.dead.Store(true)
	n.cancel()
}

// rank orders the live daemons by their number.
func (n *node) rank(string) int {
	if n.isolated.Load() {
		return NoRank
	}
	rank := 0
	for _, o := range n.fleet.nodes {
		if o == n {
			break
		}
		if !o.dead.Load() && !o.isolated.Load() {
			rank++
		}
	}
	return rank
}

func (n *node) peerEvidence() map[string]Evidence {
	sum := map[string]Evidence{}
	for _, o := range n.fleet.nodes {
		if o != n && !o.dead.Load() && !o.isolated.Load() && !n.isolated.Load() {
			sum["desk"] = sum["desk"].With(o.control.Evidence()["desk"])
		}
	}
	return sum
}

// virtualNow is the time in the bubble of a test.
func virtualNow() clock.Instant { return clock.Instant(time.Now().UnixNano()) }

func (n *node) age() time.Duration { return virtualNow().Sub(clock.Instant(n.proofAt.Load())) }

// follow reads the store every 100 ms.
func (n *node) follow(ctx context.Context) {
	for ctx.Err() == nil {
		sentAt := virtualNow()
		if entries, err := n.client.List(ctx, ""); err == nil && ctx.Err() == nil {
			v := n.decode(entries)
			n.control.Update(v)
			n.view.Store(v)
			n.proofAt.Store(int64(sentAt))
		}
		time.Sleep(100 * time.Millisecond)
	}
}

// decode returns the view of the entries. An entry that was known keeps the time at which it was
// received.
func (n *node) decode(entries []port.Entry) *mirror.View {
	before := n.view.Load()
	v := &mirror.View{Position: port.Position{Revision: 1}, Targets: map[string]mirror.Target{}, Rollouts: map[string]mirror.Rollout{}, RolloutStates: map[string]mirror.RolloutState{}}
	for _, e := range entries {
		if service, ok := strings.CutPrefix(e.Key, mirror.RolloutPrefix); ok {
			s := mirror.RolloutState{}
			qt.Check(n.fleet.t, json.Unmarshal(e.Value, &s), qt.IsNil)
			s.Service, s.Revision, s.Received = service, e.Revision, virtualNow()
			if before != nil && before.RolloutStates[service].Revision == e.Revision {
				s.Received = before.RolloutStates[service].Received
			}
			v.RolloutStates[service] = s
			continue
		}
		r, err := platform.Decode(e)
		qt.Check(n.fleet.t, err, qt.IsNil)
		switch r := r.(type) {
		case mirror.Target:
			v.Targets[r.Name] = r
		case mirror.Rollout:
			r.Received = virtualNow()
			v.Rollouts[r.Service] = r
		}
	}
	return v
}

// send sends 40 requests per second to targets, and keeps to what the controller allows.
func (n *node) send(ctx context.Context) {
	random := rand.New(rand.NewPCG(uint64(n.name[1]), 5))
	for ctx.Err() == nil {
		time.Sleep(25 * time.Millisecond)
		job := port.Job{Service: "desk", Route: "stock"}
		if n.view.Load() == nil || !n.fleet.keyless.Load() && n.age() > n.control.Plan.StaleLimit {
			continue
		}
		if t, ok := n.choose(job, random); ok && ctx.Err() == nil {
			n.control.Assigned(job, t)
			n.fleet.serve(n, job, t, random)
		}
	}
}

func (n *node) choose(job port.Job, random *rand.Rand) (mirror.Target, bool) {
	tests := n.control.Preferred(job)
	if tests == nil {
		tests = append(tests, func(mirror.Target) bool { return true })
	}
	for _, allowed := range tests {
		var usable []mirror.Target
		for _, t := range n.view.Load().Targets {
			if !t.Leaving && allowed(t) && n.control.InUse(t) {
				usable = append(usable, t)
			}
		}
		if len(usable) > 0 {
			return usable[random.IntN(len(usable))], true
		}
	}
	return mirror.Target{}, false
}

func (f *fleet) serve(n *node, job port.Job, t mirror.Target, random *rand.Rand) {
	result := port.Succeeded
	f.mu.Lock()
	f.total++
	switch {
	case t.Version == orderedVersion:
		f.newAt = time.Now()
		f.fresh++
		switch {
		case time.Now().Before(f.down[t.Name]):
			result = port.Unreachable
		case random.Float64() < f.failing:
			result = port.Failed
			f.bad++
			if f.crashing.Load() {
				result = port.Crashed
				f.down[t.Name] = time.Now().Add(time.Second)
			}
		}
		if f.bad == 50 && f.fiftieth.IsZero() {
			f.fiftieth = time.Now()
		}
	case t.Version != "v1":
		f.other++
	case f.stopped:
		f.lost++
	}
	f.mu.Unlock()
	n.control.Ended(job, placement.Choice{Target: t, Wait: 20 * time.Millisecond}, port.Attempt{Result: result, FirstByte: 50 * time.Millisecond})
}

// watchStatus records the states that operators read.
func (f *fleet) watchStatus(ctx context.Context) {
	for ctx.Err() == nil {
		time.Sleep(10 * time.Millisecond)
		var status struct{ State, To string }
		if e := f.store.Entry("status/rollout/desk"); json.Unmarshal(e.Value, &status) == nil {
			if last := len(f.statuses) - 1; last < 0 || f.statuses[last] != status.State+" "+status.To {
				f.statuses = append(f.statuses, status.State+" "+status.To)
			}
			f.mu.Lock()
			f.stopped = status.State == "completed" && status.To == orderedVersion
			f.mu.Unlock()
		}
	}
}

// assertEnds checks the states that operators read, that the old targets got no request after they
// had stopped, and that a bad version got few requests and none late.
func (f *fleet) assertEnds(t *testing.T, statuses ...string) {
	t.Helper()
	note := qt.Commentf("%v, %d of %d requests to the new version, %d bad", f.statuses, f.fresh, f.total, f.bad)
	qt.Check(t, f.statuses, qt.DeepEquals, statuses, note)
	qt.Check(t, f.lost, qt.Equals, 0, note)
	if f.failing > 0 {
		qt.Check(t, float64(f.fresh) <= 0.1*float64(f.total)+50, qt.IsTrue, note)
		qt.Check(t, f.fiftieth.IsZero() || f.newAt.Sub(f.fiftieth) < 5*time.Second, qt.IsTrue, note)
	}
}

// served returns the numbers of requests to any version, and to neither of the first two.
func (f *fleet) served() (total, other int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.total, f.other
}
