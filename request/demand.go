package request

import "time"

// Demand holds what the caller's request states about itself.
type Demand struct {
	// ID is the caller's identifier of this attempt.
	ID string
	// APIKey is the caller's API key, empty if the caller sent none.
	APIKey string
	// Model is the model that the request asks for, empty if not stated.
	Model string
	// Wait is how long the caller waits for the response, zero if not stated.
	Wait time.Duration
	// Prompt is the number of input tokens, zero for plain requests.
	Prompt int
	// MaxOutput is the maximum number of output tokens, zero for plain requests.
	MaxOutput int
	// OutputHint is the caller's estimate of the output tokens, zero if not stated.
	OutputHint int
	// Segments lists the prompt segments in order. The last one belongs to this
	// request alone; other requests may share the ones before it.
	Segments []PromptSegment
	// LastEvent is the id of the event after which a stream resumes, empty for a
	// new stream.
	LastEvent string
}

// PromptSegment is a part of a prompt with its number of tokens.
type PromptSegment struct {
	ID     string
	Tokens int
}

// Work returns the tokens that are charged to the client account's share: each
// input token once, each expected output token twice.
func (d Demand) Work() float64 {
	output := d.OutputHint
	if output == 0 || output > d.MaxOutput {
		output = d.MaxOutput
	}
	return float64(d.Prompt + 2*output)
}
