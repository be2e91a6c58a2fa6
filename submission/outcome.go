package submission

import "rattanline.example/rattanline/config"

// Request is one submit. After an Unknown outcome, the caller sends it again with
// Resubmitted set and otherwise unchanged.
type Request struct {
	// Base is the version that the document was derived from; zero for the first.
	Base uint64
	// ID is a random identifier, the same for all attempts at one change.
	ID string
	// Author is recorded with the version.
	Author   string
	Document config.Document
	// SetsDrained is true for drains and restores. All other requests keep the
	// drained states of the current version; see KeepDrained.
	SetsDrained bool
	// Resubmitted is true if an earlier attempt ended as Unknown. If the history no
	// longer covers that attempt, the outcome is Unknown and not Conflict.
	Resubmitted bool
}

// Outcome is the result of a submit: Accepted, Conflict or Unknown.
type Outcome interface{ outcome() }

// Accepted means that the write is known to have taken effect.
type Accepted struct {
	Version uint64
	// Kept has one line for each drained state in which the stored document differs
	// from the submitted one.
	Kept string
}

// Conflict means that the base is not the current version and that the document
// was not stored.
type Conflict struct {
	Current config.Document
	// Diff is the difference from the current to the submitted document. Drained
	// states that would be kept are listed as kept and not as changes.
	Diff string
}

// Unknown means that a write may or may not have taken effect. Submitting again
// with the same ID determines the outcome.
type Unknown struct{}

func (Accepted) outcome() {}
func (Conflict) outcome() {}
func (Unknown) outcome()  {}
