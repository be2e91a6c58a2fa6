package claim

import (
	"encoding/binary"
	"fmt"
	"strconv"
	"strings"

	"github.com/pkg/errors"

	"rattanline.example/rattanline/usage"
)

const (
	keyPrefix = "claims/"
	// Shards is the number of shards, each with its own log. With 8 writes per
	// second and shard they use less than half of the platform's write rate.
	Shards = 32
	// MaxSegmentBytes is the maximum size of a segment, which each append
	// rewrites.
	MaxSegmentBytes = 64 << 10
	// MaxSegments is the maximum number of segments in a shard, not counting a first
	// segment that was emptied. It limits a shard, which is read as a whole after a
	// change of owner, to about one megabyte.
	MaxSegments = 16
	// MaxBatch is the maximum number of operations in a transaction. It keeps their
	// records, apart from those of claimers, smaller than one segment.
	MaxBatch = 400
	// maxNameBytes is the maximum length of the name and of the incarnation of a
	// claiming daemon.
	maxNameBytes = 64
)

// ShardOf returns the shard of a key.
func ShardOf(key Digest) int { return int(key[0]) % Shards }

// ShardKey returns the prefix of the shard's keys in the key-value service. It is
// also the key by which the owner of the shard is chosen.
func ShardKey(shard int) string { return fmt.Sprintf("%s%02d/", keyPrefix, shard) }

func segmentKey(shard, number int) string { return fmt.Sprintf("%s%010d", ShardKey(shard), number) }

func parseSegmentKey(shard int, key string) (number int, err error) {
	rest, ok := strings.CutPrefix(key, ShardKey(shard))
	if !ok || len(rest) != 10 {
		return 0, errors.Errorf("invalid segment key %q", key)
	}
	if number, err = strconv.Atoi(rest); err != nil || number < 0 {
		return 0, errors.Errorf("invalid segment key %q", key)
	}
	return number, nil
}

// claimRecord is a claim in the log.
type claimRecord struct {
	body, attempt Digest
	claimer       usage.Source
	time          int64 // Unix milliseconds by the writer's clock
}

// The format version and the kinds of records of a segment. A claimer is written
// once per segment; claims refer to it by its index.
const (
	formatVersion = 1
	recordClaimer = 1
	recordClaim   = 2
	recordRelease = 3
)

// segment is one value of the log.
type segment struct {
	number   int
	revision int64
	data     []byte
	claimers map[usage.Source]uint64
	newest   int64 // time of the newest claim
}

func newSegment(number int) segment {
	return segment{number: number, data: []byte{formatVersion}, claimers: map[usage.Source]uint64{}}
}

// empty reports whether the segment holds no record.
func (s segment) empty() bool { return len(s.data) <= 1 }

// clone returns a copy that can be appended to.
func (s segment) clone() segment {
	claimers := make(map[usage.Source]uint64, len(s.claimers)+1)
	for c, i := range s.claimers {
		claimers[c] = i
	}
	s.data, s.claimers = append(make([]byte, 0, len(s.data)+1024), s.data...), claimers
	return s
}

func appendString(data []byte, s string) []byte {
	return append(binary.AppendUvarint(data, uint64(len(s))), s...)
}

func (s *segment) addClaim(key Digest, rec claimRecord) {
	i, ok := s.claimers[rec.claimer]
	if !ok {
		i = uint64(len(s.claimers))
		s.claimers[rec.claimer] = i
		s.data = append(s.data, recordClaimer)
		s.data = appendString(appendString(s.data, rec.claimer.Daemon), rec.claimer.Incarnation)
	}
	s.data = append(s.data, recordClaim)
	s.data = append(append(append(s.data, key[:]...), rec.body[:]...), rec.attempt[:]...)
	s.data = binary.AppendVarint(binary.AppendUvarint(s.data, i), rec.time)
	s.newest = max(s.newest, rec.time)
}

func (s *segment) addRelease(key, attempt Digest) {
	s.data = append(s.data, recordRelease)
	s.data = append(append(s.data, key[:]...), attempt[:]...)
}

// maxRecordBytes is the maximum size of a claim together with its claimer.
const maxRecordBytes = 1 + 2*(2+maxNameBytes) + 1 + 3*16 + 2*binary.MaxVarintLen64

// decoder decodes the bytes of a segment. It keeps the first error.
type decoder struct {
	data []byte
	err  error
}

func (d *decoder) fail(what string) {
	if d.err == nil {
		d.err = errors.Errorf("segment with invalid or incomplete %s", what)
	}
	d.data = nil
}

func (d *decoder) digest() (g Digest) {
	if len(d.data) < len(g) {
		d.fail("digest")
		return g
	}
	d.data = d.data[copy(g[:], d.data):]
	return g
}

func (d *decoder) uvarint() uint64 {
	v, n := binary.Uvarint(d.data)
	if n <= 0 {
		d.fail("number")
		return 0
	}
	d.data = d.data[n:]
	return v
}

func (d *decoder) varint() int64 {
	v, n := binary.Varint(d.data)
	if n <= 0 {
		d.fail("number")
		return 0
	}
	d.data = d.data[n:]
	return v
}

func (d *decoder) string() string {
	n := d.uvarint()
	if n > maxNameBytes || n > uint64(len(d.data)) {
		d.fail("name")
		return ""
	}
	s := string(d.data[:n])
	d.data = d.data[n:]
	return s
}

// decode decodes the records of the segment, calls claim and release for them in
// order, and sets the claimers and the newest time of the segment.
func (s *segment) decode(claim func(Digest, claimRecord), release func(key, attempt Digest)) error {
	if len(s.data) == 0 || s.data[0] != formatVersion {
		return errors.New("segment of an unknown format")
	}
	d := decoder{data: s.data[1:]}
	var claimers []usage.Source
	for len(d.data) > 0 {
		kind := d.data[0]
		d.data = d.data[1:]
		switch kind {
		case recordClaimer:
			c := usage.Source{Daemon: d.string(), Incarnation: d.string()}
			s.claimers[c] = uint64(len(claimers))
			claimers = append(claimers, c)
		case recordClaim:
			key, rec := d.digest(), claimRecord{body: d.digest(), attempt: d.digest()}
			i := d.uvarint()
			rec.time = d.varint()
			if i >= uint64(len(claimers)) {
				d.fail("claimer")
				break
			}
			rec.claimer = claimers[i]
			if d.err == nil {
				s.newest = max(s.newest, rec.time)
				claim(key, rec)
			}
		case recordRelease:
			if key, attempt := d.digest(), d.digest(); d.err == nil {
				release(key, attempt)
			}
		default:
			d.fail("record")
		}
	}
	return d.err
}
