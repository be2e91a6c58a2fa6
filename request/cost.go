package request

import (
	"math"

	"rattanline.example/rattanline/config"
)

// Tokens counts the work of a model request.
type Tokens struct {
	Input  int
	Output int
}

// Cost returns the cost of a request in priced units.
func Cost(p config.Price, t Tokens) float64 {
	return p.Request + p.InputToken*float64(t.Input) + p.OutputToken*float64(t.Output)
}

// The assumptions of estimates without a hint.
const (
	bytesPerToken     = 4   // usual for English text with byte pair encodings
	assumedOutput     = 256 // tokens of a response without max_tokens
	maxEstimateOutput = 1 << 17
	hintTolerance     = 10 // hints are rough
)

// EstimateTokens returns the expected tokens of a model request. MaxTokens is
// zero if the caller gave none.
func EstimateTokens(bodyBytes, maxTokens int) Tokens {
	output := assumedOutput
	if maxTokens > 0 {
		output = min(maxTokens, maxEstimateOutput)
	}
	return Tokens{Input: bodyBytes / bytesPerToken, Output: output}
}

// Estimate returns the cost that a request is queued and charged with before
// its work is known. A hint is ignored unless it is a positive finite number, and
// counts at most as a multiple of the largest cost that the request can have: a
// counter that was raised far beyond that and lowered again would lose its former
// value to rounding.
func Estimate(p config.Price, t Tokens, hint float64) float64 {
	if hint > 0 && !math.IsInf(hint, 0) {
		return min(hint, hintTolerance*Cost(p, Tokens{Input: t.Input * bytesPerToken, Output: maxEstimateOutput}))
	}
	return Cost(p, t)
}
