// SPDX-License-Identifier: Apache-2.0

package scheduler

import (
	"time"

	"cairnwick.example/catalog"
	"cairnwick.example/policy"
	"cairnwick.example/wire"
)

// unavailableReasonLocked returns why an endpoint accepts no requests now; zero if it does.
func (s *Scheduler) unavailableReasonLocked(e *endpoint, now time.Time) wire.Reason {
	switch {
	case e.ownership == notOwned && e.owner != s.Name:
		return wire.Reason_REASON_NOT_OWNER
	case e.ownership != owned:
		return wire.Reason_REASON_NOT_READY
	case !e.ownershipValidLocked(now, s.Timing.OwnershipTTL):
		return wire.Reason_REASON_ENDPOINT_DOWN
	case e.spec.State() == catalog.Draining || now.Before(e.leavingUntil):
		return wire.Reason_REASON_LEAVING
	}
	return 0
}

// adapterKnown reports whether the local configuration contains the adapter's version.
func (s *Scheduler) adapterKnown(adapter string) bool {
	_, err := s.Catalog().Resolve(adapter)
	return err == nil
}

func (s *Scheduler) adapterReadyLocked(e *endpoint, adapter string) bool {
	sl := e.slots[adapter]
	return sl != nil && sl.state == ready
}

// canRunNowLocked reports whether a new request for the adapter may run now: the adapter is
// ready, the endpoint has spare capacity and no runnable request is queued before it.
func (s *Scheduler) canRunNowLocked(e *endpoint, adapter string, now time.Time) bool {
	if !s.adapterReadyLocked(e, adapter) || e.running() >= e.concurrencyLimitLocked() {
		return false
	}
	for _, queued := range s.queuedRequestsLocked(e, now) {
		if queued.Ready {
			return false
		}
	}
	return true
}

// admitLocked returns a refusal for a request that should not be queued; nil if it may wait.
func (s *Scheduler) admitLocked(e *endpoint, w *waiter, now time.Time) *wire.AcquireReply {
	adapter := w.request.GetAdapter()
	if f := e.loadFailures[adapter]; now.Before(f.retryAt) && !s.adapterReadyLocked(e, adapter) {
		return refusal(wire.Reason_REASON_LOAD_FAILED, f.retryAt.Sub(now), "")
	}
	verdict, retryAfter := policy.Admit(policy.Admission{
		MaxWait:         w.deadline.Sub(now),
		EstimatedWait:   s.estimatedWaitLocked(e, w, now),
		Queued:          len(e.waiters),
		MaxQueued:       s.MaxQueue,
		CallerQueued:    countWaiting(e.waiters, w.request.GetCaller()),
		MaxCallerQueued: s.callerQueueLimit(w.request.GetCaller()),
	})
	if rateLimitWait := s.rateLimitWait(e, s.queuedAheadLocked(e, w), now); verdict == policy.Enqueue && rateLimitWait > e.loadTime {
		verdict, retryAfter = policy.RefuseDeadline, rateLimitWait // by then another endpoint can have loaded the adapter
	}
	if verdict != policy.Enqueue && !s.adapterReadyLocked(e, adapter) {
		e.recordUnmetDemandLocked(adapter, now)
		s.planLoadsLocked(e, now)
		retryAfter = s.retryAfterLocked(e, retryAfter, now)
	}
	switch verdict {
	case policy.RefuseNoWait:
		return refusal(wire.Reason_REASON_NO_WAIT, retryAfter, "")
	case policy.RefuseQueueFull:
		return refusal(wire.Reason_REASON_QUEUE_FULL, retryAfter, "")
	case policy.RefuseDeadline:
		return refusal(wire.Reason_REASON_DEADLINE, retryAfter, "")
	}
	return nil
}

// countWaiting returns how many queued requests belong to the caller.
func countWaiting(waiters []*waiter, caller string) int {
	n := 0
	for _, w := range waiters {
		if w.request.GetCaller() == caller {
			n++
		}
	}
	return n
}

// callerQueueLimit returns how many requests of a caller may be queued per endpoint. Callers
// without a configuration entry get half the queue.
func (s *Scheduler) callerQueueLimit(caller string) int {
	if spec, ok := s.Catalog().Caller(caller); ok {
		return spec.Queue()
	}
	return max(1, s.MaxQueue/2)
}

// estimatedWaitLocked estimates how long a new request would wait: for spare capacity, and for its
// adapter's load behind the loads queued before it.
func (s *Scheduler) estimatedWaitLocked(e *endpoint, w *waiter, now time.Time) time.Duration {
	ahead := s.queuedAheadLocked(e, w)
	runWait := max(policy.EstimateBatchWait(e.running(), e.concurrencyLimitLocked(), ahead, e.serviceTime), s.rateLimitWait(e, ahead, now))
	sl := e.slots[w.request.GetAdapter()]
	if sl != nil && sl.state == ready {
		return runWait
	}
	if sl != nil && sl.state == loading {
		return max(runWait, e.loadTime-now.Sub(sl.stateSince))
	}
	return max(runWait, s.estimatedLoadWaitLocked(e, now))
}

// queuedAheadLocked counts the queued requests that would run before w.
func (s *Scheduler) queuedAheadLocked(e *endpoint, w *waiter) int {
	n := 0
	for _, queued := range e.waiters {
		if queued.class.Priority() <= w.class.Priority() {
			n++
		}
	}
	return n
}

// estimatedLoadWaitLocked estimates the shortest time in which a load that has not begun can
// finish: behind the loads that requests wait for here, as soon as the store's rate allows.
func (s *Scheduler) estimatedLoadWaitLocked(e *endpoint, now time.Time) time.Duration {
	queued := make(map[string]bool)
	for _, w := range e.waiters {
		if a := w.request.GetAdapter(); e.slots[a] == nil {
			queued[a] = true
		}
	}
	rounds := time.Duration(1 + len(queued)/maxLoadsInFlight)
	return s.storeBudget.wait(1, now) + rounds*e.loadTime
}

// retryAfterLocked returns when a refused caller should retry: when the loads pending at all
// endpoints can have begun, and its own load after them has finished.
func (s *Scheduler) retryAfterLocked(e *endpoint, atLeast time.Duration, now time.Time) time.Duration {
	return max(atLeast, s.storeBudget.wait(1+int(s.pendingLoads.Load()), now)+e.loadTime)
}

// homeCountLocked returns how many homes, the endpoints that its requests prefer, the adapter should
// have. The request rate seen here is one home's part of the total, which is estimated with the
// number of homes that the gateway reports.
func (s *Scheduler) homeCountLocked(e *endpoint, req *wire.AcquireRequest, now time.Time) int {
	popularity := e.popularity[req.GetAdapter()]
	if popularity == nil {
		return 1
	}
	totalRate := popularity.Rate(now, s.Timing.PopularityHalfLife) * float64(max(1, req.GetWidth()))
	return policy.HomeCount(totalRate, e.serviceTime, max(e.maxConcurrencyLocked(), 1), s.HomeUtilisation)
}
