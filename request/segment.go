package request

import (
	"crypto/sha256"
	"encoding/hex"

	"github.com/cespare/xxhash/v2"
)

const (
	// maxSharedSegments bounds the segments of one request that SharedSegments returns.
	maxSharedSegments = 256
	// maxSegmentID is the length in bytes above which the ID of a segment is replaced by
	// its digest.
	maxSegmentID = 64
)

// Segment identifies a prompt segment to the engines of one model.
type Segment struct{ Model, ID string }

// SharedSegments returns the prompt segments that other requests may share: all but the
// last one.
func (d Demand) SharedSegments() []Segment {
	n := min(len(d.Segments)-1, maxSharedSegments)
	if n <= 0 {
		return nil
	}
	shared := make([]Segment, n)
	for i, s := range d.Segments[:n] {
		shared[i] = Segment{Model: bounded(d.Model), ID: bounded(s.ID)}
	}
	return shared
}

// Content identifies the content of a request with the fingerprint and the prompt. A resend has
// the same one.
func (d Demand) Content(fingerprint uint64) uint64 {
	var digest xxhash.Digest
	digest.ResetWithSeed(fingerprint)
	for _, s := range d.Segments {
		_, _ = digest.WriteString(s.ID)
		_, _ = digest.Write([]byte{0})
	}
	return digest.Sum64()
}

// bounded returns s, or its digest if s is long. A digest is longer than maxSegmentID, so
// that it equals no other value.
func bounded(s string) string {
	if len(s) <= maxSegmentID {
		return s
	}
	digest := sha256.Sum256([]byte(s))
	return "sha256:" + hex.EncodeToString(digest[:])
}
