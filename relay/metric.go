package relay

import (
	"fmt"
	"time"

	"github.com/VictoriaMetrics/metrics"
)

var (
	retries     = metrics.NewCounter("rattanline_route_retries_total")
	resumes     = metrics.NewCounter("rattanline_route_streams_resumed_total")
	attemptTime = metrics.NewHistogram("rattanline_route_attempt_seconds")
	requestTime = metrics.NewHistogram("rattanline_route_request_seconds")
)

func count(status int, total time.Duration) {
	metrics.GetOrCreateCounter(fmt.Sprintf("rattanline_route_requests_total{status=%q}", fmt.Sprint(status))).Inc()
	requestTime.Update(total.Seconds())
}
