package quarantine

import "github.com/VictoriaMetrics/metrics"

var (
	quarantinedSegments = metrics.NewCounter("rattanline_prompt_segments_quarantined_total")
	releasedSegments    = metrics.NewCounter("rattanline_prompt_segments_released_total")
	segmentProbes       = metrics.NewCounter("rattanline_prompt_segment_probes_total")
	archiveWrites       = metrics.NewCounter("rattanline_stored_crash_changes_total")
	segmentRefusals     = metrics.NewCounter("rattanline_prompt_segment_refusals_total")
)
