// SPDX-License-Identifier: Apache-2.0

package placement

import (
	"context"
	"slices"
	"sort"
	"time"

	"cairnwick.example/clock"
	"cairnwick.example/forward"
	"cairnwick.example/policy"
	"cairnwick.example/topology"
)

// wantKey is an adapter that requests need at an endpoint.
type placementKey struct {
	endpoint string
	adapter  topology.Adapter
}

// want is an adapter that requests asked for and that is not loaded. Guarded by
// Loader.mu.
type pendingLoad struct {
	version          int64
	demand           policy.Popularity // requests that asked in vain, fading; a caller's return counts less
	remoteRequests   float64           // requests that another data centre served: a copy would save their way
	lastRequested    time.Time         // when it was asked for last
	deadline         time.Time         // loaded by then, somebody who waited is answered in time
	queuedAhead      int               // loads that wait for a slot of the endpoint and go first, as of the last look
	waiting          int               // requests that are held for it
	unservedRequests int               // requests that asked for it in vain
	copiesRequested  int               // copies that were asked for because of them
	isCopy           bool              // it is a copy, for this endpoint and no other
	done             chan struct{}     // closed when the load has begun or will not
	ended            bool
}

func (w *pendingLoad) notifyWaiters() {
	if !w.ended {
		w.ended = true
		close(w.done)
	}
}

// claimTime is how long it usually takes a new owner to learn what an endpoint
// holds.
const typicalClaimTime = reportLag + 200*time.Millisecond

// waiter is one request that needs an adapter.
type waiter struct {
	forward.Wanted

	requestedAt time.Time
	counted     bool           // it was counted before
	target      *ownedEndpoint // where it waits for a load; nil: nowhere
	pending     *pendingLoad   // the load that it counts as waiting for; nil: none
}

// avoids tells whether an endpoint can't serve the request. Without it who asks for an adapter would be
// brought back to the endpoint that holds it and has just turned the request away.
func (w *waiter) avoids(endpoint string) bool { return slices.Contains(w.Avoid, endpoint) }

// queued is how much of the wait passed before the load began.
func (w *waiter) queueTime(s *slot) time.Duration {
	if !w.counted || s.loadBegan.Before(w.requestedAt) {
		return 0
	}
	return s.loadBegan.Sub(w.requestedAt)
}

// Want implements forward.Placer for the endpoints of this box. A request waits as long as
// its load is expected while that is of use to its caller. What is expected changes with
// what else is wanted, so it is looked at again and again; as soon as it comes too late the
// caller is told when to come back instead.
func (l *Loader) Want(ctx context.Context, w forward.Wanted) (forward.Placed, error) {
	l.Init()
	now := clock.Now()
	limit := now.Add(max(w.Most, 0))
	for q := (&waiter{Wanted: w, requestedAt: now}); ; q.counted = true {
		p, wait := l.tryPlace(q, clock.Now(), limit)
		if wait == nil {
			l.Log.V(1).Info("Adapter was asked for", "request", w.Request, "adapter", w.Adapter.String(),
				"endpoint", w.Endpoint.ID(), "ready", p.Ready, "reason", p.Reason, "retry_ms", p.Retry.Milliseconds())
			return p, nil
		}
		timer := time.NewTimer(min(clock.Until(limit), recheckInterval))
		select {
		case <-ctx.Done():
			timer.Stop()
			l.cancelWait(q)
			return forward.Placed{}, ctx.Err()
		case <-timer.C:
		case <-wait:
			timer.Stop()
		}
		q.Denied = false
	}
}

// lookAgain is how soon a request that waits is looked at again. A caller that is refused
// late loses more; a look costs some microseconds.
const recheckInterval = 100 * time.Millisecond

// giveUp notes that a request waits no more.
func (l *Loader) cancelWait(w *waiter) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.setWaitTargetLocked(w, nil)
	w.leaveQueue()
}

// leave ends the wait for a load that has not begun: one for which nobody waits any more
// goes behind the others.
func (w *waiter) leaveQueue() {
	if w.pending != nil {
		w.pending.waiting--
		w.pending = nil
	}
}

