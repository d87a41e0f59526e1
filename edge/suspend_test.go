// SPDX-License-Identifier: Apache-2.0

package edge

import (
	"testing"
	"time"

	"cairnwick.example/clock"
	"cairnwick.example/share"
	"github.com/frankban/quicktest"
)

// suspend simulates a system suspend, whose time the monotonic clock does not count, until the test ends.
func suspend(c *quicktest.C, d time.Duration) {
	clock.SimulateSuspend(d)
	c.Cleanup(func() { clock.SimulateSuspend(-d) })
}

// Guards against a revoked key that still works: it was revoked while the box was suspended, and the box took its state
// from before for recent and accepted the key for seconds.
func TestAfterASuspendKeysAreNotTrustedUntilConfirmed(t *testing.T) {
	c := quicktest.New(t)
	n := strictNode(c)
	n.configFreshness.advance(clock.Now())
	c.Assert(n.keysAreCurrent(clock.Now()), quicktest.IsTrue)
	suspend(c, 4*time.Second)
	c.Assert(n.keysAreCurrent(clock.Now()), quicktest.IsFalse)
	n.configFreshness.advance(clock.Now())
	c.Assert(n.keysAreCurrent(clock.Now()), quicktest.IsTrue)
}

// Endpoints drain while a box is suspended. The box must not send requests by its state from before, and must not
// report to others that it reads the source.
func TestAfterASuspendTheSourceDoesNotCountAsRead(t *testing.T) {
	c := quicktest.New(t)
	n := &Node{Settings: Settings{Bounds: Bounds{Drain: 2 * time.Second, Apply: 2 * time.Second}}}
	n.current.Store(&n.Settings)
	for _, k := range []Collection{Configuration, Endpoints} {
		n.fresh.record(k, readResult{current: true, asOf: clock.Now()})
	}
	c.Assert(n.readsSource(), quicktest.IsTrue)
	status := leaderStatus{received: clock.Now(), readAt: clock.Now()}
	c.Assert(status.isFresh(clock.Now(), n.behind()), quicktest.IsTrue)
	suspend(c, max(2*time.Second, share.IdleTimeout))
	c.Assert(n.readsSource(), quicktest.IsFalse)
	c.Assert(status.isFresh(clock.Now(), n.behind()), quicktest.IsFalse)
}

// After a suspend another box leads the data centre, so what leaders and boxes reported before must have expired. A
// pool would otherwise grant the units of the time in between.
func TestAfterASuspendReportsOfLeadersAndBoxesHaveExpired(t *testing.T) {
	c := quicktest.New(t)
	var l loadCosts
	var d drawers
	l.byCentre = map[string]loadCost{"dc": {cost: time.Second, at: clock.Now()}}
	c.Assert(d.record("box-2", clock.Now()), quicktest.Equals, 1)
	suspend(c, 2*time.Second)
	_, known := l.get("dc", clock.Now())
	c.Assert(known, quicktest.IsFalse)
	c.Assert(d.count(clock.Now()), quicktest.Equals, 0)
}
