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

func TestALoadedAdapterIsGrantedAtOnce(t *testing.T) {
	b := newBench(t, "a@1")
	b.own()
	a := b.ask("a@1", "urgent")
	b.Assert(a.GetGrant().GetReason(), quicktest.Equals, wire.Reason_REASON_ADAPTER_READY)
	b.Assert(a.GetGrant().GetFence(), quicktest.Equals, "1.box")
	b.release(a, wire.Outcome_OUTCOME_COMPLETED)
	grants, waiting := b.scheduler.Outstanding()
	b.Assert(grants+waiting, quicktest.Equals, 0)
}

func TestARequestWaitsForItsLoad(t *testing.T) {
	b := newBench(t)
	b.run()
	var a *wire.AcquireReply
	for a.GetGrant() == nil { // until the endpoint is owned
		a = b.ask("a@1", "counter")
	}
	b.Assert(a.GetGrant().GetReason(), quicktest.Equals, wire.Reason_REASON_AFTER_LOAD)
	b.Assert(b.engine.ordered(), quicktest.DeepEquals, []string{"load a@1"})
}

func TestAClassThatMayNotWaitIsRefusedAtOnce(t *testing.T) {
	b := newBench(t)
	b.own()
	q := &wire.AcquireRequest{Endpoint: "e1", Adapter: "a@1", Class: "urgent"}
	a, err := b.scheduler.Acquire(context.Background(), q)
	b.Assert(err, quicktest.IsNil)
	b.Assert(a.GetRefusal().GetReason(), quicktest.Equals, wire.Reason_REASON_NO_WAIT)
	b.Assert(a.GetRefusal().GetRetryMicros() > 0, quicktest.IsTrue)
}

func TestAnOwnerThatHasNotLookedLatelyGivesNoGrant(t *testing.T) {
	b := newBench(t, "a@1")
	e := b.own()
	e.seen = time.Now().Add(-b.scheduler.Spans.Trust - time.Millisecond) // as after a pause of the process
	b.Assert(b.ask("a@1", "urgent").GetRefusal().GetReason(), quicktest.Equals, wire.Reason_REASON_ENDPOINT_DOWN)
}

func TestAnOwnerThatHasNotLookedLatelyGivesNoOrder(t *testing.T) {
	b := newBench(t)
	e := b.own()
	o := order{endpoint: e, fence: e.fence, boot: e.boot, load: "a@1", path: "p/a"}
	e.slots["a@1"] = &slot{state: loading}
	e.seen = time.Now().Add(-b.scheduler.Spans.Trust - time.Millisecond)
	b.scheduler.carryOut(context.Background(), o)
	b.Assert(b.engine.ordered(), quicktest.HasLen, 0)
	b.Assert(e.slots["a@1"], quicktest.IsNil)
}

func TestAnOrderOfAnEarlierOwnershipIsNotGiven(t *testing.T) {
	b := newBench(t)
	e := b.own()
	o := order{endpoint: e, fence: engine.NewFence(0, "box"), boot: e.boot, load: "a@1", path: "p/a"}
	b.scheduler.carryOut(context.Background(), o)
	b.Assert(b.engine.ordered(), quicktest.HasLen, 0)
}

func TestASchedulerWhoseFenceWasRaisedStops(t *testing.T) {
	b := newBench(t, "a@1")
	e := b.own()
	b.engine.fence = engine.NewFence(9, "other")
	b.Assert(b.scheduler.verify(context.Background(), e, e.fence, time.Now()), quicktest.IsNil)
	a := b.ask("a@1", "urgent").GetRefusal()
	b.Assert(a.GetReason(), quicktest.Equals, wire.Reason_REASON_NOT_OWNER)
	b.Assert(a.GetOwner(), quicktest.Equals, "other/scheduler")
}

