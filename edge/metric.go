package edge

import "github.com/VictoriaMetrics/metrics"

var (
	connections  = metrics.NewCounter("rattanline_target_connections_opened_total")
	droppedLines = metrics.NewCounter("rattanline_log_lines_dropped_total")
)
