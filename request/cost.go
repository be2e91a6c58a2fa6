package request

import (
	"math"

	"rattanline.example/rattanline/config"
)

// Tokens holds the input and output tokens of a model request.
type Tokens struct {
	Input  int
	Output int
}

// Cost returns the cost of a request in the unit of the price.
func Cost(p config.Price, t Tokens) float64 {
	return p.Request + p.InputToken*float64(t.Input) + p.OutputToken*float64(t.Output)
}

// Constants of cost estimates.
const (
	bytesPerToken           = 4   // typical for English text with byte pair encodings
	assumedOutputTokens     = 256 // output of a request without max_tokens
	maxEstimateOutputTokens = 1 << 17
	maxHintRatio            = 10 // multiple of the largest possible cost, since hints are rough
)

// EstimateTokens returns the expected tokens of a model request. The parameter
// maxTokens is zero if the caller sent none.
func EstimateTokens(bodyBytes, maxTokens int) Tokens {
	output := assumedOutputTokens
	if maxTokens > 0 {
		output = min(maxTokens, maxEstimateOutputTokens)
	}
	return Tokens{Input: bodyBytes / bytesPerToken, Output: output}
}

// Estimate returns the cost with which a request is queued and charged before its
// actual cost is known. A hint is ignored unless it is a positive finite number,
// and is limited to maxHintRatio times the largest cost that the request can have:
// charging and then refunding a far larger value would erase the previous value of
// the account's counter by rounding.
func Estimate(p config.Price, t Tokens, hint float64) float64 {
	if hint > 0 && !math.IsInf(hint, 0) {
		return min(hint, maxHintRatio*Cost(p, Tokens{Input: t.Input * bytesPerToken, Output: maxEstimateOutputTokens}))
	}
	return Cost(p, t)
}
