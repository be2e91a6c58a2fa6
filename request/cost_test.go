package request

import (
	"math"
	"testing"

	qt "github.com/frankban/quicktest"

	"rattanline.example/rattanline/config"
)

// Guards against a hint far above the possible cost of the request, whose charge
// and refund would erase the previous value of the account's counter by rounding.
func TestHintIsBounded(t *testing.T) {
	c := qt.New(t)
	p := config.Price{Request: 1, InputToken: 0.5, OutputToken: 2}
	tokens := EstimateTokens(400, 10)
	c.Check(Estimate(p, tokens, 7), qt.Equals, 7.0)
	c.Check(Estimate(p, tokens, math.MaxFloat64), qt.Equals, 10*Cost(p, Tokens{Input: 400, Output: 1 << 17}))
	c.Check(Estimate(p, tokens, math.Inf(1)), qt.Equals, Cost(p, tokens))
}
