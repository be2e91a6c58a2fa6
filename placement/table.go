// Package placement chooses the target of each request from what this daemon
// and, slightly later, the others have in flight, from the prompt parts that
// targets keep, and from what each target bears.
package placement

import (
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"rattanline.example/rattanline/clock"
	"rattanline.example/rattanline/mirror"
	"rattanline.example/rattanline/port"
	"rattanline.example/rattanline/request"
)

// Table holds what this daemon knows of each target. It is safe for concurrent
// use. The exported fields are set before the first call.
type Table struct {
	// Self and Domain are the name and the failure domain of this daemon.
	Self, Domain string
	// Daemons returns the names of all daemons that may send, this one included,
	// or nothing while that isn't known.
	Daemons func() []string
	// PeerWork returns what other daemons have in flight, by target name.
	PeerWork func() map[string]Work
	// ColdRate returns the requests per second that a cold target of a service
	// bears, zero if that has no bound, and how long it is cold after a start.
	ColdRate func(service string) (rate float64, coldTime time.Duration)

	// MaxConnections returns the connections that a target of a service accepts
	// from all daemons together; zero or a nil function means no bound.
	MaxConnections func(service string) int

	mu      sync.Mutex
	targets map[string]*target
	// services holds the targets by service.
	services map[string][]*target
	// fresh and tried are used again by each choice.
	fresh, tried []*target
	domains      map[string]mirrorDomain
}

// Work is what daemons have in flight at a target.
type Work struct {
	Requests int
	Prompt   float64 // prompt tokens not known to be read
}

type mirrorDomain struct {
	evacuated bool
	restored  clock.Instant
}

// Load is what a target tells of itself with a response.
type Load struct {
	Running, Waiting, Slots int
}

type target struct {
	mirror.Target
	hash uint64 // of its name
	// known tells that the entry is in the view.
	known bool
	work  Work
	load  Load
	// loaded is when the load was told.
	loaded clock.Instant
	// down is until when nothing is sent there after it could not be reached;
	// failures counts the failures in a row that led there.
	down     clock.Instant
	failures int
	faults   faults
	// cold is until when it is cold, next when this daemon may send to it again
	// meanwhile.
	cold, next clock.Instant
	parts      parts
}

// Update takes the targets and failure domains of a new view.
func (t *Table) Update(v *mirror.View) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.targets == nil {
		t.targets = map[string]*target{}
	}
	t.domains = map[string]mirrorDomain{}
	for d, at := range v.Restored {
		t.domains[d] = mirrorDomain{restored: at}
	}
	for d := range v.Evacuated {
		t.domains[d] = mirrorDomain{evacuated: true}
	}
	for name, entry := range v.Targets {
		t.update(name, entry)
	}
	t.services = map[string][]*target{}
	for name, g := range t.targets {
		if _, ok := v.Targets[name]; !ok {
			g.known = false
			if g.work.Requests == 0 {
				delete(t.targets, name)
			}
			continue
		}
		t.services[g.Service] = append(t.services[g.Service], g)
	}
}

func (t *Table) update(name string, entry mirror.Target) {
	g := t.targets[name]
	if g == nil {
		g = &target{}
		t.targets[name] = g
	}
	if reborn := g.StartTime != entry.StartTime || g.Address != entry.Address; reborn {
		*g = target{work: g.work}
	}
	if entry.Changed != g.Changed && entry.Cold > 0 {
		g.cold = max(g.cold, entry.Changed.Add(entry.Cold+coldMargin))
	}
	if entry.Changed != g.Changed && entry.Cold <= 0 && entry.Removed == 0 {
		g.down = 0 // it is alive
	}
	g.Target, g.known, g.hash = entry, true, xxhash.Sum64String(name)
}

// Started counts a request as in flight at the target, with the prompt tokens
// that it has to read.
func (t *Table) Started(name string, prompt float64, parts []request.PromptSegment) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if g := t.targets[name]; g != nil {
		g.work.Requests++
		g.work.Prompt += prompt
		g.parts.add(clock.Now(), parts)
	}
}

// PromptRead tells that the target has read the prompt of a request.
func (t *Table) PromptRead(name string, prompt float64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if g := t.targets[name]; g != nil {
		g.work.Prompt = max(g.work.Prompt-prompt, 0)
	}
}

const (
	// coldMargin allows for the delay between a target's clock and its entry.
	coldMargin = 300 * time.Millisecond
	// downTime is how long a target is left out after it could not be reached.
	downTime = 400 * time.Millisecond
	// maxDownTime bounds the growth of that time.
	maxDownTime = 1600 * time.Millisecond
	// brokenTime is how long a target is left out after several broken responses
	// in a row, brokenCount how many.
	brokenTime  = 1500 * time.Millisecond
	brokenCount = 4
)

// Ended takes a request out of those in flight. Wait is how long its target was
// expected to take until it began to answer.
func (t *Table) Ended(name string, a port.Attempt, wait time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	g := t.targets[name]
	if g == nil {
		return
	}
	g.work.Requests = max(g.work.Requests-1, 0)
	if g.work.Requests == 0 {
		g.work.Prompt = 0
	}
	t.observe(g, a, wait, clock.Now())
}

func (t *Table) observe(g *target, a port.Attempt, wait time.Duration, now clock.Instant) {
	switch a.Result {
	case port.Succeeded, port.Failed:
		g.failures = 0
		g.faults.add(now, a.Result == port.Failed || slow(a.FirstByte, wait))
	case port.Unreachable:
		g.failures++
		pause := min(downTime<<min(g.failures-1, 4), maxDownTime)
		g.down = max(g.down, now.Add(pause))
		// It may be a new start at the same place, which is cold.
		if _, coldTime := t.ColdRate(g.Service); coldTime > 0 {
			g.cold = max(g.cold, g.down.Add(coldTime))
		}
		g.parts = parts{}
	case port.Misdirected:
		g.down = max(g.down, now.Add(maxDownTime))
	case port.Crashed:
		g.failures++
		g.faults.add(now, true)
		if g.failures >= brokenCount {
			g.down = max(g.down, now.Add(brokenTime))
		}
	case port.Canceled:
		if a.FirstByte == 0 && slow(a.Total, wait) {
			g.faults.add(now, true)
		}
	case port.Overloaded, port.NotSent:
	}
}

// SetLoad takes the load that a target told with a response.
func (t *Table) SetLoad(name string, l Load) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if g := t.targets[name]; g != nil {
		g.load, g.loaded = l, clock.Now()
	}
}

// InFlight returns this daemon's own work by target.
func (t *Table) InFlight() map[string]Work {
	t.mu.Lock()
	defer t.mu.Unlock()
	work := map[string]Work{}
	for name, g := range t.targets {
		if g.work.Requests > 0 {
			work[name] = g.work
		}
	}
	return work
}

// Known tells that the target is listed.
func (t *Table) Known(name string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	g := t.targets[name]
	return g != nil && g.known
}
