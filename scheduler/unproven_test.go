// SPDX-License-Identifier: Apache-2.0

package scheduler

import (
	"context"
	"net/http"
	"testing"
	"time"

	"cairnwick.example/engine"
	"cairnwick.example/wire"
	"github.com/frankban/quicktest"
)

// Guards against a slot that counts as free, so that its adapter is unloaded, while a request may run on it: the engine said that
// the adapter is not loaded, but not that the request did not run.
func TestAdapterIsBusyAfterAnUnprovenNotLoaded(t *testing.T) {
	f := newFixture(t, "a@1")
	e := f.own()
	e.slots["a@1"].unaccountedUntil = time.Time{}
	e.slots["a@1"].stateSince = time.Now().Add(-time.Second)
	a := f.acquire("a@1", "urgent")
	_, err := f.scheduler.Release(context.Background(), &wire.ReleaseRequest{
		Endpoint: "e1", Id: a.GetGrant().GetId(), Outcome: wire.Outcome_OUTCOME_UNKNOWN, NotLoaded: true,
	})
	f.Assert(err, quicktest.IsNil)
	e.mu.Lock()
	f.scheduler.queueProbeLocked(e) // as the next reconcile does
	e.mu.Unlock()
	f.scheduler.probe(context.Background(), <-f.scheduler.probes)
	f.Assert(e.ownership, quicktest.Equals, owned)
	sl := e.slots["a@1"] // the engine holds it
	f.Assert(sl, quicktest.IsNotNil)
	f.Assert(f.scheduler.slotStateLocked(e, "a@1", sl, time.Now()).Busy, quicktest.IsTrue)
}

// Guards against a grant that its gateway gets and uses although it was taken back, since the gateway was thought to have left.
func TestGrantThatIsTakenBackIsNotDelivered(t *testing.T) {
	f := newFixture(t, "a@1")
	e := f.own()
	e.slots["a@1"].unaccountedUntil = time.Time{}
	a := f.acquire("a@1", "urgent")
	gone, leave := context.WithCancel(context.Background())
	leave()
	f.Assert(f.scheduler.deliver(gone, e, a).GetGrant(), quicktest.IsNil)
	f.Assert(e.grants, quicktest.HasLen, 0)
	f.Assert(f.scheduler.slotStateLocked(e, "a@1", e.slots["a@1"], time.Now()).Busy, quicktest.IsFalse)

	a = f.acquire("a@1", "urgent")
	f.Assert(f.scheduler.deliver(context.Background(), e, a).GetGrant(), quicktest.IsNotNil)
	f.Assert(e.grants, quicktest.HasLen, 1)
}

// Guards against a grant whose end was not reported and that ends before its request can have arrived at the engine.
func TestReportEndsNoGrantThatMayStillBeUsed(t *testing.T) {
	f := newFixture(t, "a@1")
	e := f.own()
	f.acquire("a@1", "urgent")
	f.Assert(f.scheduler.reconcileReport(context.Background(), e), quicktest.IsNil)
	f.Assert(e.grants, quicktest.HasLen, 1) // the report shows nothing that runs, but the request may still be sent
	for _, g := range e.grants {
		g.sendDeadline = time.Now().Add(-time.Millisecond)
	}
	f.Assert(f.scheduler.reconcileReport(context.Background(), e), quicktest.IsNil)
	f.Assert(e.grants, quicktest.HasLen, 0)
}

// Guards against an adapter that is unloaded while a request runs on it: an unload that failed may still be carried out, unless the
// engine states a reason for which it refused it.
func TestAdapterIsNotUsedAfterAnUnloadThatMayBeCarriedOut(t *testing.T) {
	for code, want := range map[engine.Code]ownership{engine.CodeFailed: claiming, engine.CodeLeaving: owned} {
		f := newFixture(t, "a@1")
		e := f.own()
		f.engine.failUnload = newRefusal(http.StatusServiceUnavailable, string(code))
		e.slots["a@1"].state = unloading
		f.scheduler.runLoadTask(context.Background(), loadTask{endpoint: e, fence: e.fence, bootID: e.bootID, unload: "a@1", load: "b@1", path: "p/b"})
		f.Check(f.engine.sentOperations(), quicktest.DeepEquals, []string{"unload a@1"})
		f.Check(e.ownership, quicktest.Equals, want, quicktest.Commentf("%s", code))
		granted := f.acquire("a@1", "urgent").GetGrant() != nil
		f.Check(granted, quicktest.Equals, want == owned, quicktest.Commentf("%s", code))
	}
}

// Guards against the same by a reason that proves nothing, since its status contradicts it.
func TestAdapterIsNotUsedAfterAnUnloadThatWasRefusedWithoutProof(t *testing.T) {
	for _, k := range []struct {
		status int
		reason string
		want   ownership
	}{
		{http.StatusServiceUnavailable, "leaving", owned},
		{http.StatusServiceUnavailable, "busy", owned},
		{http.StatusInternalServerError, "leaving", claiming},
		{http.StatusGatewayTimeout, "busy", claiming},
		{http.StatusInternalServerError, "store_busy", claiming},
		{http.StatusInternalServerError, "load_failed", claiming},
	} {
		f := newFixture(t, "a@1")
		e := f.own()
		f.engine.failUnload = newRefusal(k.status, k.reason)
		e.slots["a@1"].state = unloading
		f.scheduler.runLoadTask(context.Background(), loadTask{endpoint: e, fence: e.fence, bootID: e.bootID, unload: "a@1", load: "b@1", path: "p/b"})
		f.Check(f.engine.sentOperations(), quicktest.DeepEquals, []string{"unload a@1"})
		f.Check(e.ownership, quicktest.Equals, k.want, quicktest.Commentf("%d %s", k.status, k.reason))
		granted := f.acquire("a@1", "urgent").GetGrant() != nil
		f.Check(granted, quicktest.Equals, k.want == owned, quicktest.Commentf("%d %s", k.status, k.reason))
	}
}

// newRefusal returns the refusal that an engine states with a reason and a status.
func newRefusal(status int, reason string) *engine.RefusedError {
	return engine.ParseRefusal(&http.Response{StatusCode: status, Header: http.Header{engine.ReasonHeader: {reason}}}, nil)
}
