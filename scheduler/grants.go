// SPDX-License-Identifier: Apache-2.0

package scheduler

import (
	"context"
	"math/rand/v2"
	"time"

	"cairnwick.example/clock"
	"cairnwick.example/engine"
	"cairnwick.example/policy"
	"cairnwick.example/wire"
	"github.com/pkg/errors"
)

// grant is the right to run one request. It lasts until it is released.
type grant struct {
	adapter      string
	caller       string
	issuedAt     time.Time
	sendDeadline time.Time // by this scheduler's clock; the gateway starts to send before it

	request      *wire.AcquireRequest // nil where memory does not limit the endpoint
	promptTokens int                  // length of its prompt
	aheadTokens  int                  // prompt tokens that the endpoint reads until its first token, its own included
	readBy       time.Time            // the prompt counts as read from then on
	read         bool                 // its first token was reported
}

// issueGrantLocked issues a grant to a waiter whose adapter is ready.
func (s *Scheduler) issueGrantLocked(e *endpoint, w *waiter, now time.Time, reason wire.Reason) *wire.AcquireReply {
	id := rand.Uint64()
	adapter := w.request.GetAdapter()
	g := &grant{adapter: adapter, caller: w.request.GetCaller(), issuedAt: now, sendDeadline: now.Add(s.Timing.SendWindow)}
	s.trackPromptLocked(e, g, w.request, now)
	e.addGrantLocked(id, g)
	sl := e.slots[adapter]
	sl.lastUsed = now
	waited := now.Sub(w.arrived)
	return &wire.AcquireReply{Grant: &wire.Grant{
		Id:           id,
		Address:      e.spec.Address(),
		Fence:        e.fence.String(),
		SendMicros:   (waited + s.Timing.SendWindow).Microseconds(),
		Reason:       reason,
		WaitedMicros: waited.Microseconds(),
		LoadMicros:   w.loadWait(now, sl).Microseconds(),
		Priority:     int32(w.class.Priority()),
		Limited:      e.rateLimit.IsSet(),

		ReportFirstToken: e.spec.IsMemoryBound(),
	}}
}

// loadWait returns the part of the wait that passed before the adapter was ready.
func (w *waiter) loadWait(now time.Time, sl *slot) time.Duration {
	if w.loadWaitStart.IsZero() {
		return 0
	}
	end := now
	if sl.stateSince.Before(now) {
		end = sl.stateSince
	}
	return max(0, end.Sub(w.loadWaitStart))
}

// Release implements the Scheduler service.
func (s *Scheduler) Release(_ context.Context, req *wire.ReleaseRequest) (*wire.ReleaseReply, error) {
	if e := s.findEndpoint(req.GetEndpoint()); e != nil {
		return &wire.ReleaseReply{Facts: s.releaseGrant(e, req)}, nil
	}
	return &wire.ReleaseReply{}, nil
}

// releaseGrant ends a grant and serves the queue. It returns the new state of the endpoint if memory limits it; nil if the
// grant has ended before.
func (s *Scheduler) releaseGrant(e *endpoint, req *wire.ReleaseRequest) *wire.EndpointFacts {
	now := clock.Now()
	e.mu.Lock()
	defer e.mu.Unlock()
	s.checkReleaseLocked(e, req, now)
	if req.GetLeaving() {
		e.leavingUntil = now.Add(leavingPause)
		e.refuseWaitersLocked(wire.Reason_REASON_LEAVING)
		s.updatePendingLoadsLocked(e, now)
	}
	if req.GetBusy() {
		e.rejected++
	}
	g := e.removeGrantLocked(req.GetId())
	if g == nil {
		return nil // of an earlier ownership, or already released
	}
	s.recordFirstTokenLocked(e, g, req.GetFirstTokenMicros(), now)
	s.updateSlotLocked(e, g, req, now)
	s.adaptConcurrencyLocked(e, req)
	s.serveWaitersLocked(e, now)
	if g.request == nil {
		return nil
	}
	return s.factsLocked(e, g.request, now)
}

// hasUnknownOutcome reports whether the request of a released grant may still run: its outcome is unknown, or none that this
// scheduler knows.
func hasUnknownOutcome(req *wire.ReleaseRequest) bool {
	switch req.GetOutcome() {
	case wire.Outcome_OUTCOME_COMPLETED, wire.Outcome_OUTCOME_NOT_SENT, wire.Outcome_OUTCOME_REFUSED:
		return false
	}
	return true
}

// updateSlotLocked updates the slot that a released grant was for.
func (s *Scheduler) updateSlotLocked(e *endpoint, g *grant, req *wire.ReleaseRequest, now time.Time) {
	sl := e.slots[g.adapter]
	if sl == nil {
		return
	}
	unknown := hasUnknownOutcome(req)
	if unknown && sl.unaccountedUntil.Before(now) {
		sl.unaccountedUntil = now // it may still run; only a report can show that it does not
	}
	notLoaded := req.GetNotLoaded() && sl.state == ready && sl.stateSince.Before(g.issuedAt)
	switch {
	case !notLoaded:
	case unknown:
		if e.ownership == owned {
			s.resyncLocked(e, now) // the request may run on it nevertheless
		}
	default:
		delete(e.slots, g.adapter)
		e.nextProbe = now // the slot table is wrong: read which adapters the engine holds
	}
}

