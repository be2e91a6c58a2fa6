package relay

import (
	"context"
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"github.com/pkg/errors"

	"rattanline.example/rattanline/request"
)

// refusal is an answer of this daemon to a request that no target has run.
type refusal struct {
	status int
	reason string
	retry  time.Duration
	// close ends the connection, because the body wasn't read to its end.
	close bool
}

// refuse answers a request that was not sent.
func (c *call) refuse(r *refusal) {
	if r.retry > 0 {
		c.writer.Header().Set("Retry-After", strconv.FormatFloat(r.retry.Seconds(), 'f', 2, 64))
	}
	if r.close {
		c.writer.Header().Set("Connection", "close")
	}
	c.answer(r.status, r.reason)
}

// refuseOr refuses the request if it has certainly not run, and otherwise ends
// it without a promise.
func (c *call) refuseOr(r *refusal) {
	c.next(request.Refuse{Refusal: &request.Refusal{Reason: request.NoTarget, Detail: r.reason}})
	if _, refused := c.state.(request.Refused); refused {
		c.refuse(r)
		return
	}
	c.lose(http.StatusBadGateway, r.reason)
}

// fail ends a request that can't be sent again.
func (c *call) fail(ctx context.Context, err error) {
	reason := "not sent"
	if err != nil {
		reason = err.Error()
	}
	if errors.Is(ctx.Err(), context.Canceled) {
		return // the caller has left; log says so
	}
	status := http.StatusBadGateway
	if errors.Is(context.Cause(ctx), errDeadline) {
		status, reason = http.StatusGatewayTimeout, "timeout: "+reason
	}
	if q, ok := c.state.(request.Queued); ok && !q.MayHaveRun {
		c.refuseOr(&refusal{status: http.StatusServiceUnavailable, reason: reason, retry: resendRetry})
		return
	}
	c.lose(status, reason)
}

// lose ends a request that may have run, without a complete response.
func (c *call) lose(status int, reason string) {
	if c.committed {
		c.status, c.cause = http.StatusOK, "cut: "+reason
		c.log()
		panic(http.ErrAbortHandler) // closes the connection without the end of the response
	}
	c.answer(status, reason)
}

func (c *call) answer(status int, reason string) {
	c.status, c.cause = status, reason
	body, err := json.Marshal(struct {
		Error string `json:"error"`
	}{reason})
	if err != nil {
		body = []byte(`{}`)
	}
	c.writer.Header().Set("Content-Type", "application/json")
	c.writer.Header().Set("Content-Length", strconv.Itoa(len(body)))
	c.writer.WriteHeader(status)
	_, _ = c.writer.Write(body) // the caller may have left
}

// log writes the one line that tells how the request ended and why.
func (c *call) log() {
	if c.status == 0 {
		c.status, c.cause = statusCallerLeft, "caller left"
	}
	if c.logged {
		return
	}
	c.logged = true
	total := time.Since(c.arrived)
	count(c.status, total)
	e := c.handler.Logger.Info().Str("request", c.demand.ID).Int("status", c.status).Dur("took", total).
		Str("route", c.route.Name).Str("account", c.account).Dur("config-age", c.age).Int("sends", c.sends)
	if c.index != nil {
		e.Uint64("config", c.index.Version())
	}
	if c.target.Name != "" {
		e.Str("target", c.target.Name).Dur("expected-wait", c.basis.Wait).Float64("prompt", c.basis.Prompt).Bool("cold", c.basis.Cold)
	}
	if !c.firstAt.IsZero() {
		e.Dur("first", c.firstAt.Sub(c.arrived))
	}
	if c.basis.Pressure > 0 {
		e.Float64("pressure", c.basis.Pressure).Float64("served", c.basis.Served).Float64("share", c.basis.Share)
	}
	if c.cause != "" {
		e.Str("cause", c.cause)
	}
	e.Msg("request ended")
}

// statusCallerLeft stands in logs and counters for callers that left before
// their answer.
const statusCallerLeft = 499
