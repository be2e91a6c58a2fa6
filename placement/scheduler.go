package placement

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/pkg/errors"

	"rattanline.example/rattanline/admission"
	"rattanline.example/rattanline/clock"
	"rattanline.example/rattanline/config"
	"rattanline.example/rattanline/mirror"
	"rattanline.example/rattanline/port"
	"rattanline.example/rattanline/request"
)

// noTargetRetryAfter is the Retry-After hint of refusals while no target can be
// used.
const noTargetRetryAfter = 400 * time.Millisecond

// minPauseRetryAfter is the shortest Retry-After hint of refusals while all targets have
// asked for time.
const minPauseRetryAfter = 50 * time.Millisecond

// idleMedianWait is the median wait in the queues of the engines up to which most of them count
// as idle.
const idleMedianWait = 15 * time.Millisecond

// Scheduler implements port.Scheduler for targets that queue requests themselves.
// It assigns or refuses each request immediately, based on what all daemons have
// in flight. Requests wait, briefly, only while no target can be used. The
// exported fields are set before the first call.
type Scheduler struct {
	Table     *Table
	Admission *admission.Controller
	// Engine reports whether the targets of a service are inference engines, which
	// process and cache prompts.
	Engine func(service string) bool
	// AskLoad asks a target for its load. If it is nil, requests to targets that are no engines
	// are assigned by what is known of them.
	AskLoad func(mirror.Target) (Load, error)

	queue         queue
	roomOnce      sync.Once
	roomScheduler *roomScheduler
}

var _ port.Scheduler = (*Scheduler)(nil)

// Acquire implements port.Scheduler.
func (s *Scheduler) Acquire(ctx context.Context, job port.Job) (port.Assignment, error) {
	if r := s.room(job.Service); r != nil {
		return r.acquire(ctx, job)
	}
	a, err := s.assign(clock.Now(), job)
	switch {
	case err == nil:
		return a, nil
	case !errors.Is(err, errNoTarget):
		return nil, err
	}
	listed := s.Table.Listed(job.Service)
	refusal := &request.Refusal{
		Reason: request.NoTarget, Detail: fmt.Sprintf("no target can be used, %d are listed", listed), RetryAfter: noTargetRetryAfter,
	}
	if listed == 0 {
		return nil, refusal
	}
	if until, ok := s.Table.paused(job.Service); ok {
		refusal.RetryAfter = max(until.Sub(clock.Now()), minPauseRetryAfter)
		refusal.Detail = fmt.Sprintf("all %d targets that are listed asked for time", listed)
		if refusal.RetryAfter > job.LatencyAim {
			return nil, refusal
		}
	}
	if until, ok := s.Table.rejecting(job.Service); ok && job.Retry && until.Sub(clock.Now()) > waitBound(job) {
		refusal.Detail = fmt.Sprintf("all %d targets that are listed just rejected requests", listed)
		return nil, refusal
	}
	return s.wait(ctx, job, refusal)
}

// assign chooses a target without waiting. Its error is errNoTarget or a refusal. It answers a new
// version that is slow: a request that would be refused there is offered to the other targets.
func (s *Scheduler) assign(now clock.Instant, job port.Job) (*assignment, error) {
	query := s.query(job)
	var refusal error
	for _, query.Allowed = range s.versionTests(job) {
		choice, ok := s.Table.Choose(query)
		if !ok {
			continue
		}
		a := &assignment{scheduler: s, job: job, decidedAt: now}
		a.choose(choice)
		if refusal = a.enter(query, refusal != nil); refusal == nil {
			return a, nil
		}
	}
	if refusal != nil {
		return nil, refusal
	}
	return nil, errNoTarget
}

// enter counts the job as in flight at its target, or returns the refusal if it isn't admitted.
// Again states that it was refused at another target.
func (a *assignment) enter(q Query, again bool) error {
	s, job := a.scheduler, a.job
	switch {
	case !q.Engine:
	case job.Retry: // it was admitted before
		a.admitted = true
		s.Admission.Count(a.decidedAt, job.Account, job.Demand.Work())
	default:
		if err := a.admit(again); err != nil && !a.admitElsewhere(q) {
			return err
		}
	}
	s.Table.Started(a.choice.Target.Name, a.choice.PromptTokens, job.Demand.Segments)
	s.Table.addLong(a.choice, a.choice.PromptTokens)
	if v := s.Table.Versions; v != nil {
		v.Assigned(job, a.choice.Target)
	}
	return nil
}

// query describes the job to the table.
func (s *Scheduler) query(job port.Job) Query {
	return Query{
		Service: job.Service, Engine: s.Engine(job.Service), Demand: job.Demand, PauseAim: job.PauseAim, Aim: job.LatencyAim,
		Avoid: job.Avoid, Retry: job.Retry, Isolated: job.Isolated,
	}
}

