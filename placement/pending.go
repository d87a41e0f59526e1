// SPDX-License-Identifier: Apache-2.0

package placement

import (
	"context"
	"math"
	"slices"
	"sort"
	"time"

	"cairnwick.example/clock"
	"cairnwick.example/forward"
	"cairnwick.example/policy"
	"cairnwick.example/topology"
)

// placementKey identifies an adapter at an endpoint.
type placementKey struct {
	endpoint string
	adapter  topology.Adapter
}

// pendingLoad is a load that requests asked for and that has not begun. Guarded by
// Loader.mu.
type pendingLoad struct {
	version          int64
	demand           policy.DecayingCounter // requests that were not served, decaying; a retry counts less
	remoteRequests   float64                // requests served by another data centre: a local copy would save that traffic
	lastRequested    time.Time              // time of the last request for it
	deadline         time.Time              // when loaded by then, at least one waiting request is answered in time
	queuedAhead      int                    // loads queued ahead of it for a slot of the endpoint, as of the last ranking
	waiting          int                    // requests that wait for it
	unservedRequests int                    // requests that asked for it and were not served
	copiesRequested  int                    // additional copies requested because of them
	isCopy           bool                   // it is an additional copy, for this endpoint only
	avoid            []string               // endpoints that can't serve some of the requests that asked for it: it does not move there
	done             chan struct{}          // closed when the load has begun or is cancelled
	ended            bool
}

func (w *pendingLoad) notifyWaiters() {
	if !w.ended {
		w.ended = true
		close(w.done)
	}
}

// typicalClaimTime is how long a new owner usually takes to learn what an endpoint
// holds.
const typicalClaimTime = reportLag + 200*time.Millisecond

// waiter is a request that needs an adapter.
type waiter struct {
	forward.AdapterRequest

	requestedAt time.Time
	counted     bool           // its demand has been counted
	target      *ownedEndpoint // the endpoint at which it waits for a load; nil: none
	pending     *pendingLoad   // the load in whose waiting count it is included; nil: none
}

// avoids reports whether an endpoint can't serve the request. Without this check a request
// would be sent back to the endpoint that holds the adapter and has just refused it.
func (w *waiter) avoids(endpoint string) bool { return slices.Contains(w.Avoid, endpoint) }

// queueTime returns the part of the wait that passed before the load began.
func (w *waiter) queueTime(s *slot) time.Duration {
	if !w.counted || s.loadBegan.Before(w.requestedAt) {
		return 0
	}
	return s.loadBegan.Sub(w.requestedAt)
}

// Place implements forward.Placer for the endpoints of this box. A request waits while its
// load is expected to complete in time to be useful to the caller. The expectation changes with
// the other pending loads, so it is re-evaluated periodically; when the load would come too
// late, the caller gets a retry time instead.
func (l *Loader) Place(ctx context.Context, w forward.AdapterRequest) (forward.PlacementResult, error) {
	l.Init()
	w = boundedRequest(w)
	now := clock.Now()
	limit := now.Add(max(w.MaxWait, 0))
	for q := (&waiter{AdapterRequest: w, requestedAt: now}); ; q.counted = true {
		p, wait := l.tryPlace(q, clock.Now(), limit)
		if wait == nil {
			l.Log.V(1).Info("Adapter requested", "request", w.RequestID, "adapter", w.Adapter.String(),
				"endpoint", w.Endpoint.ID(), "ready", p.Ready, "reason", p.Reason, "retry_ms", p.RetryAfter.Milliseconds())
			return p, nil
		}
		timer := time.NewTimer(min(clock.Until(limit), recheckInterval))
		select {
		case <-ctx.Done():
			timer.Stop()
			l.cancelWait(q)
			return forward.PlacementResult{}, ctx.Err()
		case <-timer.C:
		case <-wait:
			timer.Stop()
		}
		q.NotLoaded = false
	}
}

// recheckInterval is how often a waiting request is re-evaluated. A late refusal costs
// the caller more than the few microseconds that a re-evaluation takes.
const recheckInterval = 100 * time.Millisecond

// cancelWait removes a request that no longer waits.
func (l *Loader) cancelWait(w *waiter) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.setWaitTargetLocked(w, nil)
	w.leaveQueue()
}

// leaveQueue ends the wait for a load that has not begun: a load without waiting requests
// ranks lower.
func (w *waiter) leaveQueue() {
	if w.pending != nil {
		w.pending.waiting--
		w.pending = nil
	}
}

// tryPlace answers a request, or returns a channel to wait on.
func (l *Loader) tryPlace(w *waiter, now, limit time.Time) (forward.PlacementResult, <-chan struct{}) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.setWaitTargetLocked(w, nil)
	p, wait, at := l.tryPlaceLocked(w, now, limit)
	if wait == nil {
		w.leaveQueue()
		return p, nil
	}
	l.setWaitTargetLocked(w, at)
	return p, wait
}

