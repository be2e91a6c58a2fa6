// Package claim implements claims of idempotency keys, which allow a request to be
// sent to a target at most once. Claims are appended to a log in the key-value
// service, whose conditional writes decide between daemons that don't know of each
// other.
package claim

import (
	"crypto/rand"
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"net/http"
	"time"

	"rattanline.example/rattanline/usage"
)

// Digest identifies a client account with a key, a request body or an attempt. It
// is half of a SHA-256 hash, to keep the log short; the probability of an
// accidental collision in a log of a million claims is below 2^-88.
type Digest [16]byte

// String returns the digest in hexadecimal.
func (d Digest) String() string { return hex.EncodeToString(d[:]) }

// NewDigest returns the digest of the parts. The length of each part is hashed
// with it, so that different divisions of the same bytes have different digests.
func NewDigest(parts ...[]byte) Digest {
	h := sha256.New()
	var length [8]byte
	for _, part := range parts {
		binary.BigEndian.PutUint64(length[:], uint64(len(part)))
		_, _ = h.Write(length[:])
		_, _ = h.Write(part)
	}
	return Digest(h.Sum(nil)[:16])
}

// NewAttempt returns a random attempt id.
func NewAttempt() Digest {
	var d Digest
	_, _ = rand.Read(d[:])
	return d
}

// Request is a request to claim a key, so that a request with the key may be sent
// once.
type Request struct {
	Account string
	Key     string
	// Body is the digest of everything that must be the same in a resend.
	Body Digest
	// Attempt is an id that no other claim uses.
	Attempt Digest
	// Supersedes is an attempt with the same key of which its claiming daemon
	// reported that it was not run and never will be.
	Supersedes Digest
}

// Decision is the result of a claim: one of Granted, Duplicate, Mismatch and Full.
type Decision interface{ isDecision() }

// Granted allows the request to be sent once and to run until the given time. The
// request must have ended before the claim expires, since a resend may be granted
// after that.
type Granted struct{ Until time.Time }

// Duplicate means that the key is claimed by another attempt.
type Duplicate struct {
	Claimer usage.Source
	Attempt Digest
}

// Mismatch means that the key is claimed with another body.
type Mismatch struct{}

// Full means that the shard of the key has no room until claims expire.
type Full struct{}

func (Granted) isDecision()   {}
func (Duplicate) isDecision() {}
func (Mismatch) isDecision()  {}
func (Full) isDecision()      {}

// Answer is the response to a claimed request, stored for resends.
type Answer struct {
	Status int
	Header http.Header
	Body   []byte
}

// PriorResult is the result of the earlier request that a resend receives: one of
// Answered, NotSent and Lost.
type PriorResult interface{ isPriorResult() }

// Answered holds the response to the earlier request.
type Answered struct{ Answer Answer }

// NotSent means that the earlier request was not run and never will be: it was not
// sent, or its target answered with a not-run status.
type NotSent struct{}

// Lost means that the response to the earlier request is not available.
type Lost struct{ Cause string }

func (Answered) isPriorResult() {}
func (NotSent) isPriorResult()  {}
func (Lost) isPriorResult()     {}
