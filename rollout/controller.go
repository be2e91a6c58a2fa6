package rollout

import (
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"rattanline.example/rattanline/clock"
	"rattanline.example/rattanline/mirror"
	"rattanline.example/rattanline/placement"
	"rattanline.example/rattanline/port"
)

// Controller applies the roll-outs in force to the requests of one daemon, and takes part in
// their decision. The exported fields are set before the first call.
type Controller struct {
	// Plan holds the shares and limits. Its Duration is that of each order.
	Plan Plan
	// RollbackTime is the age of the mirror above which nothing is sent to a version that is
	// not accepted yet, because it may have been rejected.
	RollbackTime time.Duration
	// MirrorAge returns the time since the mirror was last known to be complete.
	MirrorAge func() time.Duration
	// StoreLost reports whether this daemon is in contact with all others and none of them reaches
	// the store. A nil function means that it doesn't know.
	StoreLost func() bool
	// Daemons returns the names of all daemons that may send requests.
	Daemons func() []string
	// Rank returns the position of this daemon among those that write the steps of the service's
	// roll-out, zero for the one that decides, or NoRank. The next ones write a step if it isn't
	// there takeoverDelay after it was due.
	Rank func(service string) int
	// PeerEvidence returns what the other daemons saw, by service.
	PeerEvidence func() map[string]Evidence
	// Running returns the number of requests that all daemons have in flight at the targets.
	Running func(targets []string) int
	// Store, OrderKey and Status serve to write steps: OrderKey returns the key of the order for
	// a service, and Status the write of the state for operators.
	Store    port.KeyValue
	OrderKey func(service string) string
	Status   func(mirror.RolloutState) (port.Write, error)
	Logger   zerolog.Logger

	now      func() clock.Instant // replaced in tests
	services atomic.Pointer[map[string]*service]
	// appeared is applied only if the settings have an exposure share.
	appeared atomic.Pointer[appearances]
	// storeLost is what StoreLost last returned.
	storeLost atomic.Bool
	// settled reports whether a view was applied before, so that an order that appears is new.
	settled bool
}

var _ placement.Versions = (*Controller)(nil)

// defaultRollbackTime applies where the settings have none.
const defaultRollbackTime = 5 * time.Second

// rollbackMargin is subtracted from RollbackTime: the mirror may be older than it counts as,
// and a request takes some time to reach its target.
const rollbackMargin = 1800 * time.Millisecond

// Update applies the roll-outs of a new view. Calls must not overlap.
func (c *Controller) Update(v *mirror.View) {
	names := map[string]bool{}
	for name := range v.Rollouts {
		names[name] = true
	}
	for name := range v.RolloutStates {
		names[name] = true
	}
	before := c.all()
	services := make(map[string]*service, len(names))
	for name := range names {
		s := newService(name, v, before[name], c.Plan)
		s.era = v.Position.Era
		s.carried = v.Carries(c.OrderKey(name)) || v.Carries(mirror.RolloutPrefix+name)
		if s.progress == nil {
			c.begin(s)
		}
		services[name] = s
	}
	if c.Plan.ExposureShare > 0 {
		var appeared appearances
		if before := c.appeared.Load(); before != nil {
			appeared = *before
		}
		appeared = appeared.with(v, c.clock(), c.settled)
		c.appeared.Store(&appeared)
	}
	c.settled = c.settled || v.Position.Revision > 0
	c.services.Store(&services)
}

// begin sets what the daemon counts for a new order. A daemon that starts during a roll-out gets
// no grant, because its last run may have used it. One that receives the order only together with
// a step computes the time of the order from the wall clock of the daemon that wrote the step.
func (c *Controller) begin(s *service) {
	grant := 0.0
	s.startedAt = s.order.Received
	if c.settled {
		grant = c.Plan.grant(len(c.Daemons()))
	}
	if s.current() {
		s.startedAt = c.clock().Add(-max(time.Since(time.UnixMilli(s.state.Started)), 0))
	}
	s.progress = newProgress(s.order.Revision, grant)
}

