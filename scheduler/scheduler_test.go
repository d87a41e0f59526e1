// SPDX-License-Identifier: Apache-2.0

package scheduler

import (
	"context"
	"testing"
	"time"

	"cairnwick.example/engine"
	"cairnwick.example/policy"
	"cairnwick.example/wire"
	"github.com/frankban/quicktest"
)

func TestLoadedAdapterIsGrantedImmediately(t *testing.T) {
	f := newFixture(t, "a@1")
	f.own()
	a := f.acquire("a@1", "urgent")
	f.Assert(a.GetGrant().GetReason(), quicktest.Equals, wire.Reason_REASON_ADAPTER_READY)
	f.Assert(a.GetGrant().GetFence(), quicktest.Matches, `1\.box;[0-9a-f]+`)
	f.release(a, wire.Outcome_OUTCOME_COMPLETED)
	grants, waiting := f.scheduler.Outstanding()
	f.Assert(grants+waiting, quicktest.Equals, 0)
}

func TestRequestWaitsForLoad(t *testing.T) {
	f := newFixture(t)
	f.run()
	var a *wire.AcquireReply
	for a.GetGrant() == nil { // until the endpoint is owned
		a = f.acquire("a@1", "counter")
	}
	f.Assert(a.GetGrant().GetReason(), quicktest.Equals, wire.Reason_REASON_AFTER_LOAD)
	f.Assert(f.engine.sentOperations(), quicktest.DeepEquals, []string{"load a@1"})
}

func TestClassWithoutWaitIsRefusedImmediately(t *testing.T) {
	f := newFixture(t)
	f.own()
	q := &wire.AcquireRequest{Endpoint: "e1", Adapter: "a@1", Class: "urgent"}
	a, err := f.scheduler.Acquire(context.Background(), q)
	f.Assert(err, quicktest.IsNil)
	f.Assert(a.GetRefusal().GetReason(), quicktest.Equals, wire.Reason_REASON_NO_WAIT)
	f.Assert(a.GetRefusal().GetRetryMicros() > 0, quicktest.IsTrue)
}

func TestNoGrantAfterOwnershipExpires(t *testing.T) {
	f := newFixture(t, "a@1")
	e := f.own()
	e.verifiedAt = time.Now().Add(-f.scheduler.Timing.OwnershipTTL - time.Millisecond) // as after a pause of the process
	f.Assert(f.acquire("a@1", "urgent").GetRefusal().GetReason(), quicktest.Equals, wire.Reason_REASON_ENDPOINT_DOWN)
}

func TestNoLoadAfterOwnershipExpires(t *testing.T) {
	f := newFixture(t)
	e := f.own()
	o := loadTask{endpoint: e, fence: e.fence, bootID: e.bootID, load: "a@1", path: "p/a"}
	e.slots["a@1"] = &slot{state: loading}
	e.verifiedAt = time.Now().Add(-f.scheduler.Timing.OwnershipTTL - time.Millisecond)
	f.scheduler.runLoadTask(context.Background(), o)
	f.Assert(f.engine.sentOperations(), quicktest.HasLen, 0)
	f.Assert(e.slots["a@1"], quicktest.IsNil)
}

func TestLoadTaskOfEarlierOwnershipIsNotSent(t *testing.T) {
	f := newFixture(t)
	e := f.own()
	o := loadTask{endpoint: e, fence: engine.NewFence(0, "box"), bootID: e.bootID, load: "a@1", path: "p/a"}
	f.scheduler.runLoadTask(context.Background(), o)
	f.Assert(f.engine.sentOperations(), quicktest.HasLen, 0)
}

// Guards against two schedulers of one name, as an old and a new process during a restart, that own an endpoint with one fence.
func TestSchedulersOfOneNameUseDifferentFences(t *testing.T) {
	a, b := newFixture(t), newFixture(t) // two engines in the same state stand for one that both read before either claimed it
	x, y := a.own().fence, b.own().fence
	a.Assert(x.Box(), quicktest.Equals, y.Box())
	a.Assert(x.Less(y) || y.Less(x), quicktest.IsTrue, quicktest.Commentf("%s and %s", x, y))
}

