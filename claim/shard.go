package claim

import (
	"fmt"
	"time"

	"rattanline.example/rattanline/port"
	"rattanline.example/rattanline/usage"
)

// maxClockSkew is added to the expiry to allow for differing clocks of daemons.
const maxClockSkew = time.Minute

// Operation appends a claim to the log, or the release of a claim if Release is
// set.
type Operation struct {
	Key        Digest
	Body       Digest
	Attempt    Digest
	Supersedes Digest
	Claimer    usage.Source
	Release    bool
}

// Shard is the state of one log as read and written by this daemon. Only Apply
// changes it.
type Shard struct {
	number   int
	expiry   time.Duration
	segments []segment // in order; new records go to the last one
	claims   map[Digest]claimRecord
}

// LoadShard decodes a shard from all entries under its key, which are in order.
func LoadShard(number int, expiry time.Duration, entries []port.Entry) (*Shard, error) {
	s := &Shard{number: number, expiry: expiry, claims: map[Digest]claimRecord{}}
	for _, e := range entries {
		n, err := parseSegmentKey(number, e.Key)
		if err != nil {
			return nil, fmt.Errorf("load shard: %w", err)
		}
		seg := segment{number: n, revision: e.Revision, data: e.Value, claimers: map[usage.Source]uint64{}}
		err = seg.decode(
			func(key Digest, rec claimRecord) { s.claims[key] = rec },
			func(key, attempt Digest) {
				if s.claims[key].attempt == attempt {
					delete(s.claims, key)
				}
			},
		)
		if err != nil {
			return nil, fmt.Errorf("load segment %s: %w", e.Key, err)
		}
		if last := len(s.segments) - 1; last >= 0 && s.segments[last].number >= n {
			return nil, fmt.Errorf("load segment %s: out of order", e.Key)
		}
		s.segments = append(s.segments, seg)
	}
	return s, nil
}

// Plan is the result of planning a batch of operations: a transaction, and the
// decisions that hold once it is committed. The commit fails if the shard has
// changed.
type Plan struct {
	Decisions   []Decision
	Transaction port.Transaction

	changed  []segment // rewritten and new segments
	pruned   map[int]bool
	claimed  map[Digest]claimRecord
	released map[Digest]bool
}

// Writes reports whether the plan changes the log.
func (p Plan) Writes() bool { return len(p.Transaction.Writes) > 0 }

func (s *Shard) expired(now time.Time, t int64) bool {
	return now.Sub(time.UnixMilli(t)) > s.expiry+maxClockSkew
}

// find returns the claim of the key after the operations planned so far.
func (s *Shard) find(now time.Time, p Plan, key Digest) (claimRecord, bool) {
	if p.released[key] {
		return claimRecord{}, false
	}
	rec, ok := p.claimed[key]
	if !ok {
		rec, ok = s.claims[key]
	}
	return rec, ok && !s.expired(now, rec.time)
}

// Plan decides a batch of at most MaxBatch operations. Each decision takes the
// earlier operations of the batch into account.
func (s *Shard) Plan(now time.Time, operations []Operation) Plan {
	p := Plan{pruned: map[int]bool{}, claimed: map[Digest]claimRecord{}, released: map[Digest]bool{}}
	room := s.markExpired(now, &p)
	current := newSegment(0)
	if n := len(s.segments); n > 0 {
		current = s.segments[n-1].clone()
	}
	appended := false
	for _, o := range operations {
		rec, ok := s.find(now, p, o.Key)
		decision, write := decide(o, rec, ok)
		if write && len(current.data)+maxRecordBytes > MaxSegmentBytes {
			// No room is reserved for releases: a claim that is not released
			// only blocks its key until it expires.
			if room == 0 {
				p.Decisions = append(p.Decisions, Full{})
				continue
			}
			room--
			if appended {
				p.changed = append(p.changed, current)
			}
			current, appended = newSegment(current.number+1), false
		}
		p.Decisions = append(p.Decisions, decision)
		if !write {
			continue
		}
		appended = true
		if o.Release {
			current.addRelease(o.Key, o.Attempt)
			delete(p.claimed, o.Key)
			p.released[o.Key] = true
			continue
		}
		rec = claimRecord{body: o.Body, attempt: o.Attempt, claimer: o.Claimer, time: now.UnixMilli()}
		current.addClaim(o.Key, rec)
		p.claimed[o.Key] = rec
		delete(p.released, o.Key)
	}
	if appended {
		p.changed = append(p.changed, current)
	}
	s.buildTransaction(&p)
	return p
}