func TestANewOwnerUnloadsNothingBeforeOldGrantsRanOut(t *testing.T) {
	b := newBench(t, "a@1", "b@1")
	e := b.own()
	for n, sl := range e.slots {
		f := b.scheduler.slotFactsLocked(e, n, sl, time.Now())
		b.Assert(f.Busy, quicktest.IsTrue)
	}
	b.Assert(b.scheduler.readReport(context.Background(), e), quicktest.IsNil)
	for _, sl := range e.slots {
		b.Assert(sl.unsure.IsZero(), quicktest.IsFalse) // the report was too early
		sl.unsure = time.Now().Add(-time.Millisecond)
	}
	b.Assert(b.scheduler.readReport(context.Background(), e), quicktest.IsNil)
	for _, sl := range e.slots {
		b.Assert(sl.unsure.IsZero(), quicktest.IsTrue)
	}
}

func TestAnOwnerAfterOneThatLeftWaitsOutTheSendWindowAlone(t *testing.T) {
	b := newBench(t)
	s := b.scheduler
	b.Assert(s.grantsOutlive(engine.NewFence(1, "gone")), quicktest.Equals, s.Spans.Trust+s.Spans.SendWindow)
	s.Members.Leave()
	b.Assert(s.grantsOutlive(engine.NewFence(1, "box")), quicktest.Equals, s.Spans.SendWindow)
}

func TestAnUnknownOutcomeKeepsTheSlot(t *testing.T) {
	b := newBench(t, "a@1")
	e := b.own()
	e.slots["a@1"].unsure = time.Time{}
	b.release(b.ask("a@1", "urgent"), wire.Outcome_OUTCOME_UNKNOWN)
	b.Assert(b.scheduler.slotFactsLocked(e, "a@1", e.slots["a@1"], time.Now()).Busy, quicktest.IsTrue)
}

func TestAnAdapterWithAGrantIsBusy(t *testing.T) {
	b := newBench(t, "a@1")
	e := b.own()
	e.slots["a@1"].unsure = time.Time{}
	a := b.ask("a@1", "urgent")
	b.Assert(b.scheduler.slotFactsLocked(e, "a@1", e.slots["a@1"], time.Now()).Busy, quicktest.IsTrue)
	b.release(a, wire.Outcome_OUTCOME_COMPLETED)
	b.Assert(b.scheduler.slotFactsLocked(e, "a@1", e.slots["a@1"], time.Now()).Busy, quicktest.IsFalse)
}

// A claim reads anew what the endpoint holds. Grants of before it that ended were taken off the count of those given
// after it, so an adapter with a running request could be unloaded.
func TestAnAdapterWithAGrantIsBusyAfterGrantsOfBeforeAClaimHaveEnded(t *testing.T) {
	b := newBench(t, "a@1")
	e := b.own()
	before := b.ask("a@1", "urgent")
	e.mu.Lock()
	b.scheduler.unclearLocked(e, time.Now())
	b.scheduler.queueLookLocked(e)
	e.mu.Unlock()
	b.scheduler.look(context.Background(), <-b.scheduler.looks)
	b.Assert(e.phase, quicktest.Equals, owned)
	busy := func() bool {
		e.slots["a@1"].unsure = time.Time{} // a report has shown that nothing else runs
		return b.scheduler.slotFactsLocked(e, "a@1", e.slots["a@1"], time.Now()).Busy
	}
	b.Assert(busy(), quicktest.IsTrue)
	b.release(before, wire.Outcome_OUTCOME_COMPLETED)
	b.Assert(busy(), quicktest.IsFalse)
	b.Assert(b.ask("a@1", "urgent").GetGrant(), quicktest.IsNotNil)
	b.Assert(busy(), quicktest.IsTrue)
}

func TestGrantsOfAGatewayThatIsGoneEnd(t *testing.T) {
	b := newBench(t, "a@1")
	e := b.own()
	b.ask("a@1", "urgent")
	time.Sleep(b.scheduler.Spans.SendWindow + 5*time.Millisecond)
	b.Assert(b.scheduler.readReport(context.Background(), e), quicktest.IsNil)
	grants, _ := b.scheduler.Outstanding()
	b.Assert(grants, quicktest.Equals, 0)
}

func TestAnEmptyRestartIsSeenAndClaimedAnew(t *testing.T) {
	b := newBench(t, "a@1")
	e := b.own()
	b.engine.boot, b.engine.fence = "2", engine.Fence{}
	delete(b.engine.slots, "a@1")
	b.Assert(b.scheduler.verify(context.Background(), e, e.fence, time.Now()), quicktest.IsNil)
	b.Assert(e.phase, quicktest.Equals, claiming)
	b.scheduler.look(context.Background(), <-b.scheduler.looks)
	b.Assert(e.phase, quicktest.Equals, owned)
	b.Assert(e.slots, quicktest.HasLen, 0)
}

