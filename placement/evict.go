// SPDX-License-Identifier: Apache-2.0

package placement

import (
	"context"
	"time"

	"cairnwick.example/clock"
	"cairnwick.example/topology"
)

// An endpoint unloads an idle adapter at once. To unload one in use it waits until the
// requests have ended, and blocks all its other orders meanwhile, including loads in
// progress. Boxes report promptly which adapters they start and stop using, so an idle slot
// is emptied at once when a load needs it. A request that arrives during the unload is
// refused by the endpoint as not run, and its adapter is reloaded from host memory. An adapter
// in use is evicted only for a newer version of itself: the boxes are asked not to use it any
// more, and it is unloaded when none does.

const (
	// usageSettleTime is how long after the eviction of an adapter in use was announced every box
	// has received that and reported its usage: both take a few batches of updates.
	usageSettleTime = 250 * time.Millisecond
	// idleThreshold is how long an adapter must not have been used, nor been announced to a box
	// as ready, to count as idle. A box reports usage within 20 ms plus the network delay, but one
	// that has used up its processor share is suspended for 100 ms. With a threshold of 60 ms a
	// quarter of the unloads met a request, and 18 endpoints together were blocked for 791 of
	// 1,044 s.
	idleThreshold = 250 * time.Millisecond
	// balancedIdleThreshold takes its place where this box assigns each request to an endpoint: it knows the requests
	// that are on their way. The waiting requests of a load are assigned within some milliseconds of its end.
	balancedIdleThreshold = 60 * time.Millisecond
	// usageSyncTime is how long after it began to own an endpoint a box has received all boxes'
	// usage there: they report to a new leader within some 0.3 s of learning of it, and it owns
	// nothing before it has waited reportLag for a report. After a handover it did not wait for a
	// report, so reportLag is added.
	usageSyncTime = 200 * time.Millisecond
	// idleUnloadTime is how long it takes to unload an idle adapter: the order and its response.
	idleUnloadTime = 10 * time.Millisecond
	// usagePollInterval is the interval between checks whether an adapter being evicted is still
	// in use.
	usagePollInterval = 50 * time.Millisecond
	// spareSlotDivisor is the reciprocal of the share of slots kept empty, or being emptied, at
	// each endpoint so that the next loads need not wait. An endpoint with 16 slots begins at most
	// some four loads a second, and emptying a slot takes a quarter of a second.
	spareSlotDivisor = 8
	// maxConcurrentEvictions is per endpoint: as many as loads.
	maxConcurrentEvictions = maxConcurrentLoads
)

// evictLocked evicts idle adapters: as many as there are loads waiting for a slot, and some
// in advance. An adapter in use stays, unless a newer version is to replace it: until its
// requests ended it would still occupy the slot, and it would be requested again meanwhile.
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

// evictionsNeededLocked returns how many more slots must be emptied at an endpoint.
func (l *Loader) evictionsNeededLocked(o *ownedEndpoint, waiting int) int {
	g := l.engineSpec(o.endpoint)
	if g == nil {
		return 0
	}
	slots := g.AdapterCapacity(o.models)
	ahead := slots - len(o.slots)
	for _, s := range o.slots {
		if s.evicting {
			ahead++
		}
	}
	ahead -= l.blockedEvictionsLocked(o)
	return min(slots/spareSlotDivisor+waiting, maxConcurrentEvictions) - ahead
}

// blockedEvictionsLocked counts the adapters being evicted that are still in use: their
// requests may take seconds.
func (l *Loader) blockedEvictionsLocked(o *ownedEndpoint) int {
	n := 0
	for a, s := range o.slots {
		if s.evicting && !s.unloading && l.inFlight.adapterRequests(o.endpoint.ID(), a) > 0 {
			n++
		}
	}
	return n
}

// leastRequestedIdleLocked returns the idle adapter with the lowest request rate, the next to
// evict.
func (l *Loader) leastRequestedIdleLocked(o *ownedEndpoint, now time.Time) (best topology.Adapter, ok bool) {
	lowest := 0.0
	for a, s := range o.slots {
		if !s.ready || s.evicting || !l.isIdleLocked(o, a, s, now) {
			continue
		}
		r := l.requestRateLocked(a, now)
		if !ok || r < lowest || (r == lowest && s.lastUsed.Before(o.slots[best].lastUsed)) {
			best, lowest, ok = a, r, true
		}
	}
	return best, ok
}

