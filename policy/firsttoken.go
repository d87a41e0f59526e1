// SPDX-License-Identifier: Apache-2.0

package policy

import "time"

// FirstTokenEstimator learns how long endpoints take from a request's arrival to its first token:
// a time of their own, and one for each token of prompts that they read until then, the
// request's own and those that came before it. It is the line through what was seen, the
// latest counting most. The zero value knows only the first guess.
type FirstTokenEstimator struct {
	count, sumX, sumY, sumXX, sumXY float64 // faded sums; tokens in thousands, times in seconds
}

const (
	decayObservations = 64.0  // observations after which one counts a third: some seconds of one box's traffic
	priorBase         = 0.05  // seconds for a prompt of no length, until more is known
	priorPerKiloToken = 0.026 // seconds for a thousand tokens, until more is known: 38 tokens a millisecond
	priorWeight       = 4.0   // observations that the guess counts as, half of them without a prompt
	priorKiloTokens   = 4.0   // thousands of tokens of the other half
)

// Observe takes in a request before whose first token so many tokens of prompts were read.
func (f *FirstTokenEstimator) Observe(tokens int, took time.Duration) {
	x, y := float64(tokens)/1000, took.Seconds()
	const decay = 1 - 1/decayObservations
	f.count = f.count*decay + 1
	f.sumX = f.sumX*decay + x
	f.sumY = f.sumY*decay + y
	f.sumXX = f.sumXX*decay + x*x
	f.sumXY = f.sumXY*decay + x*y
}

// Predict returns the time to the first token when so many tokens are read until then.
func (f *FirstTokenEstimator) Predict(tokens int) time.Duration {
	const half = priorWeight / 2
	priorTime := priorBase + priorPerKiloToken*priorKiloTokens
	n := f.count + priorWeight
	x := f.sumX + half*priorKiloTokens
	y := f.sumY + half*(priorBase+priorTime)
	xx := f.sumXX + half*priorKiloTokens*priorKiloTokens
	xy := f.sumXY + half*priorKiloTokens*priorTime
	slope := max((n*xy-x*y)/(n*xx-x*x), 0) // the guess's two points keep the divisor above zero
	base := max((y-slope*x)/n, 0)
	return time.Duration((base + slope*float64(tokens)/1000) * float64(time.Second))
}