// checkReleaseLocked checks the boot id and fence that the gateway saw in the endpoint's response.
func (s *Scheduler) checkReleaseLocked(e *endpoint, req *wire.ReleaseRequest, now time.Time) {
	if e.ownership != owned {
		return
	}
	if req.GetBoot() != "" && req.GetBoot() != e.bootID {
		e.nextProbe = now
		return
	}
	f, err := engine.ParseFence(req.GetFence())
	if err == nil && e.spec.ChecksFences() && e.fence.Less(f) {
		s.ownershipLostLocked(e, f, now)
	}
}

const leavingPause = 30 * time.Second // before an endpoint that announced that it is leaving gets requests again

const concurrencyDecrease = 0.8 // factor for the concurrency limit when the endpoint reports that it is full

// adaptConcurrencyLocked lowers the concurrency limit when the endpoint reports that it is full,
// and raises it again with completed requests.
func (s *Scheduler) adaptConcurrencyLocked(e *endpoint, req *wire.ReleaseRequest) {
	if req.GetBusy() {
		e.concurrency = max(1, e.concurrency*concurrencyDecrease)
		return
	}
	if req.GetOutcome() == wire.Outcome_OUTCOME_COMPLETED {
		e.concurrency = min(float64(e.spec.MaxRunning()), e.concurrency+1/max(1, e.concurrency))
		e.serviceTime = movingMean(e.serviceTime, time.Duration(req.GetServiceMicros())*time.Microsecond)
	}
}

// serveWaitersLocked issues grants to all queued requests that can run, and plans loads for the
// others.
func (s *Scheduler) serveWaitersLocked(e *endpoint, now time.Time) {
	e.expireUnmetDemandsLocked(now)
	defer s.updatePendingLoadsLocked(e, now)
	if len(e.waiters)+len(e.unmetDemands) == 0 || !e.ownershipValidLocked(now, s.Timing.OwnershipTTL) {
		return
	}
	for e.running() < e.concurrencyLimitLocked() {
		i := policy.NextQueued(s.queuedRequestsLocked(e, now))
		if i < 0 || !s.takeRateLimitLocked(e, now) {
			break
		}
		w := e.waiters[i]
		e.waiters = append(e.waiters[:i], e.waiters[i+1:]...)
		w.reply <- s.issueGrantLocked(e, w, now, w.grantReason())
	}
	s.planLoadsLocked(e, now)
}

func (w *waiter) grantReason() wire.Reason {
	if w.loadWaitStart.IsZero() {
		return wire.Reason_REASON_AFTER_QUEUE
	}
	return wire.Reason_REASON_AFTER_LOAD
}

func (s *Scheduler) queuedRequestsLocked(e *endpoint, now time.Time) []policy.QueuedRequest {
	callerRunning := make(map[string]int) // by caller
	for _, g := range e.grants {
		callerRunning[g.caller]++
	}
	list := make([]policy.QueuedRequest, len(e.waiters))
	deferrable := s.countDeferrableLocked(e)
	for i, w := range e.waiters {
		list[i] = policy.QueuedRequest{
			Priority:      w.class.Priority(),
			Waited:        now.Sub(w.arrived),
			Remaining:     w.deadline.Sub(now),
			CallerRunning: callerRunning[w.request.GetCaller()],
			Ready:         s.adapterReadyLocked(e, w.request.GetAdapter()) && !s.shouldDeferLocked(e, w, deferrable, now),
		}
	}
	return list
}

// countDeferrableLocked counts the queued requests that could run and may be deferred.
func (s *Scheduler) countDeferrableLocked(e *endpoint) int {
	n := 0
	for _, w := range e.waiters {
		if policy.IsDeferrable(w.class.MaxWait()) && s.adapterReadyLocked(e, w.request.GetAdapter()) {
			n++
		}
	}
	return n
}

// shouldDeferLocked reports whether a request is deferred to fill a batch.
func (s *Scheduler) shouldDeferLocked(e *endpoint, w *waiter, deferrable int, now time.Time) bool {
	return s.BatchPolicy.ShouldDefer(policy.DeferralState{
		MaxWait:    w.class.MaxWait(),
		Waited:     now.Sub(w.arrived),
		Running:    e.running(),
		Limit:      e.concurrencyLimitLocked(),
		Deferrable: deferrable,
	})
}

// hasStaleGrantLocked reports whether a grant is so old that its gateway may be gone.
func (e *endpoint) hasStaleGrantLocked(now time.Time, timing Timing) bool {
	for _, g := range e.grants {
		if now.Sub(g.sendDeadline) > timing.OwnershipTTL {
			return true
		}
	}
	return false
}

// reconcileReport reads the endpoint's report of what runs there. It ends grants of gateways that
// are gone, and clears the slots on which no unaccounted request runs any more.
func (s *Scheduler) reconcileReport(ctx context.Context, e *endpoint) error {
	startedAt := clock.Now()
	report, err := e.client.Report(ctx)
	if err != nil {
		return errors.Wrap(err, "scheduler: read report")
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.ownership != owned || report.State().BootID() != e.bootID {
		return nil
	}
	e.reportNeeded = false
	reportedSince := startedAt.Add(-e.spec.ReportLag()) // the report shows the state at this time or later
	for id, g := range e.grants {
		if g.sendDeadline.Before(reportedSince) && !report.InUse(g.adapter) {
			e.removeGrantLocked(id)
		}
	}
	for n, sl := range e.slots {
		if sl.unaccountedUntil.Before(reportedSince) && !report.InUse(n) {
			sl.unaccountedUntil = time.Time{}
		}
	}
	s.serveWaitersLocked(e, clock.Now())
	return nil
}
