package quarantine

import (
	"encoding/json"
	"fmt"
	"slices"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"

	"rattanline.example/rattanline/clock"
	"rattanline.example/rattanline/port"
	"rattanline.example/rattanline/request"
)

// SegmentPrefix is the key prefix of the entries that hold one quarantined prompt segment each.
const SegmentPrefix = "rattanline/poison-segments/"

const (
	// maxStoredRuns is the number of interrupted requests in one entry, those with the lowest
	// identifiers, so that all daemons store the same ones.
	maxStoredRuns = strongRuns
	// lastCrashTolerance is by how much a stored time may be too old.
	lastCrashTolerance = 10 * time.Second
)

// PoisonSegment is what is stored of a quarantined prompt segment. Its times are those of the
// wall clock.
type PoisonSegment struct {
	Model     string      `json:"model"`
	Segment   string      `json:"segment"`
	Runs      []storedRun `json:"interrupted"`
	LastCrash time.Time   `json:"last-crash"`
	Probes    int         `json:"probes"`
	LastProbe time.Time   `json:"last-probe"`
}

// storedRun is a request that a crash interrupted.
type storedRun struct {
	Request uint64    `json:"request"`
	Target  string    `json:"target"`
	Daemon  string    `json:"daemon"`
	Sent    time.Time `json:"sent"`
	Ended   time.Time `json:"ended"`
}

// PoisonSegments are the Contents of an Archive that holds the quarantined prompt segments.
type PoisonSegments struct{ *Segments }

var _ Contents[PoisonSegment] = PoisonSegments{}

// Prefix implements Contents.
func (PoisonSegments) Prefix() string { return SegmentPrefix }

// Known implements Contents.
func (p PoisonSegments) Known(now time.Time) map[string]PoisonSegment {
	s, at := p.Segments, clock.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire(at)
	wall := func(i clock.Instant) time.Time { return now.Add(-at.Sub(i)).Round(time.Millisecond).UTC() }
	known := map[string]PoisonSegment{}
	for _, segment := range s.bySeverity() {
		suspect := s.suspicions[segment]
		if !suspect.quarantined || len(known) == maxSuspects {
			break
		}
		record := PoisonSegment{Model: segment.Model, Segment: segment.ID, LastCrash: wall(suspect.lastCrash), Probes: suspect.probes}
		if suspect.probes > 0 {
			record.LastProbe = wall(suspect.lastProbe)
		}
		for _, r := range suspect.runs[:min(len(suspect.runs), maxStoredRuns)] {
			record.Runs = append(record.Runs, storedRun{r.request, r.target, r.daemon, wall(r.sent), wall(r.ended)})
		}
		known[segmentKey(segment)] = record
	}
	return known
}

// Restore implements Contents.
func (p PoisonSegments) Restore(now time.Time, record PoisonSegment) {
	if now.Sub(latest(record.LastCrash, record.LastProbe)) > period {
		return
	}
	segment := request.Segment{Model: record.Model, ID: record.Segment}
	marks := SegmentMarks{Quarantined: []request.Segment{segment}}
	for _, r := range record.Runs {
		marks.Runs = append(marks.Runs, RunMark{segment, r.Request, r.Target, r.Daemon, now.Sub(r.Sent), now.Sub(r.Ended)})
	}
	if record.Probes > 0 {
		marks.Probes = []ProbeMark{{segment, record.Probes, now.Sub(record.LastProbe)}}
	}
	at := clock.Now()
	p.Merge(at, marks)
	p.recordLastCrash(segment, before(at, now.Sub(record.LastCrash)))
}

// recordLastCrash records a crash by a suspect segment of which nothing else is known.
func (s *Segments) recordLastCrash(segment request.Segment, at clock.Instant) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if suspect := s.suspicions[segment]; suspect != nil {
		suspect.lastCrash = max(suspect.lastCrash, at)
	}
}

// UpToDate implements Contents. Daemons compute slightly different times for the same request.
func (PoisonSegments) UpToDate(stored, known PoisonSegment) bool {
	sameRequest := func(a, b storedRun) bool { return a.Request == b.Request }
	return stored.Probes >= known.Probes && slices.EqualFunc(stored.Runs, known.Runs, sameRequest) &&
		known.LastCrash.Sub(stored.LastCrash) <= lastCrashTolerance
}

// Encode implements Contents.
func (PoisonSegments) Encode(record PoisonSegment) ([]byte, error) { return json.Marshal(record) }

// Decode implements Contents.
func (PoisonSegments) Decode(e port.Entry) (PoisonSegment, error) { return DecodePoisonSegment(e) }

// DecodePoisonSegment decodes an entry under SegmentPrefix. Other writers may have written it.
func DecodePoisonSegment(e port.Entry) (PoisonSegment, error) {
	var record PoisonSegment
	if err := json.Unmarshal(e.Value, &record); err != nil {
		return PoisonSegment{}, fmt.Errorf("decode prompt segment %s: %w", e.Key, err)
	}
	key := segmentKey(request.Segment{Model: record.Model, ID: record.Segment})
	if record.Segment == "" || e.Key != key || len(record.Runs) > maxStoredRuns || record.Probes < 0 {
		return PoisonSegment{}, errors.Errorf("prompt segment %q with %d runs and %d probes in %s", record.Segment, len(record.Runs), record.Probes, e.Key)
	}
	for _, r := range record.Runs {
		if len(r.Target) > maxStoredName || len(r.Daemon) > maxStoredName {
			return PoisonSegment{}, errors.Errorf("names with %d and %d bytes in %s", len(r.Target), len(r.Daemon), e.Key)
		}
	}
	return record, nil
}

// segmentKey returns the key of a segment, whose own names may be too long for one.
func segmentKey(s request.Segment) string {
	return SegmentPrefix + strconv.FormatUint(xxhash.Sum64String(s.Model+"\x00"+s.ID), 16)
}

func latest(a, b time.Time) time.Time {
	if b.After(a) {
		return b
	}
	return a
}
