// Package submission stores the configuration in the platform's key-value
// service, where each accepted version is written exactly once.
package submission

import (
	"fmt"
	"slices"
	"time"

	"rattanline.example/rattanline/config"
)

// Key is the key of the configuration in the key-value service.
const Key = "rattanline/config"

// historyLength is the number of submits that the envelope records. The outcome of
// a submit whose response was lost can be determined until that number of later
// versions have been accepted.
const historyLength = 64

// Envelope is the stored value: one version of the document with its author, its
// time and the latest submits.
type Envelope struct {
	Version  uint64          `json:"version"`
	Author   string          `json:"author"`
	Time     time.Time       `json:"time"`
	Document config.Document `json:"document"`
	// Submits are the last accepted submits, oldest first.
	Submits []Submit `json:"submits"`
}

// Submit is the record of one accepted submit.
type Submit struct {
	ID      string `json:"id"`
	Version uint64 `json:"version"`
	Kept    string `json:"kept,omitempty"` // see Accepted.Kept
}

// find returns the outcome of the submit with the ID, if it is in the history.
func (e Envelope) find(id string) (Accepted, bool) {
	for _, s := range e.Submits {
		if s.ID == id {
			return Accepted{Version: s.Version, Kept: s.Kept}, true
		}
	}
	return Accepted{}, false
}

// mayHaveDropped reports whether a submit on the base version may have been
// accepted and since been dropped from the history.
func (e Envelope) mayHaveDropped(base uint64) bool {
	return e.Version > base && !slices.ContainsFunc(e.Submits, func(s Submit) bool { return s.Version == base+1 })
}

// next returns the envelope that accepting the request stores.
func (e Envelope) next(r Request, now time.Time) Envelope {
	version := e.Version + 1
	document, kept := r.merge(e.Document)
	submits := append(slices.Clone(e.Submits), Submit{ID: r.ID, Version: version, Kept: kept})
	return Envelope{
		Version:  version,
		Author:   r.Author,
		Time:     now,
		Document: document.WithVersion(version),
		Submits:  submits[max(len(submits)-historyLength, 0):],
	}
}

func (e Envelope) encode() ([]byte, error) {
	data, err := config.Encode(e)
	if err != nil {
		return nil, fmt.Errorf("encode envelope: %w", err)
	}
	if len(data) > config.MaxValueBytes {
		return nil, fmt.Errorf("the envelope has %d bytes, at most %d are allowed", len(data), config.MaxValueBytes)
	}
	return data, nil
}

// DecodeEnvelope decodes a stored value.
func DecodeEnvelope(value []byte) (Envelope, error) {
	var e Envelope
	if err := config.Decode(value, &e); err != nil {
		return Envelope{}, fmt.Errorf("decode envelope: %w", err)
	}
	return e, nil
}

// Decode returns the document, with its version, of a stored value.
func Decode(value []byte) (config.Document, error) {
	e, err := DecodeEnvelope(value)
	return e.Document, err
}
