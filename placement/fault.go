package placement

import (
	"math"
	"time"

	"rattanline.example/rattanline/clock"
)

const (
	// faultWeight is the weight of the newest attempt in the part of faults.
	faultWeight = 0.2
	// faultMemory is the time constant with which faults are forgotten, so that a
	// target is tried again.
	faultMemory = 2 * time.Second
	// minFaults is the part below which faults don't count: else a target would stay
	// behind idle ones for ever.
	minFaults = 0.02
	// faultFactor is how many times as costly a target is at which each attempt
	// fails. enginePause and plainPause are added to its wait before, so that it
	// counts at an idle target too.
	faultFactor = 10
	enginePause = 100 * time.Millisecond
	plainPause  = 2 * time.Millisecond
	// slowFactor and slowTime tell slow targets: those that take longer than so many
	// times the expected wait and this.
	slowFactor = 3
	slowTime   = 300 * time.Millisecond
)

// faults is the part of the last attempts at a target that failed or took far
// longer than expected. Targets may fail while they list themselves as ready.
type faults struct {
	part float64
	at   clock.Instant
}

func (f *faults) add(now clock.Instant, fault bool) {
	part := f.now(now) * (1 - faultWeight)
	if fault {
		part += faultWeight
	}
	f.part, f.at = part, now
}

func (f *faults) now(now clock.Instant) float64 {
	if f.part == 0 {
		return 0
	}
	part := f.part * math.Exp(-now.Sub(f.at).Seconds()/faultMemory.Seconds())
	if part < minFaults {
		return 0
	}
	return part
}

// cost returns what a target must be better by because of its faults.
func (f *faults) cost(now clock.Instant, wait time.Duration, engine bool) time.Duration {
	pause := plainPause
	if engine {
		pause = enginePause
	}
	return time.Duration(f.now(now) * faultFactor * float64(wait+pause))
}

// slow tells that an answer took much longer than expected.
func slow(took, expected time.Duration) bool { return took > slowFactor*expected+slowTime }
