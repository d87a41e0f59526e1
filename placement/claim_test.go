// SPDX-License-Identifier: Apache-2.0

package placement

import (
	"testing"
	"time"

	"cairnwick.example/topology"
	"github.com/frankban/quicktest"
)

// When all boxes started together, the wrong one claimed the endpoints for a moment, and the
// rightful leader backed off for the lease.
func TestClaimBackoffIsShortAfterStart(t *testing.T) {
	c := quicktest.New(t)
	l := newFixture(4).loader
	l.Lease = func() time.Duration { return 3 * time.Second }
	now := time.Now()
	l.startedAt = now
	c.Assert(l.claimBackoffLocked(&ownedEndpoint{since: now.Add(time.Second)}), quicktest.Equals, startupClaimBackoff)
	c.Assert(l.claimBackoffLocked(&ownedEndpoint{since: now.Add(10 * time.Second)}) > 3*time.Second, quicktest.IsTrue)
}

// A new leader asked for the start of its leadership at a time later than the step's, so the
// start lay in the step's future and the endpoints were claimed a step late.
func TestNewLeaderClaimsInItsFirstStep(t *testing.T) {
	c := quicktest.New(t)
	l := newFixture(4).loader
	l.Owns = func(_ *topology.Endpoint, now time.Time) (bool, time.Time) { return true, now }
	c.Assert(l.step(time.Now().Add(-time.Millisecond)), quicktest.HasLen, 1)
}

// Endpoints were claimed only at the ownership check that followed the start of leadership or
// the end of a lease.
func TestEndpointIsClaimedAsSoonAsAllowed(t *testing.T) {
	c := quicktest.New(t)
	l := newFixture(4).loader
	now := time.Now()
	from := now.Add(ownershipInterval / 2)
	l.Owns = func(*topology.Endpoint, time.Time) (bool, time.Time) { return true, from }
	c.Assert(l.step(now), quicktest.HasLen, 0)
	c.Assert(l.nextStepDelay() <= ownershipInterval/2, quicktest.IsTrue)
	c.Assert(l.step(from.Add(-time.Millisecond)), quicktest.HasLen, 0)
	c.Assert(l.step(from), quicktest.HasLen, 1)
	c.Assert(l.nextStepDelay(), quicktest.Equals, ownershipInterval) // no claim is scheduled
	l = newFixture(4).loader
	l.Owns = func(*topology.Endpoint, time.Time) (bool, time.Time) { return true, from }
	c.Assert(l.step(now), quicktest.HasLen, 0)
	l.Leave(now)
	c.Assert(l.nextStepDelay(), quicktest.Equals, ownershipInterval) // a leaving box claims nothing
}
