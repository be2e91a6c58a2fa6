package request

import "time"

// Demand is what a caller's request says of itself.
type Demand struct {
	// ID is the caller's id of this attempt.
	ID string
	// Key is the caller's key, empty if it sent none.
	Key string
	// Wait is how long the caller waits; zero if it doesn't say.
	Wait time.Duration
	// Prompt and MaxOutput are numbers of tokens, zero for plain requests.
	Prompt, MaxOutput int
	// OutputHint is the caller's estimate of the output tokens, zero if none.
	OutputHint int
	// Segments lists the parts of the prompt in order. The last is the request's
	// own; others may share those before it.
	Segments []PromptSegment
	// LastEvent is the event after which a stream is to go on, empty for a new
	// stream.
	LastEvent string
}

// PromptSegment is a part of a prompt.
type PromptSegment struct {
	ID     string
	Tokens int
}

// Work returns the tokens that count for an account's share: each token read
// once, each generated twice.
func (d Demand) Work() float64 {
	output := d.OutputHint
	if output == 0 || output > d.MaxOutput {
		output = d.MaxOutput
	}
	return float64(d.Prompt + 2*output)
}
