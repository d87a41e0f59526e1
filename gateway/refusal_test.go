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

// refusingEngine starts an engine that responds to each request, under its ID, with a status, a reason and a body. It returns its
// address and the number of its requests.
func refusingEngine(c *quicktest.C, status int, reason, body string) (string, *atomic.Int64) {
	requests := &atomic.Int64{}
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Method == http.MethodPost {
			requests.Add(1)
		}
		w.Header().Set(engine.RequestIDHeader, r.Header.Get(engine.RequestIDHeader))
		if reason != "" {
			w.Header().Set(engine.ReasonHeader, reason)
		}
		w.WriteHeader(status)
		_, _ = io.WriteString(w, body)
	}))
	c.Cleanup(s.Close)
	return s.Listener.Addr().String(), requests
}

// Guards against a request that may run once and runs again, at this gateway or with its key, after a refusal that proves nothing.
func TestRefusalThatProvesNothingEndsTheRequest(t *testing.T) {
	const notFound = `{"error":{"message":"m","type":"NotFoundError"}}`
	for _, k := range []struct {
		status       int
		reason, body string
		code         Code
		repeatable   int // requests that reach the engine if the request is repeatable
	}{
		{503, "", "{}", CodeNoResponse, 1},
		{429, "", "{}", CodeNoResponse, 1},
		{408, "", "{}", CodeNoResponse, 1},
		{503, "preempted", "{}", CodeNoResponse, 1},
		{500, "busy", "{}", CodeNoResponse, 1},
		{404, "", notFound, CodeRefusedByEndpoint, maxAttempts},
		{400, "", `{"error":{"message":"m"}}`, CodeBadRequest, 1},
		{422, "", `{"error":{"message":"m"}}`, CodeBadRequest, 1},
	} {
		c := quicktest.New(t)
		note := quicktest.Commentf("%d %q %s", k.status, k.reason, k.body)
		for _, repeatable := range []bool{false, true} {
			address, requests := refusingEngine(c, k.status, k.reason, k.body)
			g := newSendingGateway(c)
			s := &fakeScheduler{acquire: func(int, string) *wire.AcquireReply { return grantAt(address) }}
			g.schedule(s)
			w := g.serveOnce(http.MethodPost, "/v1/completions", `{"model": "a", "prompt": "x"}`, repeatable)
			f := failureOf(c, w)
			c.Check(f.Code, quicktest.Equals, k.code, note)
			c.Check(f.Ran, quicktest.Equals, MayHaveRun, note)
			c.Check(g.flushReleases(), quicktest.IsNil)
			for _, r := range s.released {
				c.Check(r.GetNotLoaded(), quicktest.Equals, k.status == 404, note)
			}
			if repeatable {
				c.Check(requests.Load(), quicktest.Equals, int64(k.repeatable), note)
				continue
			}
			c.Check(requests.Load(), quicktest.Equals, int64(1), note)
			c.Check(s.ended, quicktest.DeepEquals, []wire.KeyState{wire.KeyState_KEY_STATE_UNKNOWN}, note)
			c.Check(w.Code == http.StatusBadGateway || w.Code == http.StatusBadRequest, quicktest.IsTrue, note) // others promise by convention
		}
	}
}

// A refusal that proves that the request did not run lets it run again: here, and with its key.
func TestProvenRefusalLetsTheRequestRunAgain(t *testing.T) {
	c := quicktest.New(t)
	address, requests := refusingEngine(c, 404, "not_loaded", "{}")
	g := newSendingGateway(c)
	s := &fakeScheduler{acquire: func(int, string) *wire.AcquireReply { return grantAt(address) }}
	g.schedule(s)
	f := failureOf(c, g.serveOnce(http.MethodPost, "/v1/completions", `{"model": "a", "prompt": "x"}`, false))
	c.Check(f.Code, quicktest.Equals, CodeRefusedByEndpoint)
	c.Check(f.Ran, quicktest.Equals, NotRun)
	c.Check(requests.Load(), quicktest.Equals, int64(maxAttempts))
	c.Check(s.ended, quicktest.DeepEquals, []wire.KeyState{wire.KeyState_KEY_STATE_CLAIMED})
	c.Check(g.flushReleases(), quicktest.IsNil)
	for _, r := range s.released {
		c.Check(r.GetOutcome(), quicktest.Equals, wire.Outcome_OUTCOME_REFUSED)
	}
}

// Guards against a completion that is taken for a refusal, since its head has a reason for one.
func TestReasonOnASuccessIsIgnored(t *testing.T) {
	c := quicktest.New(t)
	for _, reason := range []string{"busy", "not_loaded", "leaving"} {
		address, requests := refusingEngine(c, http.StatusOK, reason, `{"choices":[]}`)
		g := newSendingGateway(c)
		s := &fakeScheduler{acquire: func(int, string) *wire.AcquireReply { return grantAt(address) }}
		g.schedule(s)
		w := g.serveOnce(http.MethodPost, "/v1/completions", `{"model": "a", "prompt": "x"}`, false)
		c.Check(w.Code, quicktest.Equals, http.StatusOK)
		c.Check(w.Body.String(), quicktest.Equals, `{"choices":[]}`)
		c.Check(requests.Load(), quicktest.Equals, int64(1))
		c.Check(s.ended, quicktest.DeepEquals, []wire.KeyState{wire.KeyState_KEY_STATE_RAN})
		c.Check(g.flushReleases(), quicktest.IsNil)
		c.Assert(s.released, quicktest.HasLen, 1)
		c.Check(s.released[0].GetOutcome(), quicktest.Equals, wire.Outcome_OUTCOME_COMPLETED)
		c.Check(s.released[0].GetNotLoaded() || s.released[0].GetBusy() || s.released[0].GetLeaving(), quicktest.IsFalse)
	}
}
