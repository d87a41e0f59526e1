// SPDX-License-Identifier: Apache-2.0

package policy

import "time"

// FirstTokenEstimator predicts the time to first token by a linear regression with exponentially
// decaying weights: a constant time, plus a time per prompt token that the endpoint processes
// until then, both of the request and of those queued before it. The zero value predicts from
// the prior alone.
type FirstTokenEstimator struct {
	count, sumX, sumY, sumXX, sumXY float64 // decaying sums; X: thousands of tokens, Y: seconds
}

const (
	decayObservations = 64.0  // observations after which the weight of one falls to 1/e: a few seconds of one box's traffic
	priorBase         = 0.05  // prior: seconds for an empty prompt
	priorPerKiloToken = 0.026 // prior: seconds per thousand tokens, which is 38 tokens per millisecond
	priorWeight       = 4.0   // observations that the prior counts as, half of them with an empty prompt
	priorKiloTokens   = 4.0   // prompt length of the other half, in thousands of tokens
)

// Observe records the time to first token of a request, and the number of prompt tokens that
// the endpoint processed until then.
func (f *FirstTokenEstimator) Observe(tokens int, took time.Duration) {
	x, y := float64(tokens)/1000, took.Seconds()
	const decay = 1 - 1/decayObservations
	f.count = f.count*decay + 1
	f.sumX = f.sumX*decay + x
	f.sumY = f.sumY*decay + y
	f.sumXX = f.sumXX*decay + x*x
	f.sumXY = f.sumXY*decay + x*y
}

// Predict returns the expected time to first token if that many prompt tokens are processed
// until then.
func (f *FirstTokenEstimator) Predict(tokens int) time.Duration {
	const half = priorWeight / 2
	priorTime := priorBase + priorPerKiloToken*priorKiloTokens
	n := f.count + priorWeight
	x := f.sumX + half*priorKiloTokens
	y := f.sumY + half*(priorBase+priorTime)
	xx := f.sumXX + half*priorKiloTokens*priorKiloTokens
	xy := f.sumXY + half*priorKiloTokens*priorTime
	slope := max((n*xy-x*y)/(n*xx-x*x), 0) // the two points of the prior keep the divisor above zero
	base := max((y-slope*x)/n, 0)
	return time.Duration((base + slope*float64(tokens)/1000) * float64(time.Second))
}
