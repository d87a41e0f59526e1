// SPDX-License-Identifier: Apache-2.0

package placement

import (
	"context"
	"time"

	"cairnwick.example/clock"
	"cairnwick.example/topology"
	"github.com/pkg/errors"
)

const (
	// retryWindow is how long after the last request a load is still worthwhile: a refused
	// caller retries within it.
	retryWindow = 2 * time.Second
	// demandHalfLife is the time after which an unserved request counts half: the popularity
	// of adapters is stable for some ten seconds.
	demandHalfLife = 20 * time.Second
	// demandRetention is how long unserved requests are remembered.
	demandRetention = time.Minute
)

// startLoadsLocked begins the pending loads that may begin now, by descending rank.
func (l *Loader) startLoadsLocked(now time.Time) []func(context.Context) {
	var tasks []func(context.Context)
	waiting := make(map[*ownedEndpoint]int)
	for _, r := range l.rankPendingLocked(now) {
		key, w := r.key, r.load
		o := l.owned[key.endpoint]
		if o == nil || o.phase != owning {
			continue
		}
		cold := !l.isWarmLocked(o, key.adapter)
		if cold && !l.loadLimiter.hasPermit() {
			continue
		}
		if w.isCopyOnly(now) && w.remoteRequests < remoteCopyThreshold {
			continue
		}
		if !o.isAvailable(now) || !l.canLoadLocked(o, key.adapter, w.version) {
			o = l.relocateLocked(w, key, o, now)
			key.endpoint = o.endpoint.ID()
			if !o.isAvailable(now) || !l.canLoadLocked(o, key.adapter, w.version) {
				waiting[o]++
				continue
			}
			cold = !l.isWarmLocked(o, key.adapter)
		}
		if cold && !l.loadLimiter.acquire(now) {
			continue
		}
		delete(l.pendingLoads, key)
		if !w.isCopyOnly(now) {
			l.owned[r.key.endpoint].begunLoads++
		}
		tasks = append(tasks, l.beginLoadLocked(o, key.adapter, w.version, cold, now))
		w.notifyWaiters()
	}
	return append(tasks, l.evictLocked(waiting, now)...)
}

// relocateLocked moves a load that waits for a slot to the endpoint where it now costs least,
// and returns that endpoint. Additional copies are not moved: they are meant for one endpoint.
func (l *Loader) relocateLocked(w *pendingLoad, key placementKey, o *ownedEndpoint, now time.Time) *ownedEndpoint {
	if w.isCopy || o.slots[key.adapter] != nil {
		return o
	}
	better := l.chooseEndpointLocked(key.adapter, o, w.avoid, now)
	to := placementKey{endpoint: better.endpoint.ID(), adapter: key.adapter}
	if better == o || l.pendingLoads[to] != nil || better.slots[key.adapter] != nil {
		return o
	}
	delete(l.pendingLoads, key)
	l.pendingLoads[to] = w
	return better
}

// remoteCopyThreshold is the number of requests served by another data centre from which a
// local copy is worth its load: a load is priced like the traffic of some ten requests between
// data centres.
const remoteCopyThreshold = 12

// canLoadLocked reports whether an adapter may be loaded at an endpoint now: a slot is free, or
// the adapter occupies one already. An older version that may be in use is evicted first, since
// replacing it would wait for its requests to end and block all other orders at the endpoint.
func (l *Loader) canLoadLocked(o *ownedEndpoint, a topology.Adapter, version int64) bool {
	g := l.engineSpec(o.endpoint)
	if g == nil || o.loadsInFlight >= maxConcurrentLoads || !o.models[a.Model] {
		return false
	}
	s := o.slots[a]
	if s == nil {
		return len(o.slots) < g.AdapterCapacity(o.models)
	}
	if s.ready && s.version < version {
		s.outdated = true
	}
	return !s.evicting && !s.outdated
}

// beginLoadLocked reserves the slot and returns the task that sends the orders.
func (l *Loader) beginLoadLocked(o *ownedEndpoint, a topology.Adapter, version int64, cold bool, now time.Time) func(context.Context) {
	s := o.slots[a]
	if s == nil {
		s = &slot{}
		o.slots[a] = s
	}
	s.ready, s.loadBegan, s.lastUsed, s.expectedLoadTime = false, now, now, l.warmLoadTime
	s.version = version
	s.evictionsSince, s.heldBefore = l.View.EvictionsSince(o.endpoint.ID(), a)
	if cold {
		s.expectedLoadTime = l.coldLoadTime
		s.holdsPermit = true
	}
	s.done = make(chan struct{})
	delete(l.slotRefusals, a)
	o.loadsInFlight++
	l.publishLocked(o)
	l.Log.Info("Load begins", "adapter", a.String(), "adapter_version", version, "endpoint", o.endpoint.ID(),
		"slots", len(o.slots), "on_their_way", o.loadsInFlight, "from_store", cold, "fence", o.fence)
	claim := o.claims
	return func(ctx context.Context) { l.runLoad(ctx, o, claim, a) }
}

