// SPDX-License-Identifier: Apache-2.0

package placement

import (
	"context"
	"time"

	"cairnwick.example/clock"
	"cairnwick.example/topology"
)

// An endpoint unloads an adapter that no request uses at once. For one in use it waits
// until the runs have ended, and holds up all its other orders meanwhile, loads under way
// too. Boxes tell soon what they begin to use and use no more, so a slot that
// rests is emptied at once when a load needs it; a request that meets the unload on its way
// is refused by the endpoint as not run, and its adapter comes back from memory. One in use
// leaves only for a newer version of itself: the boxes are told not to use it any more, and
// it is unloaded when none does.

const (
	// tellFor is how long after an adapter in use began to leave every box has heard of it
	// and told what it uses: the news and the answer take a few batches of changes.
	usageSettleTime = 250 * time.Millisecond
	// restFor is how long an adapter must not have been used, and no box been told that it
	// is ready, to count as resting. A box tells of what it begins within 20 ms and the way
	// to the leader, but one whose share of the processor is used up stands still for a
	// tenth of a second. With 60 ms a quarter of the unloads met a request, and 18 endpoints
	// together stood still for 791 of 1,044 s.
	idleThreshold = 250 * time.Millisecond
	// heardAfter is how long after it began to own an endpoint a box has heard what all
	// boxes use there: they tell a new leader within some 0.3 s of hearing of it, and it
	// owns nothing before it has waited for a report of 0.4 s. Where that was not needed, it
	// waits for so long here.
	usageSyncTime = 200 * time.Millisecond
	// emptyNow is how long it takes to empty a slot that rests: the order and its answer.
	idleUnloadTime = 10 * time.Millisecond
	// tellAgain is between two looks whether an adapter that leaves is still in use.
	usagePollInterval = 50 * time.Millisecond
	// aheadPart: one slot in so many is empty or being emptied at each endpoint though
	// nothing is wanted there, so that the next loads need not wait. An endpoint with 16
	// slots begins some four loads a second at the most, and a slot is empty after a
	// quarter of a second.
	spareSlotDivisor = 8
	// retiringMost are emptied at a time at one endpoint: as many as it loads at a time.
	maxConcurrentEvictions = maxConcurrentLoads
)

// retireLocked empties slots that rest: as many as loads wait for, and some ahead. An
// adapter in use stays, unless it is to be replaced by a newer version: it would still take
// its slot until its runs end, and be asked for again meanwhile.
func (l *Loader) evictLocked(waiting map[*ownedEndpoint]int, now time.Time) []func(context.Context) {
	var tasks []func(context.Context)
	for _, o := range l.owned {
		if o.phase != owning || o.endpoint.Draining() {
			continue
		}
		before := len(tasks)
		for a, s := range o.slots {
			if s.outdated && s.ready && !s.evicting {
				tasks = append(tasks, l.beginEvictionLocked(o, a, now))
			}
		}
		for range l.evictionsNeededLocked(o, waiting[o]) {
			a, ok := l.leastRequestedIdleLocked(o, now)
			if !ok {
				break
			}
			tasks = append(tasks, l.beginEvictionLocked(o, a, now))
		}
		if len(tasks) > before {
			l.publishLocked(o)
		}
	}
	return tasks
}

// shortLocked is how many slots more must be emptied at an endpoint.
func (l *Loader) evictionsNeededLocked(o *ownedEndpoint, waiting int) int {
	g := l.engineSpec(o.endpoint)
	if g == nil {
		return 0
	}
	slots := g.SlotsBeside(o.models)
	ahead := slots - len(o.slots)
	for _, s := range o.slots {
		if s.evicting {
			ahead++
		}
	}
	ahead -= l.blockedEvictionsLocked(o)
	return min(slots/spareSlotDivisor+waiting, maxConcurrentEvictions) - ahead
}

// stuckLocked counts the adapters that leave an endpoint and are still in use: their runs
// may take seconds.
func (l *Loader) blockedEvictionsLocked(o *ownedEndpoint) int {
	n := 0
	for a, s := range o.slots {
		if s.evicting && !s.unloading && l.inFlight.adapterRequests(o.endpoint.ID(), a) > 0 {
			n++
		}
	}
	return n
}

// coldestLocked returns the adapter that leaves next: of those that rest, the one that is
// asked for least.
func (l *Loader) leastRequestedIdleLocked(o *ownedEndpoint, now time.Time) (coldest topology.Adapter, ok bool) {
	least := 0.0
	for a, s := range o.slots {
		if !s.ready || s.evicting || !l.isIdleLocked(o, a, s, now) {
			continue
		}
		r := l.requestRateLocked(a, now)
		if !ok || r < least || (r == least && s.lastUsed.Before(o.slots[coldest].lastUsed)) {
			coldest, least, ok = a, r, true
		}
	}
	return coldest, ok
}

