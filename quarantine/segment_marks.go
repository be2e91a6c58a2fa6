package quarantine

import (
	"cmp"
	"encoding/binary"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"rattanline.example/rattanline/clock"
	"rattanline.example/rattanline/request"
)

// SegmentMarks is what a daemon knows against prompt segments, for other daemons. Times are
// ages, because the clocks of daemons differ.
type SegmentMarks struct {
	Runs    []RunMark
	Answers []AnswerMark
	Probes  []ProbeMark
	// Quarantined holds the segments that are quarantined.
	Quarantined []request.Segment
}

func (m SegmentMarks) isEmpty() bool {
	return len(m.Runs)+len(m.Answers)+len(m.Probes)+len(m.Quarantined) == 0
}

// RunMark is a request that a crash interrupted before its answer went on.
type RunMark struct {
	Segment           request.Segment
	Request           uint64
	Target, Daemon    string
	SentAge, EndedAge time.Duration
}

// AnswerMark states that the answer of a target to a request with the segment went on.
type AnswerMark struct {
	Segment request.Segment
	Age     time.Duration
}

// ProbeMark counts the probes of a quarantined segment. Age is that of the last one.
type ProbeMark struct {
	Segment request.Segment
	Count   int
	Age     time.Duration
}

const (
	// maxSentRuns bounds the runs in one message. Those of quarantined segments and of segments
	// with many runs go first.
	maxSentRuns = 128
	// answerRelayTime is how long the answer that ended a suspicion is sent to other daemons.
	answerRelayTime = 10 * time.Second
)

// Marks returns what this daemon knows, and its digest. Daemons with equal digests
// know the same.
func (s *Segments) Marks(now clock.Instant) (SegmentMarks, uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire(now)
	var m SegmentMarks
	for _, segment := range s.bySeverity() {
		suspect := s.suspicions[segment]
		if answered := s.answered.last(segment); answered != 0 {
			m.Answers = append(m.Answers, AnswerMark{segment, now.Sub(answered)})
		}
		if suspect.probes > 0 {
			m.Probes = append(m.Probes, ProbeMark{segment, suspect.probes, now.Sub(suspect.lastProbe)})
		}
		if suspect.quarantined {
			m.Quarantined = append(m.Quarantined, segment)
		}
		for _, r := range suspect.runs {
			if len(m.Runs) < maxSentRuns {
				m.Runs = append(m.Runs, RunMark{segment, r.request, r.target, r.daemon, now.Sub(r.sent), now.Sub(r.ended)})
			}
		}
	}
	for segment, at := range s.cleared {
		if now.Sub(at) > answerRelayTime {
			delete(s.cleared, segment)
		} else if s.suspicions[segment] == nil {
			m.Answers = append(m.Answers, AnswerMark{segment, now.Sub(s.answered.last(segment))})
		}
	}
	return m, m.digest()
}

// bySeverity returns the suspect segments, quarantined ones first, then those with many runs.
func (s *Segments) bySeverity() []request.Segment {
	list := make([]request.Segment, 0, len(s.suspicions))
	for segment := range s.suspicions {
		list = append(list, segment)
	}
	slices.SortFunc(list, func(a, b request.Segment) int {
		x, y := s.suspicions[a], s.suspicions[b]
		if x.quarantined != y.quarantined {
			if x.quarantined {
				return -1
			}
			return 1
		}
		return cmp.Or(cmp.Compare(len(y.runs), len(x.runs)), cmp.Compare(a.ID, b.ID), cmp.Compare(a.Model, b.Model))
	})
	return list
}

// digest returns a digest of the content without the ages, zero if there is none.
func (m SegmentMarks) digest() uint64 {
	if m.isEmpty() {
		return 0
	}
	d := xxhash.New()
	write := func(s request.Segment, n uint64) {
		_, _ = d.WriteString(s.Model + "\x00" + s.ID + "\x00")
		_, _ = d.Write(binary.LittleEndian.AppendUint64(nil, n))
	}
	for _, r := range m.Runs {
		write(r.Segment, r.Request)
	}
	for _, p := range m.Probes {
		write(p.Segment, uint64(p.Count))
	}
	slices.SortFunc(m.Answers, func(a, b AnswerMark) int {
		return cmp.Or(cmp.Compare(a.Segment.ID, b.Segment.ID), cmp.Compare(a.Segment.Model, b.Segment.Model))
	})
	for _, a := range m.Answers {
		write(a.Segment, 0)
	}
	for _, segment := range m.Quarantined {
		write(segment, 1)
	}
	return d.Sum64()
}

// Merge adds what another daemon knows as of now. It reports whether that changed anything.
func (s *Segments) Merge(now clock.Instant, m SegmentMarks) bool {
	if m.isEmpty() {
		return false
	}
	changed, announce := false, false // the caller passes the change on if it should
	s.mu.Lock()
	defer s.unlock(&announce)
	for _, a := range m.Answers {
		at := before(now, a.Age)
		s.answered.add(a.Segment, at)
		changed = s.clear(a.Segment, at, now, "answered, according to another daemon") || changed
	}
	for _, r := range m.Runs {
		if s.answered.last(r.Segment) > before(now, r.SentAge) { // the sender doesn't know that
			s.relayAnswer(r.Segment, now)
			continue
		}
		changed = s.record(r.Segment, run{r.Request, r.Target, r.Daemon, before(now, r.SentAge), before(now, r.EndedAge)}) || changed
	}
	for _, p := range m.Probes {
		changed = s.mergeProbe(p, now) || changed
	}
	for _, segment := range m.Quarantined {
		if suspect := s.suspicions[segment]; suspect != nil && !suspect.quarantined {
			changed = true
			s.quarantine(segment, suspect)
		}
	}
	if changed {
		s.evaluate()
		s.expireAt = 0 // what was received may have expired
		s.expire(now)
	}
	return changed
}

// before returns the time that is the age before now. Ages are read up to a day, and negative ones
// as zero.
func before(now clock.Instant, age time.Duration) clock.Instant {
	return now.Add(-min(max(age, 0), 24*time.Hour))
}

// mergeProbe adopts a higher count of probes, and reports whether it was.
func (s *Segments) mergeProbe(p ProbeMark, now clock.Instant) bool {
	suspect := s.suspicions[p.Segment]
	if suspect == nil || p.Count <= suspect.probes {
		return false
	}
	suspect.probes, suspect.lastProbe = p.Count, before(now, p.Age)
	return true
}
