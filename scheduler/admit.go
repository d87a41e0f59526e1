// SPDX-License-Identifier: Apache-2.0

package scheduler

import (
	"time"

	"cairnwick.example/catalog"
	"cairnwick.example/policy"
	"cairnwick.example/wire"
)

// closedReasonLocked tells why an endpoint takes no request now; zero when it does.
func (s *Scheduler) closedReasonLocked(e *endpoint, now time.Time) wire.Reason {
	switch {
	case e.phase == foreign && e.owner != s.Name:
		return wire.Reason_REASON_NOT_OWNER
	case e.phase != owned:
		return wire.Reason_REASON_NOT_READY
	case !e.trustedLocked(now, s.Spans.Trust):
		return wire.Reason_REASON_ENDPOINT_DOWN
	case e.spec.State() == catalog.Draining || now.Before(e.closedUntil):
		return wire.Reason_REASON_LEAVING
	}
	return 0
}

// adapterKnown tells whether the configuration here names the adapter's version.
func (s *Scheduler) adapterKnown(adapter string) bool {
	_, err := s.Catalog().Resolve(adapter)
	return err == nil
}

func (s *Scheduler) readyLocked(e *endpoint, adapter string) bool {
	sl := e.slots[adapter]
	return sl != nil && sl.state == ready
}

// freeLocked tells whether a new request for the adapter may run now: its adapter
// is ready, a place is free and no other request that could run waits for it.
func (s *Scheduler) freeLocked(e *endpoint, adapter string, now time.Time) bool {
	if !s.readyLocked(e, adapter) || e.running() >= e.limitLocked() {
		return false
	}
	for _, w := range s.waitFactsLocked(e, now) {
		if w.Ready {
			return false
		}
	}
	return true
}

// admitLocked refuses a request that had better not wait; nil lets it wait.
func (s *Scheduler) admitLocked(e *endpoint, w *waiter, now time.Time) *wire.AcquireReply {
	adapter := w.request.GetAdapter()
	if f := e.failed[adapter]; now.Before(f.until) && !s.readyLocked(e, adapter) {
		return refusal(wire.Reason_REASON_LOAD_FAILED, f.until.Sub(now), "")
	}
	verdict, retry := policy.Admit(policy.Admission{
		MayWait:   w.deadline.Sub(now),
		Estimate:  s.estimateLocked(e, w, now),
		Queue:     len(e.waiters),
		QueueMost: s.QueueMost,
		Caller:    waitingOf(e.waiters, w.request.GetCaller()),
		CallerMax: s.callerMost(w.request.GetCaller()),
	})
	if room := s.waitForRoom(e, s.aheadLocked(e, w), now); verdict == policy.Wait && room > e.loadTime {
		verdict, retry = policy.RefuseDeadline, room // another endpoint can have loaded the adapter by then
	}
	if verdict != policy.Wait && !s.readyLocked(e, adapter) {
		e.demandLocked(adapter, now)
		s.planLocked(e, now)
		retry = s.comeBackLocked(e, retry, now)
	}
	switch verdict {
	case policy.RefuseNoWait:
		return refusal(wire.Reason_REASON_NO_WAIT, retry, "")
	case policy.RefuseQueue:
		return refusal(wire.Reason_REASON_QUEUE_FULL, retry, "")
	case policy.RefuseDeadline:
		return refusal(wire.Reason_REASON_DEADLINE, retry, "")
	}
	return nil
}

// waitingOf counts the requests of a caller that wait.
func waitingOf(list []*waiter, caller string) int {
	n := 0
	for _, w := range list {
		if w.request.GetCaller() == caller {
			n++
		}
	}
	return n
}

// callerMost is how many requests of a caller may wait here; callers that the
// configuration does not name get half the queue.
func (s *Scheduler) callerMost(caller string) int {
	if k, ok := s.Catalog().Caller(caller); ok {
		return k.QueueLimit()
	}
	return max(1, s.QueueMost/2)
}

// estimateLocked is how long a new request would wait: for a place, and for
// its adapter's load behind the loads before it.
func (s *Scheduler) estimateLocked(e *endpoint, w *waiter, now time.Time) time.Duration {
	ahead := s.aheadLocked(e, w)
	place := max(policy.WaitForPlace(e.running(), e.limitLocked(), ahead, e.service), s.waitForRoom(e, ahead, now))
	sl := e.slots[w.request.GetAdapter()]
	if sl != nil && sl.state == ready {
		return place
	}
	if sl != nil && sl.state == loading {
		return max(place, e.loadTime-now.Sub(sl.since))
	}
	return max(place, s.loadEstimateLocked(e, now))
}

// aheadLocked counts the waiting requests that would run before w.
func (s *Scheduler) aheadLocked(e *endpoint, w *waiter) int {
	n := 0
	for _, o := range e.waiters {
		if o.class.Priority() <= w.class.Priority() {
			n++
		}
	}
	return n
}

// loadEstimateLocked is how long a load that is not begun would take at best:
// behind those that requests wait for here, when the store's rate is there.
func (s *Scheduler) loadEstimateLocked(e *endpoint, now time.Time) time.Duration {
	queued := make(map[string]bool)
	for _, w := range e.waiters {
		if a := w.request.GetAdapter(); e.slots[a] == nil {
			queued[a] = true
		}
	}
	rounds := time.Duration(1 + len(queued)/loadsInFlight)
	return s.budget.wait(1, now) + rounds*e.loadTime
}

// comeBackLocked is when a refused caller had better come back: when the loads
// that are wanted at all endpoints can have begun, and its own after them.
func (s *Scheduler) comeBackLocked(e *endpoint, retry time.Duration, now time.Time) time.Duration {
	return max(retry, s.budget.wait(1+int(s.loadsWanted.Load()), now)+e.loadTime)
}

// widthLocked is how many homes the adapter should have. Its load here is one
// part of the whole, as many as the gateway believes it has homes.
func (s *Scheduler) widthLocked(e *endpoint, q *wire.AcquireRequest, now time.Time) int {
	p := e.rates[q.GetAdapter()]
	if p == nil {
		return 1
	}
	whole := p.Rate(now, s.Spans.HalfLife) * float64(max(1, q.GetWidth()))
	return policy.Width(whole, e.service, max(e.mostLocked(), 1), s.HomeShare)
}
