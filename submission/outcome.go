package submission

import "rattanline.example/rattanline/config"

// Request is one submit. A caller that got Unknown sends it again unchanged.
type Request struct {
	// Base is the version that the document was derived from; zero for the first.
	Base uint64
	// ID is random and the same for all attempts at one change.
	ID string
	// Author is recorded with the version.
	Author   string
	Document config.Document
	// SetsDrained tells that the request is a drain or restore. All others keep
	// the drained states of the current version; see KeepDrained.
	SetsDrained bool
	// Resubmitted tells that an earlier attempt ended as Unknown. When so many
	// versions followed that the history no longer tells, the result is Unknown
	// and not Conflict.
	Resubmitted bool
}

// Outcome is the result of a submit: Accepted, Conflict or Unknown.
type Outcome interface{ outcome() }

// Accepted means that the write is known to have taken effect.
type Accepted struct {
	Version uint64
	// Kept has a line for each drained state in which the stored document differs
	// from the submitted one.
	Kept string
}

// Conflict means that the base is not the current version and that the document
// was not stored.
type Conflict struct {
	Current config.Document
	// Diff leads from the current to the submitted document, less the drained
	// states that would be kept, which it lists as such.
	Diff string
}

// Unknown means that a write may or may not have taken effect. Submitting again
// with the same id resolves it.
type Unknown struct{}

func (Accepted) outcome() {}
func (Conflict) outcome() {}
func (Unknown) outcome()  {}
