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

// respondingService starts a plain service that responds to each call, under its ID, with a status, headers and a body. It returns
// its address and the number of its calls.
func respondingService(c *quicktest.C, status int, headers http.Header, body string) (string, *atomic.Int64) {
	calls := &atomic.Int64{}
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		calls.Add(1)
		w.Header().Set(engine.RequestIDHeader, r.Header.Get(engine.RequestIDHeader))
		for n, v := range headers {
			w.Header()[n] = v
		}
		w.WriteHeader(status)
		_, _ = io.WriteString(w, body)
	}))
	c.Cleanup(s.Close)
	return s.Listener.Addr().String(), calls
}

// Guards against a response of a service that a caller takes for a promise of the gateway that the call did not run: by its status,
// by its body, or by a header; and against a key that may be used again after it, or counts as one whose call ran.
func TestStatusOfAServiceIsNoPromise(t *testing.T) {
	const body = `{"error":{"type":"cairnwick_error","code":"overloaded","ran":"not_run"}}`
	headers := http.Header{RanHeader: {"not_run"}, "Cairn-Reason": {"busy"}, "Retry-After": {"7"}, "Content-Type": {"application/json"}}
	for status, k := range map[int]struct {
		ran Ran
		key wire.KeyState
	}{
		200: {HasRun, wire.KeyState_KEY_STATE_RAN},
		202: {HasRun, wire.KeyState_KEY_STATE_RAN},
		303: {MayHaveRun, wire.KeyState_KEY_STATE_UNKNOWN},
		400: {MayHaveRun, wire.KeyState_KEY_STATE_UNKNOWN},
		408: {MayHaveRun, wire.KeyState_KEY_STATE_UNKNOWN},
		421: {MayHaveRun, wire.KeyState_KEY_STATE_UNKNOWN},
		429: {MayHaveRun, wire.KeyState_KEY_STATE_UNKNOWN},
		500: {MayHaveRun, wire.KeyState_KEY_STATE_UNKNOWN},
		503: {MayHaveRun, wire.KeyState_KEY_STATE_UNKNOWN},
	} {
		c := quicktest.New(t)
		note := quicktest.Commentf("%d", status)
		address, calls := respondingService(c, status, headers, body)
		g := newSendingGateway(c)
		g.useServices(c, address, address)
		s := &fakeScheduler{}
		g.schedule(s)
		w := g.serveOnce(http.MethodPost, "/services/s/once", "x", false)
		c.Check(w.Code, quicktest.Equals, status, note)
		c.Check(w.Body.String(), quicktest.Equals, body, note)
		c.Check(w.Header().Get("Retry-After"), quicktest.Equals, "7", note)
		c.Check(w.Header().Values(RanHeader), quicktest.DeepEquals, []string{string(k.ran)}, note)
		c.Check(s.ended, quicktest.DeepEquals, []wire.KeyState{k.key}, note)
		c.Check(calls.Load(), quicktest.Equals, int64(1), note)
	}
}

// A caller can tell an error of the gateway from the response of a service by the header alone.
func TestErrorsOfTheGatewayStateRanInAHeader(t *testing.T) {
	c := quicktest.New(t)
	g := newSendingGateway(c)
	g.useServices(c, "127.0.0.1:1")
	g.schedule(&fakeScheduler{})
	for path, status := range map[string]int{"/services/s/once": http.StatusBadGateway, "/services/other/once": http.StatusNotFound} {
		w := g.serveOnce(http.MethodPost, path, "x", false)
		c.Check(w.Code, quicktest.Equals, status)
		c.Check(w.Header().Get(RanHeader), quicktest.Equals, string(NotRun))
		c.Check(failureOf(c, w).Ran, quicktest.Equals, NotRun)
	}
	g.MaxInFlight = 0
	w := g.serveOnce(http.MethodPost, "/services/s/once", "x", false)
	c.Check(w.Code, quicktest.Equals, http.StatusTooManyRequests)
	c.Check(w.Header().Get(RanHeader), quicktest.Equals, string(NotRun))
}

// Guards against a response that names two requests, or none.
func TestResponseOfAServiceNamesItsRequestOnce(t *testing.T) {
	c := quicktest.New(t)
	for _, k := range []struct {
		ids    []string
		status int
		ran    Ran
	}{{nil, http.StatusOK, HasRun}, {[]string{"OWN", "other"}, http.StatusBadGateway, MayHaveRun}} {
		s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			for _, id := range k.ids {
				if id == "OWN" {
					id = r.Header.Get(engine.RequestIDHeader)
				}
				w.Header().Add(engine.RequestIDHeader, id)
			}
		}))
		g := newSendingGateway(c)
		g.useServices(c, s.Listener.Addr().String())
		g.schedule(&fakeScheduler{})
		w := g.serveOnce(http.MethodPost, "/services/s/any", "x", true)
		c.Check(w.Code, quicktest.Equals, k.status)
		c.Check(w.Header().Get(RanHeader), quicktest.Equals, string(k.ran))
		c.Check(w.Header().Values(RequestHeader), quicktest.HasLen, 1)
		s.Close()
	}
}
