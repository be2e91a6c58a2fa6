package claim

import (
	"encoding/binary"
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"rattanline.example/rattanline/port"
	"rattanline.example/rattanline/usage"
)

var start = time.UnixMilli(1_700_000_000_000)

func digestOf(n int) (d Digest) {
	binary.BigEndian.PutUint64(d[8:], uint64(n)) // all in shard 0
	return d
}

func claimOf(key, attempt int) Operation {
	return Operation{Key: digestOf(key), Body: digestOf(1), Attempt: digestOf(attempt), Claimer: usage.Source{Daemon: "d", Incarnation: "i"}}
}

// store implements the part of the key-value service that a shard needs.
type store struct {
	values   map[string]port.Entry
	revision int64
}

func (s *store) commit(t port.Transaction) bool {
	for _, c := range t.Conditions {
		if s.values[c.Key].Revision != c.Revision {
			return false
		}
	}
	s.revision++
	for _, w := range t.Writes {
		if delete(s.values, w.Key); !w.Delete {
			s.values[w.Key] = port.Entry{Key: w.Key, Value: w.Value, Revision: s.revision}
		}
	}
	return true
}

func (s *store) load(t testing.TB) *Shard {
	var entries []port.Entry
	for n := range 200 {
		if e, ok := s.values[segmentKey(0, n)]; ok {
			qt.Assert(t, len(e.Value) <= MaxSegmentBytes, qt.IsTrue)
			entries = append(entries, e)
		}
	}
	shard, err := LoadShard(0, 10*time.Minute, entries)
	qt.Assert(t, err, qt.IsNil)
	return shard
}

func newStore() *store { return &store{values: map[string]port.Entry{}} }

// write commits the operations in one transaction, which must succeed.
func write(t testing.TB, k *store, s *Shard, now time.Time, operations ...Operation) []Decision {
	p := s.Plan(now, operations)
	qt.Assert(t, k.commit(p.Transaction), qt.IsTrue)
	s.Apply(now, p, k.revision)
	return p.Decisions
}

// Guards against a second grant of a key, by the shard in memory and by one loaded
// from the log.
func TestDecisions(t *testing.T) {
	release, other, takeover := claimOf(1, 1), claimOf(1, 2), claimOf(1, 2)
	release.Release, other.Body, takeover.Supersedes = true, digestOf(2), digestOf(1)
	wrongRelease := release
	wrongRelease.Attempt = digestOf(9)
	duplicate := Duplicate{Claimer: usage.Source{Daemon: "d", Incarnation: "i"}, Attempt: digestOf(1)}
	for name, c := range map[string]struct {
		second Operation
		after  time.Duration
		want   Decision
	}{
		"same attempt":               {claimOf(1, 1), 0, Granted{}},
		"resend":                     {claimOf(1, 2), 0, duplicate},
		"other body":                 {other, 0, Mismatch{}},
		"takeover":                   {takeover, 0, Granted{}},
		"other key":                  {claimOf(2, 2), 0, Granted{}},
		"just before expiry":         {claimOf(1, 2), 10 * time.Minute, duplicate},
		"expired":                    {claimOf(1, 2), 12 * time.Minute, Granted{}},
		"release":                    {release, 0, Granted{}},
		"release by another attempt": {wrongRelease, 0, Granted{}},
	} {
		t.Run(name, func(t *testing.T) {
			k := newStore()
			s := k.load(t)
			write(t, k, s, start, claimOf(1, 1))
			for _, shard := range []*Shard{k.load(t), s} {
				p := shard.Plan(start.Add(c.after), []Operation{c.second})
				qt.Assert(t, p.Decisions, qt.DeepEquals, []Decision{c.want})
			}
			write(t, k, s, start.Add(c.after), c.second)
			third := k.load(t).Plan(start.Add(c.after), []Operation{claimOf(1, 3)}).Decisions[0]
			_, free := third.(Granted)
			qt.Assert(t, free, qt.Equals, name == "release")
		})
	}
}

