package gateway

import (
	"context"
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/pkg/errors"

	"rattanline.example/rattanline/port"
	"rattanline.example/rattanline/relay"
	"rattanline.example/rattanline/request"
	"rattanline.example/rattanline/upstream"
)

// Guards against work that counts as served although its request was abandoned before it
// was sent, and against requests that are given up because one target was withdrawn.
func TestRequestStoppedBeforeWrite(t *testing.T) {
	gone, leave := context.WithCancel(context.Background())
	leave()
	for name, c := range map[string]struct {
		ctx              context.Context
		callerGone, late bool
		final            bool
	}{
		"caller gone, found on the connection": {context.Background(), true, false, true},
		"caller gone, reported by the context": {gone, true, false, true},
		"deadline passed":                      {context.Background(), false, true, true},
		"target withdrawn":                     {context.Background(), false, false, false},
	} {
		t.Run(name, func(t *testing.T) {
			one := &call{handler: &Handler{CallerGone: func(context.Context) bool { return c.callerGone }}}
			one.Handler, one.Deadline = one, time.Now().Add(time.Minute)
			forwarder := &relay.Forwarder{}
			forwarder.Begin(&one.Call)
			if c.late {
				one.Deadline = time.Now()
			}
			err := one.beforeWrite(c.ctx, withdrawn{})
			qt.Assert(t, err, qt.IsNotNil)
			r := one.failedSend(c.ctx, fmt.Errorf("send: %w", &upstream.SendError{Err: err}))
			qt.Assert(t, r.Result, qt.Equals, port.NotSent)
			qt.Assert(t, r.Written, qt.IsFalse)
			qt.Assert(t, r.Final, qt.Equals, c.final)
			var refusal *request.Refusal
			qt.Assert(t, errors.As(r.Err, &refusal), qt.Equals, c.final)
			qt.Assert(t, errors.Is(r.Err, relay.ErrWithdrawn), qt.Equals, !c.final)
		})
	}
}

// withdrawn is an assignment that may no longer be used.
type withdrawn struct{ port.Assignment }

func (withdrawn) Usable() bool { return false }

// Guards against logs that don't show which streams paused, and for how long.
func TestLongestPause(t *testing.T) {
	one := &call{}
	(&relay.Forwarder{}).Begin(&one.Call)
	start := time.Now()
	for _, at := range []time.Duration{0, 30, 530, 600} {
		one.recordEvent(start.Add(at * time.Millisecond))
	}
	qt.Assert(t, one.longestPause, qt.Equals, 500*time.Millisecond)
}

// Guards against a speed of a target that is taken from too few events.
func TestEventInterval(t *testing.T) {
	var times eventTimes
	start := time.Now()
	for i := range minIntervalEvents {
		qt.Check(t, times.interval(), qt.Equals, time.Duration(0))
		times.add(start.Add(time.Duration(i) * 30 * time.Millisecond))
	}
	qt.Check(t, times.interval(), qt.Equals, 30*time.Millisecond)
}
