package placement

import "github.com/VictoriaMetrics/metrics"

var (
	nearChoices = metrics.NewCounter(`rattanline_engine_choices_total{distance="near"}`)
	farChoices  = metrics.NewCounter(`rattanline_engine_choices_total{distance="far"}`)

	longApart    = metrics.NewCounter(`rattanline_long_prompts_total{engine="apart"}`)
	longTogether = metrics.NewCounter(`rattanline_long_prompts_total{engine="any"}`)

	waitingRequests = metrics.NewCounter("rattanline_requests_waiting_for_room")
	waitingTime     = metrics.NewHistogram("rattanline_room_wait_seconds")
	refusedWaiting  = metrics.NewCounter("rattanline_requests_refused_without_room_total")
	askedLoads      = metrics.NewCounter("rattanline_loads_asked_total")
	unansweredLoads = metrics.NewCounter("rattanline_loads_unanswered_total")
)

// countEngine counts the choice of an engine, given whether it is one of those that take long
// prompts.
func (t *Table) countEngine(c Choice, takesLong bool) {
	if c.Target.Domain == t.Domain {
		nearChoices.Inc()
	} else {
		farChoices.Inc()
	}
	switch {
	case !c.Long:
	case takesLong:
		longApart.Inc()
	default:
		longTogether.Inc()
	}
}