func (c *Controller) clock() clock.Instant {
	if c.now != nil {
		return c.now()
	}
	return clock.Now()
}

func (c *Controller) all() map[string]*service {
	if p := c.services.Load(); p != nil {
		return *p
	}
	return nil
}

// InUse implements placement.Versions.
func (c *Controller) InUse(t mirror.Target) bool {
	if appeared := c.appeared.Load(); appeared != nil && appeared.recent(t, c.clock()) {
		return false
	}
	s := c.all()[t.Service]
	if s == nil {
		return true
	}
	return s.inUse(t, c.mayUseNew, c.mayUseOld)
}

// mayUseNew reports whether the daemon would know if the new version had been rejected.
func (c *Controller) mayUseNew() bool { return c.MirrorAge() <= c.newLimit() }

// mayUseOld reports whether the daemon would know if the cutover had begun: its mirror is young,
// or no daemon can write steps.
func (c *Controller) mayUseOld() bool {
	return c.MirrorAge() <= c.Plan.StaleLimit || c.storeLost.Load()
}

// newLimit returns the age of the mirror above which nothing is sent to a version that isn't
// accepted.
func (c *Controller) newLimit() time.Duration {
	limit := c.RollbackTime
	if limit <= 0 {
		limit = defaultRollbackTime
	}
	return max(limit-rollbackMargin, limit/2)
}

// Preferred implements placement.Versions.
func (c *Controller) Preferred(job port.Job) []func(mirror.Target) bool {
	if s := c.all()[job.Service]; s != nil {
		return s.preferred(job)
	}
	return nil
}

// Assigned implements placement.Versions.
func (c *Controller) Assigned(job port.Job, t mirror.Target) {
	if s := c.all()[job.Service]; s != nil && s.phase().InProgress() {
		s.assigned(job, t, c.Plan.share(s.phase()))
	}
}

// Ended implements placement.Versions.
func (c *Controller) Ended(job port.Job, choice placement.Choice, a port.Attempt) {
	s := c.all()[job.Service]
	if s == nil || !s.phase().InProgress() {
		return
	}
	answer := Answer{
		Route: job.Route, Target: choice.Target.Name, First: a.FirstByte, Interval: a.EventInterval,
		Expected: choice.Wait + choice.StartDelay, Uncached: uncachedWait(job, choice),
		// After the cutover the new targets have none of the prompts cached, and may be overloaded.
		Untimed: choice.Cold || s.phase() == mirror.RolloutCutover && job.Demand.Prompt > 0,
	}
	switch a.Result {
	case port.Succeeded:
	case port.Failed, port.Crashed:
		answer.Failed = true
	case port.Canceled:
		if a.FirstByte == 0 {
			answer.First = a.Total // at least
		}
		if slow, _ := answer.slow(s.oldAnswers(job.Route)); !slow || answer.Untimed {
			return // the caller left before the answer showed anything
		}
	case port.Overloaded, port.Unreachable:
		answer.Refused = true
	case port.NotSent, port.Misdirected:
		return
	}
	s.answered(answer, choice.Target.Version)
	countAnswer(s.name, choice.Target.Version, job.Route, a.Result)
}

// uncachedWait returns the expected time to the first event if the target had no part of the
// prompt cached.
func uncachedWait(job port.Job, c placement.Choice) time.Duration {
	cached := float64(job.Demand.Prompt) - c.PromptTokens
	if cached <= 0 || c.Work <= 0 {
		return c.Wait + c.StartDelay
	}
	return time.Duration(float64(c.Wait)*(c.Work+cached)/c.Work) + c.StartDelay
}

func (s *service) oldAnswers(route string) Sample {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.reference[route]
}

// Evidence returns what this daemon saw in the roll-outs in progress, by service.
func (c *Controller) Evidence() map[string]Evidence {
	var all map[string]Evidence
	for name, s := range c.all() {
		if !s.phase().InProgress() {
			continue
		}
		if all == nil {
			all = map[string]Evidence{}
		}
		all[name] = s.evidence()
	}
	return all
}