// look answers a request now, or returns what to wait for.
func (l *Loader) tryPlace(w *waiter, now, limit time.Time) (forward.Placed, <-chan struct{}) {
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

// lookLocked answers a request, or returns what to wait for and the endpoint of the load.
func (l *Loader) tryPlaceLocked(w *waiter, now, limit time.Time) (forward.Placed, <-chan struct{}, *ownedEndpoint) {
	o := l.owned[w.Endpoint.ID()]
	if o == nil || o.phase != owning {
		return forward.Placed{Settling: true, Retry: l.settleDelayLocked(w.Endpoint, o, now), Reason: "the endpoint's owner has not settled"}, nil, nil
	}
	if o.endpoint.Draining() {
		return forward.Placed{Retry: retryMargin, Reason: "the endpoint leaves"}, nil, nil
	}
	var denied *ownedEndpoint
	if w.Denied {
		denied = o
	}
	if at, s := l.findHolderLocked(o, w, denied, now); s != nil {
		if !s.ready {
			p, done := l.waitOrRetry(s.expectedLoadTime-now.Sub(s.loadBegan), s.done, now, limit, "it is being loaded")
			return p, done, at
		}
		if !s.evicting || l.cancelEvictionLocked(at, w.Adapter) {
			s.lastUsed, s.lastAnnounced = now, now
			at.announcedTokens.Add(float64(w.Tokens), now, announcedHalfLife)
			return forward.Placed{Ready: true, Endpoint: at.endpoint.ID(), Version: s.version, Queued: w.queueTime(s)}, nil, nil
		}
	}
	if at := l.pendingEndpointLocked(w, o.endpoint.DataCentre(), now); at != nil {
		o = at
	} else if !w.Denied {
		o = l.chooseEndpointLocked(w.Adapter, o, w.Avoid, now)
	}
	if !o.isAvailable(now) { // no other one of the data centre does: those elsewhere may
		return forward.Placed{Settling: true, Retry: o.endedUntil.Sub(now), Reason: "the endpoint ended"}, nil, nil
	}
	answer, done := l.enqueueLocked(o, w, now, limit)
	return answer, done, o
}

// settledInLocked is when this box will give an endpoint orders, as far as it is known.
func (l *Loader) settleDelayLocked(e *topology.Endpoint, o *ownedEndpoint, now time.Time) time.Duration {
	claims := now
	switch {
	case o == nil:
		if mine, from := l.Owns(e, now); mine {
			claims = from
		}
	case o.phase == yielded:
		claims = o.since.Add(l.claimBackoffLocked(o))
	default:
		claims = o.since
	}
	left := claims.Add(typicalClaimTime).Sub(now)
	if left <= 0 { // it takes longer than usual
		left = typicalClaimTime
	}
	return left + retryMargin
}

// await lets a request wait when that will be over by limit, and else says when to
// come back.
func (l *Loader) waitOrRetry(left time.Duration, done <-chan struct{}, now, limit time.Time, reason string) (forward.Placed, <-chan struct{}) {
	left = max(left, 0)
	if now.Add(left).Before(limit) {
		return forward.Placed{}, done
	}
	return forward.Placed{Retry: left + retryMargin, Reason: reason}, nil
}

// enqueueLocked notes that an adapter is wanted, and lets the request wait when the
// load will be done by limit.
func (l *Loader) enqueueLocked(o *ownedEndpoint, w *waiter, now, limit time.Time) (forward.Placed, <-chan struct{}) {
	key := placementKey{endpoint: o.endpoint.ID(), adapter: w.Adapter}
	q := l.pendingLoads[key]
	if q == nil {
		if s := o.slots[w.Adapter]; s != nil && w.Denied {
			s.ready = false // until the endpoint has said again that it holds it
		}
		q = &pendingLoad{done: make(chan struct{})}
		l.pendingLoads[key] = q
		o.queuedLoads++
	}
	q.version = max(q.version, w.Version)
	q.lastRequested = now
	if t := w.requestedAt.Add(w.Wait); t.After(q.deadline) {
		q.deadline = t
	}
	if !w.counted {
		q.demand.Add(l.requestWeightLocked(w.Wanted), now, demandHalfLife)
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
	wait = max(wait, l.freeSlotDelayLocked(o, q.queuedAhead, now))
	p, done := l.waitOrRetry(wait+load, q.done, now, limit, "loads that more requests ask for go first")
	if done != nil && w.pending != q {
		w.leaveQueue()
		w.pending = q
		q.waiting++
	}
	return p, done
}

// aheadOfLocked is how long a load waits behind those that go first, by the last look at
// the queue.
func (l *Loader) queueDelayLocked(key placementKey, q *pendingLoad, now time.Time) time.Duration {
	own := l.rankLocked(key, q, now)
	n := sort.Search(len(l.queue), func(i int) bool { return !l.queue[i].before(own) })
	return l.loadLimiter.queueDelay(n, l.coldLoadTime)
}

const (
	activeWeight        = 1.0 // requests that one who is there or comes back counts as besides
	minUnattendedDemand = 1.6 // owed requests from which a load is made though nobody waits: more than one caller and its return
	waitingWeight       = 1.0 // requests that one held request counts as besides: what was promised goes first
	retryWeight         = 0.5 // part that the return of a refused caller counts for: the adapter is not wanted by more
	minRequestWeight    = 0.7 // of the smallest request against a mean one: size orders what was asked for as often
	maxRequestWeight    = 1.5 // of the largest
	worthSmoothing      = 64  // requests over which the mean is smoothed
)

// askWeightLocked is how much a request counts that asked in vain: the more work it
// stands for, against others as urgent, the more is lost with it.
func (l *Loader) requestWeightLocked(w forward.Wanted) float64 {
	if w.Worth <= 0 {
		return 1
	}
	mean := l.meanWorth[w.Priority]
	if mean == 0 {
		mean = w.Worth
	}
	mean += (w.Worth - mean) / worthSmoothing
	l.meanWorth[w.Priority] = mean
	weight := min(minRequestWeight+(1-minRequestWeight)*w.Worth/mean, maxRequestWeight)
	if w.Returned {
		return weight * retryWeight
	}
	return weight
}

// spare tells whether the load would only be a copy: it goes behind all that nobody
// serves.
func (w *pendingLoad) isCopyOnly(now time.Time) bool {
	return w.unmetDemand(now) == 0 && w.waiting == 0
}

// owed is how many requests asked in vain, those of long ago counting less.
func (w *pendingLoad) unmetDemand(now time.Time) float64 { return w.demand.Count(now, demandHalfLife) }

// score ranks the loads that are wanted: by how many requests asked in vain since
// the adapter was last loaded, so that none is passed over for ever, and by who
// would be served by it at once.
func (w *pendingLoad) score(now time.Time) float64 {
	score := w.unmetDemand(now) + waitingWeight*float64(w.waiting)
	if w.isActive(now) {
		score += activeWeight
	}
	return score
}

// live tells whether somebody is held for the load or may still come back for it.
func (w *pendingLoad) isActive(now time.Time) bool {
	return w.waiting > 0 || now.Sub(w.lastRequested) <= retryWindow
}

// worthwhile tells whether the load serves somebody soon: who asked just now, or,
// where several asked before, the next one.
func (w *pendingLoad) isWorthwhile(now time.Time) bool {
	return w.isActive(now) || w.unmetDemand(now) >= minUnattendedDemand
}
