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
type wantKey struct {
	endpoint string
	adapter  topology.Adapter
}

// want is an adapter that requests asked for and that is not loaded. Guarded by
// Loader.mu.
type want struct {
	version int64
	demand  policy.Popularity // requests that asked in vain, fading; a caller's return counts less
	far     float64           // requests that another data centre served: a copy would save their way
	last    time.Time         // when it was asked for last
	inTime  time.Time         // loaded by then, somebody who waited is answered in time
	before  int               // loads that wait for a slot of the endpoint and go first, as of the last look
	waiting int               // requests that are held for it
	asked   int               // requests that asked for it in vain
	ahead   int               // copies that were asked for because of them
	copies  bool              // it is a copy, for this endpoint and no other
	done    chan struct{}     // closed when the load has begun or will not
	ended   bool
}

func (w *want) end() {
	if !w.ended {
		w.ended = true
		close(w.done)
	}
}

// claimTime is how long it usually takes a new owner to learn what an endpoint
// holds.
const claimTime = reportLag + 200*time.Millisecond

// waiter is one request that needs an adapter.
type waiter struct {
	forward.AdapterRequest

	asked time.Time
	again bool   // it was counted before
	at    *owned // where it waits for a load; nil: nowhere
	load  *want  // the load that it counts as waiting for; nil: none
}

// avoids tells whether an endpoint can't serve the request. Without it who asks for an adapter would be
// brought back to the endpoint that holds it and has just turned the request away.
func (w *waiter) avoids(endpoint string) bool { return slices.Contains(w.Avoid, endpoint) }

// queued is how much of the wait passed before the load began.
func (w *waiter) queued(s *slot) time.Duration {
	if !w.again || s.begun.Before(w.asked) {
		return 0
	}
	return s.begun.Sub(w.asked)
}

// Place implements forward.Placer for the endpoints of this box. A request waits as long as
// its load is expected while that is of use to its caller. What is expected changes with
// what else is wanted, so it is looked at again and again; as soon as it comes too late the
// caller is told when to come back instead.
func (l *Loader) Place(ctx context.Context, w forward.AdapterRequest) (forward.PlacementResult, error) {
	l.Init()
	now := clock.Now()
	limit := now.Add(max(w.MaxWait, 0))
	for q := (&waiter{AdapterRequest: w, asked: now}); ; q.again = true {
		p, wait := l.look(q, clock.Now(), limit)
		if wait == nil {
			l.Log.V(1).Info("Adapter was asked for", "request", w.RequestID, "adapter", w.Adapter.String(),
				"endpoint", w.Endpoint.ID(), "ready", p.Ready, "reason", p.Reason, "retry_ms", p.RetryAfter.Milliseconds())
			return p, nil
		}
		timer := time.NewTimer(min(clock.Until(limit), lookAgain))
		select {
		case <-ctx.Done():
			timer.Stop()
			l.giveUp(q)
			return forward.PlacementResult{}, ctx.Err()
		case <-timer.C:
		case <-wait:
			timer.Stop()
		}
		q.NotLoaded = false
	}
}

// lookAgain is how soon a request that waits is looked at again. A caller that is refused
// late loses more; a look costs some microseconds.
const lookAgain = 100 * time.Millisecond

// giveUp notes that a request waits no more.
func (l *Loader) giveUp(w *waiter) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.waitAtLocked(w, nil)
	w.leave()
}

// leave ends the wait for a load that has not begun: one for which nobody waits any more
// goes behind the others.
func (w *waiter) leave() {
	if w.load != nil {
		w.load.waiting--
		w.load = nil
	}
}

// look answers a request now, or returns what to wait for.
func (l *Loader) look(w *waiter, now, limit time.Time) (forward.PlacementResult, <-chan struct{}) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.waitAtLocked(w, nil)
	p, wait, at := l.lookLocked(w, now, limit)
	if wait == nil {
		w.leave()
		return p, nil
	}
	l.waitAtLocked(w, at)
	return p, wait
}

// lookLocked answers a request, or returns what to wait for and the endpoint of the load.
func (l *Loader) lookLocked(w *waiter, now, limit time.Time) (forward.PlacementResult, <-chan struct{}, *owned) {
	o := l.owned[w.Endpoint.ID()]
	if o == nil || o.phase != owning {
		return forward.PlacementResult{OwnerChanging: true, RetryAfter: l.settledInLocked(w.Endpoint, o, now), Reason: "the endpoint's owner has not settled"}, nil, nil
	}
	if o.endpoint.Draining() {
		return forward.PlacementResult{RetryAfter: promiseLate, Reason: "the endpoint leaves"}, nil, nil
	}
	var denied *owned
	if w.NotLoaded {
		denied = o
	}
	if at, s := l.heldLocked(o, w, denied, now); s != nil {
		if !s.ready {
			p, done := l.await(s.expected-now.Sub(s.begun), s.done, now, limit, "it is being loaded")
			return p, done, at
		}
		if !s.leaving || l.takeBackLocked(at, w.Adapter) {
			s.used, s.given = now, now
			at.promised.Add(float64(w.PromptTokens), now, promisedHalf)
			return forward.PlacementResult{Ready: true, Endpoint: at.endpoint.ID(), Version: s.version, QueueTime: w.queued(s)}, nil, nil
		}
	}
	if at := l.wantedAtLocked(w, o.endpoint.DataCentre(), now); at != nil {
		o = at
	} else if !w.NotLoaded {
		o = l.siteLocked(w.Adapter, o, w.Avoid, now)
	}
	if !o.serves(now) { // no other one of the data centre does: those elsewhere may
		return forward.PlacementResult{OwnerChanging: true, RetryAfter: o.goneUntil.Sub(now), Reason: "the endpoint ended"}, nil, nil
	}
	answer, done := l.enqueueLocked(o, w, now, limit)
	return answer, done, o
}

