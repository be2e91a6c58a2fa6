package rollout

import (
	"context"
	"slices"
	"time"

	"github.com/rs/zerolog"

	"rattanline.example/rattanline/clock"
	"rattanline.example/rattanline/mirror"
	"rattanline.example/rattanline/port"
)

const (
	// judgeInterval is the interval at which the evidence is judged.
	judgeInterval = 200 * time.Millisecond
	// writeTimeout bounds the write of one step.
	writeTimeout = 2 * time.Second
	// writeRetryDelay is the pause after the write of a step, in which the mirror receives it.
	writeRetryDelay = 500 * time.Millisecond
	// maxDecisionAge is the age of the mirror above which no step is decided.
	maxDecisionAge = 2500 * time.Millisecond
	// takeoverDelay is the time after which the daemon with the next rank writes a step.
	takeoverDelay = time.Second
	// writers is the number of daemons that write steps.
	writers = 3
)

// NoRank is the rank of a daemon that must not decide.
const NoRank = 1 << 20

// Run judges the roll-outs in progress until the context ends, and writes their steps if this
// daemon decides on them.
func (c *Controller) Run(ctx context.Context) error {
	for ctx.Err() == nil {
		select {
		case <-ctx.Done():
		case <-time.After(judgeInterval):
		}
		c.judgeAll(ctx)
	}
	return nil
}

func (c *Controller) judgeAll(ctx context.Context) {
	c.storeLost.Store(c.StoreLost != nil && c.MirrorAge() > c.Plan.StaleLimit && c.StoreLost())
	var peers map[string]Evidence
	for name, s := range c.all() {
		if !s.state.Phase.InProgress() && (s.order.To == "" || s.current()) {
			continue
		}
		if peers == nil {
			peers = c.PeerEvidence()
		}
		fleet := s.evidence().With(peers[name])
		finding := c.judge(s, fleet)
		if rank := c.Rank(name); rank < writers && c.MirrorAge() <= maxDecisionAge {
			c.step(ctx, s, rank, fleet, finding)
		}
	}
}

func (c *Controller) judge(s *service, fleet Evidence) Finding {
	if !s.current() || fleet.Order != s.order.Revision {
		return Finding{Verdict: Undecided}
	}
	finding, newlyHeld := s.judgeFleet(fleet)
	if newlyHeld {
		heldBack.Inc()
		c.logEvidence(c.Logger.Warn(), s, fleet).Str("reason", finding.Reason).Msg("version held back by this daemon")
	}
	return finding
}

// step writes the next step if one is due.
func (c *Controller) step(ctx context.Context, s *service, rank int, fleet Evidence, f Finding) {
	next, reason := c.next(s, f)
	if now := c.clock(); !s.claimWrite(next, now, time.Duration(rank)*takeoverDelay) {
		return
	}
	go func() {
		c.write(ctx, s, next, fleet, reason)
		s.mu.Lock()
		defer s.mu.Unlock()
		s.writing, s.nextWrite = false, c.clock().Add(writeRetryDelay)
	}()
}

// claimWrite reports whether the step is to be written now: it has been due for the delay and isn't
// being written.
func (s *service) claimWrite(next mirror.RolloutState, now clock.Instant, delay time.Duration) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case next.Phase == s.state.Phase && next.Order == s.state.Order:
		s.duePhase = ""
		return false
	case s.duePhase != next.Phase:
		s.duePhase, s.dueSince = next.Phase, now
	}
	if s.writing || now < s.nextWrite || now.Sub(s.dueSince) < delay {
		return false
	}
	s.writing = true
	return true
}

