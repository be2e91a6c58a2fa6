// Package placement chooses the target of each request. It considers the requests
// that this daemon and, with some delay, the other daemons have in flight, the
// prompt segments that targets have cached, and the capacity of each target.
package placement

import (
	"math"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"rattanline.example/rattanline/clock"
	"rattanline.example/rattanline/mirror"
	"rattanline.example/rattanline/port"
	"rattanline.example/rattanline/request"
)

// Table holds the state of each target as known to this daemon. It is safe for
// concurrent use. The exported fields are set before the first call.
type Table struct {
	// Self and Domain are the name and the failure domain of this daemon.
	Self, Domain string
	// Daemons returns the names of all daemons that may send requests, including
	// this one. It returns nil while they are unknown.
	Daemons func() []string
	// PeerWork returns what the other daemons have in flight, by target name.
	PeerWork func() map[string]Work
	// PeerLeaving returns the targets that stated to other daemons that they are leaving, with
	// the time of their start. A nil function means none.
	PeerLeaving func() map[string]int64
	// ColdRate returns the maximum rate of a cold target of a service in requests
	// per second, zero if it is unlimited, and how long a target stays cold after
	// it starts.
	ColdRate func(service string) (rate float64, coldTime time.Duration)

	// MaxConnections returns the number of connections that a target of a service
	// accepts from all daemons together. Zero or a nil function means no limit.
	MaxConnections func(service string) int

	// Contended states that targets may get more requests than they can do. What they state about
	// their load is then used also where they don't state their pace.
	Contended bool

	// Engines returns what is declared about the engines of a service. A nil function means
	// nothing.
	Engines func(service string) EngineTraits
	// Versions restricts the targets of services whose version changes. It may be nil.
	Versions Versions

	mu       sync.Mutex
	targets  map[string]*targetState
	services map[string][]*targetState
	// untriedBuffer and triedBuffer are reused by Choose to avoid allocations.
	untriedBuffer, triedBuffer []*targetState
	// queuedBuffer is reused by summarize.
	queuedBuffer []float64
	rankBuffer   []uint64
	domains      map[string]domainState
	// peerLeaving is what PeerLeaving last returned.
	peerLeaving map[string]int64
	// summaries holds the last results of summarize, by service.
	summaries map[string]summary
	// speeds holds what was learned about the engines, by service.
	speeds map[string]*engineSpeed
	// plainServices holds what was learned about services whose targets are no engines.
	plainServices map[string]*plainService
}

// Work is what daemons have in flight at a target.
type Work struct {
	Requests int
	Prompt   float64 // prompt tokens not yet known to be processed
	// Long is the portion of Prompt that belongs to long prompts.
	Long float64
}

type domainState struct {
	evacuated bool
	restored  clock.Instant
}

type targetState struct {
	mirror.Target
	hash uint64 // of the name
	// inView reports whether the newest view has an entry of the target.
	inView       bool
	work         Work
	load         Load
	loadReceived clock.Instant
	// downUntil is when requests may be sent to the target again after it was
	// unreachable, misdirected or crashed repeatedly, or asked for time.
	downUntil clock.Instant
	failures  int // consecutive attempts that were unreachable or crashed
	faults    faults
	pace      eventPace
	skew      skew
	room      roomState
	// coldUntil is when the target is no longer cold, nextCold when this daemon may
	// send the next request to it while it is cold.
	coldUntil, nextCold clock.Instant
	segments            segmentCache
	// saidLeaving reports whether the target stated that it is leaving.
	saidLeaving bool
	// pausedUntil is when the time ends for which the target asked this daemon to send
	// nothing.
	pausedUntil clock.Instant
	// rejectsUntil is when the target, which rejected a request for lack of room, may
	// receive one that was rejected.
	rejectsUntil clock.Instant
}

// Update applies the targets and failure domains of a new view.
func (t *Table) Update(v *mirror.View) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.targets == nil {
		t.targets = map[string]*targetState{}
	}
	t.domains = map[string]domainState{}
	for d, at := range v.Restored {
		t.domains[d] = domainState{restored: at}
	}
	for d := range v.Evacuated {
		t.domains[d] = domainState{evacuated: true}
	}
	for name, entry := range v.Targets {
		t.update(name, entry)
	}
	t.services = map[string][]*targetState{}
	for name, target := range t.targets {
		if _, ok := v.Targets[name]; !ok {
			target.inView = false
			if target.work.Requests == 0 {
				delete(t.targets, name)
			}
			continue
		}
		t.services[target.Service] = append(t.services[target.Service], target)
	}
}

