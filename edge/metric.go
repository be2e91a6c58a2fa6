package edge

import "github.com/VictoriaMetrics/metrics"

var (
	callerConnections = metrics.NewCounter("rattanline_caller_connections_total")
	openedConnections = metrics.NewCounter("rattanline_target_connections_opened_total")
	// lostHandovers counts requests that a peer may have run and didn't answer, untakenHandovers
	// those that no peer took.
	lostHandovers    = metrics.NewCounter(`rattanline_requests_passed_on_failed_total{cause="no-answer"}`)
	untakenHandovers = metrics.NewCounter(`rattanline_requests_passed_on_failed_total{cause="not-taken"}`)
	// behindRefusals counts requests of peers that this daemon didn't take, because they act by a
	// newer configuration.
	behindRefusals = metrics.NewCounter("rattanline_requests_of_newer_peers_refused_total")
	// probes counts the probes of peers that don't answer.
	probes = metrics.NewCounter("rattanline_peer_probes_total")

	droppedLogLines = metrics.NewCounter("rattanline_log_lines_dropped_total")
)
