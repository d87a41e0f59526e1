// SPDX-License-Identifier: Apache-2.0

package scheduler

import (
	"context"
	"time"

	"cairnwick.example/catalog"
	"cairnwick.example/clock"
	"cairnwick.example/wire"
)

// waiter is a request queued at an endpoint.
type waiter struct {
	request       *wire.AcquireRequest
	class         catalog.Class
	arrived       time.Time
	deadline      time.Time               // after which the request is refused
	loadWaitStart time.Time               // when it began to wait for a load; zero: never
	trial         bool                    // expected to be late, and admitted to observe the endpoint's speed
	reply         chan *wire.AcquireReply // buffered for one reply; written once, under endpoint.mu
}

// immediateReason returns the reason of a grant that is issued without a wait.
func (w *waiter) immediateReason() wire.Reason {
	if w.trial {
		return wire.Reason_REASON_TRIAL
	}
	return wire.Reason_REASON_ADAPTER_READY
}

func (w *waiter) refuse(reason wire.Reason, retryAfter time.Duration, owner string) {
	w.reply <- refusal(reason, retryAfter, owner)
}

func refusal(reason wire.Reason, retryAfter time.Duration, owner string) *wire.AcquireReply {
	micros := (retryAfter + time.Microsecond - 1).Microseconds() // rounded up, since zero means that the time is not known
	return &wire.AcquireReply{Refusal: &wire.Refusal{Reason: reason, RetryMicros: micros, Owner: owner}}
}

// Acquire implements the Scheduler service. It replies with a grant, immediately or after a wait,
// or with a refusal as soon as it is known that the request cannot run in time.
func (s *Scheduler) Acquire(ctx context.Context, req *wire.AcquireRequest) (*wire.AcquireReply, error) {
	arrived := clock.Now()
	reply, e := s.acquire(ctx, req, arrived)
	s.recordReply(req, reply, clock.Since(arrived))
	if e != nil {
		e.mu.Lock()
		reply.Facts = s.factsLocked(e, req, clock.Now())
		e.mu.Unlock()
	}
	return reply, nil
}

func (s *Scheduler) acquire(ctx context.Context, req *wire.AcquireRequest, arrived time.Time) (*wire.AcquireReply, *endpoint) {
	e := s.findEndpoint(req.GetEndpoint())
	if e == nil {
		return refusal(wire.Reason_REASON_NOT_OWNER, 0, ""), nil
	}
	class, ok := s.Catalog().Class(req.GetClass())
	if !ok {
		return refusal(wire.Reason_REASON_UNKNOWN_ADAPTER, s.Timing.VerifyInterval, ""), e
	}
	s.updateRateLimit(e, req.GetLimit(), arrived)
	w, reply := s.admitOrEnqueue(e, req, class, arrived)
	if reply != nil {
		return reply, e
	}
	return s.awaitReply(ctx, e, w), e
}

// admitOrEnqueue replies to a request immediately, or adds it to the queue.
func (s *Scheduler) admitOrEnqueue(e *endpoint, req *wire.AcquireRequest, class catalog.Class, now time.Time) (*waiter, *wire.AcquireReply) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if reason := s.unavailableReasonLocked(e, now); reason != 0 {
		return nil, refusal(reason, s.Timing.Backoff, e.owner)
	}
	if !s.adapterKnown(req.GetAdapter()) {
		return nil, refusal(wire.Reason_REASON_UNKNOWN_ADAPTER, s.Timing.VerifyInterval, "")
	}
	e.popularityLocked(req.GetAdapter(), now, s.Timing.PopularityHalfLife).Add(1, now, s.Timing.PopularityHalfLife)
	w := &waiter{
		request:  req,
		class:    class,
		arrived:  now,
		deadline: now.Add(time.Duration(req.GetWaitMicros()) * time.Microsecond),
		reply:    make(chan *wire.AcquireReply, 1),
	}
	if reply := s.refuseLateLocked(e, w, now); reply != nil {
		return nil, reply
	}
	if s.canRunNowLocked(e, req.GetAdapter(), now) && !s.shouldDeferLocked(e, w, s.countDeferrableLocked(e)+1, now) && s.takeRateLimitLocked(e, now) {
		return nil, s.issueGrantLocked(e, w, now, w.immediateReason())
	}
	if reply := s.admitLocked(e, w, now); reply != nil {
		return nil, reply
	}
	if !s.adapterReadyLocked(e, req.GetAdapter()) {
		w.loadWaitStart = now
	}
	e.waiters = append(e.waiters, w)
	s.serveWaitersLocked(e, now)
	return w, nil
}

