package placement

import (
	"math/rand/v2"
	"time"

	"rattanline.example/rattanline/clock"
	"rattanline.example/rattanline/mirror"
)

const (
	// freshLoadAge is the age up to which a reported load shows whether a target has room.
	freshLoadAge = 20 * time.Millisecond
	// quietUse is the use of a target's slots up to which it is assumed to have room without
	// asking it.
	quietUse = 0.5
	// ownWeight is how many requests each request counts as that was sent since the report:
	// other daemons saw the same room.
	ownWeight = 2
	// askedAtOnce is how many targets are asked for their load at a time.
	askedAtOnce = 2
	// minAskInterval and maxAskInterval bound the time after which a target without room is
	// asked again.
	minAskInterval, maxAskInterval = 20 * time.Millisecond, 100 * time.Millisecond
	// blindTime is how long a target counts as unable to tell its load after it didn't.
	blindTime = time.Second
	// blindPenalty is the advantage that a target needs to be chosen if its load can't be known.
	blindPenalty = time.Second
	// trialInterval is the time after which a target that reports to be full is sent a request
	// anyway, if no other has room: its reports may be wrong.
	trialInterval = 20 * time.Second
)

// Verdict is a decision about a request to a service whose targets are no engines.
type Verdict interface{ verdict() }

// Send states that the request is sent to a target.
type Send struct{ Choice Choice }

// Ask states that the request waits, and which targets are asked for their load meanwhile.
type Ask struct{ Targets []mirror.Target }

// Hold states that the request waits, because no target has room.
type Hold struct{}

// Unusable states that no target can be used.
type Unusable struct{}

func (Send) verdict()     {}
func (Ask) verdict()      {}
func (Hold) verdict()     {}
func (Unusable) verdict() {}

// roomState is what a target's room is known by.
type roomState struct {
	loadKnown bool // whether load was reported
	// startedSince counts the requests that this daemon sent since the report.
	startedSince int
	// asked is when the target was asked for its load, zero if it answered.
	asked clock.Instant
	// nextAsk is when the target may be asked again, blindUntil when it is expected to tell
	// its load again.
	nextAsk, blindUntil clock.Instant
	// lastSent is when this daemon last sent a request to the target.
	lastSent clock.Instant
}

// DecidePlain decides about a request that has its full value if it takes at most limit at its
// target. It answers a load that fills the queues of the targets within the time in which daemons
// learn of each other's requests: whether a target has room is known only from a report of the last
// moments, so if no target seems to be quiet, some are asked.
func (t *Table) DecidePlain(q Query, limit time.Duration) Verdict {
	return t.decidePlain(q, limit, clock.Now(), t.PeerWork(), t.Daemons())
}

func (t *Table) decidePlain(q Query, limit time.Duration, now clock.Instant, others map[string]Work, daemons []string) Verdict {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.updatePeerLeaving()
	usable := t.usable(q, now, t.connectionShare(q.Service, len(daemons)))
	candidates, _ := t.candidates(q, usable, 0, maxCandidates, now, daemons)
	if len(candidates) == 0 {
		return Unusable{}
	}
	var best Choice
	var bestTarget *targetState
	var bestCost time.Duration
	for _, target := range candidates {
		c, hasRoom := t.room(target, limit, now, others[target.Name])
		if !hasRoom && !target.onTrial(now) {
			continue
		}
		cost := t.cost(q, target, c, others[target.Name], summary{}, now)
		if !hasRoom || now < target.room.blindUntil {
			cost += blindPenalty
		}
		if q.Isolated {
			cost += isolationPenalty(target, others[target.Name], c.Cold)
		}
		if bestTarget == nil || cost < bestCost || cost == bestCost && rand.IntN(2) == 0 {
			best, bestTarget, bestCost = c, target, cost
		}
	}
	if bestTarget == nil {
		return t.ask(candidates, now, others)
	}
	if best.Cold {
		bestTarget.nextCold = now.Add(t.coldInterval(bestTarget, daemons))
	}
	return Send{best}
}

