package rollout

import (
	"maps"
	"math/rand/v2"
	"slices"
	"sync"

	"github.com/cespare/xxhash/v2"

	"rattanline.example/rattanline/clock"
	"rattanline.example/rattanline/mirror"
	"rattanline.example/rattanline/port"
)

// minCanaryTargets is the minimum number of new targets that get requests, so that one faulty
// target can be distinguished from a faulty version.
const minCanaryTargets = 3

// service is the roll-out of one service at one daemon. Its fields above mu are not changed after
// it was published.
type service struct {
	name string
	// order is the order in force, zero if there is none, and state the last step that the
	// daemon read, zero if there is none.
	order mirror.Rollout
	state mirror.RolloutState
	// startedAt is when the order was received.
	startedAt clock.Instant
	// canaries holds the names of the new targets that get requests before the cutover.
	canaries map[string]bool
	// oldSlots and newSlots are the slots of the targets that may be used, newTargets the number
	// of the new ones. oldTargets holds the names of all old targets, and unopposed reports
	// whether there is none.
	oldSlots, newSlots int
	newTargets         int
	oldTargets         []string
	unopposed          bool
	versions           map[string]string // by target
	// era is that of the store. carried reports whether the store, back from a copy, doesn't show the
	// order or the state.
	era     port.Era
	carried bool

	*progress
}

// progress is what a daemon counts for one order. It outlives the steps.
type progress struct {
	mu        sync.Mutex
	allowance allowance
	own       Evidence
	// reference holds the answers of old targets at all daemons, by route.
	reference map[string]Sample
	judge     Judge
	finding   Finding
	// held reports whether this daemon sends nothing to the new version because its judge
	// rejected it. It doesn't wait for the step to be written.
	held bool
	// writing reports whether a step is being written, nextWrite when the next one may be.
	writing   bool
	nextWrite clock.Instant
	// duePhase is the phase that is to be written, dueSince when it was first due.
	duePhase mirror.RolloutPhase
	dueSince clock.Instant
	// oldIdle is used only by Controller.step.
	oldIdle idleness
}

// current reports whether the state is that of the order in force.
func (s *service) current() bool { return s.order.To != "" && s.state.Order == s.order.Revision }

// repeated reports whether the order in force asks for a version to which the service was moved
// before.
func (s *service) repeated() bool {
	return s.order.To == s.state.To && s.state.Phase == mirror.RolloutCompleted
}

// phase returns the phase that is in force at this daemon, empty before the first step.
func (s *service) phase() mirror.RolloutPhase {
	switch {
	case s.current(), s.state.Phase == mirror.RolloutCutover, s.repeated():
		return s.state.Phase
	case s.order.To == "" && !s.state.Phase.InProgress():
		return s.state.Phase
	}
	return ""
}

// divided reports whether each request is assigned a version.
func (s *service) divided() bool {
	p := s.phase()
	return (p == mirror.RolloutCanary || p == mirror.RolloutRamp) && !s.unopposed
}

// to returns the new version.
func (s *service) to() string {
	if s.phase() == "" && s.order.To != "" {
		return s.order.To
	}
	return s.state.To
}

// rejected reports whether an earlier roll-out of the version was reverted, or is to be replaced
// by the order in force.
func (s *service) rejected(version string) bool {
	return slices.Contains(s.state.Rejected, version) || version == s.state.To && s.phase() == "" && s.state.Phase != mirror.RolloutCompleted
}

// inUse reports whether requests may be sent to the target at all, given whether the daemon knows
// enough to send to new and to old targets before the cutover.
func (s *service) inUse(t mirror.Target, mayUseNew, mayUseOld func() bool) bool {
	if s.rejected(t.Version) {
		return false
	}
	isNew := t.Version == s.to()
	switch s.phase() {
	case mirror.RolloutCanary, mirror.RolloutRamp:
		switch {
		case s.unopposed:
			return true
		case isNew:
			return s.canaries[t.Name] && mayUseNew() && !s.isHeld()
		}
		return mayUseOld()
	case mirror.RolloutCutover:
		return isNew
	case mirror.RolloutCompleted:
		return !slices.Contains(s.state.Old, t.Version)
	case mirror.RolloutReverted:
		return !isNew
	}
	return s.unopposed || !isNew && (s.order.To == "" || mayUseOld())
}

// recipients returns the number of new targets that get requests.
func (s *service) recipients() int {
	if s.divided() {
		return len(s.canaries)
	}
	return s.newTargets
}