// runLoad sends the load order and repeats it until the endpoint responds that the adapter
// is loaded; orders are idempotent. The load time is measured from when the endpoint
// accepted the order.
func (l *Loader) runLoad(ctx context.Context, o *ownedEndpoint, claim int, a topology.Adapter) {
	s, version, expected := l.slotOf(o, a)
	if s == nil {
		return
	}
	orderedAt, acceptedAt := clock.Now(), time.Time{}
	for clock.Since(orderedAt) < loadTimeout {
		out, err := l.sendOrder(ctx, o, claim, Order{Adapter: a, Version: version})
		if err != nil {
			return
		}
		now, pause := clock.Now(), pollInterval
		switch out {
		case Done:
			l.finishLoad(o, a, s, acceptedAt, now)
			return
		case Accepted:
			if acceptedAt.IsZero() {
				acceptedAt = now
			}
			pause = l.nextPollDelay(s, now.Sub(acceptedAt), expected)
		case Busy:
			pause = maxPollInterval
		default:
			l.abortLoad(o, claim, a)
			return
		}
		if !sleep(ctx, pause) {
			return
		}
	}
	l.requestReclaim(o, claim, "load timed out")
}

// nextPollDelay returns the time until the next poll of a load, given the time elapsed since the
// endpoint accepted it. The load is polled when it would be done if it came from host memory,
// shortly before the fastest load from the store would be, and at short intervals from then on.
// The schedule does not depend on the smoothed load time, since late polls would increase the
// measured times and so delay the next polls further.
func (l *Loader) nextPollDelay(s *slot, elapsed, expected time.Duration) time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	fastest := l.loadLimiter.fastestLoad() * 9 / 10
	switch {
	case elapsed < firstPollDelay:
		return firstPollDelay - elapsed
	case s.holdsPermit && elapsed < fastest:
		return fastest - elapsed
	case elapsed > outlierFactor*expected:
		return maxPollInterval
	}
	return pollInterval
}

func (l *Loader) slotOf(o *ownedEndpoint, a topology.Adapter) (*slot, int64, time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	s := o.slots[a]
	if s == nil {
		return nil, 0, 0
	}
	return s, s.version, s.expectedLoadTime
}

// errNotOwner means that the claim under which the task began has ended.
var errNotOwner = errors.New("placement: endpoint is no longer owned under this claim")

// sendOrder sends an order with the endpoint's fence and handles failures and refusals.
func (l *Loader) sendOrder(ctx context.Context, o *ownedEndpoint, claim int, d Order) (Outcome, error) {
	e, fence, owns := l.beginOrder(o, claim)
	if !owns {
		return 0, errNotOwner
	}
	d.Fence, d.Holder = fence, l.Box
	call, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	out, err := l.Control.Order(call, e, d)
	l.endOrder(o, claim, d, out, err)
	switch {
	case err != nil:
		l.requestReclaim(o, claim, "order got no response: "+err.Error())
	case out == Fenced:
		l.yieldOwnership(o, owning, d.Fence)
	case out == Misdirected:
		l.requestReclaim(o, claim, "another instance or service has the address")
	}
	return out, err
}

// finishLoad marks an adapter as ready; acceptedAt is zero when the first response said that it
// was loaded already.
func (l *Loader) finishLoad(o *ownedEndpoint, a topology.Adapter, s *slot, acceptedAt, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if o.slots[a] != s {
		return
	}
	if acceptedAt.IsZero() {
		acceptedAt = now
	}
	l.recordLoadTimeLocked(s, now.Sub(acceptedAt), now)
	s.ready, s.lastUsed, s.lastAnnounced = true, now, now // the waiting requests are answered now
	o.loadsInFlight--
	o.refusals = 0
	s.notifyWaiters()
	l.publishLocked(o)
	l.wakeUp()
	l.Log.Info("Adapter is loaded", "adapter", a.String(), "adapter_version", s.version, "endpoint", o.endpoint.ID(),
		"took_ms", now.Sub(acceptedAt).Milliseconds(), "pace", l.loadLimiter.limit, "fence", o.fence)
}

// abortLoad drops a load that the endpoint refused.
func (l *Loader) abortLoad(o *ownedEndpoint, claim int, a topology.Adapter) {
	l.mu.Lock()
	defer l.mu.Unlock()
	s := o.slots[a]
	if s == nil || o.claims != claim {
		return
	}
	l.Log.Info("Load aborted: endpoint refused the order", "adapter", a.String(), "endpoint", o.endpoint.ID())
	l.releasePermitLocked(s, 0, clock.Now())
	s.notifyWaiters()
	delete(o.slots, a)
	o.loadsInFlight--
	l.publishLocked(o)
}
