// SPDX-License-Identifier: Apache-2.0

package gateway

import (
	"bufio"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"cairnwick.example/policy"
	"cairnwick.example/quarantine"
	"cairnwick.example/wire"
	"github.com/frankban/quicktest"
)

// lostResponses starts an endpoint that reads a request and closes its connection.
func lostResponses(c *quicktest.C) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, quicktest.IsNil)
	c.Cleanup(func() { l.Close() })
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			_, _ = http.ReadRequest(bufio.NewReader(conn))
			conn.Close()
		}
	}()
	return l.Addr().String()
}

const (
	modelBody  = `{"model": "a", "prompt": "x"}`
	modelsPath = "/v1/completions"
)

// afterLostAttempt sends a repeatable request whose first attempt got no response, and whose further grants second returns.
func afterLostAttempt(c *quicktest.C, second func(g *Gateway) *wire.AcquireReply) failureFields {
	lost := lostResponses(c)
	g := newSendingGateway(c)
	g.Scope = ScopeRegion
	g.RetryAfter = time.Hour // of the lost attempt, so that a refusal with a shorter time takes its place
	g.reachability.extend("near", time.Now().Add(time.Minute))
	s := &fakeScheduler{}
	s.acquire = func(n int, _ string) *wire.AcquireReply {
		if n == 0 {
			return grantAt(lost)
		}
		return second(g)
	}
	g.schedule(s)
	f := failureOf(c, g.serveOnce(http.MethodPost, modelsPath, modelBody, true))
	c.Check(s.acquired > 1, quicktest.IsTrue)
	return f
}

func expired(reply *wire.AcquireReply) *wire.AcquireReply {
	reply.Grant.SendMicros = -1
	return reply
}

// Guards against "not_run" for a request that an earlier attempt may have run, whatever refuses it afterwards.
func TestRefusalAfterALostAttemptDoesNotSayNotRun(t *testing.T) {
	engineRefuses := func(status int, reason string) func(c *quicktest.C, g *Gateway) *wire.AcquireReply {
		return func(c *quicktest.C, _ *Gateway) *wire.AcquireReply {
			address, _ := refusingEngine(c, status, reason, "{}")
			return grantAt(address)
		}
	}
	schedulerRefuses := func(reason wire.Reason) func(*quicktest.C, *Gateway) *wire.AcquireReply {
		return func(*quicktest.C, *Gateway) *wire.AcquireReply { return refusalFor(reason) }
	}
	for name, k := range map[string]struct {
		second func(*quicktest.C, *Gateway) *wire.AcquireReply
		code   Code
	}{
		"queue":            {schedulerRefuses(wire.Reason_REASON_QUEUE_FULL), CodeQueueFull},
		"no wait":          {schedulerRefuses(wire.Reason_REASON_NO_WAIT), CodeNoCapacity},
		"deadline":         {schedulerRefuses(wire.Reason_REASON_DEADLINE), CodeDeadlineUnreachable},
		"load":             {schedulerRefuses(wire.Reason_REASON_LOAD_FAILED), CodeLoadFailed},
		"leaving":          {schedulerRefuses(wire.Reason_REASON_LEAVING), CodeLeaving},
		"endpoint down":    {schedulerRefuses(wire.Reason_REASON_ENDPOINT_DOWN), CodeNoEndpoint},
		"other ownership":  {schedulerRefuses(wire.Reason_REASON_NOT_OWNER), CodeNoResponse},
		"no scheduler":     {func(*quicktest.C, *Gateway) *wire.AcquireReply { return nil }, CodeNoResponse},
		"engine busy":      {engineRefuses(503, "busy"), CodeRefusedByEndpoint},
		"engine leaving":   {engineRefuses(503, "leaving"), CodeLeaving},
		"not loaded":       {engineRefuses(404, "not_loaded"), CodeRefusedByEndpoint},
		"bad request":      {engineRefuses(400, "bad_request"), CodeBadRequest},
		"grant expired":    {func(*quicktest.C, *Gateway) *wire.AcquireReply { return expired(grantAt("127.0.0.1:1")) }, CodeNoResponse},
		"nothing listens":  {func(*quicktest.C, *Gateway) *wire.AcquireReply { return grantAt("127.0.0.1:1") }, CodeNoResponse},
		"in quarantine":    {quarantined, CodeQuarantined},
		"endpoint rests":   {func(_ *quicktest.C, g *Gateway) *wire.AcquireReply { return resting(g) }, CodeRefusedByEndpoint},
		"budget runs out":  {budgetRunsOut, CodeRefusedByEndpoint},
		"unknown refusals": {schedulerRefuses(wire.Reason_REASON_UNKNOWN_ADAPTER), CodeNotReady},
	} {
		t.Run(name, func(t *testing.T) {
			c := quicktest.New(t)
			f := afterLostAttempt(c, func(g *Gateway) *wire.AcquireReply { return k.second(c, g) })
			c.Check(f.Ran, quicktest.Equals, MayHaveRun)
			c.Check(f.Code, quicktest.Equals, k.code)
		})
	}
}

