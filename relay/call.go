package relay

import (
	"context"
	"fmt"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"rattanline.example/rattanline/admission"
	"rattanline.example/rattanline/config"
	"rattanline.example/rattanline/placement"
	"rattanline.example/rattanline/request"
	"rattanline.example/rattanline/upstream"
)

const (
	// maxSends bounds the targets that one request is sent to, those that did
	// not run it included.
	maxSends = 4
	// noTargetRetry is what callers are told while no target can be used.
	noTargetRetry = 400 * time.Millisecond
	// quarantineRetry is what callers of a quarantined request are told.
	quarantineRetry = time.Minute
)

// call is one request. It belongs to one goroutine.
type call struct {
	handler *Handler
	writer  http.ResponseWriter
	caller  context.Context

	arrived, deadline time.Time
	demand            request.Demand
	index             *config.Index
	age               time.Duration
	route             config.Route
	service           string
	account           string
	keyed             bool
	method, uri, host string
	header            http.Header
	body              []byte
	fingerprint       uint64

	state request.State
	// ran counts the targets that may have run the request, sends all targets.
	ran, sends int
	tried      []string
	target     string
	choice     placement.Choice
	admission  admission.Answer

	committed bool
	lastEvent string
	firstAt   time.Time

	status int
	cause  string
	logged bool
}

// step is how one attempt ended.
type step int

const (
	done    step = iota // the caller has its answer
	again               // the request may be sent to another target
	blocked             // it may not be sent again
)

// run brings the request to an end.
func (c *call) run(ctx context.Context) {
	h := c.handler
	c.state = request.Queued{}
	if h.Poison.Quarantined(time.Now(), c.fingerprint) {
		c.refuse(&refusal{status: http.StatusServiceUnavailable, reason: "targets crashed while they ran this request", retry: quarantineRetry})
		return
	}
	h.Retries.Request(c.service, now())
	for {
		result, err := c.attempt(ctx)
		switch {
		case result == done:
			return
		case result == again && ctx.Err() == nil && c.mayResend():
			retries.Inc()
			h.Logger.Info().Str("request", c.demand.ID).Str("target", c.target).Int("sends", c.sends).
				Err(err).Msg("request sent again")
			continue
		}
		c.fail(ctx, err)
		return
	}
}

// mayResend takes a retry from the budget. The last attempt must not have run,
// or the route must allow another run.
func (c *call) mayResend() bool {
	if c.sends >= maxSends || c.ran >= c.route.MaxAttempts {
		return false
	}
	return c.handler.Retries.TryRetry(c.service, now())
}

// attempt chooses a target and sends the request there.
func (c *call) attempt(ctx context.Context) (step, error) {
	h := c.handler
	query := placement.Query{Service: c.service, Engine: c.engine(), Demand: c.demand, Avoid: c.tried}
	choice, listed, ok := h.Table.Choose(query)
	if !ok {
		c.refuseOr(&refusal{
			status: http.StatusServiceUnavailable, reason: fmt.Sprintf("no target can be used, %d are listed", listed), retry: noTargetRetry,
		})
		return done, nil
	}
	c.choice, c.target = choice, choice.Target.Name
	if r := c.admit(query.Engine); r != nil {
		c.refuseOr(r)
		return done, nil
	}
	if r := c.stale(); r != nil {
		c.refuseOr(r)
		return done, nil
	}
	if h.Poison.Quarantined(time.Now(), c.fingerprint) {
		c.refuseOr(&refusal{status: http.StatusServiceUnavailable, reason: "targets crashed while they ran this request", retry: quarantineRetry})
		return done, nil
	}
	return c.send(ctx)
}

// admit asks once whether the request gets a part of the engines' work.
func (c *call) admit(engine bool) *refusal {
	if !engine || c.sends > 0 {
		return nil
	}
	c.admission = c.handler.Admission.Decide(now(), admission.Question{
		Account: c.account, Work: c.demand.Work(), Wait: c.choice.Wait,
		Aim: c.route.LatencyAim.Std(), Timeout: time.Until(c.deadline),
	})
	if c.admission.Admitted {
		return nil
	}
	return &refusal{status: http.StatusTooManyRequests, reason: "the targets have more work than they can do in time", retry: c.admission.RetryAfter}
}

