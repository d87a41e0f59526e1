// SPDX-License-Identifier: Apache-2.0

package placement

import (
	"testing"
	"time"

	"github.com/frankban/quicktest"
)

// roundsOf returns what begins as many loads at once as the pace allows, which all take so
// long.
func newLoadRounds(p *loadLimiter) func(took time.Duration) {
	now := time.Unix(100, 0)
	return func(took time.Duration) {
		n := 0
		for p.acquire(now) {
			n++
		}
		now = now.Add(took)
		for range n {
			p.release(took, now)
		}
	}
}

func TestThePaceFallsWhenLoadsBecomeSlowAndRisesAgain(t *testing.T) {
	c := quicktest.New(t)
	p := newLoadLimiter()
	load := newLoadRounds(&p)
	load(250 * time.Millisecond)
	quick := p.limit
	c.Assert(quick > initialLoadLimit, quicktest.IsTrue)
	load(800 * time.Millisecond)
	c.Assert(p.limit < quick, quicktest.IsTrue)
	for range 20 {
		load(800 * time.Millisecond)
	}
	c.Assert(p.limit >= minLoadLimit, quicktest.IsTrue)
	slow := p.limit
	load(250 * time.Millisecond)
	c.Assert(p.limit > slow, quicktest.IsTrue)
}

// pacedLoads returns a loader and what makes it begin as many loads from the store as it
// may, as far as it knows, which all take so long.
func newColdLoads(*quicktest.C) (*Loader, func(took time.Duration)) {
	l := &Loader{Limits: func() RateLimits { return DefaultRateLimits }}
	l.Init()
	now := time.Unix(100, 0)
	return l, func(took time.Duration) {
		var slots []*slot
		for l.loadLimiter.acquire(now) {
			slots = append(slots, &slot{holdsPermit: true})
		}
		now = now.Add(took)
		for _, s := range slots {
			l.recordLoadTimeLocked(s, took, now)
		}
	}
}

// A new owner does not know what an endpoint's memory keeps: such loads, thought to come
// from the store, made every real one look slow, and the pace fell to one.
func TestALoadFromMemorySaysNothingOfTheStore(t *testing.T) {
	c := quicktest.New(t)
	l, load := newColdLoads(c)
	load(260 * time.Millisecond)
	load(30 * time.Millisecond)
	before := l.loadLimiter.limit
	load(260 * time.Millisecond)
	c.Assert(l.loadLimiter.limit > before, quicktest.IsTrue)
	c.Assert(l.loadLimiter.inFlight, quicktest.Equals, 0)
}

// A few slow loads raised the smoothed time so far that the next quick ones counted as
// loads from memory, and the pace stayed where the slow ones had brought it.
func TestThePaceRecoversAfterSlowLoads(t *testing.T) {
	c := quicktest.New(t)
	l, load := newColdLoads(c)
	load(260 * time.Millisecond)
	for range 20 {
		load(time.Second)
	}
	slow := l.loadLimiter.limit
	for range 4 {
		load(260 * time.Millisecond)
	}
	c.Assert(l.loadLimiter.limit > slow+1, quicktest.IsTrue)
}

func TestTheStoresRateIsSharedByOwnedEndpoints(t *testing.T) {
	c := quicktest.New(t)
	b := tokenBucket{limits: DefaultRateLimits}
	b.setShare(10, 0.5, 3) // 5 a second by right, and most of the overshoot
	now := time.Unix(0, 0)
	taken := 0
	for range 1000 { // ten seconds
		now = now.Add(10 * time.Millisecond)
		if b.take(now) {
			taken++
		}
	}
	c.Assert(taken >= 50 && taken <= 56, quicktest.IsTrue, quicktest.Commentf("%d", taken))
}

// An endpoint's memory was taken to keep ninety adapters where it kept fifty: loads that
// were promised in 40 ms took 250.
func TestWhatAnEndpointsMemoryKeepsIsLearntFromLoads(t *testing.T) {
	c := quicktest.New(t)
	l, load := newColdLoads(c)
	load(260 * time.Millisecond)
	c.Assert(l.cacheSize, quicktest.Equals, initialCacheSize)
	now := time.Now()
	l.recordLoadTimeLocked(&slot{heldBefore: true, evictionsSince: 60}, 250*time.Millisecond, now) // it was not there any more
	c.Assert(l.cacheSize, quicktest.Equals, 60)
	l.recordLoadTimeLocked(&slot{heldBefore: true, evictionsSince: 40}, 30*time.Millisecond, now)
	c.Assert(l.cacheSize, quicktest.Equals, 60)
	l.recordLoadTimeLocked(&slot{evictionsSince: 2}, 250*time.Millisecond, now) // it had never been there
	c.Assert(l.cacheSize, quicktest.Equals, 60)
	l.recordLoadTimeLocked(&slot{heldBefore: true, evictionsSince: 70}, 30*time.Millisecond, now) // it was there after all
	c.Assert(l.cacheSize, quicktest.Equals, 71)
	l.recordLoadTimeLocked(&slot{heldBefore: true, evictionsSince: 1}, time.Second, now)
	c.Assert(l.cacheSize, quicktest.Equals, minCacheSize)
}

// Leaders began with four loads at a time and grew by one with every second load: after a
// start, when nothing is loaded, a second was lost.
func TestThePaceDoublesUntilTheFirstSlowLoad(t *testing.T) {
	c := quicktest.New(t)
	p := newLoadLimiter()
	round := newLoadRounds(&p)
	round(250 * time.Millisecond)
	c.Assert(p.limit, quicktest.Equals, 2*initialLoadLimit)
	round(250 * time.Millisecond)
	c.Assert(p.limit, quicktest.Equals, 4*initialLoadLimit)
	round(time.Second)
	slow := p.limit
	round(250 * time.Millisecond)
	c.Assert(p.limit < 2*slow, quicktest.IsTrue)
}

// In a calm the limit rose to forty though a few loads were under way; the next burst made
// every load take 600 ms, and each of them cut the limit, down to one.
func TestThePaceFollowsOnlyWhatItLimits(t *testing.T) {
	c := quicktest.New(t)
	p := newLoadLimiter()
	now := time.Unix(100, 0)
	for range 100 {
		c.Assert(p.acquire(now), quicktest.IsTrue)
		now = now.Add(250 * time.Millisecond)
		p.release(250*time.Millisecond, now)
	}
	c.Assert(p.limit, quicktest.Equals, initialLoadLimit)
	for range 4 {
		c.Assert(p.acquire(now), quicktest.IsTrue)
	}
	now = now.Add(time.Second)
	for range 4 {
		p.release(time.Second, now)
	}
	c.Assert(p.limit, quicktest.Equals, initialLoadLimit*decreaseFactor)
}