// tryPlaceLocked answers a request, or returns a channel to wait on and the endpoint of the load.
func (l *Loader) tryPlaceLocked(w *waiter, now, limit time.Time) (forward.PlacementResult, <-chan struct{}, *ownedEndpoint) {
	o := l.owned[w.Endpoint.ID()]
	l.wantLocked(o, w.Adapter, w.Version)
	if w.Balance && l.ownsAnyLocked(w.Endpoint) {
		if e := l.unsettledHolderLocked(w, now); e != nil {
			return l.ownerChangingLocked(e, now), nil, nil
		}
		return l.balanceLocked(o, w, now, limit)
	}
	var denied *ownedEndpoint
	if w.NotLoaded {
		denied = o
	}
	if o != nil && o.phase == claiming && now.Sub(o.since) >= longClaimTime {
		o = l.chooseEndpointLocked(w.Adapter, o, w.Avoid, now)
	}
	if o == nil || o.phase != owning {
		return l.ownerChangingLocked(w.Endpoint, now), nil, nil
	}
	if o.endpoint.Draining() {
		return forward.PlacementResult{RetryAfter: retryMargin, Reason: "the endpoint leaves"}, nil, nil
	}
	if at, s := l.findHolderLocked(o, w, denied, now); s != nil {
		if !s.ready {
			p, done := l.waitOrRetry(s.expectedLoadTime-now.Sub(s.loadBegan), s.done, now, limit, reasonLoading)
			return p, done, at
		}
		if !s.evicting || l.cancelEvictionLocked(at, w.Adapter) {
			s.lastUsed, s.lastAnnounced = now, now
			at.announcedTokens.Add(float64(w.PromptTokens), now, announcedHalfLife)
			return forward.PlacementResult{Ready: true, Endpoint: at.endpoint.ID(), Version: s.version, QueueTime: w.queueTime(s)}, nil, nil
		}
	}
	if at := l.pendingEndpointLocked(w, now); at != nil {
		o = at
	} else if !w.NotLoaded {
		o = l.chooseEndpointLocked(w.Adapter, o, w.Avoid, now)
	}
	if !o.isAvailable(now) { // no endpoint of this data centre is available; one in another data centre may be
		return forward.PlacementResult{OwnerChanging: true, RetryAfter: o.endedUntil.Sub(now), Reason: "the endpoint ended"}, nil, nil
	}
	answer, done := l.enqueueLocked(o, w, now, limit)
	return answer, done, o
}

func (l *Loader) ownerChangingLocked(e *topology.Endpoint, now time.Time) forward.PlacementResult {
	return forward.PlacementResult{OwnerChanging: true, RetryAfter: l.settleDelayLocked(e, l.owned[e.ID()], now), Reason: "the endpoint's owner has not settled"}
}

// settleDelayLocked estimates when this box will give orders to an endpoint.
func (l *Loader) settleDelayLocked(e *topology.Endpoint, o *ownedEndpoint, now time.Time) time.Duration {
	claimAt := now
	switch {
	case o == nil:
		if owns, from := l.Owns(e, now); owns {
			claimAt = from
		}
	case o.phase == yielded:
		claimAt = o.since.Add(l.claimBackoffLocked(o))
	default:
		claimAt = o.since
	}
	remaining := claimAt.Add(typicalClaimTime).Sub(now)
	if remaining <= 0 { // the claim takes longer than usual
		remaining = typicalClaimTime
	}
	return remaining + retryMargin
}

// waitOrRetry lets a request wait when the wait ends before limit, and otherwise returns
// when to retry.
func (l *Loader) waitOrRetry(remaining time.Duration, done <-chan struct{}, now, limit time.Time, reason string) (forward.PlacementResult, <-chan struct{}) {
	remaining = max(remaining, 0)
	if now.Add(remaining).Before(limit) {
		return forward.PlacementResult{}, done
	}
	return forward.PlacementResult{RetryAfter: remaining + retryMargin, Reason: reason}, nil
}

// Reasons of refusals because of loads.
const (
	reasonLoading    = "it is being loaded"
	reasonLoadsFirst = "loads that more requests ask for go first"
	reasonSlotsInUse = "all adapter slots are in use"
)