func (s *service) isHeld() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.held
}

// listed reports whether the target may be used as far as the view shows.
func listed(t mirror.Target, v *mirror.View) bool {
	return !t.Leaving && t.Removed == 0 && !v.Evacuated[t.Domain]
}

// newService returns the roll-out of the service in the view, given the one in the view before.
func newService(name string, v *mirror.View, before *service, plan Plan) *service {
	s := &service{name: name, order: v.Rollouts[name], state: v.RolloutStates[name], versions: map[string]string{}}
	if before != nil && before.order.Revision == s.order.Revision {
		s.progress, s.startedAt = before.progress, before.startedAt
	}
	var fresh []mirror.Target
	for _, t := range v.Targets {
		if t.Service != name {
			continue
		}
		s.versions[t.Name] = t.Version
		usable := listed(t, v)
		switch {
		case t.Version != s.to():
			s.oldTargets = append(s.oldTargets, t.Name)
			if usable {
				s.oldSlots += max(t.Slots, 1)
			}
		case usable:
			s.newSlots += max(t.Slots, 1)
			fresh = append(fresh, t)
		}
	}
	s.newTargets, s.unopposed = len(fresh), len(s.oldTargets) == 0
	s.canaries = canaries(fresh, plan.share(s.phase()), s.order.Revision)
	return s
}

// canaries returns the names of the new targets that get requests. They are as few as give each
// as many requests as the old targets get, because a version may be bad only under load. All
// daemons choose the same ones.
func canaries(fresh []mirror.Target, share float64, order int64) map[string]bool {
	rank := func(t mirror.Target) uint64 {
		return xxhash.Sum64String(t.Name) ^ uint64(order)*0x9e3779b97f4a7c15
	}
	slices.SortFunc(fresh, func(a, b mirror.Target) int {
		if rank(a) < rank(b) {
			return -1
		}
		return 1
	})
	count := min(max(int(share*float64(len(fresh))+0.5), minCanaryTargets), len(fresh))
	names := map[string]bool{}
	for _, t := range fresh[:count] {
		names[t.Name] = true
	}
	return names
}

func newProgress(order int64, grant float64) *progress {
	return &progress{own: newEvidence(order), allowance: newAllowance(grant, rand.Float64()), finding: Finding{Verdict: Undecided}}
}

// preferred returns the tests that the version of the request's target must pass, in the order
// in which they are tried.
func (s *service) preferred(job port.Job) []func(mirror.Target) bool {
	isNew := func(t mirror.Target) bool { return t.Version == s.to() }
	isOld := func(t mirror.Target) bool { return t.Version != s.to() }
	if version, ok := s.resumedVersion(job); ok {
		if version == s.to() {
			return []func(mirror.Target) bool{isNew}
		}
		return []func(mirror.Target) bool{isOld}
	}
	if !s.divided() {
		return nil
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.allowance.available() && !s.held && !job.Retry {
		return []func(mirror.Target) bool{isNew, isOld}
	}
	return []func(mirror.Target) bool{isOld}
}

// resumedVersion returns the version of the target that began the response which the job
// continues. No other version continues it.
func (s *service) resumedVersion(job port.Job) (string, bool) {
	if !job.Resumed || len(job.Avoid) == 0 || s.phase() == mirror.RolloutCompleted {
		return "", false
	}
	version, ok := s.versions[job.Avoid[len(job.Avoid)-1]]
	return version, ok
}

// assigned counts a request that is sent to the target.
func (s *service) assigned(job port.Job, t mirror.Target, share float64) {
	isNew := t.Version == s.to()
	s.mu.Lock()
	defer s.mu.Unlock()
	if !job.Retry {
		s.own.Requests++
		s.allowance.earn(share)
	}
	if isNew {
		s.own.Exposed++
		s.allowance.spend()
	}
}

func (s *service) answered(a Answer, version string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.own.add(a, version == s.to(), s.reference)
}

// evidence returns what this daemon saw.
func (s *service) evidence() Evidence {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.own.Clone()
}

// judgeFleet judges the new version by the evidence of all daemons, and reports whether this
// daemon holds it back from now on.
func (s *service) judgeFleet(fleet Evidence) (Finding, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.reference = maps.Clone(fleet.Old)
	s.finding = s.judge.Observe(fleet, s.recipients())
	newlyHeld := s.finding.Verdict == Bad && !s.held
	s.held = s.held || newlyHeld
	return s.finding, newlyHeld
}
