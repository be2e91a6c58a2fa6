package frontend

import (
	"fmt"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"rattanline.example/rattanline/request"
	"rattanline.example/rattanline/timeline"
)

type outcomeLabels struct {
	account, service string
	outcome          request.Outcome
}

var (
	requestDuration = metrics.NewHistogram(`rattanline_request_duration_seconds`)
	retries         = metrics.NewCounter(`rattanline_retries_total`)
)

// finish settles the claim and reports how the call ended.
func (c *call) finish() {
	outcome, ended := request.OutcomeOf(c.state)
	if !ended {
		c.handler.Logger.Error().Str("request", c.id).Str("state", fmt.Sprintf("%T", c.state)).Msg("request without end state")
		outcome = request.OutcomeUnknown
	}
	c.settleClaim(outcome)
	total := time.Since(c.arrived)
	requestDuration.Update(total.Seconds())
	c.handler.counter(outcomeLabels{c.account.Name, c.service.Name, outcome}).Inc()
	detail := string(outcome)
	if s, ok := c.state.(request.Refused); ok {
		detail += ": " + string(s.Refusal.Reason)
	}
	c.record("request-finished", detail)
	line := c.handler.Logger.Info().
		Str("request", c.id).Str("account", c.account.Name).Str("service", c.service.Name).
		Str("target", c.target.Name).Str("target-host", c.target.Host).Str("target-failure-domain", c.target.FailureDomain).
		Str("outcome", string(outcome)).Int("status", c.out.staged.status).Int("attempts", c.attempts)
	switch s := c.state.(type) {
	case request.Refused:
		line = line.Str("reason", string(s.Refusal.Reason)).Str("detail", s.Refusal.Detail)
	case request.Unknown:
		line = line.Str("detail", s.Cause)
	}
	if !c.sentAt.IsZero() {
		line = line.Dur("waited-ms", c.sentAt.Sub(c.arrived))
	}
	line.Bool("cut", c.out.cut).Dur("total-ms", total).Msg("request")
}

func (c *call) record(kind, detail string) {
	if c.handler.Recorder != nil {
		c.handler.Recorder.Record(timeline.Event{
			Kind: kind, Request: c.id, Account: c.account.Name, Target: c.target.Name, Detail: detail,
		})
	}
}

// counter avoids formatting the labels for each request. Accounts and services
// come from the configuration, so their number is bounded.
func (h *Handler) counter(l outcomeLabels) *metrics.Counter {
	if counter, ok := h.counters.Load(l); ok {
		return counter.(*metrics.Counter)
	}
	counter := metrics.GetOrCreateCounter(fmt.Sprintf(
		`rattanline_requests_total{account=%q,service=%q,outcome=%q}`, l.account, l.service, l.outcome,
	))
	h.counters.Store(l, counter)
	return counter
}