// decide returns the decision on an operation and whether it must be written. If
// ok, rec is the present claim of the operation's key.
func decide(o Operation, rec claimRecord, ok bool) (d Decision, write bool) {
	switch {
	case o.Release:
		return Granted{}, ok && rec.attempt == o.Attempt
	case !ok:
		return Granted{}, true
	case rec.attempt == o.Attempt:
		return Granted{}, false // already written; the response to the write was lost
	case o.Supersedes != Digest{} && rec.attempt == o.Supersedes:
		return Granted{}, true
	case rec.body != o.Body:
		return Mismatch{}, false
	default:
		return Duplicate{Claimer: rec.claimer, Attempt: rec.attempt}, false
	}
}

// markExpired marks the expired segments in the plan and returns how many new
// segments the shard has room for.
func (s *Shard) markExpired(now time.Time, p *Plan) (room int) {
	live := 0
	for i, seg := range s.segments {
		last := i == len(s.segments)-1
		switch {
		case last || !s.expired(now, seg.newest):
			live++
		case seg.number > 0 || !seg.empty():
			p.pruned[seg.number] = true
		}
	}
	return max(0, MaxSegments-live)
}

// buildTransaction builds the transaction of the plan. Its conditions are that the
// newest segment is unchanged and has no successor, so that a commit based on
// another state of the log fails.
func (s *Shard) buildTransaction(p *Plan) {
	t := &p.Transaction
	next := 0
	if n := len(s.segments); n > 0 {
		seg := s.segments[n-1]
		t.Conditions = append(t.Conditions, port.Condition{Key: segmentKey(s.number, seg.number), Revision: seg.revision})
		next = seg.number + 1
	}
	t.Conditions = append(t.Conditions, port.Condition{Key: segmentKey(s.number, next)})
	for _, seg := range p.changed {
		t.Writes = append(t.Writes, port.Write{Key: segmentKey(s.number, seg.number), Value: seg.data})
	}
	if len(t.Writes) == 0 {
		return // expired segments are pruned together with an append
	}
	for _, seg := range s.segments {
		if !p.pruned[seg.number] {
			continue
		}
		w := port.Write{Key: segmentKey(s.number, seg.number), Delete: seg.number > 0}
		if seg.number == 0 {
			// Segment 0 is never deleted: the condition of a daemon that read the
			// shard before its first claim would otherwise hold again.
			w.Value = newSegment(0).data
		}
		t.Writes = append(t.Writes, w)
	}
}

// Apply applies a plan that was committed at the revision.
func (s *Shard) Apply(now time.Time, p Plan, revision int64) {
	if !p.Writes() {
		return
	}
	var segments []segment
	for _, seg := range s.segments {
		switch {
		case p.pruned[seg.number] && seg.number > 0:
		case p.pruned[seg.number]:
			seg = newSegment(0)
			seg.revision = revision
			segments = append(segments, seg)
		default:
			segments = append(segments, seg)
		}
	}
	for _, seg := range p.changed {
		seg.revision = revision
		if n := len(segments); n > 0 && segments[n-1].number == seg.number {
			segments[n-1] = seg
			continue
		}
		segments = append(segments, seg)
	}
	s.segments = segments
	for key := range p.released {
		delete(s.claims, key)
	}
	for key, rec := range p.claimed {
		s.claims[key] = rec
	}
	if len(p.pruned) > 0 {
		for key, rec := range s.claims {
			if s.expired(now, rec.time) {
				delete(s.claims, key)
			}
		}
	}
}
