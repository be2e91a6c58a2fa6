package quarantine

import "github.com/VictoriaMetrics/metrics"

var (
	quarantinedSegments = metrics.NewCounter("rattanline_prompt_segments_quarantined_total")
	releasedSegments    = metrics.NewCounter("rattanline_prompt_segments_released_total")
	segmentProbes       = metrics.NewCounter("rattanline_prompt_segment_probes_total")
	storedSuspects      = metrics.NewCounter("rattanline_crash_mark_writes_total")
	segmentRefusals     = metrics.NewCounter("rattanline_prompt_segment_refusals_total")
)
