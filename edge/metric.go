package edge

import "github.com/VictoriaMetrics/metrics"

var (
	callerConnections = metrics.NewCounter("rattanline_caller_connections_total")
	openedConnections = metrics.NewCounter("rattanline_target_connections_opened_total")
	droppedLogLines   = metrics.NewCounter("rattanline_log_lines_dropped_total")
)