// next returns the state after the step that is due, or the same state.
func (c *Controller) next(s *service, f Finding) (mirror.RolloutState, string) {
	state := s.state
	if s.order.To != "" && !s.current() {
		return c.first(s), "ordered"
	}
	now := c.clock()
	plan := c.Plan
	plan.Duration = s.order.Duration
	running := c.Running(s.oldTargets)
	phase, reason := plan.Next(Situation{
		Phase: state.Phase, Elapsed: now.Sub(s.startedAt), InPhase: now.Sub(state.Received), Finding: f,
		OldSlots: s.oldSlots, NewSlots: s.newSlots, OldRequests: running, OldUnsure: !s.oldIdle.add(now, running),
		Withdrawn: s.order.To == "",
	})
	state.Phase = phase
	return state, reason
}

// first returns the state in which the roll-out of the order begins.
func (c *Controller) first(s *service) mirror.RolloutState {
	state := mirror.RolloutState{
		Service: s.name, To: s.order.To, Order: s.order.Revision, Phase: mirror.RolloutCanary,
		Started: time.Now().Add(-c.clock().Sub(s.startedAt)).UnixMilli(),
	}
	for _, v := range s.versions {
		if v != state.To && !slices.Contains(state.Old, v) {
			state.Old = append(state.Old, v)
		}
	}
	slices.Sort(state.Old)
	before := s.state
	if s.repeated() {
		state.Phase, state.Old = before.Phase, before.Old
	}
	state.Rejected = slices.Clone(before.Rejected)
	if before.To != "" && before.Phase != mirror.RolloutCompleted && !slices.Contains(state.Rejected, before.To) {
		state.Rejected = append(state.Rejected, before.To)
	}
	state.Rejected = slices.DeleteFunc(state.Rejected, func(v string) bool { return v == state.To || s.versionGone(v) })
	return state
}

// versionGone reports whether no target has the version.
func (s *service) versionGone(version string) bool {
	for _, v := range s.versions {
		if v == version {
			return false
		}
	}
	return true
}

// write writes the step on condition that neither the order nor the state has changed, so that
// two daemons can't write different steps.
func (c *Controller) write(ctx context.Context, s *service, next mirror.RolloutState, fleet Evidence, reason string) {
	ctx, cancel := context.WithTimeout(ctx, writeTimeout)
	defer cancel()
	entry, err := next.Entry()
	if err == nil {
		var status port.Write
		if status, err = c.Status(next); err == nil {
			err = c.commit(ctx, s, entry, status)
		}
	}
	if err != nil {
		failedSteps.Inc()
		c.logEvidence(c.Logger.Warn(), s, fleet).Err(err).Str("phase", string(next.Phase)).Msg("step of the roll-out not written")
		return
	}
	countStep(s.name, next.Phase)
	c.logEvidence(c.Logger.Info(), s, fleet).Str("phase", string(next.Phase)).Str("to", next.To).Str("reason", reason).Msg("step of the roll-out written")
}

func (c *Controller) commit(ctx context.Context, s *service, writes ...port.Write) error {
	if s.carried {
		return errNotShown
	}
	r, err := c.Store.Commit(ctx, port.Transaction{
		Era: s.era,
		Conditions: []port.Condition{
			{Key: c.OrderKey(s.name), Revision: s.order.Revision},
			{Key: mirror.RolloutPrefix + s.name, Revision: s.state.Revision},
		},
		Writes: writes,
	})
	if err == nil && !r.Committed {
		err = errChanged
	}
	return err
}

// logEvidence adds the evidence to a log line.
func (c *Controller) logEvidence(e *zerolog.Event, s *service, fleet Evidence) *zerolog.Event {
	e.Str("service", s.name).Int64("order", s.order.Revision).Dur("elapsed", c.clock().Sub(s.startedAt)).
		Int("requests", fleet.Requests).Int("exposed", fleet.Exposed)
	for name, samples := range map[string]map[string]Sample{"old": fleet.Old, "new": fleet.New} {
		d := zerolog.Dict()
		for route, a := range samples {
			d.Dict(route, zerolog.Dict().Int("answers", a.Answers).Int("failures", a.Failures).Int("timed", a.Timed).Int("slow", a.Slow))
		}
		e.Dict(name, d)
	}
	return e
}
