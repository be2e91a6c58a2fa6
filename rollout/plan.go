package rollout

import (
	"time"

	"rattanline.example/rattanline/mirror"
)

const (
	// DefaultExposureShare applies where the settings have none.
	DefaultExposureShare = 0.1
	// canaryFraction and rampFraction are the shares of the requests that the new version gets
	// in the phases, as multiples of the exposure share. With a canary of half the time and a
	// ramp of a sixth, the new version has had 0.95 of the exposure share at the end of both.
	canaryFraction, rampFraction = 0.6, 2
	// slackFraction is the fraction of the exposure slack that daemons use. The rest covers
	// daemons that start again, and requests that are sent while a step spreads.
	slackFraction = 0.4
	// sendMargin is the time in which a request reaches its target after the last check.
	sendMargin = 500 * time.Millisecond
	// writeMargin is the time in which a step is decided, written and read.
	writeMargin = 1500 * time.Millisecond
	// finishMargin is how long before the end of the order's time it is completed at the latest,
	// although old targets still run requests.
	finishMargin = 500 * time.Millisecond
	// maxDrainTime bounds the time for old targets to finish their requests.
	maxDrainTime = 20 * time.Second
	// minNewSlots is the ratio of the slots of new targets to those of old ones from which on
	// they can take all requests.
	minNewSlots = 0.5
)

// Plan holds the shares and times of a roll-out. It answers loads that change meanwhile: shares
// bound what the new version gets of the requests that there are, whatever their rate.
type Plan struct {
	// ExposureShare is the maximum share of the requests that a bad version may get, and
	// ExposureSlack the number that it may get in addition.
	ExposureShare, ExposureSlack float64
	// Duration is the time that the order allows.
	Duration time.Duration
	// StaleLimit is the age of a daemon's mirror above which it sends nothing to old targets.
	StaleLimit time.Duration
}

// cutoverWait is how long after the cutover was written no daemon sends to old targets: it has
// read the step by then, or its mirror is older than StaleLimit.
func (p Plan) cutoverWait() time.Duration { return p.StaleLimit + sendMargin }

// cutoverAt returns when the cutover begins, counted from the order: as late as possible, as a
// version may become bad late.
func (p Plan) cutoverAt() time.Duration {
	least := p.cutoverWait() + writeMargin + finishMargin
	reserve := min(max(p.Duration/3, least), max(maxDrainTime, least))
	return max(p.Duration-reserve, p.Duration/2)
}

// rampAt returns when the ramp begins.
func (p Plan) rampAt() time.Duration {
	return min(p.Duration/2, p.cutoverAt()-p.Duration/12)
}

// lastCutover returns when a version must be decided on that isn't accepted by then. After a
// longer ramp the new version would have had more than the exposure share.
func (p Plan) lastCutover() time.Duration {
	return max(p.cutoverAt(), min(p.Duration-p.cutoverWait()-writeMargin, p.rampAt()+p.Duration/5))
}

// share returns the share of the requests that may go to the new version in a phase.
func (p Plan) share(phase mirror.RolloutPhase) float64 {
	exposure := p.ExposureShare
	if exposure <= 0 {
		exposure = DefaultExposureShare
	}
	switch phase {
	case mirror.RolloutCanary:
		return min(canaryFraction*exposure, 0.5)
	case mirror.RolloutRamp:
		return min(rampFraction*exposure, 0.5)
	case mirror.RolloutCutover, mirror.RolloutCompleted:
		return 1
	}
	return 0
}

// grant returns how many requests one of the daemons may send to the new version beyond the
// share, so that there is evidence with few requests too.
func (p Plan) grant(daemons int) float64 {
	return slackFraction * p.ExposureSlack / float64(max(daemons, 1))
}

// Situation is what the next step of a roll-out depends on.
type Situation struct {
	Phase mirror.RolloutPhase
	// Elapsed is the time since the order, InPhase that since the last step was read.
	Elapsed, InPhase time.Duration
	Finding          Finding
	// OldSlots and NewSlots are the slots of the targets that may be used.
	OldSlots, NewSlots int
	// OldRequests is the number of requests that old targets run. OldUnsure reports whether the
	// reports of other daemons on that may be missing.
	OldRequests int
	OldUnsure   bool
	// Withdrawn reports whether the operators removed the order.
	Withdrawn bool
}

// Next returns the next phase and why it begins, or the same phase.
func (p Plan) Next(s Situation) (mirror.RolloutPhase, string) {
	switch {
	case !s.Phase.InProgress():
		return s.Phase, ""
	case s.Withdrawn:
		return mirror.RolloutReverted, "the order was removed"
	case s.Finding.Verdict == Bad:
		return mirror.RolloutReverted, s.Finding.Reason
	case s.Phase == mirror.RolloutCutover:
		return p.afterCutover(s)
	case float64(s.NewSlots) < minNewSlots*float64(s.OldSlots) || s.NewSlots == 0:
		return s.Phase, "" // the new targets can't take all requests
	case s.Phase == mirror.RolloutCanary && s.Finding.Verdict == Good && s.Elapsed >= p.rampAt() && s.Elapsed < p.cutoverAt():
		return mirror.RolloutRamp, "the answers are as good as those of the old version on each route"
	case s.Elapsed < p.cutoverAt():
		return s.Phase, ""
	case s.Finding.Verdict == Good:
		return mirror.RolloutCutover, "the answers are as good as those of the old version on each route"
	case s.Elapsed < p.lastCutover():
		return s.Phase, ""
	case s.Finding.Verdict == Suspect:
		return mirror.RolloutReverted, "still suspect at the end: " + s.Finding.Reason
	}
	return mirror.RolloutCutover, "no sign of a bad version, at the end of the time: " + s.Finding.Reason
}

func (p Plan) afterCutover(s Situation) (mirror.RolloutPhase, string) {
	switch {
	case s.NewSlots == 0 && s.OldSlots > 0:
		return mirror.RolloutReverted, "no target of the new version is left"
	case s.InPhase < p.cutoverWait():
	case s.OldRequests == 0 && !s.OldUnsure:
		return mirror.RolloutCompleted, "old targets run no requests"
	case s.Elapsed >= p.Duration-finishMargin:
		return mirror.RolloutCompleted, "the time of the order is over"
	}
	return s.Phase, ""
}

// allowance spreads the requests to the new version evenly over those of one daemon.
type allowance struct {
	credit, limit float64
}

// burst is the number of requests to the new version that a daemon may make up for at once.
const burst = 2

// newAllowance returns an allowance that starts with a grant. The fraction, from 0 to 1, is
// random: without it, the daemons together would send up to one request each less than the
// share, or more.
func newAllowance(grant, fraction float64) allowance {
	return allowance{credit: grant + fraction, limit: grant + burst}
}

// earn counts a request to any version.
func (a *allowance) earn(share float64) { a.credit = min(a.credit+share, a.limit) }

// available reports whether the next request may go to the new version, and spend counts it.
func (a *allowance) available() bool { return a.credit >= 1 }

func (a *allowance) spend() { a.credit-- }