// room returns the choice of the target, and whether the target is known to have room.
func (t *Table) room(target *targetState, limit time.Duration, now clock.Instant, others Work) (Choice, bool) {
	requests, known := target.requests(now, others)
	c := t.estimatePlain(target, now, requests)
	c.Cold = now < t.coldUntil(target)
	slots := max(target.Slots, 1)
	quiet := float64(requests)*target.workFactor(now) <= quietUse*float64(slots)
	unsure := !known && !quiet && now >= target.room.blindUntil
	if now < target.rejectsUntil || unsure {
		return c, false
	}
	return c, requests < slots || c.Wait <= limit
}

// onTrial reports whether the target is sent a request although it reports to be full, because it
// has done so for long.
func (t *targetState) onTrial(now clock.Instant) bool {
	last := t.room.lastSent
	return last != 0 && now.Sub(last) > trialInterval && now >= t.rejectsUntil
}

// requests returns how many requests the target has, and whether a report of the last moments shows
// it.
func (t *targetState) requests(now clock.Instant, others Work) (int, bool) {
	own := t.work.Requests
	if t.room.loadKnown && now.Sub(t.loadReceived) <= freshLoadAge {
		return max(t.reportedRequests(now)+ownWeight*t.room.startedSince, own), true
	}
	return max(own+others.Requests, t.reportedRequests(now)), false
}

// ask returns the targets to ask: the one that is expected to have the shortest wait, and others at
// random, so that not all daemons turn to the same target.
func (t *Table) ask(candidates []*targetState, now clock.Instant, others map[string]Work) Verdict {
	var list []*targetState
	best, bestWait, asked := 0, time.Duration(0), 0
	for _, target := range candidates {
		r := &target.room
		if r.asked != 0 {
			asked++
		}
		requests, fresh := target.requests(now, others[target.Name])
		if fresh || now < r.nextAsk || r.asked != 0 || now < r.blindUntil {
			continue
		}
		wait := t.estimatePlain(target, now, requests).Wait + t.penalty(target)
		if len(list) == 0 || wait < bestWait {
			best, bestWait = len(list), wait
		}
		list = append(list, target)
	}
	if len(list) == 0 || asked >= askedAtOnce {
		return Hold{}
	}
	list[0], list[best] = list[best], list[0]
	rand.Shuffle(len(list)-1, func(i, j int) { list[i+1], list[j+1] = list[j+1], list[i+1] })
	var targets []mirror.Target
	for _, target := range list[:min(len(list), askedAtOnce-asked)] {
		target.room.asked = now
		targets = append(targets, target.Target)
	}
	return Ask{targets}
}

// RecordLoadAnswer records the load that a target reported when it was asked, nil if it didn't report one. A target
// to which no connection could be made is left alone for a moment.
func (t *Table) RecordLoadAnswer(name string, l *Load, unreachable bool) {
	t.recordLoadAnswer(name, l, unreachable, clock.Now())
}

func (t *Table) recordLoadAnswer(name string, l *Load, unreachable bool, now clock.Instant) {
	if l != nil {
		t.setLoad(name, *l, now)
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	target := t.targets[name]
	if target == nil {
		return
	}
	target.room.asked = 0
	if unreachable {
		target.downUntil = max(target.downUntil, now.Add(downTime))
	}
	if l == nil {
		target.room.blindUntil = now.Add(blindTime)
		return
	}
	target.room.blindUntil = 0
	target.room.nextAsk = now.Add(t.askInterval(target, now))
}

// askInterval returns the time in which a target that was asked is expected to get room: one request
// leaves after the other while others may be sent there. A random part keeps daemons apart.
func (t *Table) askInterval(target *targetState, now clock.Instant) time.Duration {
	slots := max(target.Slots, 1)
	surplus := max(target.reportedRequests(now)+1-slots, 0)
	work := float64(t.plain(target.Service).work) * target.workFactor(now)
	interval := time.Duration(work * float64(surplus) / float64(slots))
	interval = min(max(interval, minAskInterval), maxAskInterval)
	return time.Duration((0.75 + rand.Float64()/2) * float64(interval))
}