func TestHigherFenceEndsOwnership(t *testing.T) {
	f := newFixture(t, "a@1")
	e := f.own()
	f.engine.fence = engine.NewFence(9, "other")
	f.Assert(f.scheduler.verify(context.Background(), e, e.fence, time.Now()), quicktest.IsNil)
	a := f.acquire("a@1", "urgent").GetRefusal()
	f.Assert(a.GetReason(), quicktest.Equals, wire.Reason_REASON_NOT_OWNER)
	f.Assert(a.GetOwner(), quicktest.Equals, "other/scheduler")
}

func TestNewOwnerUnloadsNothingBeforeEarlierGrantsExpire(t *testing.T) {
	f := newFixture(t, "a@1", "b@1")
	e := f.own()
	for n, sl := range e.slots {
		state := f.scheduler.slotStateLocked(e, n, sl, time.Now())
		f.Assert(state.Busy, quicktest.IsTrue)
	}
	f.Assert(f.scheduler.reconcileReport(context.Background(), e), quicktest.IsNil)
	for _, sl := range e.slots {
		f.Assert(sl.unaccountedUntil.IsZero(), quicktest.IsFalse) // the report is from before unaccountedUntil
		sl.unaccountedUntil = time.Now().Add(-time.Millisecond)
	}
	f.Assert(f.scheduler.reconcileReport(context.Background(), e), quicktest.IsNil)
	for _, sl := range e.slots {
		f.Assert(sl.unaccountedUntil.IsZero(), quicktest.IsTrue)
	}
}

func TestNewOwnerAfterOrderlyLeaveWaitsOnlyForSendWindow(t *testing.T) {
	f := newFixture(t)
	s := f.scheduler
	f.Assert(s.previousGrantLifetime(engine.NewFence(1, "gone")), quicktest.Equals, s.Timing.OwnershipTTL+s.Timing.SendWindow)
	s.Members.Leave()
	f.Assert(s.previousGrantLifetime(engine.NewFence(1, "box")), quicktest.Equals, s.Timing.SendWindow)
}

func TestUnknownOutcomeKeepsSlotBusy(t *testing.T) {
	f := newFixture(t, "a@1")
	e := f.own()
	e.slots["a@1"].unaccountedUntil = time.Time{}
	f.release(f.acquire("a@1", "urgent"), wire.Outcome_OUTCOME_UNKNOWN)
	f.Assert(f.scheduler.slotStateLocked(e, "a@1", e.slots["a@1"], time.Now()).Busy, quicktest.IsTrue)
}

// Guards against a slot that counts as free after a release that does not say what became of the request.
func TestMissingOutcomeKeepsSlotBusy(t *testing.T) {
	f := newFixture(t, "a@1")
	e := f.own()
	for _, outcome := range []wire.Outcome{wire.Outcome_OUTCOME_UNSPECIFIED, wire.Outcome(99)} {
		e.slots["a@1"].unaccountedUntil = time.Time{}
		f.release(f.acquire("a@1", "urgent"), outcome)
		f.Assert(f.scheduler.slotStateLocked(e, "a@1", e.slots["a@1"], time.Now()).Busy, quicktest.IsTrue)
	}
}

func TestAdapterWithGrantIsBusy(t *testing.T) {
	f := newFixture(t, "a@1")
	e := f.own()
	e.slots["a@1"].unaccountedUntil = time.Time{}
	a := f.acquire("a@1", "urgent")
	f.Assert(f.scheduler.slotStateLocked(e, "a@1", e.slots["a@1"], time.Now()).Busy, quicktest.IsTrue)
	f.release(a, wire.Outcome_OUTCOME_COMPLETED)
	f.Assert(f.scheduler.slotStateLocked(e, "a@1", e.slots["a@1"], time.Now()).Busy, quicktest.IsFalse)
}

