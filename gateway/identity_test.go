// SPDX-License-Identifier: Apache-2.0

package gateway

import (
	"io"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"

	"cairnwick.example/engine"
	"cairnwick.example/wire"
	"github.com/frankban/quicktest"
)

// Guards against a completion of another request that a caller gets, and whose slot counts as free meanwhile: a response without an
// ID on a connection whose earlier responses had one.
func TestCompletionWithoutTheIDOfItsRunIsNoResponse(t *testing.T) {
	for _, returnsIDs := range []bool{true, false} {
		c := quicktest.New(t)
		var requests atomic.Int64
		s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			_, _ = io.Copy(io.Discard, r.Body)
			if requests.Add(1) == 1 && returnsIDs {
				w.Header().Set(engine.RequestIDHeader, r.Header.Get(engine.RequestIDHeader))
			}
			_, _ = io.WriteString(w, `{"choices":[]}`)
		}))
		g := newSendingGateway(c)
		scheduler := &fakeScheduler{acquire: func(int, string) *wire.AcquireReply { return grantAt(s.Listener.Addr().String()) }}
		g.schedule(scheduler)
		first := g.serveOnce(http.MethodPost, modelsPath, modelBody, false)
		c.Check(first.Code, quicktest.Equals, http.StatusOK)
		second := g.serveOnce(http.MethodPost, modelsPath, modelBody, false)
		s.Close()
		c.Check(requests.Load(), quicktest.Equals, int64(2))
		c.Check(g.flushReleases(), quicktest.IsNil)
		c.Assert(scheduler.released, quicktest.HasLen, 2)
		c.Check(scheduler.released[0].GetOutcome(), quicktest.Equals, wire.Outcome_OUTCOME_COMPLETED)
		if !returnsIDs { // each request has a connection of its own
			c.Check(second.Code, quicktest.Equals, http.StatusOK)
			c.Check(scheduler.released[1].GetOutcome(), quicktest.Equals, wire.Outcome_OUTCOME_COMPLETED)
			continue
		}
		f := failureOf(c, second)
		c.Check(f.Code, quicktest.Equals, CodeNoResponse)
		c.Check(f.Ran, quicktest.Equals, MayHaveRun)
		c.Check(scheduler.released[1].GetOutcome(), quicktest.Equals, wire.Outcome_OUTCOME_UNKNOWN)
		c.Check(scheduler.ended, quicktest.DeepEquals, []wire.KeyState{wire.KeyState_KEY_STATE_RAN, wire.KeyState_KEY_STATE_UNKNOWN})
	}
}
