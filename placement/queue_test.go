// SPDX-License-Identifier: Apache-2.0

package placement

import (
	"testing"
	"time"

	"cairnwick.example/topology"
	"github.com/frankban/quicktest"
)

// queueOf returns a loader with so many loads that are wanted and cannot begin.
func queueOf(count int) (*bench, time.Time) {
	b := prepare(4)
	now := time.Now()
	b.loader.owned["e1"] = &owned{endpoint: b.endpoint, phase: claiming}
	for n := range count {
		w := &want{done: make(chan struct{}), last: now}
		w.demand.Add(float64(n+1), now, demandHalfLife)
		b.loader.wants[wantKey{endpoint: "e1", adapter: adapter(n)}] = w
	}
	return b, now
}

// What a request waits for was counted over every load that is wanted, for each request,
// and a leader with some thousand of them stood still for a second.
func TestTheWaitIsTakenFromTheLastLookAtTheQueue(t *testing.T) {
	c := quicktest.New(t)
	b, now := queueOf(20)
	l := b.loader
	l.rankedLocked(now)
	c.Assert(l.queue, quicktest.HasLen, 20)
	first, last := wantKey{endpoint: "e1", adapter: adapter(19)}, wantKey{endpoint: "e1", adapter: adapter(0)}
	c.Assert(l.aheadOfLocked(first, l.wants[first], now), quicktest.Equals, time.Duration(0))
	c.Assert(l.aheadOfLocked(last, l.wants[last], now) >= 4*l.cold, quicktest.IsTrue)
}

// A request that was late already took the slot of one that could still be in time.
func TestALoadThatIsInTimeForSomebodyGoesFirst(t *testing.T) {
	c := quicktest.New(t)
	b, now := queueOf(3)
	l := b.loader
	timely := wantKey{endpoint: "e1", adapter: adapter(0)} // the fewest asked for it
	l.wants[timely].waiting, l.wants[timely].inTime = 1, now.Add(2*l.cold)
	c.Assert(l.rankedLocked(now)[0].key, quicktest.Equals, timely)
	c.Assert(l.rankedLocked(now.Add(2 * l.cold))[0].key, quicktest.Not(quicktest.Equals), timely)
}

// Loads were made for requests that had been refused or given up long before, and took slots
// from others.
func TestALoadForWhichNobodyWaitsAnyMoreDoesNotCountAsWaitedFor(t *testing.T) {
	c := quicktest.New(t)
	l, list := owningSome("e1")
	now := time.Now()
	occupy(l, list["e1"], 10, now)
	gone, refused, stays := asked(list["e1"], 1), asked(list["e1"], 1), asked(list["e1"], 1)
	for _, w := range []*waiter{gone, refused, stays} {
		for range 2 { // looked at again, each counts once
			_, wait := l.look(w, now, now.Add(time.Minute))
			c.Assert(wait, quicktest.IsNotNil)
			w.again = true
		}
	}
	q := l.wants[wantKey{endpoint: "e1", adapter: adapter(1)}]
	c.Assert(q.waiting, quicktest.Equals, 3)
	l.giveUp(gone)
	_, wait := l.look(refused, now, now) // it comes too late for this one
	c.Assert(wait, quicktest.IsNil)
	c.Assert(q.waiting, quicktest.Equals, 1)
	l.giveUp(stays)
	c.Assert(q.waiting, quicktest.Equals, 0)
}

func TestWhatIsOwnedIsNotLookedAtAtEachStep(t *testing.T) {
	c := quicktest.New(t)
	b := prepare(4)
	looks := 0
	owns := b.loader.Owns
	b.loader.Owns = func(e *topology.Endpoint, now time.Time) (bool, time.Time) { looks++; return owns(e, now) }
	now := time.Now()
	for i := range 10 {
		b.loader.step(now.Add(time.Duration(i) * time.Millisecond))
	}
	c.Assert(looks, quicktest.Equals, 1)
}

// BenchmarkStep shows what one look at a long queue costs.
func BenchmarkStep(b *testing.B) {
	q, now := queueOf(3000)
	for b.Loop() {
		q.loader.step(now)
	}
}