func (t *Table) update(name string, entry mirror.Target) {
	target := t.targets[name]
	if target == nil {
		target = &targetState{}
		t.targets[name] = target
	}
	if restarted := target.StartTime != entry.StartTime || target.Address != entry.Address; restarted {
		*target = targetState{work: target.work}
	}
	if entry.Changed != target.Changed && entry.Cold > 0 {
		target.coldUntil = max(target.coldUntil, entry.Changed.Add(entry.Cold+coldMargin))
	}
	if entry.Changed != target.Changed && entry.Cold <= 0 && entry.Removed == 0 {
		target.downUntil = target.pausedUntil // the changed entry shows that it is alive
	}
	target.Target, target.inView, target.hash = entry, true, xxhash.Sum64String(name)
	target.Leaving = entry.Leaving || target.saidLeaving
}

// Started counts a request as in flight at the target, with the prompt tokens
// that the target has to process.
func (t *Table) Started(name string, prompt float64, segments []request.PromptSegment) {
	t.started(name, prompt, segments, clock.Now())
}

func (t *Table) started(name string, prompt float64, segments []request.PromptSegment, now clock.Instant) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if target := t.targets[name]; target != nil {
		target.work.Requests++
		target.room.startedSince++
		target.room.lastSent = now
		target.work.Prompt += prompt
		target.segments.add(now, segmentKeys(segments))
	}
}

// PromptProcessed records that the target has processed the prompt of a request.
func (t *Table) PromptProcessed(name string, prompt float64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if target := t.targets[name]; target != nil {
		target.work.Prompt = max(target.work.Prompt-prompt, 0)
	}
}

const (
	// coldMargin allows for the delay between a target's clock and its entry.
	coldMargin = 300 * time.Millisecond
	// downTime is how long an unreachable target is excluded. It doubles with each
	// consecutive failure up to maxDownTime.
	downTime = 400 * time.Millisecond
	// maxDownTime is the longest exclusion of an unreachable target. A target at whose
	// address another target listens is excluded for maxDownTime at once.
	maxDownTime = 1600 * time.Millisecond
	// crashedTime is how long a target is excluded that crashed after crashedCount or
	// more consecutive failures, including the crash.
	crashedTime = 1500 * time.Millisecond
	// crashedCount is the number of consecutive failures from which on a crash excludes
	// the target.
	crashedCount = 4
)

// Ended removes a request from those in flight and records its result, given the choice that
// led to it.
func (t *Table) Ended(name string, a port.Attempt, c Choice) { t.ended(name, a, c, clock.Now()) }

func (t *Table) ended(name string, a port.Attempt, c Choice, now clock.Instant) {
	t.mu.Lock()
	defer t.mu.Unlock()
	target := t.targets[name]
	if target == nil {
		return
	}
	target.work.Requests = max(target.work.Requests-1, 0)
	if target.work.Requests == 0 {
		target.work.Prompt, target.work.Long = 0, 0
	}
	t.observe(target, a, c, now)
	t.learnSpeed(target, a, c)
	t.learnWork(target, a, c, now)
}

// observe updates the state of the target with the result of an attempt.
func (t *Table) observe(target *targetState, a port.Attempt, c Choice, now clock.Instant) {
	switch a.Result {
	case port.Succeeded, port.Failed:
		target.failures = 0
		target.faults.add(now, a.Result == port.Failed || slow(a.FirstByte, c.Wait))
		if a.EventInterval > 0 {
			target.pace.add(now, a.EventInterval)
		}
	case port.Unreachable:
		target.failures++
		pause := min(downTime<<min(target.failures-1, 4), maxDownTime)
		target.downUntil = max(target.downUntil, now.Add(pause))
		// It may be restarting at the same address, and then is cold.
		if _, coldTime := t.ColdRate(target.Service); coldTime > 0 {
			target.coldUntil = max(target.coldUntil, target.downUntil.Add(coldTime))
		}
		target.segments = segmentCache{}
	case port.Misdirected:
		target.downUntil = max(target.downUntil, now.Add(maxDownTime))
	case port.Crashed:
		target.failures++
		target.faults.add(now, true)
		if target.failures >= crashedCount {
			target.downUntil = max(target.downUntil, now.Add(crashedTime))
		}
	case port.Canceled:
		// The target had not started its response when it already counted as slow.
		if a.FirstByte == 0 && slow(a.Total, c.Wait) {
			target.faults.add(now, true)
		}
	case port.Overloaded:
		target.rejectsUntil = now.Add(rejectionTime)
	case port.NotSent:
	}
}

// InFlight returns the work that this daemon has in flight, by target name.
func (t *Table) InFlight() map[string]Work {
	t.mu.Lock()
	defer t.mu.Unlock()
	work := map[string]Work{}
	for name, target := range t.targets {
		if target.work.Requests > 0 {
			reported := target.work
			reported.Prompt = math.Round(reported.Prompt) // a fraction takes several more bytes
			work[name] = reported
		}
	}
	return work
}

// Known reports whether the newest view has an entry of the target.
func (t *Table) Known(name string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	target := t.targets[name]
	return target != nil && target.inView
}
