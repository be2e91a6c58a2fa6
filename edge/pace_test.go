package edge

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// pacedHost is a simulatedHost that accepts requests by its detector and its pace.
type pacedHost struct {
	simulatedHost
	now    time.Time
	passed int // requests that were not accepted
	served int
	// passCost is the processor time of a request that is passed on.
	passCost time.Duration
}

func newPacedHost() *pacedHost {
	return &pacedHost{simulatedHost: simulatedHost{detector: overloadDetector{cores: 0.2}, given: 0.2}, now: time.Now()}
}

// run receives the requests per second for the time, and returns the longest wait of those
// that were accepted.
func (h *pacedHost) run(rate float64, span time.Duration) time.Duration {
	const cost = time.Millisecond
	longest, due, share := time.Duration(0), 0.0, 0.0
	for end := h.now.Add(span); h.now.Before(end); {
		accepted, passed := int64(0), int64(0)
		for due += rate * sampleInterval.Seconds(); due >= 1; due-- {
			share += 1 - h.detector.load().refusedFraction
			if share < 1 && !h.detector.pace.mostlyPassing() || !h.detector.pace.take(h.now) {
				if h.passCost == 0 || h.detector.canPassOn() {
					passed++
				}
				if h.passCost > 0 && h.detector.canPassOn() {
					h.detector.pace.chargePassOn(h.now)
				}
				continue
			}
			share = max(share-1, 0)
			accepted++
		}
		h.now = h.now.Add(sampleInterval)
		h.passed += int(passed)
		h.served += int(accepted)
		h.backlog += time.Duration(accepted)*cost + time.Duration(passed)*h.passCost
		used := min(h.backlog, time.Duration(h.given*float64(sampleInterval)))
		h.backlog -= used
		h.detector.record(sampleInterval, 0, used)
		if h.passCost == 0 {
			passed = 0 // refused
		}
		h.detector.pace.record(h.now, sample{sampleInterval, accepted, passed, used}, h.detector.cores)
		longest = max(longest, time.Duration(float64(h.backlog)/h.given))
	}
	return longest
}

// Guards against a flood of which a small host accepts more than it can serve in time,
// because measurements show it only afterwards.
func TestFloodIsForeseen(t *testing.T) {
	for _, rate := range []float64{300, 700, 2000} {
		t.Run(fmt.Sprint(rate), func(t *testing.T) {
			h := newPacedHost()
			h.run(50, 5*time.Second)
			longest := h.run(rate, 2*time.Second)
			qt.Check(t, longest < 250*time.Millisecond, qt.IsTrue, qt.Commentf("requests wait for %s", longest))
		})
	}
}

// Guards against requests that are passed on although the host can serve them.
func TestServableRequestsAreAccepted(t *testing.T) {
	h := newPacedHost()
	h.run(150, 5*time.Second)
	qt.Assert(t, h.passed, qt.Equals, 0)
	qt.Assert(t, (&pace{}).take(h.now), qt.IsTrue) // nothing is known yet
}

// Guards against a daemon that serves hardly any requests itself once it passes requests on, because
// the processor time of passing on is charged to the few requests that it serves.
func TestPassingOnLeavesTimeToServe(t *testing.T) {
	for _, x := range []struct {
		rate     float64
		passCost time.Duration
		servable float64 // requests per second that leave time to pass on the rest
	}{
		{260, 400 * time.Microsecond, 126},
		{400, 300 * time.Microsecond, 85},
		{500, 200 * time.Microsecond, 100},
		{650, 600 * time.Microsecond, 18}, // it can't even pass on all
	} {
		t.Run(fmt.Sprint(x.rate), func(t *testing.T) {
			h := newPacedHost()
			h.passCost = x.passCost
			h.run(50, 5*time.Second)
			h.run(x.rate, 5*time.Second)
			before := h.served
			h.run(x.rate, 10*time.Second)
			served := float64(h.served-before) / 10
			qt.Check(t, served > 0.7*x.servable, qt.IsTrue, qt.Commentf("%.0f of %.0f requests a second are served", served, x.servable))
		})
	}
}
