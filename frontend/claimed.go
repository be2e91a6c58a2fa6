package frontend

import (
	"context"
	"maps"
	"time"

	"rattanline.example/rattanline/claim"
	"rattanline.example/rattanline/request"
)

const (
	// claimTimeout bounds the wait for a claim, so that an outage of the platform
	// doesn't hold requests until their deadlines.
	claimTimeout     = 3 * time.Second
	releaseTimeout   = 2 * time.Second
	maxClaimAttempts = 3 // each retry takes over a claim whose request was not run
	defaultMaxQueued = 256
)

// claimKey claims the idempotency key and returns the time until which the request
// may run. If ok is false, the call has ended.
func (c *call) claimKey(ctx context.Context) (until time.Time, ok bool) {
	maxCalls := c.account.MaxQueued
	if maxCalls == 0 {
		maxCalls = defaultMaxQueued
	}
	maxBytes := c.account.MaxQueuedBytes
	if maxBytes == 0 {
		maxBytes = defaultMaxQueuedBytes
	}
	if !c.handler.bounds.addUnsent(c, maxCalls, maxBytes) {
		c.Refuse(&request.Refusal{Reason: request.QueueFull, Detail: "too many claimed requests wait", RetryAfter: time.Second})
		return time.Time{}, false
	}
	for range maxClaimAttempts {
		claimCtx, cancel := context.WithTimeout(ctx, claimTimeout)
		decision, err := c.handler.Claims.Claim(claimCtx, c.claim)
		cancel()
		if err != nil {
			refusal := &request.Refusal{Reason: request.ClaimUnavailable, Detail: "the idempotency key can't be claimed now", RetryAfter: 2 * time.Second}
			if c.caller.Err() != nil {
				refusal = c.RefusalOf(ctx, err)
			}
			c.handler.Logger.Warn().Err(err).Str("request", c.ID).Msg("claim failed")
			c.Refuse(refusal)
			return time.Time{}, false
		}
		switch d := decision.(type) {
		case claim.Granted:
			c.Apply(request.Claim{Attempt: c.claim.Attempt.String()})
			c.claimGranted, c.out.record = true, true
			return d.Until, true
		case claim.Mismatch:
			c.Refuse(&request.Refusal{Reason: request.KeyReused, Detail: "the idempotency key was used with another request"})
			return time.Time{}, false
		case claim.Full:
			c.Refuse(&request.Refusal{Reason: request.ClaimsFull, Detail: "no room for idempotency keys", RetryAfter: 10 * time.Second})
			return time.Time{}, false
		case claim.Duplicate:
			c.handler.bounds.releaseUnsentCall(c) // the call waits for another request, not for a slot
			if c.replay(ctx, d) {
				return time.Time{}, false
			}
			c.claim.Supersedes, c.claim.Attempt = d.Attempt, claim.NewAttempt()
		}
	}
	c.Refuse(&request.Refusal{Reason: request.ClaimUnavailable, Detail: "other requests with the same key are being refused", RetryAfter: time.Second})
	return time.Time{}, false
}

// replay answers a resent request with the response to the earlier one. It returns
// false if the earlier request was not run.
func (c *call) replay(ctx context.Context, d claim.Duplicate) bool {
	earlier, err := c.handler.Claims.Await(ctx, c.claim, d)
	if err != nil {
		c.Apply(request.Resend{})
		c.TimedOut = ctx.Err() != nil
		c.Lose("the response to the earlier request can't be had: " + err.Error())
		return true
	}
	switch e := earlier.(type) {
	case claim.Answered:
		c.Apply(request.Resend{})
		header := maps.Clone(e.Answer.Header)
		outcome := request.Outcome(header.Get(OutcomeHeader))
		c.Apply(request.Replay{Status: e.Answer.Status, Outcome: outcome})
		c.out.stage(e.Answer.Status, header, outcome, false)
		c.out.staged.body = e.Answer.Body
		c.out.commit(false)
		return true
	case claim.Lost:
		c.Apply(request.Resend{})
		c.Lose(e.Cause)
		return true
	default:
		return false
	}
}

// settleClaim releases the claim if the request was not run, and stores its response
// for resends otherwise.
func (c *call) settleClaim() {
	if !c.claimGranted {
		return
	}
	outcome, _ := request.OutcomeOf(c.State)
	if outcome != request.OutcomeNotRun {
		cause := "the response was not kept"
		if u, ok := c.State.(request.Unknown); ok {
			cause = u.Cause
		}
		c.handler.Claims.Finish(c.claim, c.out.answer(request.ProblemOfUnknown(c.ID, request.Unknown{Cause: cause}, c.TimedOut)))
		return
	}
	_ = c.out.Flush() // the caller doesn't have to wait for the release
	ctx, cancel := context.WithTimeout(context.WithoutCancel(c.caller), releaseTimeout)
	defer cancel()
	if err := c.handler.Claims.Release(ctx, c.claim); err != nil {
		c.handler.Logger.Warn().Err(err).Str("request", c.ID).Msg("claim not released")
	}
}
