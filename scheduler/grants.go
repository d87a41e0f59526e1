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

// grant is the right to run one request, not given back yet.
type grant struct {
	adapter      string
	caller       string
	issuedAt     time.Time
	sendDeadline time.Time // by this clock, the gateway's write begins before
}

// grantLocked gives a grant to a waiter whose adapter is ready.
func (s *Scheduler) issueGrantLocked(e *endpoint, w *waiter, now time.Time, reason wire.Reason) *wire.AcquireReply {
	id := rand.Uint64()
	adapter := w.request.GetAdapter()
	e.addGrantLocked(id, &grant{adapter: adapter, caller: w.request.GetCaller(), issuedAt: now, sendDeadline: now.Add(s.Timing.SendWindow)})
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
		Limited:      e.rateLimit.Named(),
	}}
}

// stall is the part of a wait that passed before the adapter was ready.
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
		s.releaseGrant(e, req)
	}
	return &wire.ReleaseReply{}, nil
}

// giveBack ends a grant and lets the next requests run.
func (s *Scheduler) releaseGrant(e *endpoint, req *wire.ReleaseRequest) {
	now := clock.Now()
	e.mu.Lock()
	defer e.mu.Unlock()
	s.checkReleaseLocked(e, req, now)
	if req.GetLeaving() {
		e.leavingUntil = now.Add(leavingPause)
	}
	g := e.removeGrantLocked(req.GetId())
	if g == nil {
		return // of an earlier ownership, or given back already
	}
	s.updateSlotLocked(e, g, req, now)
	s.adaptConcurrencyLocked(e, req)
	s.serveWaitersLocked(e, now)
}

// endLocked updates the slot that a grant was for.
func (s *Scheduler) updateSlotLocked(e *endpoint, g *grant, req *wire.ReleaseRequest, now time.Time) {
	sl := e.slots[g.adapter]
	if sl == nil {
		return
	}
	if req.GetOutcome() == wire.Outcome_OUTCOME_UNKNOWN && sl.unaccountedUntil.Before(now) {
		sl.unaccountedUntil = now // it may still run; a report must show that it does not
	}
	if req.GetNotLoaded() && sl.state == ready && sl.stateSince.Before(g.issuedAt) {
		delete(e.slots, g.adapter)
		e.nextProbe = now // the table here is wrong: see what the engine holds
	}
}

// sightedLocked uses what the endpoint's answer showed the gateway.
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

const leavingPause = 30 * time.Second // an endpoint that is leaving is asked again after it

const concurrencyDecrease = 0.8 // of the limit when the endpoint says that it is full

// adaptLocked follows the endpoint's own words about how much it can take.
func (s *Scheduler) adaptConcurrencyLocked(e *endpoint, req *wire.ReleaseRequest) {
	if req.GetBusy() {
		e.concurrency = max(1, e.concurrency*concurrencyDecrease)
		return
	}
	if req.GetOutcome() == wire.Outcome_OUTCOME_COMPLETED {
		e.concurrency = min(float64(e.spec.Running()), e.concurrency+1/max(1, e.concurrency))
		e.serviceTime = movingMean(e.serviceTime, time.Duration(req.GetServiceMicros())*time.Microsecond)
	}
}

// serveWaitersLocked lets every waiting request run that can, and plans loads for the
// others.
func (s *Scheduler) serveWaitersLocked(e *endpoint, now time.Time) {
	e.expireUnmetDemandsLocked(now)
	defer s.updatePendingLoadsLocked(e, now)
	if len(e.waiters)+len(e.unmetDemands) == 0 || !e.ownershipValidLocked(now, s.Timing.OwnershipTTL) {
		return
	}
	for e.running() < e.concurrencyLimitLocked() {
		i := policy.NextWaiter(s.queuedRequestsLocked(e, now))
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

func (s *Scheduler) queuedRequestsLocked(e *endpoint, now time.Time) []policy.WaitFacts {
	callerRunning := make(map[string]int) // by caller
	for _, g := range e.grants {
		callerRunning[g.caller]++
	}
	list := make([]policy.WaitFacts, len(e.waiters))
	deferrable := s.countDeferrableLocked(e)
	for i, w := range e.waiters {
		list[i] = policy.WaitFacts{
			Priority:   w.class.Priority(),
			Waited:     now.Sub(w.arrived),
			Left:       w.deadline.Sub(now),
			CallerRuns: callerRunning[w.request.GetCaller()],
			Ready:      s.adapterReadyLocked(e, w.request.GetAdapter()) && !s.shouldDeferLocked(e, w, deferrable, now),
		}
	}
	return list
}

// patientLocked counts the patient requests that wait and could run.
func (s *Scheduler) countDeferrableLocked(e *endpoint) int {
	n := 0
	for _, w := range e.waiters {
		if policy.Patient(w.class.MayWait()) && s.adapterReadyLocked(e, w.request.GetAdapter()) {
			n++
		}
	}
	return n
}

// heldBackLocked tells whether a request is held back to fill a batch.
func (s *Scheduler) shouldDeferLocked(e *endpoint, w *waiter, deferrable int, now time.Time) bool {
	return s.Weights.Hold(policy.HoldFacts{
		MayWait: w.class.MayWait(),
		Waited:  now.Sub(w.arrived),
		Running: e.running(),
		Limit:   e.concurrencyLimitLocked(),
		Patient: deferrable,
	})
}

// oldGrantLocked tells whether a grant is so old that its gateway may be gone.
func (e *endpoint) hasStaleGrantLocked(now time.Time, timing Timing) bool {
	for _, g := range e.grants {
		if now.Sub(g.sendDeadline) > timing.OwnershipTTL {
			return true
		}
	}
	return false
}

// readReport reads the endpoint's own word on what runs, and ends what it shows
// to be over: grants of gateways that are gone, and slots that were unsure.
func (s *Scheduler) reconcileReport(ctx context.Context, e *endpoint) error {
	startedAt := clock.Now()
	report, err := e.client.Report(ctx)
	if err != nil {
		return errors.Wrap(err, "scheduler: report")
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.ownership != owned || report.Sight().Boot() != e.bootID {
		return nil
	}
	e.reportNeeded = false
	reportedSince := startedAt.Add(-e.spec.ReportLag()) // the state shown is at least this new
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
