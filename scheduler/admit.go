// SPDX-License-Identifier: Apache-2.0

package scheduler

import (
	"time"

	"cairnwick.example/catalog"
	"cairnwick.example/policy"
	"cairnwick.example/wire"
)

// closedReasonLocked tells why an endpoint takes no request now; zero when it does.
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

// adapterKnown tells whether the configuration here names the adapter's version.
func (s *Scheduler) adapterKnown(adapter string) bool {
	_, err := s.Catalog().Resolve(adapter)
	return err == nil
}

func (s *Scheduler) adapterReadyLocked(e *endpoint, adapter string) bool {
	sl := e.slots[adapter]
	return sl != nil && sl.state == ready
}

// freeLocked tells whether a new request for the adapter may run now: its adapter
// is ready, a place is free and no other request that could run waits for it.
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

// admitLocked refuses a request that had better not wait; nil lets it wait.
func (s *Scheduler) admitLocked(e *endpoint, w *waiter, now time.Time) *wire.AcquireReply {
	adapter := w.request.GetAdapter()
	if f := e.loadFailures[adapter]; now.Before(f.retryAt) && !s.adapterReadyLocked(e, adapter) {
		return refusal(wire.Reason_REASON_LOAD_FAILED, f.retryAt.Sub(now), "")
	}
	verdict, retryAfter := policy.Admit(policy.Admission{
		MayWait:   w.deadline.Sub(now),
		Estimate:  s.estimatedWaitLocked(e, w, now),
		Queue:     len(e.waiters),
		QueueMost: s.MaxQueue,
		Caller:    countWaiting(e.waiters, w.request.GetCaller()),
		CallerMax: s.callerQueueLimit(w.request.GetCaller()),
	})
	if rateLimitWait := s.rateLimitWait(e, s.queuedAheadLocked(e, w), now); verdict == policy.Wait && rateLimitWait > e.loadTime {
		verdict, retryAfter = policy.RefuseDeadline, rateLimitWait // another endpoint can have loaded the adapter by then
	}
	if verdict != policy.Wait && !s.adapterReadyLocked(e, adapter) {
		e.recordUnmetDemandLocked(adapter, now)
		s.planLoadsLocked(e, now)
		retryAfter = s.retryAfterLocked(e, retryAfter, now)
	}
	switch verdict {
	case policy.RefuseNoWait:
		return refusal(wire.Reason_REASON_NO_WAIT, retryAfter, "")
	case policy.RefuseQueue:
		return refusal(wire.Reason_REASON_QUEUE_FULL, retryAfter, "")
	case policy.RefuseDeadline:
		return refusal(wire.Reason_REASON_DEADLINE, retryAfter, "")
	}
	return nil
}

// waitingOf counts the requests of a caller that wait.
func countWaiting(waiters []*waiter, caller string) int {
	n := 0
	for _, w := range waiters {
		if w.request.GetCaller() == caller {
			n++
		}
	}
	return n
}

// callerMost is how many requests of a caller may wait here; callers that the
// configuration does not name get half the queue.
func (s *Scheduler) callerQueueLimit(caller string) int {
	if spec, ok := s.Catalog().Caller(caller); ok {
		return spec.Queue()
	}
	return max(1, s.MaxQueue/2)
}

// estimateLocked is how long a new request would wait: for a place, and for
// its adapter's load behind the loads before it.
func (s *Scheduler) estimatedWaitLocked(e *endpoint, w *waiter, now time.Time) time.Duration {
	ahead := s.queuedAheadLocked(e, w)
	runWait := max(policy.WaitForPlace(e.running(), e.concurrencyLimitLocked(), ahead, e.serviceTime), s.rateLimitWait(e, ahead, now))
	sl := e.slots[w.request.GetAdapter()]
	if sl != nil && sl.state == ready {
		return runWait
	}
	if sl != nil && sl.state == loading {
		return max(runWait, e.loadTime-now.Sub(sl.stateSince))
	}
	return max(runWait, s.estimatedLoadWaitLocked(e, now))
}

// aheadLocked counts the waiting requests that would run before w.
func (s *Scheduler) queuedAheadLocked(e *endpoint, w *waiter) int {
	n := 0
	for _, queued := range e.waiters {
		if queued.class.Priority() <= w.class.Priority() {
			n++
		}
	}
	return n
}

// loadEstimateLocked is how long a load that is not begun would take at best:
// behind those that requests wait for here, when the store's rate is there.
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

// comeBackLocked is when a refused caller had better come back: when the loads
// that are wanted at all endpoints can have begun, and its own after them.
func (s *Scheduler) retryAfterLocked(e *endpoint, atLeast time.Duration, now time.Time) time.Duration {
	return max(atLeast, s.storeBudget.wait(1+int(s.pendingLoads.Load()), now)+e.loadTime)
}

// widthLocked is how many homes the adapter should have. Its load here is one
// part of the whole, as many as the gateway believes it has homes.
func (s *Scheduler) homeCountLocked(e *endpoint, req *wire.AcquireRequest, now time.Time) int {
	popularity := e.popularity[req.GetAdapter()]
	if popularity == nil {
		return 1
	}
	totalRate := popularity.Rate(now, s.Timing.PopularityHalfLife) * float64(max(1, req.GetWidth()))
	return policy.Width(totalRate, e.serviceTime, max(e.maxConcurrencyLocked(), 1), s.HomeUtilisation)
}
