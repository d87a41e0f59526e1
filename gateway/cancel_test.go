// SPDX-License-Identifier: Apache-2.0

package gateway

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"

	"cairnwick.example/wire"
	"github.com/frankban/quicktest"
)

// abandoned sends a request to an engine that confirms every cancellation, as engines do for runs that they don't know. The
// caller leaves once the engine has got the request, and has begun to respond if responds is set. It returns the outcome that the
// scheduler gets, and the number of cancellations.
func abandoned(c *quicktest.C, responds, stream bool) (wire.Outcome, int64) {
	var cancellations atomic.Int64
	ctx, leave := context.WithCancel(context.Background())
	defer leave()
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Method == http.MethodDelete {
			cancellations.Add(1)
			w.WriteHeader(http.StatusNoContent)
			return
		}
		_, _ = io.Copy(io.Discard, r.Body)
		if responds {
			_, _ = io.WriteString(w, "data: one\n\n")
			_ = http.NewResponseController(w).Flush()
		} else {
			leave()
		}
		<-r.Context().Done()
	}))
	defer s.Close()
	g := newSendingGateway(c)
	scheduler := &fakeScheduler{acquire: func(int, string) *wire.AcquireReply { return grantAt(s.Listener.Addr().String()) }}
	g.schedule(scheduler)
	g.EngineClient.Transport = leavingTransport{g.EngineClient.Transport, leave}
	body := `{"model": "a", "prompt": "x"}`
	if stream {
		body = `{"model": "a", "prompt": "x", "stream": true}`
	}
	q, f := parseTestRequest(g, body)
	c.Assert(f == nil, quicktest.IsTrue)
	f = g.route(ctx, q, &callerResponse{writer: httptest.NewRecorder()})
	c.Assert(f != nil, quicktest.IsTrue)
	c.Check(f.Ran, quicktest.Equals, MayHaveRun)
	c.Check(g.flushReleases(), quicktest.IsNil)
	c.Assert(scheduler.released, quicktest.HasLen, 1)
	return scheduler.released[0].GetOutcome(), cancellations.Load()
}

// leavingTransport has the caller of a request leave once the head of the response is in.
type leavingTransport struct {
	http.RoundTripper

	leave func()
}

// RoundTrip implements http.RoundTripper.
func (t leavingTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	resp, err := t.RoundTripper.RoundTrip(r)
	if err == nil && r.Method == http.MethodPost {
		t.leave()
	}
	return resp, err
}

// Guards against a slot that counts as free while a request for it is still on its way: a cancellation can overtake it, and the
// engine confirms that no such run is left.
func TestCancelledRequestWithoutAResponseMayStillRun(t *testing.T) {
	c := quicktest.New(t)
	for _, stream := range []bool{false, true} {
		outcome, cancellations := abandoned(c, false, stream)
		c.Check(outcome, quicktest.Equals, wire.Outcome_OUTCOME_UNKNOWN)
		c.Check(cancellations, quicktest.Equals, int64(1))
	}
}

// A run that began to respond and was cancelled has ended.
func TestCancelledRunHasEnded(t *testing.T) {
	c := quicktest.New(t)
	for _, stream := range []bool{false, true} {
		outcome, cancellations := abandoned(c, true, stream)
		c.Check(outcome, quicktest.Equals, wire.Outcome_OUTCOME_REFUSED)
		c.Check(cancellations, quicktest.Equals, int64(1))
	}
}

// Guards against a slot that counts as free while a request whose connection broke may still be on its way: the engine confirms the
// cancellation of a run that it does not know yet.
func TestRequestWithoutAResponseMayStillRunThoughItIsCancelledLater(t *testing.T) {
	c := quicktest.New(t)
	var cancellations atomic.Int64
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Method == http.MethodDelete {
			cancellations.Add(1)
			w.WriteHeader(http.StatusNoContent)
			return
		}
		panic(http.ErrAbortHandler)
	}))
	defer s.Close()
	g := newSendingGateway(c)
	scheduler := &fakeScheduler{acquire: func(int, string) *wire.AcquireReply { return grantAt(s.Listener.Addr().String()) }}
	g.schedule(scheduler)
	f := failureOf(c, g.serveOnce(http.MethodPost, modelsPath, modelBody, false))
	c.Check(f.Ran, quicktest.Equals, MayHaveRun)
	c.Check(g.flushReleases(), quicktest.IsNil)
	c.Assert(scheduler.released, quicktest.HasLen, 1)
	c.Check(scheduler.released[0].GetOutcome(), quicktest.Equals, wire.Outcome_OUTCOME_UNKNOWN)
	c.Check(cancellations.Load(), quicktest.Equals, int64(1))
}
