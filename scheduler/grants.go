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
	adapter string
	caller  string
	given   time.Time
	sendBy  time.Time // by this clock, the gateway's write begins before
}

// grantLocked gives a grant to a waiter whose adapter is ready.
func (s *Scheduler) grantLocked(e *endpoint, w *waiter, now time.Time, r wire.Reason) *wire.AcquireReply {
	id := rand.Uint64()
	adapter := w.request.GetAdapter()
	e.addGrantLocked(id, &grant{adapter: adapter, caller: w.request.GetCaller(), given: now, sendBy: now.Add(s.Spans.SendWindow)})
	sl := e.slots[adapter]
	sl.used = now
	waited := now.Sub(w.arrived)
	return &wire.AcquireReply{Grant: &wire.Grant{
		Id:           id,
		Address:      e.spec.Address(),
		Fence:        e.fence.String(),
		SendMicros:   (waited + s.Spans.SendWindow).Microseconds(),
		Reason:       r,
		WaitedMicros: waited.Microseconds(),
		LoadMicros:   w.stall(now, sl).Microseconds(),
		Priority:     int32(w.class.Priority()),
		Limited:      e.takes.Named(),
	}}
}

// stall is the part of a wait that passed before the adapter was ready.
func (w *waiter) stall(now time.Time, sl *slot) time.Duration {
	if w.stalled.IsZero() {
		return 0
	}
	end := now
	if sl.since.Before(now) {
		end = sl.since
	}
	return max(0, end.Sub(w.stalled))
}

// Release implements the Scheduler service.
func (s *Scheduler) Release(_ context.Context, q *wire.ReleaseRequest) (*wire.ReleaseReply, error) {
	if e := s.find(q.GetEndpoint()); e != nil {
		s.giveBack(e, q)
	}
	return &wire.ReleaseReply{}, nil
}

// giveBack ends a grant and lets the next requests run.
func (s *Scheduler) giveBack(e *endpoint, q *wire.ReleaseRequest) {
	now := clock.Now()
	e.mu.Lock()
	defer e.mu.Unlock()
	s.sightedLocked(e, q, now)
	if q.GetLeaving() {
		e.closedUntil = now.Add(closedFor)
	}
	g := e.endGrantLocked(q.GetId())
	if g == nil {
		return // of an earlier ownership, or given back already
	}
	s.endLocked(e, g, q, now)
	s.adaptLocked(e, q)
	s.serveWaitersLocked(e, now)
}

// endLocked updates the slot that a grant was for.
func (s *Scheduler) endLocked(e *endpoint, g *grant, q *wire.ReleaseRequest, now time.Time) {
	sl := e.slots[g.adapter]
	if sl == nil {
		return
	}
	if q.GetOutcome() == wire.Outcome_OUTCOME_UNKNOWN && sl.unsure.Before(now) {
		sl.unsure = now // it may still run; a report must show that it does not
	}
	if q.GetNotLoaded() && sl.state == ready && sl.since.Before(g.given) {
		delete(e.slots, g.adapter)
		e.nextLook = now // the table here is wrong: see what the engine holds
	}
}

// sightedLocked uses what the endpoint's answer showed the gateway.
func (s *Scheduler) sightedLocked(e *endpoint, q *wire.ReleaseRequest, now time.Time) {
	if e.phase != owned {
		return
	}
	if q.GetBoot() != "" && q.GetBoot() != e.boot {
		e.nextLook = now
		return
	}
	f, err := engine.ParseFence(q.GetFence())
	if err == nil && e.spec.ChecksFences() && e.fence.Less(f) {
		s.loseLocked(e, f, now)
	}
}

const closedFor = 30 * time.Second // an endpoint that is leaving is asked again after it

const limitCut = 0.8 // of the limit when the endpoint says that it is full