// Guards against an adapter being unloaded while a request runs on it. Grants from before a claim that ended
// after it were subtracted from the count of grants issued since the claim.
func TestAdapterWithGrantIsBusyAfterGrantsFromBeforeClaimEnd(t *testing.T) {
	f := newFixture(t, "a@1")
	e := f.own()
	before := f.acquire("a@1", "urgent")
	e.mu.Lock()
	f.scheduler.resyncLocked(e, time.Now())
	f.scheduler.queueProbeLocked(e)
	e.mu.Unlock()
	f.scheduler.probe(context.Background(), <-f.scheduler.probes)
	f.Assert(e.ownership, quicktest.Equals, owned)
	busy := func() bool {
		e.slots["a@1"].unaccountedUntil = time.Time{} // as after a report that shows no other request
		return f.scheduler.slotStateLocked(e, "a@1", e.slots["a@1"], time.Now()).Busy
	}
	f.Assert(busy(), quicktest.IsTrue)
	f.release(before, wire.Outcome_OUTCOME_COMPLETED)
	f.Assert(busy(), quicktest.IsFalse)
	f.Assert(f.acquire("a@1", "urgent").GetGrant(), quicktest.IsNotNil)
	f.Assert(busy(), quicktest.IsTrue)
}

func TestReportEndsGrantsOfLostGateway(t *testing.T) {
	f := newFixture(t, "a@1")
	e := f.own()
	f.acquire("a@1", "urgent")
	time.Sleep(f.scheduler.Timing.SendWindow + 5*time.Millisecond)
	f.Assert(f.scheduler.reconcileReport(context.Background(), e), quicktest.IsNil)
	grants, _ := f.scheduler.Outstanding()
	f.Assert(grants, quicktest.Equals, 0)
}

func TestEmptyRestartIsDetectedAndReclaimed(t *testing.T) {
	f := newFixture(t, "a@1")
	e := f.own()
	f.engine.boot, f.engine.fence = "2", engine.Fence{}
	delete(f.engine.slots, "a@1")
	f.Assert(f.scheduler.verify(context.Background(), e, e.fence, time.Now()), quicktest.IsNil)
	f.Assert(e.ownership, quicktest.Equals, claiming)
	f.scheduler.probe(context.Background(), <-f.scheduler.probes)
	f.Assert(e.ownership, quicktest.Equals, owned)
	f.Assert(e.slots, quicktest.HasLen, 0)
}

func TestDrainingEndpointRefusesRequests(t *testing.T) {
	f := newFixture(t, "a@1")
	f.own()
	f.catalog = f.buildCatalog("draining", true)
	f.scheduler.reconcile(time.Now())
	f.Assert(f.acquire("a@1", "urgent").GetRefusal().GetReason(), quicktest.Equals, wire.Reason_REASON_LEAVING)
}

func TestLeavingEndpointRefusesRequests(t *testing.T) {
	f := newFixture(t, "a@1")
	f.own()
	a := f.acquire("a@1", "urgent")
	_, err := f.scheduler.Release(context.Background(), &wire.ReleaseRequest{Endpoint: "e1", Id: a.GetGrant().GetId(), Outcome: wire.Outcome_OUTCOME_REFUSED, Leaving: true})
	f.Assert(err, quicktest.IsNil)
	f.Assert(f.acquire("a@1", "urgent").GetRefusal().GetReason(), quicktest.Equals, wire.Reason_REASON_LEAVING)
}

