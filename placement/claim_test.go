// SPDX-License-Identifier: Apache-2.0

package placement

import (
	"testing"
	"time"

	"cairnwick.example/topology"
	"github.com/frankban/quicktest"
)

// After a start of all boxes a wrong leader took the endpoints for a moment; the right one
// kept away from them for the lease.
func TestABoxRefusedSoonAfterItsStartTriesAgainSoon(t *testing.T) {
	c := quicktest.New(t)
	l := newFixture(4).loader
	l.Lease = func() time.Duration { return 3 * time.Second }
	now := time.Now()
	l.startedAt = now
	c.Assert(l.claimBackoffLocked(&ownedEndpoint{since: now.Add(time.Second)}), quicktest.Equals, startupClaimBackoff)
	c.Assert(l.claimBackoffLocked(&ownedEndpoint{since: now.Add(10 * time.Second)}) > 3*time.Second, quicktest.IsTrue)
}

// A new leader asked at the time after its look's from when on it leads; that came after the
// look, so it claimed its endpoints a look later.
func TestANewLeaderClaimsAtItsFirstLook(t *testing.T) {
	c := quicktest.New(t)
	l := newFixture(4).loader
	l.Owns = func(_ *topology.Endpoint, now time.Time) (bool, time.Time) { return true, now }
	c.Assert(l.step(time.Now().Add(-time.Millisecond)), quicktest.HasLen, 1)
}

// After a start or a lease the endpoints were claimed at the next look at what is owned.
func TestAnEndpointIsClaimedWhenItMayBe(t *testing.T) {
	c := quicktest.New(t)
	l := newFixture(4).loader
	now := time.Now()
	from := now.Add(ownershipInterval / 2)
	l.Owns = func(*topology.Endpoint, time.Time) (bool, time.Time) { return true, from }
	c.Assert(l.step(now), quicktest.HasLen, 0)
	c.Assert(l.nextStepDelay() <= ownershipInterval/2, quicktest.IsTrue)
	c.Assert(l.step(from.Add(-time.Millisecond)), quicktest.HasLen, 0)
	c.Assert(l.step(from), quicktest.HasLen, 1)
	c.Assert(l.nextStepDelay(), quicktest.Equals, ownershipInterval) // none waits
	l = newFixture(4).loader
	l.Owns = func(*topology.Endpoint, time.Time) (bool, time.Time) { return true, from }
	c.Assert(l.step(now), quicktest.HasLen, 0)
	l.Leave(now)
	c.Assert(l.nextStepDelay(), quicktest.Equals, ownershipInterval) // a box that leaves claims nothing
}
