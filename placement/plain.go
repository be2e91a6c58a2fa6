package placement

import (
	"time"

	"rattanline.example/rattanline/clock"
	"rattanline.example/rattanline/port"
)

const (
	// plainRequestTime is the duration of a request to a service that is not an
	// inference engine, as long as responses don't show it.
	plainRequestTime = 15 * time.Millisecond
	// minWorkTime and maxWorkTime bound the learned duration.
	minWorkTime, maxWorkTime = time.Millisecond, 10 * time.Second
	// workWeight is the least weight of the newest response in the mean duration of a service,
	// skewWeight the weight in the skew of a target.
	workWeight, skewWeight = 0.03, 0.1
	// skewDecayTime is the time constant with which the skew of a target that receives no
	// requests approaches one, so that it is tried again.
	skewDecayTime = 10 * time.Second
	// maxWorkRatio bounds how much longer than expected one response counts as.
	maxWorkRatio = 4.0
	// minSkewResponses is the number of responses from which on the mean duration of a service is
	// known well enough to compare a target with it.
	minSkewResponses = 10
	// busyFactor is how much longer than at an idle target a request is expected to take if all
	// slots are in use: targets slow down when they are nearly full, and other daemons send
	// requests that are not known yet.
	busyFactor = 0.25
)

// plainService is what responses show about a service whose targets are no engines.
type plainService struct {
	// work is the mean duration of a request that doesn't wait.
	work time.Duration
	// responses is how many responses work was learned from.
	responses int
	// statesLoad reports whether targets of the service state their load, and their pace unless
	// Table.Contended is set. Only then is work used.
	statesLoad bool
}

// learn adds a response that took the multiple of what is expected of a target that states
// nothing. What targets state doesn't count, because one that states a wrong pace would change what
// is expected of the others.
func (s *plainService) learn(ratio float64) {
	s.responses++
	weight := max(workWeight, 1/float64(s.responses+1))
	work := time.Duration(float64(s.work) * (1 + weight*(ratio-1)))
	s.work = min(max(work, minWorkTime), maxWorkTime)
}

// plain returns what is known about the service.
func (t *Table) plain(service string) *plainService {
	s := t.plainServices[service]
	if s == nil {
		if t.plainServices == nil {
			t.plainServices = map[string]*plainService{}
		}
		s = &plainService{work: plainRequestTime}
		t.plainServices[service] = s
	}
	return s
}

// estimatePlain returns the choice of a target that is no engine and has the requests, with its
// expected wait. It answers
// uneven targets: they share their hosts with others, and at any moment some take several times
// as long as usual.
func (t *Table) estimatePlain(target *targetState, now clock.Instant, requests int) Choice {
	c := Choice{Target: target.Target}
	slots := max(target.Slots, 1)
	service := t.plain(target.Service)
	if !service.statesLoad {
		c.Wait = plainRequestTime * time.Duration(requests+1) / time.Duration(slots)
		return c
	}
	c.statedPace = target.statedPace(now)
	c.WorkTime = time.Duration(float64(service.work) * target.workFactor(now))
	c.Wait = time.Duration(float64(c.WorkTime) * plainRounds(requests, slots))
	return c
}

// plainRounds returns how long a request is expected to take at a target with the requests, as a
// multiple of its work.
func plainRounds(requests, slots int) float64 {
	use := float64(requests) / float64(slots)
	queued := max(requests+1-slots, 0)
	return 1 + busyFactor*min(use, 1) + float64(queued)/float64(slots)
}

// workFactor returns how much longer than at the others work is expected to take at the target: by
// what it states, corrected by how much longer than that its last responses took.
func (t *targetState) workFactor(now clock.Instant) float64 {
	return min(max(t.statedPace(now)*t.skew.decayed(now), minWorkFactor), maxWorkFactor)
}

// skew is the mean ratio of how long the responses of a target took to how long its service usually
// takes at the pace that the target stated. It differs from one if the target states wrong figures,
// or is slow without stating it. The zero value is a ratio of one.
type skew struct {
	deviation float64 // of the ratio from one
	updated   clock.Instant
}

func (s *skew) add(now clock.Instant, ratio float64) {
	deviation := s.decayed(now) - 1
	s.deviation, s.updated = deviation+skewWeight*(ratio-1-deviation), max(s.updated, now)
}

// decayed returns the ratio now.
func (s *skew) decayed(now clock.Instant) float64 {
	if s.deviation == 0 {
		return 1
	}
	return 1 + s.deviation*clock.Decay(now, s.updated, skewDecayTime)
}

// learnWork adds an attempt at a target that is no engine to what is known about it and its
// service.
func (t *Table) learnWork(target *targetState, a port.Attempt, c Choice, now clock.Instant) {
	if a.Result != port.Succeeded || a.FirstByte == 0 || c.WorkTime == 0 || c.Cold {
		return
	}
	s := t.plain(target.Service)
	expected := c.WorkTime.Seconds() / s.work.Seconds()
	ratio := expected * min(a.FirstByte.Seconds()/c.Wait.Seconds(), maxWorkRatio)
	s.learn(ratio)
	if s.responses >= minSkewResponses {
		stated := max(c.statedPace, target.statedPace(now)) // it may have changed meanwhile
		target.skew.add(now, ratio/stated)
	}
}