// enqueueLocked records that an adapter is needed, and lets the request wait when the
// load will complete before limit.
func (l *Loader) enqueueLocked(o *ownedEndpoint, w *waiter, now, limit time.Time) (forward.PlacementResult, <-chan struct{}) {
	key := placementKey{endpoint: o.endpoint.ID(), adapter: w.Adapter}
	q := l.pendingLoads[key]
	if q == nil {
		if s := o.slots[w.Adapter]; s != nil && w.NotLoaded {
			s.ready = false // until the endpoint confirms again that it holds the adapter
		}
		q = &pendingLoad{done: make(chan struct{})}
		l.pendingLoads[key] = q
		o.queuedLoads++
	}
	q.version = max(q.version, w.Version)
	q.lastRequested = now
	q.addAvoided(w.Avoid)
	if t := w.requestedAt.Add(w.TargetWait); t.After(q.deadline) {
		q.deadline = t
	}
	if !w.counted {
		q.demand.Add(l.requestWeightLocked(w.AdapterRequest), now, demandHalfLife)
		l.countRequestsLocked(w.Adapter, 1, now)
		q.unservedRequests++
		l.requestCopiesForDemandLocked(o, q, w.Adapter, now)
	}
	l.wakeUp()
	load := l.coldLoadTime
	wait := l.queueDelayLocked(key, q, now)
	if l.isWarmLocked(o, w.Adapter) {
		load, wait = l.warmLoadTime, 0
	}
	reason := reasonLoadsFirst
	if slotWait := l.freeSlotDelayLocked(o, q.queuedAhead, now); slotWait > wait {
		wait, reason = slotWait, reasonSlotsInUse
	}
	p, done := l.waitOrRetry(wait+load, q.done, now, limit, reason)
	if done != nil && w.pending != q {
		w.leaveQueue()
		w.pending = q
		q.waiting++
	}
	return p, done
}

// addAvoided records endpoints that can't serve a request for the load.
func (w *pendingLoad) addAvoided(endpoints []string) {
	if len(endpoints) == 0 {
		return
	}
	w.avoid = append(w.avoid, endpoints...)
	slices.Sort(w.avoid)
	w.avoid = slices.Compact(w.avoid)
}

// queueDelayLocked returns how long a load waits behind those ranked ahead of it, as of the
// last ranking of the queue.
func (l *Loader) queueDelayLocked(key placementKey, q *pendingLoad, now time.Time) time.Duration {
	own := l.rankLocked(key, q, now)
	n := sort.Search(len(l.queue), func(i int) bool { return !l.queue[i].before(own) })
	return l.loadLimiter.queueDelay(n, l.coldLoadTime)
}

// Weights by which requests count towards the score of a pending load.
const (
	activeWeight        = 1.0 // added while a request waits or its caller may still retry
	minUnattendedDemand = 1.6 // unmet demand from which a load begins although no request waits: more than one caller and its retry
	waitingWeight       = 1.0 // added for each waiting request: it was promised the load
	retryWeight         = 0.5 // share that a retry of a refused caller counts for: demand has not grown
	minRequestWeight    = 0.7 // of the smallest request relative to a mean one: size orders adapters that are requested equally often
	maxRequestWeight    = 1.5 // of the largest request
	worthSmoothing      = 64  // requests over which the mean worth is smoothed
	urgencyHalving      = 2.0 // steps of priority by which a request counts half as much: urgent loads go first, and the others still collect demand
)

// requestWeightLocked returns how much an unserved request counts: more the more work it
// represents compared to others of its priority.
func (l *Loader) requestWeightLocked(w forward.AdapterRequest) float64 {
	if w.Value <= 0 {
		return 1
	}
	mean := l.meanWorth[w.Priority]
	if mean == 0 {
		mean = w.Value
	}
	mean += (w.Value - mean) / worthSmoothing
	l.meanWorth[w.Priority] = mean
	weight := min(minRequestWeight+(1-minRequestWeight)*w.Value/mean, maxRequestWeight)
	if w.Balance {
		weight *= math.Exp2(-float64(w.Priority) / urgencyHalving)
	}
	if w.Retried {
		return weight * retryWeight
	}
	return weight
}

// isCopyOnly reports whether the load would only be an additional copy: it ranks behind all
// loads with unmet demand.
func (w *pendingLoad) isCopyOnly(now time.Time) bool {
	return w.unmetDemand(now) == 0 && w.waiting == 0
}

// unmetDemand returns the decayed number of requests that were not served.
func (w *pendingLoad) unmetDemand(now time.Time) float64 { return w.demand.Count(now, demandHalfLife) }

// score ranks pending loads by the unmet demand since the adapter was last loaded, so that
// none starves, and by the requests that the load would serve at once.
func (w *pendingLoad) score(now time.Time) float64 {
	score := w.unmetDemand(now) + waitingWeight*float64(w.waiting)
	if w.isActive(now) {
		score += activeWeight
	}
	return score
}

// isActive reports whether a request waits for the load or its caller may still retry.
func (w *pendingLoad) isActive(now time.Time) bool {
	return w.waiting > 0 || now.Sub(w.lastRequested) <= retryWindow
}

// isWorthwhile reports whether the load will be used soon: by a recent request or, after
// several unserved ones, by the next.
func (w *pendingLoad) isWorthwhile(now time.Time) bool {
	return w.isActive(now) || w.unmetDemand(now) >= minUnattendedDemand
}