// adaptLocked follows the endpoint's own words about how much it can take.
func (s *Scheduler) adaptLocked(e *endpoint, q *wire.ReleaseRequest) {
	if q.GetBusy() {
		e.limit = max(1, e.limit*limitCut)
		return
	}
	if q.GetOutcome() == wire.Outcome_OUTCOME_COMPLETED {
		e.limit = min(float64(e.spec.Running()), e.limit+1/max(1, e.limit))
		e.service = movingMean(e.service, time.Duration(q.GetServiceMicros())*time.Microsecond)
	}
}

// serveWaitersLocked lets every waiting request run that can, and plans loads for the
// others.
func (s *Scheduler) serveWaitersLocked(e *endpoint, now time.Time) {
	e.dropDemandsLocked(now)
	defer s.countWantedLocked(e, now)
	if len(e.waiters)+len(e.demands) == 0 || !e.trustedLocked(now, s.Spans.Trust) {
		return
	}
	for e.running() < e.limitLocked() {
		i := policy.NextWaiter(s.waitFactsLocked(e, now))
		if i < 0 || !s.takeRoomLocked(e, now) {
			break
		}
		w := e.waiters[i]
		e.waiters = append(e.waiters[:i], e.waiters[i+1:]...)
		w.reply <- s.grantLocked(e, w, now, w.reason())
	}
	s.planLocked(e, now)
}

func (w *waiter) reason() wire.Reason {
	if w.stalled.IsZero() {
		return wire.Reason_REASON_AFTER_QUEUE
	}
	return wire.Reason_REASON_AFTER_LOAD
}

func (s *Scheduler) waitFactsLocked(e *endpoint, now time.Time) []policy.WaitFacts {
	running := make(map[string]int) // by caller
	for _, g := range e.grants {
		running[g.caller]++
	}
	list := make([]policy.WaitFacts, len(e.waiters))
	patient := s.patientLocked(e)
	for i, w := range e.waiters {
		list[i] = policy.WaitFacts{
			Priority:   w.class.Priority(),
			Waited:     now.Sub(w.arrived),
			Left:       w.deadline.Sub(now),
			CallerRuns: running[w.request.GetCaller()],
			Ready:      s.readyLocked(e, w.request.GetAdapter()) && !s.heldBackLocked(e, w, patient, now),
		}
	}
	return list
}

// patientLocked counts the patient requests that wait and could run.
func (s *Scheduler) patientLocked(e *endpoint) int {
	n := 0
	for _, w := range e.waiters {
		if policy.Patient(w.class.MayWait()) && s.readyLocked(e, w.request.GetAdapter()) {
			n++
		}
	}
	return n
}

// heldBackLocked tells whether a request is held back to fill a batch.
func (s *Scheduler) heldBackLocked(e *endpoint, w *waiter, patient int, now time.Time) bool {
	return s.Weights.Hold(policy.HoldFacts{
		MayWait: w.class.MayWait(),
		Waited:  now.Sub(w.arrived),
		Running: e.running(),
		Limit:   e.limitLocked(),
		Patient: patient,
	})
}

// oldGrantLocked tells whether a grant is so old that its gateway may be gone.
func (e *endpoint) oldGrantLocked(now time.Time, sp Spans) bool {
	for _, g := range e.grants {
		if now.Sub(g.sendBy) > sp.Trust {
			return true
		}
	}
	return false
}

// readReport reads the endpoint's own word on what runs, and ends what it shows
// to be over: grants of gateways that are gone, and slots that were unsure.
func (s *Scheduler) readReport(ctx context.Context, e *endpoint) error {
	begun := clock.Now()
	r, err := e.client.Report(ctx)
	if err != nil {
		return errors.Wrap(err, "scheduler: report")
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.phase != owned || r.State().BootID() != e.boot {
		return nil
	}
	e.reportWanted = false
	shown := begun.Add(-e.spec.ReportLag()) // the state shown is at least this new
	for id, g := range e.grants {
		if g.sendBy.Before(shown) && !r.InUse(g.adapter) {
			e.endGrantLocked(id)
		}
	}
	for n, sl := range e.slots {
		if sl.unsure.Before(shown) && !r.InUse(n) {
			sl.unsure = time.Time{}
		}
	}
	s.serveWaitersLocked(e, clock.Now())
	return nil
}
