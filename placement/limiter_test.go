// SPDX-License-Identifier: Apache-2.0

package placement

import (
	"testing"
	"time"

	"github.com/frankban/quicktest"
)

// newLoadRounds returns a function that begins as many loads at once as the limit allows, all
// of the given duration.
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

func TestLoadLimitFallsOnSlowLoadsAndRecovers(t *testing.T) {
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

// newColdLoads returns a loader and a function that begins as many loads, expected to come from
// the store, as the limit allows, all of the given duration.
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

// A new owner does not know what an endpoint's host memory caches. Cached loads that were
// counted as loads from the store made every real one look slow, and the limit fell to one.
func TestWarmLoadDoesNotAffectLoadLimit(t *testing.T) {
	c := quicktest.New(t)
	l, load := newColdLoads(c)
	load(260 * time.Millisecond)
	load(30 * time.Millisecond)
	before := l.loadLimiter.limit
	load(260 * time.Millisecond)
	c.Assert(l.loadLimiter.limit > before, quicktest.IsTrue)
	c.Assert(l.loadLimiter.inFlight, quicktest.Equals, 0)
}

// A few slow loads raised the smoothed time so far that the next fast ones were taken for
// cached loads, and the limit did not recover.
func TestLoadLimitRecoversAfterSlowLoads(t *testing.T) {
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

func TestStoreRateIsSharedByOwnedEndpoints(t *testing.T) {
	c := quicktest.New(t)
	b := tokenBucket{limits: DefaultRateLimits}
	b.setShare(10, 0.5, 3) // a share of 5 per second, and most of the overshoot
	now := time.Unix(0, 0)
	taken := 0
	for range 1000 { // ten simulated seconds
		now = now.Add(10 * time.Millisecond)
		if b.take(now) {
			taken++
		}
	}
	c.Assert(taken >= 50 && taken <= 56, quicktest.IsTrue, quicktest.Commentf("%d", taken))
}

// An endpoint's host memory was assumed to cache ninety adapters and cached fifty: loads that
// were promised in 40 ms took 250.
func TestCacheSizeIsEstimatedFromLoadTimes(t *testing.T) {
	c := quicktest.New(t)
	l, load := newColdLoads(c)
	load(260 * time.Millisecond)
	c.Assert(l.cacheSize, quicktest.Equals, initialCacheSize)
	now := time.Now()
	l.recordLoadTimeLocked(&slot{heldBefore: true, evictionsSince: 60}, 250*time.Millisecond, now) // no longer cached
	c.Assert(l.cacheSize, quicktest.Equals, 60)
	l.recordLoadTimeLocked(&slot{heldBefore: true, evictionsSince: 40}, 30*time.Millisecond, now)
	c.Assert(l.cacheSize, quicktest.Equals, 60)
	l.recordLoadTimeLocked(&slot{evictionsSince: 2}, 250*time.Millisecond, now) // never held
	c.Assert(l.cacheSize, quicktest.Equals, 60)
	l.recordLoadTimeLocked(&slot{heldBefore: true, evictionsSince: 70}, 30*time.Millisecond, now) // still cached
	c.Assert(l.cacheSize, quicktest.Equals, 71)
	l.recordLoadTimeLocked(&slot{heldBefore: true, evictionsSince: 1}, time.Second, now)
	c.Assert(l.cacheSize, quicktest.Equals, minCacheSize)
}

// The limit started at four and grew by one with every second load: after a start, when nothing
// is loaded, this delayed requests by a second.
func TestLoadLimitDoublesUntilFirstSlowLoad(t *testing.T) {
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

// With few loads in progress the limit rose to forty; the next burst made every load take 600 ms,
// and each of those loads reduced the limit, down to one.
func TestLoadLimitRisesOnlyWhileInUse(t *testing.T) {
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
