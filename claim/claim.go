// Package claim keeps the log of idempotency keys that may be sent to a target
// once. The log is held in the key-value service, so that the write decides
// between daemons that don't know of each other.
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

// Digest identifies an account and key, a body or an attempt. Half of a SHA-256
// keeps the log short; an accidental collision in a log of a million claims has
// a probability below 2^-88.
type Digest [16]byte

// String returns the digest in hexadecimal.
func (d Digest) String() string { return hex.EncodeToString(d[:]) }

// NewDigest returns the digest of the parts, which are kept apart.
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

// NewAttempt returns a random attempt id, which is never used again.
func NewAttempt() Digest {
	var d Digest
	_, _ = rand.Read(d[:])
	return d
}

// Request asks for the right to send a request with the key once.
type Request struct {
	Account string
	Key     string
	// Body is the digest of everything that must be the same in a resend.
	Body    Digest
	Attempt Digest
	// Supersedes is an attempt of the same key that was certainly not sent, as
	// its claiming daemon said.
	Supersedes Digest
}

// Decision is what became of a claim: Granted, Duplicate, Mismatch or Full.
type Decision interface{ isDecision() }

// Granted allows the request to be sent once, and to run until the given time.
// After the claim has expired a resend may be granted, which must not find the
// request still running.
type Granted struct{ Until time.Time }

// Duplicate tells that the key is claimed by another attempt.
type Duplicate struct {
	Claimer usage.Source
	Attempt Digest
}

// Mismatch tells that the key was used with another body.
type Mismatch struct{}

// Full tells that the shard of the key has no room until claims expire.
type Full struct{}

func (Granted) isDecision()   {}
func (Duplicate) isDecision() {}
func (Mismatch) isDecision()  {}
func (Full) isDecision()      {}

// Answer is the response to a claimed request, kept for resends.
type Answer struct {
	Status int
	Header http.Header
	Body   []byte
}

// PriorResult is what a resend learns of the earlier request: Answered, NotSent or
// Lost.
type PriorResult interface{ isEarlier() }

// Answered holds the response to the earlier request.
type Answered struct{ Answer Answer }

// NotSent tells that the earlier request was not sent and never will be.
type NotSent struct{}

// Lost tells that the response can't be had any more.
type Lost struct{ Cause string }

func (Answered) isEarlier() {}
func (NotSent) isEarlier()  {}
func (Lost) isEarlier()     {}
