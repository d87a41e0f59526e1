// SPDX-License-Identifier: Apache-2.0

package edge

import (
	"testing"
	"time"

	"cairnwick.example/clock"
	"cairnwick.example/share"
	"github.com/frankban/quicktest"
)

// suspend has time pass that the steady clock doesn't count, until the test ends.
func suspend(c *quicktest.C, d time.Duration) {
	clock.Suspend(d)
	c.Cleanup(func() { clock.Suspend(-d) })
}

// A key was taken away while a box was suspended. What it had heard before seemed recent to it, so
// it served by that key for seconds.
func TestAfterASuspensionABoxServesByNoKeyUntilItHasHeardAnew(t *testing.T) {
	c := quicktest.New(t)
	n := strictNode(c)
	n.configFreshness.advance(clock.Now())
	c.Assert(n.keysAreCurrent(clock.Now()), quicktest.IsTrue)
	suspend(c, 4*time.Second)
	c.Assert(n.keysAreCurrent(clock.Now()), quicktest.IsFalse)
	n.configFreshness.advance(clock.Now())
	c.Assert(n.keysAreCurrent(clock.Now()), quicktest.IsTrue)
}

// Endpoints left while a box was suspended. It may send to none by what it knew before, and must not
// tell others that it hears the source.
func TestAfterASuspensionABoxHearsNoSource(t *testing.T) {
	c := quicktest.New(t)
	n := &Node{Settings: Settings{Bounds: Bounds{Drain: 2 * time.Second, Apply: 2 * time.Second}}}
	n.current.Store(&n.Settings)
	for _, k := range []Collection{Configuration, Endpoints} {
		n.fresh.record(k, readResult{current: true, asOf: clock.Now()})
	}
	c.Assert(n.readsSource(), quicktest.IsTrue)
	told := leaderStatus{received: clock.Now(), readAt: clock.Now()}
	c.Assert(told.isFresh(clock.Now(), n.behind()), quicktest.IsTrue)
	suspend(c, max(2*time.Second, share.SilentAfter))
	c.Assert(n.readsSource(), quicktest.IsFalse)
	c.Assert(told.isFresh(clock.Now(), n.behind()), quicktest.IsFalse)
}

// A leader hands out of a pool what came in since the last time; one that was suspended finds its
// data centre led by another, and what boxes told it before is old.
func TestAfterASuspensionTheWordOfLeadersAndBoxesIsOld(t *testing.T) {
	c := quicktest.New(t)
	var l levels
	var d drawn
	l.byCentre = map[string]level{"dc": {cost: time.Second, at: clock.Now()}}
	c.Assert(d.note("box-2", clock.Now()), quicktest.Equals, 1)
	suspend(c, 2*time.Second)
	_, known := l.of("dc", clock.Now())
	c.Assert(known, quicktest.IsFalse)
	c.Assert(d.count(clock.Now()), quicktest.Equals, 0)
}