// Guards against queued requests that are sent to an endpoint after it announced that it is leaving, long after if the
// queue is long: they are refused at once, so that they can go to another endpoint.
func TestLeavingEndpointRefusesQueuedRequests(t *testing.T) {
	f := newFixture(t, "a@1")
	f.scheduler.Timing.OwnershipTTL = time.Minute
	f.own()
	first, second := f.acquire("a@1", "urgent"), f.acquire("a@1", "urgent")
	queued := make(chan *wire.AcquireReply, 2)
	for range cap(queued) {
		go func() { queued <- f.acquire("a@1", "counter") }()
	}
	for n := 0; n < cap(queued); _, n = f.scheduler.Outstanding() {
		time.Sleep(time.Millisecond)
	}
	f.release(second, wire.Outcome_OUTCOME_COMPLETED)
	f.Assert((<-queued).GetGrant(), quicktest.IsNotNil) // it has not announced it yet
	_, err := f.scheduler.Release(context.Background(), &wire.ReleaseRequest{Endpoint: "e1", Id: first.GetGrant().GetId(), Outcome: wire.Outcome_OUTCOME_COMPLETED, Leaving: true})
	f.Assert(err, quicktest.IsNil)
	f.Assert((<-queued).GetRefusal().GetReason(), quicktest.Equals, wire.Reason_REASON_LEAVING)
}

func TestRepeatedLoadFailuresRefuseWaitingRequests(t *testing.T) {
	f := newFixture(t)
	f.engine.loadError = &engine.RefusedError{Code: engine.CodeLoadFailed}
	f.run()
	var r *wire.Refusal
	for r.GetReason() == 0 || r.GetReason() == wire.Reason_REASON_NOT_READY || r.GetReason() == wire.Reason_REASON_NOT_OWNER {
		r = f.acquire("a@1", "counter").GetRefusal()
	}
	f.Assert(r.GetReason(), quicktest.Equals, wire.Reason_REASON_LOAD_FAILED)
	f.Assert(r.GetRetryMicros() > 0, quicktest.IsTrue)
}

func TestTimeoutAfterFailedLoadReportsLoadFailure(t *testing.T) {
	f := newFixture(t)
	e := f.own()
	answer := make(chan *wire.AcquireReply, 1)
	go func() { answer <- f.acquire("a@1", "counter") }()
	for n := 0; n == 0; _, n = f.scheduler.Outstanding() {
		time.Sleep(time.Millisecond)
	}
	e.mu.Lock()
	f.scheduler.recordLoadFailureLocked(e, "a@1", time.Now())
	e.mu.Unlock()
	r := (<-answer).GetRefusal()
	f.Assert(r.GetReason(), quicktest.Equals, wire.Reason_REASON_LOAD_FAILED)
	f.Assert(r.GetRetryMicros() > 0, quicktest.IsTrue)
}

func TestLeaveRefusesQueuedRequestsAsNotOwner(t *testing.T) {
	f := newFixture(t, "a@1")
	f.own()
	f.acquire("a@1", "counter")
	f.acquire("a@1", "counter") // the endpoint is full now
	waiting := make(chan *wire.AcquireReply, 1)
	go func() { waiting <- f.acquire("a@1", "counter") }()
	for n := 0; n == 0; _, n = f.scheduler.Outstanding() {
		time.Sleep(time.Millisecond)
	}
	f.scheduler.Leave()
	f.Assert((<-waiting).GetRefusal().GetReason(), quicktest.Equals, wire.Reason_REASON_NOT_OWNER)
}

func TestAdapterOfRefusedRequestIsLoaded(t *testing.T) {
	f := newFixture(t)
	f.run()
	for f.acquire("b@1", "counter").GetGrant() == nil { // until the endpoint is owned
	}
	q := &wire.AcquireRequest{Endpoint: "e1", Adapter: "a@1", Class: "urgent"}
	a, err := f.scheduler.Acquire(context.Background(), q)
	f.Assert(err, quicktest.IsNil)
	f.Assert(a.GetRefusal().GetReason(), quicktest.Equals, wire.Reason_REASON_NO_WAIT)
	time.Sleep(time.Duration(a.GetRefusal().GetRetryMicros()) * time.Microsecond)
	a, err = f.scheduler.Acquire(context.Background(), q)
	f.Assert(err, quicktest.IsNil)
	f.Assert(a.GetGrant(), quicktest.IsNotNil)
}

