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
	f := &Fences{Process: 1}
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
	f := &Fences{Process: 1}
	f.Observe(Term(math.MaxUint64))
	c.Assert(term(f.Next(now, 0, 0)), quicktest.Equals, uint64(now.Unix()))
}

// Guards against two holders of one term that publish different contents under the same versions.
func TestPublicationsAreOrderedAsFences(t *testing.T) {
	c := quicktest.New(t)
	now := time.Unix(1_800_000_000, 0)
	lower, higher := &Fences{Process: 1 << 14}, &Fences{Process: 2 << 14} // the highest bits differ
	a, b := lower.Next(now, 0, 0), higher.Next(now, 0, 0)
	c.Assert(term(a), quicktest.Equals, term(b))
	c.Check(publicationVersion(a, maxPublications) < publicationVersion(b, 1), quicktest.IsTrue)
	c.Check(Owner(publicationVersion(a, 1)) < Owner(publicationVersion(b, 1)), quicktest.IsTrue)
	c.Check(Term(publicationVersion(a, maxPublications)), quicktest.Equals, term(a))
	c.Check(publicationVersion(a, maxPublications) < publicationVersion(lower.Next(now, a, 0), 1), quicktest.IsTrue)
}

// Guards against a count of publications that runs into the bits of the owner.
func TestFenceIsRenewedBeforeItsPublicationsRunOut(t *testing.T) {
	c := quicktest.New(t)
	b := newOwningFixture(t, 4)
	b.loader.mu.Lock()
	o := b.loader.owned["e1"]
	before := o.fence
	o.publications = maxPublications / 2
	b.loader.mu.Unlock()
	renewed := func() bool {
		b.loader.mu.Lock()
		defer b.loader.mu.Unlock()
		return o.phase == owning && o.fence > before && o.publications < maxPublications/2
	}
	for begun := time.Now(); !renewed() && time.Since(begun) < 5*time.Second; {
		time.Sleep(5 * time.Millisecond)
	}
	c.Assert(renewed(), quicktest.IsTrue)
}

// Processes draw different numbers, whatever their addresses are. Two of a hundred share one in 1 of 850 runs.
func TestProcessesDrawDifferentNumbers(t *testing.T) {
	c := quicktest.New(t)
	drawn := make(map[uint32]bool)
	for range 100 {
		drawn[NewFences().Process] = true
	}
	c.Assert(len(drawn) >= 98, quicktest.IsTrue)
}
