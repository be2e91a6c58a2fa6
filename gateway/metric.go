package gateway

import "github.com/VictoriaMetrics/metrics"

var (
	receivedRequests   = metrics.NewCounter("rattanline_requests_received_total")
	overloadedRefusals = metrics.NewCounter("rattanline_overloaded_refusals_total")
	passedRequests     = metrics.NewCounter("rattanline_requests_passed_on_total")
	forwardedEvents    = metrics.NewCounter("rattanline_events_forwarded_total")
	leavingTargets     = metrics.NewCounter("rattanline_targets_leaving_total")
	targetPauses       = metrics.NewCounter("rattanline_target_pauses_total")
	slowCallers        = metrics.NewCounter("rattanline_slow_callers_total")
	fullTargets        = metrics.NewCounter("rattanline_target_share_refusals_total")
	oddLoads           = metrics.NewCounter("rattanline_odd_loads_total")
	resumedStreams     = metrics.NewCounter("rattanline_streams_resumed_total")
)

// Counts are the numbers of things that this process has done since its start.
type Counts struct {
	// Requests were received. Of them, Refused were refused and PassedOn passed on to other
	// daemons because the daemon was overloaded.
	Requests, Refused, PassedOn uint64
	// Events of streams were forwarded.
	Events uint64
}

// CountsNow returns the counts at this moment.
func CountsNow() Counts {
	return Counts{Requests: receivedRequests.Get(), Refused: overloadedRefusals.Get(), PassedOn: passedRequests.Get(), Events: forwardedEvents.Get()}
}
