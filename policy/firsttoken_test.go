// SPDX-License-Identifier: Apache-2.0

package policy

import (
	"testing"
	"time"

	"github.com/frankban/quicktest"
)

func TestFirstTokenEstimatorConverges(t *testing.T) {
	c := quicktest.New(t)
	var f FirstTokenEstimator
	guess := f.Predict(10_000)
	c.Assert(guess > f.Predict(0), quicktest.IsTrue)
	for i := range 300 { // 40 ms, and 20 ms for each thousand tokens
		tokens := i % 10 * 1000
		f.Observe(tokens, 40*time.Millisecond+time.Duration(tokens)*20*time.Microsecond)
	}
	for tokens, want := range map[int]time.Duration{0: 40 * time.Millisecond, 10_000: 240 * time.Millisecond, 30_000: 640 * time.Millisecond} {
		got := f.Predict(tokens)
		c.Check(got > want*9/10 && got < want*11/10, quicktest.IsTrue, quicktest.Commentf("%d: %s", tokens, got))
	}
}

func TestFirstTokenEstimatorWithEqualPromptLengths(t *testing.T) {
	c := quicktest.New(t)
	var f FirstTokenEstimator
	for range 100 {
		f.Observe(9000, 100*time.Millisecond)
	}
	got := f.Predict(9000)
	c.Assert(got > 80*time.Millisecond && got < 130*time.Millisecond, quicktest.IsTrue, quicktest.Commentf("%s", got))
	c.Assert(f.Predict(0) <= got, quicktest.IsTrue)
}