func TestADrainingEndpointTakesNothing(t *testing.T) {
	b := newBench(t, "a@1")
	b.own()
	b.catalog = b.configure("draining", true)
	b.scheduler.assign(time.Now())
	b.Assert(b.ask("a@1", "urgent").GetRefusal().GetReason(), quicktest.Equals, wire.Reason_REASON_LEAVING)
}

func TestAnEndpointThatSaysItIsLeavingIsClosed(t *testing.T) {
	b := newBench(t, "a@1")
	b.own()
	a := b.ask("a@1", "urgent")
	_, err := b.scheduler.Release(context.Background(), &wire.ReleaseRequest{Endpoint: "e1", Id: a.GetGrant().GetId(), Outcome: wire.Outcome_OUTCOME_REFUSED, Leaving: true})
	b.Assert(err, quicktest.IsNil)
	b.Assert(b.ask("a@1", "urgent").GetRefusal().GetReason(), quicktest.Equals, wire.Reason_REASON_LEAVING)
}

func TestLoadsThatKeepFailingRefuseWhoWaits(t *testing.T) {
	b := newBench(t)
	b.engine.refuse = &engine.RefusedError{Code: engine.CodeLoadFailed}
	b.run()
	var r *wire.Refusal
	for r.GetReason() == 0 || r.GetReason() == wire.Reason_REASON_NOT_READY || r.GetReason() == wire.Reason_REASON_NOT_OWNER {
		r = b.ask("a@1", "counter").GetRefusal()
	}
	b.Assert(r.GetReason(), quicktest.Equals, wire.Reason_REASON_LOAD_FAILED)
	b.Assert(r.GetRetryMicros() > 0, quicktest.IsTrue)
}

func TestARequestWhoseTimeEndsAfterAFailedLoadIsToldOfTheLoad(t *testing.T) {
	b := newBench(t)
	e := b.own()
	answer := make(chan *wire.AcquireReply, 1)
	go func() { answer <- b.ask("a@1", "counter") }()
	for n := 0; n == 0; _, n = b.scheduler.Outstanding() {
		time.Sleep(time.Millisecond)
	}
	e.mu.Lock()
	b.scheduler.loadFailedLocked(e, "a@1", time.Now())
	e.mu.Unlock()
	r := (<-answer).GetRefusal()
	b.Assert(r.GetReason(), quicktest.Equals, wire.Reason_REASON_LOAD_FAILED)
	b.Assert(r.GetRetryMicros() > 0, quicktest.IsTrue)
}

func TestALeavingSchedulerSendsItsWaitersOn(t *testing.T) {
	b := newBench(t, "a@1")
	b.own()
	b.ask("a@1", "counter")
	b.ask("a@1", "counter") // the batch is full now
	waiting := make(chan *wire.AcquireReply, 1)
	go func() { waiting <- b.ask("a@1", "counter") }()
	for n := 0; n == 0; _, n = b.scheduler.Outstanding() {
		time.Sleep(time.Millisecond)
	}
	b.scheduler.Leave()
	b.Assert((<-waiting).GetRefusal().GetReason(), quicktest.Equals, wire.Reason_REASON_NOT_OWNER)
}

func TestTheAdapterOfARefusedRequestIsLoadedMeanwhile(t *testing.T) {
	b := newBench(t)
	b.run()
	for b.ask("b@1", "counter").GetGrant() == nil { // until the endpoint is owned
	}
	q := &wire.AcquireRequest{Endpoint: "e1", Adapter: "a@1", Class: "urgent"}
	a, err := b.scheduler.Acquire(context.Background(), q)
	b.Assert(err, quicktest.IsNil)
	b.Assert(a.GetRefusal().GetReason(), quicktest.Equals, wire.Reason_REASON_NO_WAIT)
	time.Sleep(time.Duration(a.GetRefusal().GetRetryMicros()) * time.Microsecond)
	a, err = b.scheduler.Acquire(context.Background(), q)
	b.Assert(err, quicktest.IsNil)
	b.Assert(a.GetGrant(), quicktest.IsNotNil)
}