// isIdleLocked reports whether no box uses an adapter or is about to. A new owner treats none as
// idle until every box has reported its usage.
func (l *Loader) isIdleLocked(o *ownedEndpoint, a topology.Adapter, s *slot, now time.Time) bool {
	syncTime := usageSyncTime
	if o.handedOver {
		syncTime += reportLag
	}
	if now.Sub(o.since) < syncTime {
		return false
	}
	if l.inFlight.adapterRequests(o.endpoint.ID(), a) > 0 {
		return false
	}
	if l.engineSpec(o.endpoint).IsMemoryBound() { // boxes use it as this box assigned it to them
		o.expireGrants(now)
		return o.grantsFor(a) == 0 && now.Sub(s.lastUsed) >= balancedIdleThreshold && now.Sub(s.lastAnnounced) >= balancedIdleThreshold
	}
	return now.Sub(s.lastUsed) >= idleThreshold && now.Sub(s.lastAnnounced) >= idleThreshold
}

// beginEvictionLocked marks an adapter as being evicted and returns the task that unloads it.
func (l *Loader) beginEvictionLocked(o *ownedEndpoint, a topology.Adapter, now time.Time) func(context.Context) {
	s := o.slots[a]
	s.unloading = l.isIdleLocked(o, a, s, now)
	s.evicting, s.evictionBegan = true, now
	l.Log.Info("Adapter eviction begins", "adapter", a.String(), "adapter_version", s.version, "endpoint", o.endpoint.ID(),
		"unused_ms", now.Sub(s.lastUsed).Milliseconds(), "a_second", l.requestRateLocked(a, now), "fence", o.fence)
	claim := o.claims
	if s.unloading {
		l.slotDemandLocked(o.endpoint).released.Add(1, now, slotDemandHalfLife)
		return func(ctx context.Context) { l.unload(ctx, o, claim, a) }
	}
	return func(ctx context.Context) { l.evictWhenIdle(ctx, o, claim, a, now) }
}

// evictWhenIdle unloads an adapter whose eviction began at since, when no box uses it any more.
func (l *Loader) evictWhenIdle(ctx context.Context, o *ownedEndpoint, claim int, a topology.Adapter, since time.Time) {
	for {
		wait, active := l.evictionDelay(o, claim, a, since, clock.Now())
		if !active {
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

// evictionDelay returns how long to wait before an adapter being evicted may be unloaded; when
// it returns zero or less, the adapter counts as being unloaded. It returns false when this
// eviction was cancelled, even if a later one has begun, or the claim has ended.
func (l *Loader) evictionDelay(o *ownedEndpoint, claim int, a topology.Adapter, since, now time.Time) (wait time.Duration, active bool) {
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

// freeSlotDelayLocked returns how long it takes until an endpoint has an empty slot for a load
// that is queued behind the given number of others.
func (l *Loader) freeSlotDelayLocked(o *ownedEndpoint, ahead int, now time.Time) time.Duration {
	g := l.engineSpec(o.endpoint)
	if g == nil || len(o.slots) < g.AdapterCapacity(o.models) {
		return 0
	}
	shortest := l.slotWaitLocked(o, ahead, now)
	for a, s := range o.slots {
		switch {
		case s.unloading || (s.ready && !s.evicting && l.isIdleLocked(o, a, s, now)):
			return idleUnloadTime
		case s.evicting:
			shortest = min(shortest, max(usageSettleTime-now.Sub(s.evictionBegan), 0))
		}
	}
	return shortest
}

// cancelEvictionLocked keeps an adapter that was being evicted and is needed again; it returns
// false when the unload order may already have been sent or the version is outdated.
func (l *Loader) cancelEvictionLocked(o *ownedEndpoint, a topology.Adapter) bool {
	s := o.slots[a]
	if s.unloading || s.outdated {
		return false
	}
	s.evicting = false
	l.publishLocked(o)
	return true
}

// unload empties a slot. The slot counts as empty only when the endpoint confirms it.
func (l *Loader) unload(ctx context.Context, o *ownedEndpoint, claim int, a topology.Adapter) {
	started := clock.Now()
	deadline := started.Add(loadTimeout)
	for pause := pollInterval; clock.Now().Before(deadline); pause = min(2*pause, maxPollInterval) {
		out, err := l.sendOrder(ctx, o, claim, Order{Unload: true, Adapter: a})
		if err != nil {
			return
		}
		if out == Done {
			l.finishUnload(o, claim, a, clock.Since(started))
			return
		}
		if out != Accepted && out != Busy {
			break
		}
		if !sleep(ctx, pause) {
			return
		}
	}
	l.requestReclaim(o, claim, "unload timed out")
}

// finishUnload records a completed unload.
func (l *Loader) finishUnload(o *ownedEndpoint, claim int, a topology.Adapter, took time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if o.claims != claim {
		return
	}
	l.wakeUp()
	l.Log.Info("Adapter is unloaded", "adapter", a.String(), "endpoint", o.endpoint.ID(), "took_ms", took.Milliseconds(), "fence", o.fence)
}
