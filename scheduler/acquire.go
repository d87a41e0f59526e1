// SPDX-License-Identifier: Apache-2.0

package scheduler

import (
	"context"
	"time"

	"cairnwick.example/catalog"
	"cairnwick.example/clock"
	"cairnwick.example/wire"
)

// waiter is one request that waits at an endpoint.
type waiter struct {
	request  *wire.AcquireRequest
	class    catalog.Class
	arrived  time.Time
	deadline time.Time               // of the wait
	stalled  time.Time               // when it began to wait for a load; zero: never
	reply    chan *wire.AcquireReply // holds one; written once, under endpoint.mu
}

func (w *waiter) refuse(r wire.Reason, retry time.Duration, owner string) {
	w.reply <- refusal(r, retry, owner)
}

func refusal(r wire.Reason, retry time.Duration, owner string) *wire.AcquireReply {
	return &wire.AcquireReply{Refusal: &wire.Refusal{Reason: r, RetryMicros: retry.Microseconds(), Owner: owner}}
}

// Acquire implements the Scheduler service: it answers with a grant at once,
// after a wait, or with a refusal as soon as it is known.
func (s *Scheduler) Acquire(ctx context.Context, q *wire.AcquireRequest) (*wire.AcquireReply, error) {
	arrived := clock.Now()
	a, e := s.acquire(ctx, q, arrived)
	s.note(q, a, clock.Since(arrived))
	if e != nil {
		e.mu.Lock()
		a.Facts = e.factsLocked(q.GetAdapter(), s.widthLocked(e, q, clock.Now()), clock.Now())
		e.mu.Unlock()
	}
	return a, nil
}

func (s *Scheduler) acquire(ctx context.Context, q *wire.AcquireRequest, arrived time.Time) (*wire.AcquireReply, *endpoint) {
	e := s.find(q.GetEndpoint())
	if e == nil {
		return refusal(wire.Reason_REASON_NOT_OWNER, 0, ""), nil
	}
	class, ok := s.Catalog().Class(q.GetClass())
	if !ok {
		return refusal(wire.Reason_REASON_UNKNOWN_ADAPTER, s.Spans.Verify, ""), e
	}
	s.hearLimit(e, q.GetLimit(), arrived)
	w, answer := s.enter(e, q, class, arrived)
	if answer != nil {
		return answer, e
	}
	return s.wait(ctx, e, w), e
}

// enter answers a request at once, or makes it wait.
func (s *Scheduler) enter(e *endpoint, q *wire.AcquireRequest, class catalog.Class, now time.Time) (*waiter, *wire.AcquireReply) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if r := s.closedReasonLocked(e, now); r != 0 {
		return nil, refusal(r, s.Spans.Backoff, e.owner)
	}
	if !s.adapterKnown(q.GetAdapter()) {
		return nil, refusal(wire.Reason_REASON_UNKNOWN_ADAPTER, s.Spans.Verify, "")
	}
	e.rateLocked(q.GetAdapter(), now, s.Spans.HalfLife).Add(1, now, s.Spans.HalfLife)
	w := &waiter{
		request:  q,
		class:    class,
		arrived:  now,
		deadline: now.Add(time.Duration(q.GetWaitMicros()) * time.Microsecond),
		reply:    make(chan *wire.AcquireReply, 1),
	}
	if s.freeLocked(e, q.GetAdapter(), now) && !s.heldBackLocked(e, w, s.patientLocked(e)+1, now) && s.takeRoomLocked(e, now) {
		return nil, s.grantLocked(e, w, now, wire.Reason_REASON_ADAPTER_READY)
	}
	if a := s.admitLocked(e, w, now); a != nil {
		return nil, a
	}
	if !s.readyLocked(e, q.GetAdapter()) {
		w.stalled = now
	}
	e.waiters = append(e.waiters, w)
	s.serveWaitersLocked(e, now)
	return w, nil
}

// wait holds a request until it is granted, refused or given up.
func (s *Scheduler) wait(ctx context.Context, e *endpoint, w *waiter) *wire.AcquireReply {
	timer := time.NewTimer(clock.Until(w.deadline))
	defer timer.Stop()
	select {
	case a := <-w.reply:
		return s.deliver(ctx, e, a)
	case <-ctx.Done():
	case <-timer.C:
	}
	e.mu.Lock()
	removed := e.removeLocked(w)
	a := s.overdueLocked(e, w, clock.Now())
	e.mu.Unlock()
	if !removed {
		return s.deliver(ctx, e, <-w.reply)
	}
	return a
}

// overdueLocked is the answer to a request whose time to wait has passed. Where loads of
// its adapter failed meanwhile, that is the reason, however few they were.
func (s *Scheduler) overdueLocked(e *endpoint, w *waiter, now time.Time) *wire.AcquireReply {
	adapter := w.request.GetAdapter()
	retry := s.estimateLocked(e, w, now)
	if s.readyLocked(e, adapter) {
		return refusal(wire.Reason_REASON_DEADLINE, retry, "")
	}
	if f := e.failed[adapter]; f.count > 0 {
		return refusal(wire.Reason_REASON_LOAD_FAILED, max(f.until.Sub(now), e.loadTime), "")
	}
	return refusal(wire.Reason_REASON_DEADLINE, s.comeBackLocked(e, retry, now), "")
}

// deliver passes an answer on, and gives a grant back that nobody will receive.
func (s *Scheduler) deliver(ctx context.Context, e *endpoint, a *wire.AcquireReply) *wire.AcquireReply {
	if g := a.GetGrant(); g != nil && ctx.Err() != nil {
		s.giveBack(e, &wire.ReleaseRequest{Id: g.GetId(), Outcome: wire.Outcome_OUTCOME_NOT_SENT})
		return refusal(wire.Reason_REASON_DEADLINE, 0, "")
	}
	return a
}

// removeLocked takes a waiter out; false when it was answered already.
func (e *endpoint) removeLocked(w *waiter) bool {
	for i, o := range e.waiters {
		if o == w {
			e.waiters = append(e.waiters[:i], e.waiters[i+1:]...)
			return true
		}
	}
	return false
}

// note counts and records the answer.
func (s *Scheduler) note(q *wire.AcquireRequest, a *wire.AcquireReply, waited time.Duration) {
	reason := a.GetGrant().GetReason()
	if a.GetRefusal() != nil {
		reason = a.GetRefusal().GetReason()
	}
	s.stats.Classes.Observe(q.GetClass(), waited)
	s.stats.Callers.Observe(q.GetCaller(), waited)
	s.stats.Reasons.Observe(reason.String(), waited)
	if g := a.GetGrant(); g != nil {
		s.stats.Queue.Observe(waited)
		s.stats.Stall.Observe(time.Duration(g.GetLoadMicros()) * time.Microsecond)
	}
	s.Record.Add(&wire.Decision{
		Request:      q.GetRequest(),
		UnixMicros:   time.Now().UnixMicro(),
		Box:          s.Name,
		Step:         "schedule",
		Adapter:      q.GetAdapter(),
		Class:        q.GetClass(),
		Caller:       q.GetCaller(),
		Endpoint:     q.GetEndpoint(),
		Reason:       reason,
		Revision:     q.GetRevision(),
		WaitedMicros: waited.Microseconds(),
	})
}