// restsLocked tells whether no box uses an adapter, nor is about to. A new owner waits until
// every box has told it what it uses.
func (l *Loader) isIdleLocked(o *ownedEndpoint, a topology.Adapter, s *slot, now time.Time) bool {
	heard := usageSyncTime
	if o.handedOver {
		heard += reportLag
	}
	if now.Sub(o.since) < heard {
		return false
	}
	return l.inFlight.adapterRequests(o.endpoint.ID(), a) == 0 && now.Sub(s.lastUsed) >= idleThreshold && now.Sub(s.lastAnnounced) >= idleThreshold
}

// retireOneLocked marks an adapter as leaving and returns the task that unloads it.
func (l *Loader) beginEvictionLocked(o *ownedEndpoint, a topology.Adapter, now time.Time) func(context.Context) {
	s := o.slots[a]
	s.unloading = l.isIdleLocked(o, a, s, now)
	s.evicting, s.evictionBegan = true, now
	l.Log.Info("Adapter leaves its slot", "adapter", a.String(), "adapter_version", s.version, "endpoint", o.endpoint.ID(),
		"unused_ms", now.Sub(s.lastUsed).Milliseconds(), "a_second", l.requestRateLocked(a, now), "fence", o.fence)
	claim := o.claims
	if s.unloading {
		return func(ctx context.Context) { l.unload(ctx, o, claim, a) }
	}
	return func(ctx context.Context) { l.evictWhenIdle(ctx, o, claim, a, now) }
}

// retire unloads an adapter that leaves since the time, when no box uses it any more.
func (l *Loader) evictWhenIdle(ctx context.Context, o *ownedEndpoint, claim int, a topology.Adapter, since time.Time) {
	for {
		wait, leaves := l.evictionDelay(o, claim, a, since, clock.Now())
		if !leaves {
			return
		}
		if wait <= 0 {
			break
		}
		if !sleep(ctx, wait) {
			return
		}
	}
	l.unload(ctx, o, claim, a)
}

// quietIn is how long it takes at least until an adapter that leaves may be unloaded; from
// zero on it is. False: it was taken back, even if it leaves again since, or is no longer
// this box's.
func (l *Loader) evictionDelay(o *ownedEndpoint, claim int, a topology.Adapter, since, now time.Time) (wait time.Duration, leaves bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	s := o.slots[a]
	if o.claims != claim || o.phase != owning || s == nil || !s.evicting || !s.evictionBegan.Equal(since) {
		return 0, false
	}
	wait = usageSettleTime - now.Sub(s.evictionBegan)
	if wait <= 0 && l.inFlight.adapterRequests(o.endpoint.ID(), a) > 0 {
		wait = usagePollInterval
	}
	s.unloading = wait <= 0
	return wait, true
}

// emptyInLocked is how long it takes until an endpoint has an empty slot for a load that
// goes after so many others there.
func (l *Loader) freeSlotDelayLocked(o *ownedEndpoint, before int, now time.Time) time.Duration {
	g := l.engineSpec(o.endpoint)
	if g == nil || len(o.slots) < g.SlotsBeside(o.models) {
		return 0
	}
	least := l.slotWaitLocked(o, before, now)
	for a, s := range o.slots {
		switch {
		case s.unloading || (s.ready && !s.evicting && l.isIdleLocked(o, a, s, now)):
			return idleUnloadTime
		case s.evicting:
			least = min(least, max(usageSettleTime-now.Sub(s.evictionBegan), 0))
		}
	}
	return least
}

// takeBackLocked lets an adapter stay that was to leave and is wanted again; false where
// the endpoint was already ordered to unload it.
func (l *Loader) cancelEvictionLocked(o *ownedEndpoint, a topology.Adapter) bool {
	s := o.slots[a]
	if s.unloading || s.outdated {
		return false
	}
	s.evicting = false
	l.publishLocked(o)
	return true
}

// unload empties a slot. Only the endpoint's word that it is empty counts.
func (l *Loader) unload(ctx context.Context, o *ownedEndpoint, claim int, a topology.Adapter) {
	begun := clock.Now()
	until := begun.Add(loadTimeout)
	for pause := pollInterval; clock.Now().Before(until); pause = min(2*pause, maxPollInterval) {
		out, err := l.sendOrder(ctx, o, claim, Order{Unload: true, Adapter: a})
		if err != nil {
			return
		}
		if out == Done {
			l.finishUnload(o, claim, a, clock.Since(begun))
			return
		}
		if out != Accepted && out != Busy {
			break
		}
		if !sleep(ctx, pause) {
			return
		}
	}
	l.requestReclaim(o, claim, "an unload did not end")
}

// unloaded follows an order that emptied a slot.
func (l *Loader) finishUnload(o *ownedEndpoint, claim int, a topology.Adapter, took time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if o.claims != claim {
		return
	}
	l.wakeUp()
	l.Log.Info("Slot is empty", "adapter", a.String(), "endpoint", o.endpoint.ID(), "took_ms", took.Milliseconds(), "fence", o.fence)
}