func TestWantedLoadsAreCountedAndForgotten(t *testing.T) {
	b := newBench(t)
	b.scheduler.Store.Rate = 1 // at a thousand a load was allowed again 1 ms after the budget was emptied
	b.own()
	q := &wire.AcquireRequest{Endpoint: "e1", Adapter: "b@1", Class: "urgent"}
	for b.scheduler.budget.take(time.Now()) { // so that no load begins
	}
	_, err := b.scheduler.Acquire(context.Background(), q)
	b.Assert(err, quicktest.IsNil)
	b.Assert(b.scheduler.loadsWanted.Load(), quicktest.Equals, int64(0)) // a refused request presses for nothing
	waiting := make(chan *wire.AcquireReply, 1)
	go func() { waiting <- b.ask("b@1", "counter") }()
	for b.scheduler.loadsWanted.Load() == 0 {
		time.Sleep(time.Millisecond)
	}
	b.scheduler.Leave()
	<-waiting
	b.Assert(b.scheduler.loadsWanted.Load(), quicktest.Equals, int64(0))
}

func TestAnEndpointWithoutFencesIsClaimedAnewAfterASilence(t *testing.T) {
	b := newBench(t, "a@1")
	b.catalog = b.configure("serving", false)
	e := b.own()
	e.taken = time.Now().Add(-b.scheduler.Spans.Trust - time.Millisecond)
	b.scheduler.look(context.Background(), e)
	b.Assert(e.phase, quicktest.Equals, owned)
	e.seen = time.Now().Add(-b.scheduler.Spans.Trust - time.Millisecond)
	b.Assert(b.scheduler.verify(context.Background(), e, e.fence, time.Now()), quicktest.IsNil)
	b.Assert(e.phase, quicktest.Equals, claiming)
}

func TestANewOwnerOfAnEndpointWithoutFencesWaitsOutTheTrustOfTheOneBefore(t *testing.T) {
	b := newBench(t, "a@1")
	b.catalog = b.configure("serving", false)
	e := b.own()
	b.Assert(b.ask("a@1", "urgent").GetRefusal().GetReason(), quicktest.Equals, wire.Reason_REASON_NOT_READY)
	e.taken = time.Now().Add(-b.scheduler.Spans.Trust - time.Millisecond)
	b.scheduler.look(context.Background(), e)
	b.Assert(b.ask("a@1", "urgent").GetGrant(), quicktest.IsNotNil)
}

func TestAnOwnerThatReadsAnEndpointWithoutFencesAnewDoesNotWait(t *testing.T) {
	b := newBench(t, "a@1")
	b.catalog = b.configure("serving", false)
	e := b.own()
	e.taken = time.Now().Add(-b.scheduler.Spans.Trust - time.Millisecond)
	b.scheduler.look(context.Background(), e)
	e.mu.Lock()
	b.scheduler.unclearLocked(e, time.Now())
	e.mu.Unlock()
	b.scheduler.look(context.Background(), e)
	b.Assert(e.phase, quicktest.Equals, owned)
}

func TestAHeldRequestKeepsNobodyElseWaiting(t *testing.T) {
	b := newBench(t, "a@1")
	b.own()
	b.scheduler.Weights = policy.BatchPolicy{Fullness: 1}
	ctx, cancel := context.WithCancel(context.Background())
	held := make(chan error, 1)
	go func() {
		q := &wire.AcquireRequest{Endpoint: "e1", Adapter: "a@1", Class: "night", WaitMicros: time.Hour.Microseconds()}
		_, err := b.scheduler.Acquire(ctx, q)
		held <- err
	}()
	for n := 0; n == 0; _, n = b.scheduler.Outstanding() {
		time.Sleep(time.Millisecond)
	}
	a, err := b.scheduler.Acquire(context.Background(), &wire.AcquireRequest{Endpoint: "e1", Adapter: "a@1", Class: "urgent"})
	b.Assert(err, quicktest.IsNil)
	b.Assert(a.GetGrant(), quicktest.IsNotNil)
	cancel()
	b.Assert(<-held, quicktest.IsNil)
}
