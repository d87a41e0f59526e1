// SPDX-License-Identifier: Apache-2.0

package policy

import "time"

// FirstToken learns how long endpoints take from a request's arrival to its first token:
// a time of their own, and one for each token of prompts that they read until then, the
// request's own and those that came before it. It is the line through what was seen, the
// latest counting most. The zero value knows only the first guess.
type FirstToken struct {
	count, tokens, took, squares, product float64 // faded sums; tokens in thousands, times in seconds
}

const (
	firstTokenMemory = 64.0  // observations after which one counts a third: some seconds of one box's traffic
	firstTokenGuess  = 0.05  // seconds for a prompt of no length, until more is known
	kiloTokenGuess   = 0.026 // seconds for a thousand tokens, until more is known: 38 tokens a millisecond
	guessWeight      = 4.0   // observations that the guess counts as, half of them without a prompt
	guessTokens      = 4.0   // thousands of tokens of the other half
)

// Observe takes in a request before whose first token so many tokens of prompts were read.
func (f *FirstToken) Observe(tokens int, took time.Duration) {
	x, y := float64(tokens)/1000, took.Seconds()
	const keep = 1 - 1/firstTokenMemory
	f.count = f.count*keep + 1
	f.tokens = f.tokens*keep + x
	f.took = f.took*keep + y
	f.squares = f.squares*keep + x*x
	f.product = f.product*keep + x*y
}

// Predict returns the time to the first token when so many tokens are read until then.
func (f *FirstToken) Predict(tokens int) time.Duration {
	const half = guessWeight / 2
	guessed := firstTokenGuess + kiloTokenGuess*guessTokens
	n := f.count + guessWeight
	x := f.tokens + half*guessTokens
	y := f.took + half*(firstTokenGuess+guessed)
	xx := f.squares + half*guessTokens*guessTokens
	xy := f.product + half*guessTokens*guessed
	slope := max((n*xy-x*y)/(n*xx-x*x), 0) // the guess's two points keep the divisor above zero
	base := max((y-slope*x)/n, 0)
	return time.Duration((base + slope*float64(tokens)/1000) * float64(time.Second))
}
