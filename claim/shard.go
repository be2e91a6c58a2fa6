package claim

import (
	"fmt"
	"time"

	"rattanline.example/rattanline/port"
	"rattanline.example/rattanline/usage"
)

// skew is added to the expiry, for clocks of daemons that differ.
const skew = time.Minute

// Operation appends a claim, or releases it if Release is set.
type Operation struct {
	Key        Digest
	Body       Digest
	Attempt    Digest
	Supersedes Digest
	Claimer    usage.Source
	Release    bool
}

// Shard is what is known of one log. It changes only by Apply.
type Shard struct {
	number   int
	expiry   time.Duration
	segments []segment // in order; the last is appended to
	claims   map[Digest]held
}

// LoadShard reads a shard from all entries under its key, in order.
func LoadShard(number int, expiry time.Duration, entries []port.Entry) (*Shard, error) {
	s := &Shard{number: number, expiry: expiry, claims: map[Digest]held{}}
	for _, e := range entries {
		n, err := parseSegmentKey(number, e.Key)
		if err != nil {
			return nil, fmt.Errorf("load shard: %w", err)
		}
		g := segment{number: n, revision: e.Revision, data: e.Value, claimers: map[usage.Source]uint64{}}
		err = g.decode(
			func(key Digest, h held) { s.claims[key] = h },
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
		s.segments = append(s.segments, g)
	}
	return s, nil
}

// Plan is what a batch of operations needs: a transaction, and the decisions
// that hold once it is committed. It is void if the shard changed.
type Plan struct {
	Decisions   []Decision
	Transaction port.Transaction

	changed  []segment // rewritten and new segments
	pruned   map[int]bool
	claimed  map[Digest]held
	released map[Digest]bool
}

// Writes tells whether the plan changes the log.
func (p Plan) Writes() bool { return len(p.Transaction.Writes) > 0 }

func (s *Shard) expired(now time.Time, t int64) bool {
	return now.Sub(time.UnixMilli(t)) > s.expiry+skew
}

// find returns the claim of the key as the plan would leave it.
func (s *Shard) find(now time.Time, p Plan, key Digest) (held, bool) {
	if p.released[key] {
		return held{}, false
	}
	h, ok := p.claimed[key]
	if !ok {
		h, ok = s.claims[key]
	}
	return h, ok && !s.expired(now, h.time)
}

// Plan decides a batch of at most MaxBatch operations. Decisions of a batch take
// its earlier operations into account.
func (s *Shard) Plan(now time.Time, operations []Operation) Plan {
	p := Plan{pruned: map[int]bool{}, claimed: map[Digest]held{}, released: map[Digest]bool{}}
	room := s.prune(now, &p)
	current := newSegment(0)
	if n := len(s.segments); n > 0 {
		current = s.segments[n-1].clone()
	}
	appended := false
	for _, o := range operations {
		h, ok := s.find(now, p, o.Key)
		decision, write := decide(o, h, ok)
		if write && len(current.data)+maxRecord > MaxSegment {
			// Releases don't need room of their own: without it the claim
			// stays until it expires, which only keeps its key.
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
		h = held{body: o.Body, attempt: o.Attempt, claimer: o.Claimer, time: now.UnixMilli()}
		current.addClaim(o.Key, h)
		p.claimed[o.Key] = h
		delete(p.released, o.Key)
	}
	if appended {
		p.changed = append(p.changed, current)
	}
	s.transact(&p)
	return p
}

// decide tells what becomes of an operation, given the claim of its key, and
// whether it must be written.
func decide(o Operation, h held, ok bool) (d Decision, write bool) {
	switch {
	case o.Release:
		return Granted{}, ok && h.attempt == o.Attempt
	case !ok:
		return Granted{}, true
	case h.attempt == o.Attempt:
		return Granted{}, false // written before its response was lost
	case o.Supersedes != Digest{} && h.attempt == o.Supersedes:
		return Granted{}, true
	case h.body != o.Body:
		return Mismatch{}, false
	default:
		return Duplicate{Claimer: h.claimer, Attempt: h.attempt}, false
	}
}

// prune notes the expired segments and returns how many may be added.
func (s *Shard) prune(now time.Time, p *Plan) (room int) {
	live := 0
	for i, g := range s.segments {
		last := i == len(s.segments)-1
		switch {
		case last || !s.expired(now, g.newest):
			live++
		case g.number > 0 || !g.empty():
			p.pruned[g.number] = true
		}
	}
	return max(0, MaxSegments-live)
}

// transact builds the transaction. Its conditions make all writers that know
// another state fail: the newest segment is unchanged and has no successor.
func (s *Shard) transact(p *Plan) {
	t := &p.Transaction
	next := 0
	if n := len(s.segments); n > 0 {
		g := s.segments[n-1]
		t.Conditions = append(t.Conditions, port.Condition{Key: segmentKey(s.number, g.number), Revision: g.revision})
		next = g.number + 1
	}
	t.Conditions = append(t.Conditions, port.Condition{Key: segmentKey(s.number, next)})
	for _, g := range p.changed {
		t.Writes = append(t.Writes, port.Write{Key: segmentKey(s.number, g.number), Value: g.data})
	}
	if len(t.Writes) == 0 {
		return // pruning waits for an append
	}
	for _, g := range s.segments {
		if !p.pruned[g.number] {
			continue
		}
		w := port.Write{Key: segmentKey(s.number, g.number), Delete: g.number > 0}
		if g.number == 0 {
			// Segment 0 always remains: a daemon that saw the shard before its
			// first claim would otherwise find its condition true again.
			w.Value = newSegment(0).data
		}
		t.Writes = append(t.Writes, w)
	}
}

// Apply makes the committed plan part of the shard.
func (s *Shard) Apply(now time.Time, p Plan, revision int64) {
	if !p.Writes() {
		return
	}
	var segments []segment
	for _, g := range s.segments {
		switch {
		case p.pruned[g.number] && g.number > 0:
		case p.pruned[g.number]:
			g = newSegment(0)
			g.revision = revision
			segments = append(segments, g)
		default:
			segments = append(segments, g)
		}
	}
	for _, g := range p.changed {
		g.revision = revision
		if n := len(segments); n > 0 && segments[n-1].number == g.number {
			segments[n-1] = g
			continue
		}
		segments = append(segments, g)
	}
	s.segments = segments
	for key := range p.released {
		delete(s.claims, key)
	}
	for key, h := range p.claimed {
		s.claims[key] = h
	}
	if len(p.pruned) > 0 {
		for key, h := range s.claims {
			if s.expired(now, h.time) {
				delete(s.claims, key)
			}
		}
	}
}
