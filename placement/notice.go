package placement

import (
	"time"

	"rattanline.example/rattanline/clock"
)

// Notice is what a target states about itself with a response.
type Notice struct {
	// Leaving reports whether the target is leaving.
	Leaving bool
	// Pause is how long the target asks this daemon to send nothing to it, zero if it
	// doesn't.
	Pause time.Duration
}

// SetNotice records a notice of a target. It holds until the target restarts, whatever
// its entry says. SetNotice reports whether the target was not known to be leaving before.
func (t *Table) SetNotice(name string, n Notice) (newlyLeaving bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	target := t.targets[name]
	if target == nil {
		return false
	}
	if n.Pause > 0 {
		target.pausedUntil = max(target.pausedUntil, clock.Now().Add(n.Pause))
		target.downUntil = max(target.downUntil, target.pausedUntil)
	}
	if !n.Leaving || target.saidLeaving {
		return false
	}
	target.saidLeaving, target.Leaving = true, true
	return true
}

// Leaving returns the targets that stated to this daemon that they are leaving, with the time of
// their start.
func (t *Table) Leaving() map[string]int64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	var leaving map[string]int64
	for name, target := range t.targets {
		if target.saidLeaving {
			if leaving == nil {
				leaving = map[string]int64{}
			}
			leaving[name] = target.StartTime
		}
	}
	return leaving
}

func (t *Table) updatePeerLeaving() {
	if t.PeerLeaving != nil {
		t.peerLeaving = t.PeerLeaving()
	}
}

// statedToPeers reports whether the target stated to other daemons that it is leaving.
func (t *Table) statedToPeers(target *targetState) bool {
	started, ok := t.peerLeaving[target.Name]
	return ok && started == target.StartTime
}

// paused returns the time until which all targets of the service that may receive requests
// have asked this daemon to send nothing. It returns false if one has not, or there is none.
func (t *Table) paused(service string) (clock.Instant, bool) {
	return t.firstUntil(service, func(target *targetState) clock.Instant { return target.pausedUntil })
}