// assignment implements port.Assignment.
type assignment struct {
	scheduler *Scheduler
	job       port.Job
	choice    Choice
	basis     port.Basis
	// admitted reports whether the work of the job counts as served, since decidedAt.
	admitted  bool
	decidedAt clock.Instant
	// responseStarted reports whether ResponseStarted was called.
	responseStarted bool
}

// choose sets the target.
func (a *assignment) choose(c Choice) {
	a.choice = c
	a.basis = port.Basis{Wait: c.Wait, MedianQueueWait: c.MedianQueueWait, Prompt: c.PromptTokens, CacheHolder: c.CacheHolder, Cold: c.Cold}
}

// decide requests admission of the job to its target. Again states that the job was refused
// at another target.
func (a *assignment) decide(again bool) admission.Decision {
	decision := a.scheduler.Admission.Decide(a.decidedAt, admission.Request{
		Account: a.job.Account, Work: a.job.Demand.Work(), QueueWait: a.choice.QueueWait, Wait: a.choice.Wait, Again: again,
		MedianQueueWait: a.choice.MedianQueueWait, StartDelay: a.choice.StartDelay, PauseAim: a.job.PauseAim, Aim: a.job.LatencyAim, Timeout: time.Until(a.job.Deadline),
	})
	a.basis.Pressure, a.basis.Served, a.basis.Share = decision.Pressure, decision.Served, decision.Share
	a.admitted = decision.Admitted
	return decision
}

// admit requests admission of the job, and returns the refusal if it is denied.
func (a *assignment) admit(again bool) error {
	decision := a.decide(again)
	if decision.Admitted {
		return nil
	}
	return &request.Refusal{
		Reason: request.QueueFull, RetryAfter: decision.RetryAfter, Detail: fmt.Sprintf(
			"the targets have more work than they can do in time: pressure %.2f, served %.0f of %.0f, median queue %s",
			decision.Pressure, decision.Served, decision.Share, a.choice.MedianQueueWait.Round(time.Millisecond)),
	}
}

// admitElsewhere tries to admit the refused job to one of many engines, if its account
// receives less than its share, or most engines are idle. What is known of an engine is old, so
// if all requests went to the best of many, they would crowd it; these are few. A job that was
// refused in the failure domain of this daemon may go to another one.
func (a *assignment) admitElsewhere(q Query) bool {
	many := a.basis.Served < a.basis.Share || a.choice.MedianQueueWait <= idleMedianWait
	if !many && !a.choice.Near {
		return false
	}
	q.Wide, q.Anywhere, q.Elsewhere = many, many, !many
	choice, ok := a.scheduler.Table.Choose(q)
	if !ok || choice.QueueWait >= a.choice.QueueWait {
		return false
	}
	a.choose(choice)
	return a.decide(true).Admitted
}

// Target implements port.Assignment.
func (a *assignment) Target() config.Target {
	t := a.choice.Target
	return config.Target{Name: t.Name, Service: t.Service, FailureDomain: t.Domain, URL: "http://" + t.Address}
}

// Basis implements port.Assignment.
func (a *assignment) Basis() port.Basis { return a.basis }

// Usable implements port.Assignment.
func (a *assignment) Usable() bool { return a.scheduler.Table.StillUsable(a.choice.Target) }

// Charge implements port.Assignment. It does nothing: accounts are charged for the
// requested work at admission.
func (a *assignment) Charge(float64) {}

// ResponseStarted implements port.Assignment.
func (a *assignment) ResponseStarted() {
	if !a.responseStarted {
		a.responseStarted = true
		a.scheduler.Table.PromptProcessed(a.choice.Target.Name, a.choice.PromptTokens)
		a.scheduler.Table.addLong(a.choice, -a.choice.PromptTokens)
	}
}

// Finish implements port.Assignment.
func (a *assignment) Finish(t port.Attempt) {
	a.ResponseStarted()
	a.scheduler.Table.Ended(a.choice.Target.Name, t, a.choice)
	if v := a.scheduler.Table.Versions; v != nil {
		v.Ended(a.job, a.choice, t)
	}
	if r := a.scheduler.room(a.job.Service); r != nil {
		r.wakeUp()
	}
	switch t.Result {
	case port.NotSent, port.Overloaded, port.Unreachable, port.Misdirected:
		if a.admitted {
			a.scheduler.Admission.Withdraw(clock.Now(), a.job.Account, a.job.Demand.Work(), a.decidedAt)
		}
	case port.Succeeded, port.Failed, port.Crashed, port.Canceled:
	}
}
