// SPDX-License-Identifier: Apache-2.0

package placement

import (
	"testing"
	"time"

	"cairnwick.example/topology"
	"github.com/frankban/quicktest"
)

// newQueue returns a loader with a number of pending loads that cannot begin.
func newQueue(count int) (*fixture, time.Time) {
	b := newFixture(4)
	now := time.Now()
	b.loader.owned["e1"] = &ownedEndpoint{endpoint: b.endpoint, phase: claiming}
	for n := range count {
		w := &pendingLoad{done: make(chan struct{}), lastRequested: now}
		w.demand.Add(float64(n+1), now, demandHalfLife)
		b.loader.pendingLoads[placementKey{endpoint: "e1", adapter: adapter(n)}] = w
	}
	return b, now
}

// The queue delay of each request was computed over all pending loads, and a leader with some
// thousand of them was blocked for a second.
func TestQueueDelayUsesLastRanking(t *testing.T) {
	c := quicktest.New(t)
	b, now := newQueue(20)
	l := b.loader
	l.rankPendingLocked(now)
	c.Assert(l.queue, quicktest.HasLen, 20)
	first, last := placementKey{endpoint: "e1", adapter: adapter(19)}, placementKey{endpoint: "e1", adapter: adapter(0)}
	c.Assert(l.queueDelayLocked(first, l.pendingLoads[first], now), quicktest.Equals, time.Duration(0))
	c.Assert(l.queueDelayLocked(last, l.pendingLoads[last], now) >= 4*l.coldLoadTime, quicktest.IsTrue)
}

// A load that was already too late took the slot of one that could still be in time.
func TestLoadThatMeetsADeadlineGoesFirst(t *testing.T) {
	c := quicktest.New(t)
	b, now := newQueue(3)
	l := b.loader
	timely := placementKey{endpoint: "e1", adapter: adapter(0)} // it has the fewest requests
	l.pendingLoads[timely].waiting, l.pendingLoads[timely].deadline = 1, now.Add(2*l.coldLoadTime)
	c.Assert(l.rankPendingLocked(now)[0].key, quicktest.Equals, timely)
	c.Assert(l.rankPendingLocked(now.Add(2 * l.coldLoadTime))[0].key, quicktest.Not(quicktest.Equals), timely)
}

// Loads were made for requests that had been refused or cancelled long before, and took slots
// from others.
func TestCancelledWaitIsNotCounted(t *testing.T) {
	c := quicktest.New(t)
	l, list := newIdleLoader("e1")
	now := time.Now()
	fillWithBusyAdapters(l, list["e1"], 10, now)
	gone, refused, stays := patientWaiter(list["e1"], 1), patientWaiter(list["e1"], 1), patientWaiter(list["e1"], 1)
	for _, w := range []*waiter{gone, refused, stays} {
		for range 2 { // evaluated twice, each counts once
			_, wait := l.tryPlace(w, now, now.Add(time.Minute))
			c.Assert(wait, quicktest.IsNotNil)
			w.counted = true
		}
	}
	q := l.pendingLoads[placementKey{endpoint: "e1", adapter: adapter(1)}]
	c.Assert(q.waiting, quicktest.Equals, 3)
	l.cancelWait(gone)
	_, wait := l.tryPlace(refused, now, now) // too late for this one
	c.Assert(wait, quicktest.IsNil)
	c.Assert(q.waiting, quicktest.Equals, 1)
	l.cancelWait(stays)
	c.Assert(q.waiting, quicktest.Equals, 0)
}

func TestOwnershipIsNotCheckedInEachStep(t *testing.T) {
	c := quicktest.New(t)
	b := newFixture(4)
	looks := 0
	owns := b.loader.Owns
	b.loader.Owns = func(e *topology.Endpoint, now time.Time) (bool, time.Time) { looks++; return owns(e, now) }
	now := time.Now()
	for i := range 10 {
		b.loader.step(now.Add(time.Duration(i) * time.Millisecond))
	}
	c.Assert(looks, quicktest.Equals, 1)
}

// BenchmarkStep measures one step with a long queue.
func BenchmarkStep(b *testing.B) {
	q, now := newQueue(3000)
	for b.Loop() {
		q.loader.step(now)
	}
}
