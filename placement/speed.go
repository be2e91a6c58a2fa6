package placement

import (
	"time"

	"rattanline.example/rattanline/port"
)

const (
	// defaultSpeed and defaultStartDelay are assumed until responses show more.
	defaultSpeed      = 38_000 // prompt tokens per second
	defaultStartDelay = 100 * time.Millisecond
	// minSpeed and maxSpeed bound the learned speed, in prompt tokens per second.
	minSpeed, maxSpeed = 2_000, 1_000_000
	// speedMemory is the number of responses after which the weight of a response has decayed
	// to 1/e.
	speedMemory = 400
	// defaultWeight is the weight of the defaults, in responses.
	defaultWeight = 10
	// defaultWorkSpread is the distance of the two points in the line of the defaults, in prompt
	// tokens.
	defaultWorkSpread = 15_000
)

// engineSpeed is what responses show about how fast the engines of a service process prompts.
// It fits a line to the time to the first event over the work before it, by least squares in
// which older responses have less weight. So what it expects is right on average, whatever the
// engines do besides and however old the reports of other daemons are.
type engineSpeed struct {
	sums lineSums
	// perSecond is the learned speed in prompt tokens per second, delay the time to the first
	// event without any work.
	perSecond float64
	delay     time.Duration
}

// lineSums holds the weighted sums of a linear regression of seconds over work.
type lineSums struct{ weight, work, seconds, workSquared, product float64 }

// add adds a point with the weight.
func (s *lineSums) add(work, seconds, weight float64) {
	s.weight += weight
	s.work += weight * work
	s.seconds += weight * seconds
	s.workSquared += weight * work * work
	s.product += weight * work * seconds
}

// scale multiplies all weights by the factor.
func (s *lineSums) scale(factor float64) {
	s.weight *= factor
	s.work *= factor
	s.seconds *= factor
	s.workSquared *= factor
	s.product *= factor
}

// slope returns the seconds per unit of work.
func (s *lineSums) slope() float64 {
	return (s.weight*s.product - s.work*s.seconds) / (s.weight*s.workSquared - s.work*s.work)
}

// newEngineSpeed returns the speed that is assumed without any response.
func newEngineSpeed() *engineSpeed {
	return &engineSpeed{perSecond: defaultSpeed, delay: defaultStartDelay}
}

// observe adds a response whose first event came after the time, with the work before it.
func (s *engineSpeed) observe(work float64, took time.Duration) {
	s.sums.scale(1 - 1.0/speedMemory)
	s.sums.add(work, took.Seconds(), 1)
	line := s.sums
	line.add(0, defaultStartDelay.Seconds(), defaultWeight/2)
	line.add(defaultWorkSpread, defaultStartDelay.Seconds()+defaultWorkSpread/float64(defaultSpeed), defaultWeight/2)
	slope := min(max(line.slope(), 1.0/maxSpeed), 1.0/minSpeed)
	s.perSecond = 1 / slope
	s.delay = time.Duration(max(line.seconds-slope*line.work, 0) / line.weight * float64(time.Second))
}

// duration returns the time in which an engine does the work.
func (s *engineSpeed) duration(work float64) time.Duration {
	return time.Duration(work / s.perSecond * float64(time.Second))
}

// speed returns what is known about the engines of the service.
func (t *Table) speed(service string) *engineSpeed {
	s := t.speeds[service]
	if s == nil {
		if t.speeds == nil {
			t.speeds = map[string]*engineSpeed{}
		}
		s = newEngineSpeed()
		t.speeds[service] = s
	}
	return s
}

// learnSpeed adds an attempt at an engine to what is known about its service. A cold target is
// no measure for the others. The time counts up to the threshold above which a response is
// slow, so that a single faulty target hardly changes the result.
func (t *Table) learnSpeed(target *targetState, a port.Attempt, c Choice) {
	if a.Result != port.Succeeded || a.FirstByte == 0 || c.Work == 0 || c.Cold {
		return
	}
	took := min(a.FirstByte, slowFactor*c.Wait+slowMargin) - c.FetchTime
	t.speed(target.Service).observe(c.Work, max(took, 0))
}
