package relay

import (
	"fmt"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"rattanline.example/rattanline/port"
	"rattanline.example/rattanline/request"
)

var (
	requestDuration = metrics.NewHistogram("rattanline_request_duration_seconds")
	attemptDuration = metrics.NewHistogram("rattanline_attempt_duration_seconds")
	retries         = metrics.NewCounter("rattanline_retries_total")
	deniedRetries   = metrics.NewCounter("rattanline_retries_denied_total") // by the retry budget
)

type outcomeLabels struct {
	account, service string
	outcome          request.Outcome
	status           int
}

// requestCounters caches the counters, so that labels are not formatted for each
// request.
var requestCounters sync.Map // of outcomeLabels to *metrics.Counter

// requestCounter returns the counter of requests with the labels. Accounts and
// services come from the configuration, so the cardinality is bounded.
func requestCounter(l outcomeLabels) *metrics.Counter {
	if c, ok := requestCounters.Load(l); ok {
		return c.(*metrics.Counter)
	}
	c := metrics.GetOrCreateCounter(fmt.Sprintf(
		"rattanline_requests_total{account=%q,service=%q,outcome=%q,status=\"%d\"}", l.account, l.service, l.outcome, l.status,
	))
	requestCounters.Store(l, c)
	return c
}

// CountRefusal counts a request that was refused before it became a Call.
func CountRefusal(account string, r *request.Refusal) {
	requestCounter(outcomeLabels{account, "", request.OutcomeNotRun, r.Status()}).Inc()
}

// log updates the metrics of the request, adds its end to the timeline and writes
// the log line that states how it ended and why.
func (c *Call) log() {
	outcome, ended := request.OutcomeOf(c.State)
	if !ended {
		c.forwarder.Logger.Error().Str("request", c.ID).Str("state", fmt.Sprintf("%T", c.State)).Msg("request ended without a final state")
		outcome = request.OutcomeUnknown
	}
	took, status := time.Since(c.Arrived), c.Handler.Status()
	requestDuration.Update(took.Seconds())
	requestCounter(outcomeLabels{c.Account, c.Service, outcome, status}).Inc()
	detail := string(outcome)
	e := c.forwarder.Logger.Info().Str("request", c.ID).Str("account", c.Account).Str("service", c.Service).
		Str("target", c.Target.Name).Str("target-host", c.Target.Host).Str("target-failure-domain", c.Target.FailureDomain).
		Str("outcome", string(outcome)).Int("status", status).Int("sends", c.Sends).Dur("took", took)
	switch s := c.State.(type) {
	case request.Refused:
		detail += ": " + string(s.Refusal.Reason)
		e.Str("reason", string(s.Refusal.Reason)).Str("cause", s.Refusal.Detail)
	case request.Unknown:
		e.Str("cause", s.Cause)
	}
	c.Record("request-finished", detail)
	if !c.SentAt.IsZero() {
		e.Dur("waited", c.SentAt.Sub(c.Arrived))
	}
	if c.Basis != (port.Basis{}) {
		e.Dur("expected-wait", c.Basis.Wait).Float64("prompt", c.Basis.Prompt).Bool("cold", c.Basis.Cold)
	}
	if c.Basis.Pressure > 0 {
		e.Float64("pressure", c.Basis.Pressure).Float64("served", c.Basis.Served).Float64("share", c.Basis.Share).Dur("median-queue-wait", c.Basis.MedianQueueWait)
	}
	c.Handler.AddLogFields(e)
	e.Msg("request ended")
}