// settledInLocked is when this box will give an endpoint orders, as far as it is known.
func (l *Loader) settledInLocked(e *topology.Endpoint, o *owned, now time.Time) time.Duration {
	claims := now
	switch {
	case o == nil:
		if mine, from := l.Owns(e, now); mine {
			claims = from
		}
	case o.phase == yielded:
		claims = o.since.Add(l.keepAwayLocked(o))
	default:
		claims = o.since
	}
	left := claims.Add(claimTime).Sub(now)
	if left <= 0 { // it takes longer than usual
		left = claimTime
	}
	return left + promiseLate
}

// await lets a request wait when that will be over by limit, and else says when to
// come back.
func (l *Loader) await(left time.Duration, done <-chan struct{}, now, limit time.Time, reason string) (forward.PlacementResult, <-chan struct{}) {
	left = max(left, 0)
	if now.Add(left).Before(limit) {
		return forward.PlacementResult{}, done
	}
	return forward.PlacementResult{RetryAfter: left + promiseLate, Reason: reason}, nil
}

// enqueueLocked notes that an adapter is wanted, and lets the request wait when the
// load will be done by limit.
func (l *Loader) enqueueLocked(o *owned, w *waiter, now, limit time.Time) (forward.PlacementResult, <-chan struct{}) {
	key := wantKey{endpoint: o.endpoint.ID(), adapter: w.Adapter}
	q := l.wants[key]
	if q == nil {
		if s := o.slots[w.Adapter]; s != nil && w.NotLoaded {
			s.ready = false // until the endpoint has said again that it holds it
		}
		q = &want{done: make(chan struct{})}
		l.wants[key] = q
		o.queued++
	}
	q.version = max(q.version, w.Version)
	q.last = now
	if t := w.asked.Add(w.TargetWait); t.After(q.inTime) {
		q.inTime = t
	}
	if !w.again {
		q.demand.Add(l.askWeightLocked(w.AdapterRequest), now, demandHalfLife)
		l.countLocked(w.Adapter, 1, now)
		q.asked++
		l.copyAheadLocked(o, q, w.Adapter, now)
	}
	l.nudge()
	load := l.cold
	wait := l.aheadOfLocked(key, q, now)
	if l.isWarmLocked(o, w.Adapter) {
		load, wait = l.warm, 0
	}
	wait = max(wait, l.emptyInLocked(o, q.before, now))
	p, done := l.await(wait+load, q.done, now, limit, "loads that more requests ask for go first")
	if done != nil && w.load != q {
		w.leave()
		w.load = q
		q.waiting++
	}
	return p, done
}

// aheadOfLocked is how long a load waits behind those that go first, by the last look at
// the queue.
func (l *Loader) aheadOfLocked(key wantKey, q *want, now time.Time) time.Duration {
	own := l.rankLocked(key, q, now)
	n := sort.Search(len(l.queue), func(i int) bool { return !l.queue[i].before(own) })
	return l.pace.wait(n, l.cold)
}

const (
	liveWeight   = 1.0 // requests that one who is there or comes back counts as besides
	aheadOwed    = 1.6 // owed requests from which a load is made though nobody waits: more than one caller and its return
	heldWeight   = 1.0 // requests that one held request counts as besides: what was promised goes first
	returnWeight = 0.5 // part that the return of a refused caller counts for: the adapter is not wanted by more
	leastWeight  = 0.7 // of the smallest request against a mean one: size orders what was asked for as often
	mostWeight   = 1.5 // of the largest
	worthMemory  = 64  // requests over which the mean is smoothed
)

// askWeightLocked is how much a request counts that asked in vain: the more work it
// stands for, against others as urgent, the more is lost with it.
func (l *Loader) askWeightLocked(w forward.AdapterRequest) float64 {
	if w.Value <= 0 {
		return 1
	}
	mean := l.worth[w.Priority]
	if mean == 0 {
		mean = w.Value
	}
	mean += (w.Value - mean) / worthMemory
	l.worth[w.Priority] = mean
	weight := min(leastWeight+(1-leastWeight)*w.Value/mean, mostWeight)
	if w.Retried {
		return weight * returnWeight
	}
	return weight
}

// spare tells whether the load would only be a copy: it goes behind all that nobody
// serves.
func (w *want) spare(now time.Time) bool { return w.owed(now) == 0 && w.waiting == 0 }

// owed is how many requests asked in vain, those of long ago counting less.
func (w *want) owed(now time.Time) float64 { return w.demand.Count(now, demandHalfLife) }

// score ranks the loads that are wanted: by how many requests asked in vain since
// the adapter was last loaded, so that none is passed over for ever, and by who
// would be served by it at once.
func (w *want) score(now time.Time) float64 {
	score := w.owed(now) + heldWeight*float64(w.waiting)
	if w.live(now) {
		score += liveWeight
	}
	return score
}

// live tells whether somebody is held for the load or may still come back for it.
func (w *want) live(now time.Time) bool { return w.waiting > 0 || now.Sub(w.last) <= wantLife }

// worthwhile tells whether the load serves somebody soon: who asked just now, or,
// where several asked before, the next one.
func (w *want) worthwhile(now time.Time) bool { return w.live(now) || w.owed(now) >= aheadOwed }
