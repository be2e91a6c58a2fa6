package placement

import (
	"math"
	"slices"
	"time"

	"rattanline.example/rattanline/clock"
	"rattanline.example/rattanline/mirror"
)

// rejectionTime is how long a target that rejected a request for lack of room is not sent a
// request that was rejected before, because its queue is still full.
const rejectionTime = 100 * time.Millisecond

// removedGracePeriod is how long a target remains usable after its entry was
// removed: the entry may have expired while the key-value service was
// unavailable.
const removedGracePeriod = 1100 * time.Millisecond

// connectionShare returns how many requests this daemon may have in flight at a
// target of the service: an equal share of the connections that the target
// accepts.
func (t *Table) connectionShare(service string, daemons int) int {
	if t.MaxConnections == nil {
		return math.MaxInt
	}
	limit := t.MaxConnections(service)
	if limit <= 0 {
		return math.MaxInt
	}
	return max(limit/max(daemons, 1), 1)
}

// usable returns the targets of the service to which the request may be sent.
// Targets that it was already sent to are returned only if there are no others. A request that is
// sent again is not sent to targets that just rejected one.
func (t *Table) usable(q Query, now clock.Instant, connections int) []*targetState {
	untried, tried := t.untriedBuffer[:0], t.triedBuffer[:0]
	defer func() { t.untriedBuffer, t.triedBuffer = untried, tried }() // reuse the grown buffers
	for _, target := range t.services[q.Service] {
		switch {
		case q.Allowed != nil && !q.Allowed(target.Target):
		case !t.listed(target, now), now < target.downUntil, target.work.Requests >= connections:
		case q.Retry && now < target.rejectsUntil:
		case slices.Contains(q.Avoid, target.Name):
			tried = append(tried, target)
		default:
			untried = append(untried, target)
		}
	}
	if len(untried) == 0 {
		return tried
	}
	return untried
}

// rejecting returns when the first of the targets of the service, all of which just rejected a
// request, may receive one that was rejected. It returns false if one did not reject, or there is
// none.
func (t *Table) rejecting(service string) (clock.Instant, bool) {
	return t.firstUntil(service, func(target *targetState) clock.Instant { return target.rejectsUntil })
}

// firstUntil returns the first of the times that until returns for the targets of the service
// that may receive requests. It returns false if one of them has passed, or there is no target.
func (t *Table) firstUntil(service string, until func(*targetState) clock.Instant) (clock.Instant, bool) {
	now := clock.Now()
	t.mu.Lock()
	defer t.mu.Unlock()
	var first clock.Instant
	for _, target := range t.services[service] {
		if !t.listed(target, now) {
			continue
		}
		end := until(target)
		if now >= end {
			return 0, false
		}
		if first == 0 || end < first {
			first = end
		}
	}
	return first, first != 0
}

// listed reports whether the target may receive requests according to the
// key-value service and to the target itself.
func (t *Table) listed(target *targetState, now clock.Instant) bool {
	if len(t.peerLeaving) > 0 && t.statedToPeers(target) {
		return false
	}
	if t.Versions != nil && !t.Versions.InUse(target.Target) {
		return false
	}
	return target.inView && !target.Leaving && !t.domains[target.Domain].evacuated && (target.Removed == 0 || now.Sub(target.Removed) <= removedGracePeriod)
}

// StillUsable reports whether requests may be sent to a target that was chosen before: it is
// listed, was not restarted since, and has not asked for time.
func (t *Table) StillUsable(chosen mirror.Target) bool {
	now := clock.Now()
	t.mu.Lock()
	defer t.mu.Unlock()
	t.updatePeerLeaving()
	target := t.targets[chosen.Name]
	return target != nil && target.Address == chosen.Address && target.StartTime == chosen.StartTime &&
		t.listed(target, now) && now >= target.pausedUntil
}

// Listed returns the number of targets of a service that may receive requests
// according to the key-value service and to the targets themselves.
func (t *Table) Listed(service string) int {
	now, n := clock.Now(), 0
	t.mu.Lock()
	defer t.mu.Unlock()
	t.updatePeerLeaving()
	for _, target := range t.services[service] {
		if t.listed(target, now) {
			n++
		}
	}
	return n
}
