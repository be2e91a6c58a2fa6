package quarantine

import (
	"cmp"
	"slices"
	"time"

	"rattanline.example/rattanline/clock"
	"rattanline.example/rattanline/request"
)

// Interruption is a request that was in flight at a target when it crashed, and whose answer
// had not gone on.
type Interruption struct {
	// Request identifies the request by what no other request shares with it.
	Request uint64
	// Segments holds the prompt segments that other requests may share.
	Segments    []request.Segment
	Sent, Ended clock.Instant
}

// run is the evidence of one Interruption against one of its segments.
type run struct {
	request     uint64
	target      string
	daemon      string // that saw the crash
	sent, ended clock.Instant
}

const (
	// maxRuns bounds the runs that are kept for one segment: those with the lowest request
	// identifiers, so that daemons that received the same runs in any order keep the same ones.
	maxRuns = 32
	// sameTargetGap is the time after a crash of a target within which another interruption
	// there is the same crash.
	sameTargetGap = time.Second
)

func compareRequests(a, b run) int { return cmp.Compare(a.request, b.request) }

// addRun adds a run to a list ordered by request, and reports whether the list has changed.
// Of several runs of one request only the first that arrived counts.
func addRun(runs []run, r run) ([]run, bool) {
	i, found := slices.BinarySearchFunc(runs, r, compareRequests)
	if found || i == maxRuns {
		return runs, false
	}
	runs = slices.Insert(runs, i, r)
	return runs[:min(len(runs), maxRuns)], true
}

// independent returns the number of runs of which each was sent after the crash that ended the
// one before it. Targets that crash at the same time, for whatever reason, count as one.
func independent(runs []run) int {
	ordered := slices.Clone(runs)
	slices.SortFunc(ordered, func(a, b run) int { return cmp.Compare(a.ended, b.ended) })
	n := 0
	var last run
	for _, r := range ordered {
		after := last.ended
		if r.target == last.target {
			after = after.Add(sameTargetGap)
		}
		if n == 0 || r.sent > after {
			n, last = n+1, r
		}
	}
	return n
}

// sharesCrash reports whether one of the runs was interrupted by the same crash as r.
func sharesCrash(r run, runs []run) bool {
	return slices.ContainsFunc(runs, func(o run) bool {
		return o.target == r.target && o.ended.Sub(r.ended).Abs() < sameTargetGap
	})
}

// explains reports whether the requests of other are among those of runs, so far as maxRuns
// shows it.
func explains(runs, other []run) bool {
	return !slices.ContainsFunc(other, func(r run) bool {
		i, found := slices.BinarySearchFunc(runs, r, compareRequests)
		return !found && i < maxRuns
	})
}
