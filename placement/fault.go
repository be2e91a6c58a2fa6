package placement

import (
	"time"

	"rattanline.example/rattanline/clock"
)

const (
	// faultWeight is the weight of the newest attempt in the fault fraction, an
	// exponentially weighted moving average.
	faultWeight = 0.2
	// faultDecayTime is the time constant with which the fault fraction decays, so
	// that a faulty target is tried again.
	faultDecayTime = 2 * time.Second
	// minFaultFraction is the fraction below which faults are ignored. Without it, a
	// target that once failed would rank behind idle ones permanently.
	minFaultFraction = 0.02
	// faultFactor is the ratio of the penalty to the wait at a target where every
	// attempt fails.
	faultFactor = 10
	// engineBaseWait is added to the wait at an engine before faultFactor applies,
	// so that an idle target is penalized too.
	engineBaseWait = 100 * time.Millisecond
	// plainBaseWait is added to the wait at a target that is not an inference engine
	// before faultFactor applies, so that an idle target is penalized too.
	plainBaseWait = 2 * time.Millisecond
	// slowFactor scales the expected wait in the threshold above which a response
	// counts as slow.
	slowFactor = 3
	// slowMargin is added to the scaled wait in the threshold above which a response
	// counts as slow.
	slowMargin = 300 * time.Millisecond
)

// faults tracks the fraction of recent attempts at a target that failed or took
// much longer than expected. Targets may fail while their entry lists them as
// ready.
type faults struct {
	fraction float64
	updated  clock.Instant
}

func (f *faults) add(now clock.Instant, fault bool) {
	fraction := f.decayed(now) * (1 - faultWeight)
	if fault {
		fraction += faultWeight
	}
	f.fraction, f.updated = fraction, max(f.updated, now)
}

func (f *faults) decayed(now clock.Instant) float64 {
	if f.fraction == 0 {
		return 0
	}
	fraction := f.fraction * clock.Decay(now, f.updated, faultDecayTime)
	if fraction < minFaultFraction {
		return 0
	}
	return fraction
}

// penalty returns the minimum advantage that the target needs because of its
// faults.
func (f *faults) penalty(now clock.Instant, wait time.Duration, engine bool) time.Duration {
	base := plainBaseWait
	if engine {
		base = engineBaseWait
	}
	return time.Duration(f.decayed(now) * faultFactor * float64(wait+base))
}

// slow reports whether a response took much longer than expected.
func slow(took, expected time.Duration) bool { return took > slowFactor*expected+slowMargin }