// quarantined has the request in quarantine once it has its grant.
func quarantined(_ *quicktest.C, g *Gateway) *wire.AcquireReply {
	content := quarantine.NewFingerprint(http.MethodPost, "", modelsPath, "", []byte(modelBody))
	g.tracker.List().Add(content, time.Now().Add(time.Minute))
	return grantAt("127.0.0.1:1")
}

// resting has both endpoints in a back-off once the request has its grant.
func resting(g *Gateway) *wire.AcquireReply {
	g.observeBackoff("e1", time.Minute)
	g.observeBackoff("e2", time.Minute)
	return grantAt("127.0.0.1:1")
}

// budgetRunsOut takes what is left of the retry budget before the endpoint refuses the request.
func budgetRunsOut(c *quicktest.C, g *Gateway) *wire.AcquireReply {
	g.RetryBudget = policy.NewRetryBudget(0, 0)
	address, _ := refusingEngine(c, 404, "not_loaded", "{}")
	return grantAt(address)
}

// Guards against the same at plain services: an address that was not reached follows one that may have run the call.
func TestServiceCallAfterALostAttemptDoesNotSayNotRun(t *testing.T) {
	c := quicktest.New(t)
	lost := lostResponses(c)
	for range 8 { // the order of addresses is random
		g := newSendingGateway(c)
		g.useServices(c, lost, "127.0.0.1:1", "127.0.0.1:1")
		g.schedule(&fakeScheduler{})
		f := failureOf(c, g.serveOnce(http.MethodPost, "/services/s/any", "x", true))
		c.Check(f.Ran, quicktest.Equals, MayHaveRun)
		c.Check(f.Code, quicktest.Equals, CodeNoResponse)
	}
}

// A call that no address was reached for has not run, and one that may run once does not go on after it may have run.
func TestServiceCallThatWasSentNowhereHasNotRun(t *testing.T) {
	c := quicktest.New(t)
	g := newSendingGateway(c)
	g.useServices(c, "127.0.0.1:1", "127.0.0.1:1")
	s := &fakeScheduler{}
	g.schedule(s)
	f := failureOf(c, g.serveOnce(http.MethodPost, "/services/s/once", "x", false))
	c.Check(f.Ran, quicktest.Equals, NotRun)
	c.Check(s.ended, quicktest.DeepEquals, []wire.KeyState{wire.KeyState_KEY_STATE_CLAIMED})
}

// Guards against a key that is free again after a panic: what the attempt did is not known.
func TestKeyStaysClaimedAfterAPanic(t *testing.T) {
	c := quicktest.New(t)
	g := newSendingGateway(c)
	s := &fakeScheduler{acquire: func(int, string) *wire.AcquireReply { panic("a fault") }}
	g.schedule(s)
	c.Check(func() { g.serveOnce(http.MethodPost, modelsPath, modelBody, false) }, quicktest.PanicMatches, "a fault")
	c.Check(s.ended, quicktest.HasLen, 0)
	c.Check(s.claims, quicktest.HasLen, 1)
}

// Guards against a stream that ends without an event and counts as not run, since nothing of it was relayed: it began at its
// engine, and what refuses its continuation does not change that.
func TestStreamThatBreaksBeforeItsFirstEventMayHaveRun(t *testing.T) {
	c := quicktest.New(t)
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("X-Request-Id", r.Header.Get("X-Request-Id"))
		if r.Method == http.MethodGet { // the stream is resumed
			w.Header().Set("Cairn-Reason", "not_loaded")
			w.WriteHeader(http.StatusNotFound)
			return
		}
		w.Header().Set("Content-Type", "text/event-stream")
		w.WriteHeader(http.StatusOK)
		_ = http.NewResponseController(w).Flush()
		panic(http.ErrAbortHandler)
	}))
	defer server.Close()
	for _, repeatable := range []bool{true, false} {
		g := newSendingGateway(c)
		s := &fakeScheduler{acquire: func(int, string) *wire.AcquireReply { return grantAt(server.Listener.Addr().String()) }}
		g.schedule(s)
		f := failureOf(c, g.serveOnce(http.MethodPost, modelsPath, strings.Replace(modelBody, "}", `, "stream": true}`, 1), repeatable))
		c.Check(f.Code, quicktest.Equals, CodeTruncated)
		c.Check(f.Ran, quicktest.Equals, MayHaveRun)
		c.Check(s.acquired, quicktest.Equals, 1)
		if !repeatable {
			c.Check(s.ended, quicktest.DeepEquals, []wire.KeyState{wire.KeyState_KEY_STATE_UNKNOWN})
		}
	}
}