// send sends the request to the chosen target and forwards the response.
func (c *call) send(ctx context.Context) (step, error) {
	h, target := c.handler, c.choice.Target
	c.sends++
	c.tried = append(c.tried, target.Name)
	h.Table.Started(target.Name, c.choice.Prompt, c.demand.Parts)
	outcome, read := placement.Unclear, false
	sentAt := time.Now()
	defer func() {
		h.Table.Ended(target.Name, outcome)
		if !read {
			h.Table.Read(target.Name, c.choice.Prompt)
		}
		attemptTime.Update(time.Since(sentAt).Seconds())
	}()
	reply, err := h.Pool.Send(ctx, upstream.Call{
		Address: target.Address, Key: connectionKey(target.Name, target.Born), Method: c.method, URI: c.uri, Host: c.host,
		Header: h.Protocol.Outgoing(c.header, Outgoing{
			Target: target.Name, Account: c.account, Left: time.Until(c.deadline), LastEvent: c.lastEvent, Source: c.choice.Source,
		}),
		Body: c.body, Ours: func(r *http.Response) bool { return h.Protocol.Answer(r, c.demand.ID).Belongs },
	})
	if err != nil {
		outcome = c.unanswered(ctx, err)
		if outcome == placement.Broken {
			h.Crashes.Broke(target, c.fingerprint)
		}
		return c.afterError(err)
	}
	defer reply.Close()
	answer := h.Protocol.Answer(reply.Response, c.demand.ID)
	if answer.Load != nil {
		h.Table.Loaded(target.Name, *answer.Load)
	}
	outcome = placement.Answered
	if answer.NotRun {
		c.drain(reply)
		outcome = placement.Full
		if answer.Elsewhere {
			outcome = placement.Elsewhere
		}
		return again, errors.Errorf("target answered %d, not run", reply.StatusCode)
	}
	c.mayHaveRun()
	onFirst := func() {
		read = true
		c.firstAt = time.Now()
		h.Table.Read(target.Name, c.choice.Prompt)
	}
	result, err := c.forward(reply, answer, onFirst)
	if errors.Is(err, errBroken) && ctx.Err() == nil {
		outcome = placement.Broken
		h.Crashes.Broke(target, c.fingerprint)
	}
	return result, err
}

func connectionKey(name string, born int64) string { return fmt.Sprintf("%s/%d", name, born) }

// mayHaveRun notes that a byte of the request may have reached a target that
// did not deny to have run it.
func (c *call) mayHaveRun() {
	c.ran++
	c.next(request.Write{})
}

func (c *call) next(e request.Event) {
	state, err := request.Next(c.state, e)
	if err != nil {
		c.handler.Logger.Error().Err(err).Str("request", c.demand.ID).Msg("invalid request state")
		state = request.Unknown{Cause: err.Error()}
	}
	c.state = state
}

// unanswered tells what an attempt without a response says of the target.
func (c *call) unanswered(ctx context.Context, err error) placement.Outcome {
	var s *upstream.SendError
	switch {
	case ctx.Err() != nil:
		return placement.Unclear
	case errors.As(err, &s) && s.Dial:
		return placement.Unreachable
	default:
		return placement.Broken
	}
}

// afterError tells what may follow an attempt without a response.
func (c *call) afterError(err error) (step, error) {
	var s *upstream.SendError
	if errors.As(err, &s) && !s.Written {
		return again, err
	}
	c.mayHaveRun()
	return c.repeat(err)
}

// repeat tells whether the request may be sent again after it may have run.
func (c *call) repeat(err error) (step, error) {
	if c.route.Repeat == config.RepeatNever || c.route.Repeat == config.RepeatAny && c.committed {
		return blocked, err
	}
	c.next(request.Retry{Idempotent: true})
	return again, err
}