// Guards against two grants of a key in one transaction.
func TestDuplicateWithinBatch(t *testing.T) {
	k := newStore()
	got := write(t, k, k.load(t), start, claimOf(1, 1), claimOf(1, 2))
	qt.Assert(t, got, qt.DeepEquals, []Decision{Granted{}, Duplicate{Claimer: claimOf(1, 1).Claimer, Attempt: digestOf(1)}})
}

// Guards against two daemons that both grant a key after reading the same state of
// the log.
func TestOwnerRace(t *testing.T) {
	k := newStore()
	s := k.load(t)
	for i := range 2000 { // over several segments
		// The first claim of a new segment leaves the previous segment unchanged.
		boundary := i > 0 && len(s.segments[len(s.segments)-1].data)+maxRecordBytes > MaxSegmentBytes
		if i%500 == 0 || boundary {
			stale := k.load(t)
			write(t, k, s, start, claimOf(1_000_000+i, 1))
			qt.Assert(t, k.commit(stale.Plan(start, []Operation{claimOf(1_000_000+i, 2)}).Transaction), qt.IsFalse)
		}
		write(t, k, s, start, claimOf(i, 1))
	}
}

// Guards against a grant by a daemon that read the shard before its first claim
// and writes after the segment of that claim was pruned.
func TestFirstSegmentIsRetained(t *testing.T) {
	k := newStore()
	stale, s := k.load(t), k.load(t)
	now := start
	for i := range 4000 {
		write(t, k, s, now, claimOf(i, 1))
		now = now.Add(time.Second)
	}
	qt.Assert(t, len(s.segments) > 1, qt.IsTrue)
	qt.Assert(t, s.segments[0].empty(), qt.IsTrue)
	qt.Assert(t, k.commit(stale.Plan(now, []Operation{claimOf(3999, 2)}).Transaction), qt.IsFalse)
}

// Guards against a shard that exceeds its bounds, and against a shard that stays
// full after its claims have expired.
func TestFullShard(t *testing.T) {
	k := newStore()
	s, granted := k.load(t), 0
	for n := 0; ; n += MaxBatch {
		var batch []Operation
		for i := range MaxBatch {
			batch = append(batch, claimOf(n+i, 1))
		}
		decisions := write(t, k, s, start, batch...)
		for _, d := range decisions {
			if d == Decision(Granted{}) {
				granted++
			}
		}
		if decisions[MaxBatch-1] == Decision(Full{}) {
			break
		}
	}
	qt.Assert(t, k.values, qt.HasLen, MaxSegments)
	qt.Assert(t, granted > 18_000, qt.IsTrue, qt.Commentf("%d", granted))
	// A full shard still detects a duplicate.
	qt.Assert(t, fmt.Sprintf("%T", write(t, k, s, start, claimOf(5, 2))[0]), qt.Equals, "claim.Duplicate")
	later := start.Add(12 * time.Minute)
	qt.Assert(t, write(t, k, s, later, claimOf(5, 2)), qt.DeepEquals, []Decision{Granted{}})
	qt.Assert(t, len(k.load(t).segments) <= 3, qt.IsTrue)
	qt.Assert(t, s.claims, qt.HasLen, 1)
}

// Guards against damaged segments that are decoded to incomplete claims instead of
// an error.
func FuzzSegment(f *testing.F) {
	s := newSegment(0)
	s.addClaim(digestOf(1), claimRecord{claimer: usage.Source{Daemon: "d", Incarnation: "i"}, time: 5})
	s.addRelease(digestOf(1), digestOf(2))
	f.Add(s.data)
	f.Add([]byte{formatVersion, recordClaim})
	f.Fuzz(func(t *testing.T, data []byte) {
		records := func(data []byte) (read []any, again segment, err error) {
			s := segment{data: data, claimers: map[usage.Source]uint64{}}
			again = newSegment(0)
			err = s.decode(
				func(k Digest, rec claimRecord) { read = append(read, k, rec); again.addClaim(k, rec) },
				func(k, a Digest) { read = append(read, k, a); again.addRelease(k, a) },
			)
			return read, again, err
		}
		first, again, err := records(data)
		if err != nil {
			return
		}
		second, _, err := records(again.data)
		qt.Assert(t, err, qt.IsNil)
		qt.Assert(t, fmt.Sprint(second), qt.Equals, fmt.Sprint(first))
	})
}
