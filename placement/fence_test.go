// SPDX-License-Identifier: Apache-2.0

package placement

import (
	"math"
	"testing"
	"time"

	"github.com/frankban/quicktest"
)

// Found while the model of orders was written: a box that was refused eight times in a row, as
// on the two sides of a long cut, raised its term by more than there are, and the term began
// again at zero. The endpoint refused the box from then on.
func TestAFenceRisesAfterAnyNumberOfRefusals(t *testing.T) {
	c := quicktest.New(t)
	now := time.Unix(1_800_000_000, 0)
	f := &Fences{Box: 1}
	past := f.Next(now, 0, 0)
	for refusals := range 2000 {
		next := f.Next(now, past, refusals)
		c.Assert(next > past, quicktest.IsTrue, quicktest.Commentf("after %d refusals", refusals))
		c.Assert(next < 1<<53, quicktest.IsTrue)
		past = next
	}
}

// A publication with a version that no box makes would have done the same to all boxes.
func TestATermThatNoBoxMakesIsNotHeard(t *testing.T) {
	c := quicktest.New(t)
	now := time.Unix(1_800_000_000, 0)
	f := &Fences{Box: 1}
	f.Observe(Term(math.MaxUint64))
	c.Assert(term(f.Next(now, 0, 0)), quicktest.Equals, uint64(now.Unix()))
}