// awaitReply blocks until a request is granted or refused, times out or is cancelled.
func (s *Scheduler) awaitReply(ctx context.Context, e *endpoint, w *waiter) *wire.AcquireReply {
	timer := time.NewTimer(clock.Until(w.deadline))
	defer timer.Stop()
	select {
	case reply := <-w.reply:
		return s.deliver(ctx, e, reply)
	case <-ctx.Done():
	case <-timer.C:
	}
	e.mu.Lock()
	removed := e.removeWaiterLocked(w)
	reply := s.timeoutReplyLocked(e, w, clock.Now())
	e.mu.Unlock()
	if !removed {
		return s.deliver(ctx, e, <-w.reply)
	}
	return reply
}

// timeoutReplyLocked returns the refusal for a request whose time to wait has passed. If any load
// of its adapter failed in the meantime, even a single one, the reason is the failed load.
func (s *Scheduler) timeoutReplyLocked(e *endpoint, w *waiter, now time.Time) *wire.AcquireReply {
	adapter := w.request.GetAdapter()
	retryAfter := s.estimatedWaitLocked(e, w, now)
	if s.adapterReadyLocked(e, adapter) {
		return refusal(wire.Reason_REASON_DEADLINE, retryAfter, "")
	}
	if f := e.loadFailures[adapter]; f.count > 0 {
		return refusal(wire.Reason_REASON_LOAD_FAILED, max(f.retryAt.Sub(now), e.loadTime), "")
	}
	return refusal(wire.Reason_REASON_DEADLINE, s.retryAfterLocked(e, retryAfter, now), "")
}

// deliver returns the reply, and releases its grant if the caller is no longer there to receive it.
func (s *Scheduler) deliver(ctx context.Context, e *endpoint, reply *wire.AcquireReply) *wire.AcquireReply {
	if g := reply.GetGrant(); g != nil && ctx.Err() != nil {
		s.releaseGrant(e, &wire.ReleaseRequest{Id: g.GetId(), Outcome: wire.Outcome_OUTCOME_NOT_SENT})
		return refusal(wire.Reason_REASON_DEADLINE, 0, "")
	}
	return reply
}

// removeWaiterLocked removes a waiter from the queue; false if it was already answered.
func (e *endpoint) removeWaiterLocked(w *waiter) bool {
	for i, queued := range e.waiters {
		if queued == w {
			e.waiters = append(e.waiters[:i], e.waiters[i+1:]...)
			return true
		}
	}
	return false
}

// recordReply adds the reply to the metrics and to the record of decisions.
func (s *Scheduler) recordReply(req *wire.AcquireRequest, reply *wire.AcquireReply, waited time.Duration) {
	reason := reply.GetGrant().GetReason()
	if reply.GetRefusal() != nil {
		reason = reply.GetRefusal().GetReason()
	}
	s.stats.Classes.Observe(req.GetClass(), waited)
	s.stats.Callers.Observe(req.GetCaller(), waited)
	s.stats.Reasons.Observe(reason.String(), waited)
	if g := reply.GetGrant(); g != nil {
		s.stats.Wait.Observe(waited)
		s.stats.LoadWait.Observe(time.Duration(g.GetLoadMicros()) * time.Microsecond)
	}
	s.Decisions.Add(&wire.Decision{
		Request:      req.GetRequest(),
		UnixMicros:   time.Now().UnixMicro(),
		Box:          s.Name,
		Step:         "schedule",
		Adapter:      req.GetAdapter(),
		Class:        req.GetClass(),
		Caller:       req.GetCaller(),
		Endpoint:     req.GetEndpoint(),
		Reason:       reason,
		Revision:     req.GetRevision(),
		WaitedMicros: waited.Microseconds(),
	})
}
