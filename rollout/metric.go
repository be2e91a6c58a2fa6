package rollout

import (
	"fmt"

	"github.com/VictoriaMetrics/metrics"
	"github.com/pkg/errors"

	"rattanline.example/rattanline/mirror"
	"rattanline.example/rattanline/port"
)

// errChanged reports that the order or the state changed before a step was written.
var errChanged = errors.New("the order or its state changed meanwhile")

// errNotShown reports that the store, back from a copy, doesn't show the order or the state by which a
// step was decided, so that no condition can protect it.
var errNotShown = errors.New("the store doesn't show the order or its state")

var (
	failedSteps = metrics.NewCounter("rattanline_rollout_failed_steps_total")
	heldBack    = metrics.NewCounter("rattanline_rollout_versions_held_back_total")
)

func countAnswer(service, version, route string, result port.AttemptResult) {
	metrics.GetOrCreateCounter(fmt.Sprintf("rattanline_rollout_answers_total{service=%q,version=%q,route=%q,result=%q}", service, version, route, result)).Inc()
}

func countStep(service string, phase mirror.RolloutPhase) {
	metrics.GetOrCreateCounter(fmt.Sprintf("rattanline_rollout_steps_total{service=%q,phase=%q}", service, phase)).Inc()
}
