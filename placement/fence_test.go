// SPDX-License-Identifier: Apache-2.0

package placement

import (
	"math"
	"testing"
	"time"

	"github.com/frankban/quicktest"
)

// A box that was refused eight times in a row, as during a long network partition, raised its
// term beyond the largest one, and the term wrapped around to zero. From then on the endpoint
// refused every order of the box.
func TestFenceRisesAfterAnyNumberOfRefusals(t *testing.T) {
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

// A publication with an invalid version would have overflowed the terms of all boxes.
func TestInvalidTermIsIgnored(t *testing.T) {
	c := quicktest.New(t)
	now := time.Unix(1_800_000_000, 0)
	f := &Fences{Box: 1}
	f.Observe(Term(math.MaxUint64))
	c.Assert(term(f.Next(now, 0, 0)), quicktest.Equals, uint64(now.Unix()))
}