func TestPendingLoadsAreCountedAndReset(t *testing.T) {
	f := newFixture(t)
	f.scheduler.StoreLimits.Rate = 1 // at 1000 a second the emptied budget allows a load again after 1 ms
	f.own()
	q := &wire.AcquireRequest{Endpoint: "e1", Adapter: "b@1", Class: "urgent"}
	for f.scheduler.storeBudget.take(time.Now()) { // empty the budget, so that no load begins
	}
	_, err := f.scheduler.Acquire(context.Background(), q)
	f.Assert(err, quicktest.IsNil)
	f.Assert(f.scheduler.pendingLoads.Load(), quicktest.Equals, int64(0)) // a refused request does not count as a pending load
	waiting := make(chan *wire.AcquireReply, 1)
	go func() { waiting <- f.acquire("b@1", "counter") }()
	for f.scheduler.pendingLoads.Load() == 0 {
		time.Sleep(time.Millisecond)
	}
	f.scheduler.Leave()
	<-waiting
	f.Assert(f.scheduler.pendingLoads.Load(), quicktest.Equals, int64(0))
}

func TestEndpointWithoutFencesIsReclaimedAfterExpiry(t *testing.T) {
	f := newFixture(t, "a@1")
	f.catalog = f.buildCatalog("serving", false)
	e := f.own()
	e.claimingSince = time.Now().Add(-f.scheduler.Timing.OwnershipTTL - time.Millisecond)
	f.scheduler.probe(context.Background(), e)
	f.Assert(e.ownership, quicktest.Equals, owned)
	e.verifiedAt = time.Now().Add(-f.scheduler.Timing.OwnershipTTL - time.Millisecond)
	f.Assert(f.scheduler.verify(context.Background(), e, e.fence, time.Now()), quicktest.IsNil)
	f.Assert(e.ownership, quicktest.Equals, claiming)
}

func TestNewOwnerOfEndpointWithoutFencesWaitsForPreviousOwnershipTTL(t *testing.T) {
	f := newFixture(t, "a@1")
	f.catalog = f.buildCatalog("serving", false)
	e := f.own()
	f.Assert(f.acquire("a@1", "urgent").GetRefusal().GetReason(), quicktest.Equals, wire.Reason_REASON_NOT_READY)
	e.claimingSince = time.Now().Add(-f.scheduler.Timing.OwnershipTTL - time.Millisecond)
	f.scheduler.probe(context.Background(), e)
	f.Assert(f.acquire("a@1", "urgent").GetGrant(), quicktest.IsNotNil)
}

func TestResyncOfEndpointWithoutFencesDoesNotWait(t *testing.T) {
	f := newFixture(t, "a@1")
	f.catalog = f.buildCatalog("serving", false)
	e := f.own()
	e.claimingSince = time.Now().Add(-f.scheduler.Timing.OwnershipTTL - time.Millisecond)
	f.scheduler.probe(context.Background(), e)
	e.mu.Lock()
	f.scheduler.resyncLocked(e, time.Now())
	e.mu.Unlock()
	f.scheduler.probe(context.Background(), e)
	f.Assert(e.ownership, quicktest.Equals, owned)
}

func TestDeferredRequestDoesNotDelayOthers(t *testing.T) {
	f := newFixture(t, "a@1")
	f.own()
	f.scheduler.BatchPolicy = policy.BatchPolicy{Fullness: 1}
	ctx, cancel := context.WithCancel(context.Background())
	held := make(chan error, 1)
	go func() {
		q := &wire.AcquireRequest{Endpoint: "e1", Adapter: "a@1", Class: "night", WaitMicros: time.Hour.Microseconds()}
		_, err := f.scheduler.Acquire(ctx, q)
		held <- err
	}()
	for n := 0; n == 0; _, n = f.scheduler.Outstanding() {
		time.Sleep(time.Millisecond)
	}
	a, err := f.scheduler.Acquire(context.Background(), &wire.AcquireRequest{Endpoint: "e1", Adapter: "a@1", Class: "urgent"})
	f.Assert(err, quicktest.IsNil)
	f.Assert(a.GetGrant(), quicktest.IsNotNil)
	cancel()
	f.Assert(<-held, quicktest.IsNil)
}
