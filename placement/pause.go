package placement

import "time"

const (
	// pausePenalty is the advantage that an engine needs to be chosen for each request there
	// that the prompt may make late.
	pausePenalty = 30 * time.Millisecond
	// maxPauseRatio bounds the time for which an engine reads prompts, as a multiple of the
	// pause aim. All streams there are late well before that.
	maxPauseRatio = 2
	// longPromptFraction is the fraction of the pause aim from which on a prompt counts as
	// long. Long prompts are few, so that they may be compared at many engines.
	longPromptFraction = 0.5
)

// longPrompt reports whether an engine reads the prompt for about as long as the streams there
// may pause.
func (q Query) longPrompt(s *engineSpeed) bool {
	return s.duration(float64(q.Demand.Prompt)).Seconds() > longPromptFraction*q.PauseAim.Seconds()
}

// pauseCost returns the advantage that an engine with the requests in flight needs to be chosen
// for the prompt. While an engine reads prompts, all streams there get their tokens slowly. If
// that takes about as long as a stream may pause, they are late, even though they began in time.
func (c Choice) pauseCost(aim time.Duration, requests int) time.Duration {
	if aim <= 0 {
		return 0
	}
	before, after := pauseRatio(c.QueueWait, aim), pauseRatio(c.Wait-c.FetchTime, aim)
	return time.Duration((after*after - before*before) * float64(requests) * float64(pausePenalty))
}

// pauseRatio returns the time for which an engine reads prompts as a multiple of the pause aim.
func pauseRatio(reading, aim time.Duration) float64 {
	return min(reading.Seconds()/aim.Seconds(), maxPauseRatio)
}
