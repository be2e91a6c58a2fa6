package gateway

import (
	"math"
	"strconv"
	"time"

	"rattanline.example/rattanline/placement"
)

// minPauseBound is the smallest bound on the time for which a target is left alone at its
// own request.
const minPauseBound = 30 * time.Second

// recordNotice records what the target states about itself.
func (c *call) recordNotice(a Answer) {
	if !a.Leaving && a.Pause == "" || a.Misdirected { // the statement of another target
		return
	}
	h := c.handler
	logger := &h.Forwarder.Logger
	n := placement.Notice{Leaving: a.Leaving}
	if a.Pause != "" {
		pause, exact := c.pause(a.Pause)
		n.Pause = pause
		targetPauses.Inc()
		logger.Info().Str("request", c.ID).Str("target", c.Target.Name).Dur("pause", pause).Msg("target asked for time")
		if !exact && !h.pauseLogged(c.Target.Name) {
			logger.Warn().Str("request", c.ID).Str("target", c.Target.Name).Str("stated", a.Pause).Dur("pause", pause).
				Msg("time that a target asked for is not a number, or too long")
		}
	}
	if h.OnNotice(c.Target.Name, n) {
		leavingTargets.Inc()
		logger.Info().Str("request", c.ID).Str("target", c.Target.Name).Msg("target says that it is leaving")
	}
}

// recordLoad records the load that the target states.
func (c *call) recordLoad(a Answer) {
	h := c.handler
	if a.Load != nil {
		h.OnLoad(c.Target.Name, *a.Load)
	}
	if a.OddLoad == "" {
		return
	}
	oddLoads.Inc()
	if _, logged := h.oddLoads.LoadOrStore(c.Target.Name, true); !logged {
		h.Forwarder.Logger.Warn().Str("request", c.ID).Str("target", c.Target.Name).Str("stated", truncate(a.OddLoad)).
			Msg("load that a target states is ignored, it has another form")
	}
}

// maxLoggedBytes bounds a value of a target in a log line.
const maxLoggedBytes = 80

func truncate(s string) string { return s[:min(len(s), maxLoggedBytes)] }

// pause returns the time that a target states in seconds, and whether that is used as it
// is. A time that is not positive is zero. A longer one than the timeout of any route is
// bounded, so that a faulty target is not left alone for hours.
func (c *call) pause(text string) (time.Duration, bool) {
	seconds, err := strconv.ParseFloat(text, 64)
	if err != nil || math.IsNaN(seconds) || seconds < 0 {
		return 0, false
	}
	bound := minPauseBound
	for _, route := range c.index.Document().Routes {
		bound = max(bound, route.Timeout.Std())
	}
	if seconds > bound.Seconds() {
		return bound, false
	}
	return time.Duration(seconds * float64(time.Second)), true
}

// pauseLogged reports whether it was called for the target before.
func (h *Handler) pauseLogged(target string) bool {
	_, logged := h.oddPauses.LoadOrStore(target, true)
	return logged
}
