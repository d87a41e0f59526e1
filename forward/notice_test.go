// SPDX-License-Identifier: Apache-2.0

package forward

import (
	"context"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"cairnwick.example/ratelimit"
	"cairnwick.example/topology"
	"github.com/frankban/quicktest"
)

// withHeader adds a header to the responses of h.
func withHeader(header, value string, h http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set(header, value)
		h(w, r)
	}
}

func TestEndpointInBackoffIsSkipped(t *testing.T) {
	s := newSite(t, onceRoute(time.Second))
	inBackoff, other := s.endpoint(t, withHeader("Test-Backoff", "60", refuseNotExecuted)), s.endpoint(t, answerOK)
	s.setDataCentre("e2", "far") // the other one is selected first
	for range 5 {
		resp, _, err := s.ask("/")
		s.c.Assert(err, quicktest.IsNil)
		s.c.Assert(resp.StatusCode, quicktest.Equals, http.StatusOK)
	}
	s.c.Assert([]int64{inBackoff.Load(), other.Load()}, quicktest.DeepEquals, []int64{1, 5})
	s.c.Assert(s.gateway.Notices()["e1"].Backoffs, quicktest.Equals, int64(1))
	s.c.Assert(s.gateway.Notices()["e1"].Ignored, quicktest.Equals, int64(0))
}

func TestEndpointIsUsedAfterBackoff(t *testing.T) {
	s := newSite(t, onceRoute(time.Second))
	var asked atomic.Bool
	calls := s.endpoint(t, func(w http.ResponseWriter, r *http.Request) {
		if !asked.Swap(true) {
			withHeader("Test-Backoff", "0.05", refuseNotExecuted)(w, r)
			return
		}
		answerOK(w, r)
	})
	_, _, err := s.ask("/")
	s.c.Assert(err, quicktest.IsNil)
	for s.gateway.BackoffRemaining("e1", time.Now()) > 0 {
		time.Sleep(time.Millisecond)
	}
	resp, _, err := s.ask("/")
	s.c.Assert(err, quicktest.IsNil)
	s.c.Assert(resp.StatusCode, quicktest.Equals, http.StatusOK)
	s.c.Assert(calls.Load(), quicktest.Equals, int64(2))
}

// If all endpoints are in a back-off the caller is told at once when the first one ends. The request does not
// wait, and no endpoint gets it.
func TestAllEndpointsInBackoff(t *testing.T) {
	s := newSite(t, onceRoute(time.Minute))
	near, far := s.endpoint(t, withHeader("Test-Backoff", "30", refuseNotExecuted)), s.endpoint(t, withHeader("Test-Backoff", "10", refuseNotExecuted))
	resp, _, err := s.ask("/") // starts the back-offs
	s.c.Assert(err, quicktest.IsNil)
	s.c.Assert(resp.StatusCode, quicktest.Equals, http.StatusServiceUnavailable)
	assertRetryAfter(s.c, resp)
	resp, text, err := s.ask("/")
	s.c.Assert(err, quicktest.IsNil)
	s.c.Assert(resp.StatusCode, quicktest.Equals, http.StatusServiceUnavailable)
	s.c.Assert(text, quicktest.Equals, "endpoint_backoff\n")
	assertRetryAfter(s.c, resp)
	s.c.Assert([]int64{near.Load(), far.Load()}, quicktest.DeepEquals, []int64{1, 1})
}

// assertRetryAfter checks the Retry-After of a refusal if the first back-off ends after ten seconds.
func assertRetryAfter(c *quicktest.C, resp *http.Response) {
	c.Helper()
	back, err := time.ParseDuration(resp.Header.Get("Test-Retry-After"))
	c.Assert(err, quicktest.IsNil)
	c.Assert(back > 5*time.Second && back <= 12500*time.Millisecond, quicktest.IsTrue, quicktest.Commentf("%v", back))
}

// A draining endpoint is no alternative to endpoints in a back-off.
func TestDrainingEndpointIsNotWaitedFor(t *testing.T) {
	s := newSite(t, onceRoute(time.Second))
	leaving := s.endpoint(t, withHeader("Test-Draining", "1", answerOK))
	resp, _, err := s.ask("/")
	s.c.Assert(err, quicktest.IsNil)
	s.c.Assert(resp.StatusCode, quicktest.Equals, http.StatusOK)
	resp, text, err := s.ask("/")
	s.c.Assert(err, quicktest.IsNil)
	s.c.Assert(resp.StatusCode, quicktest.Equals, http.StatusServiceUnavailable)
	s.c.Assert(text, quicktest.Equals, "no_endpoint\n")
	s.c.Assert(leaving.Load(), quicktest.Equals, int64(1))
}

// A response of another endpoint at the address announces nothing of this one, and neither does a response to another request.
func TestOnlyMatchingResponseAnnouncesDraining(t *testing.T) {
	for _, x := range []struct {
		name    string
		answer  Response
		leaving bool
		backoff bool
	}{
		{name: "to this request", answer: Response{MatchesCall: true}, leaving: true, backoff: true},
		{name: "to another request", answer: Response{}},
		{name: "from another endpoint", answer: Response{MatchesCall: true, WrongEndpoint: true}},
	} {
		t.Run(x.name, func(t *testing.T) {
			s := newSite(t, onceRoute(time.Second))
			s.endpoint(t, answerOK)
			e := s.gateway.View.Endpoint("e1")
			x.answer.Notice = Notice{Draining: true, Backoff: time.Minute}
			s.gateway.observeResponse(&request{}, s.gateway.upstream(e), target{endpoint: e}, x.answer)
			s.c.Check(s.gateway.View.Endpoint("e1").Draining(), quicktest.Equals, x.leaving)
			s.c.Check(s.gateway.BackoffRemaining("e1", time.Now()) > 0, quicktest.Equals, x.backoff)
		})
	}
}

// OnDraining is called once per endpoint, whichever response announces draining.
func TestDrainingIsReportedOnce(t *testing.T) {
	s := newSite(t, onceRoute(time.Second))
	var draining []string
	s.gateway.OnDraining = func(e string) { draining = append(draining, e) }
	s.endpoint(t, withHeader("Test-Draining", "1", answerOK))
	_, _, err := s.ask("/")
	s.c.Assert(err, quicktest.IsNil)
	s.gateway.ObserveNotice("e1", Notice{Draining: true})
	s.c.Assert(draining, quicktest.DeepEquals, []string{"e1"})
}

// backoffPlacer starts a back-off of the first endpoint that it is asked for, and then names that endpoint.
type backoffPlacer struct {
	gateway   *Gateway
	requested []string // endpoints of Place calls
	avoid     [][]string
}

// Place implements Placer.
func (p *backoffPlacer) Place(_ context.Context, w AdapterRequest) (PlacementResult, error) {
	p.requested, p.avoid = append(p.requested, w.Endpoint.ID()), append(p.avoid, w.Avoid)
	if len(p.requested) == 1 {
		p.gateway.ObserveNotice(w.Endpoint.ID(), Notice{Backoff: time.Minute})
	}
	return PlacementResult{Ready: true, Endpoint: w.Endpoint.ID()}, nil
}

// A request that waited for a load goes to another endpoint if the chosen one asked for a back-off meanwhile,
// and the owner there is told to avoid it.
func TestBackoffDuringPlacement(t *testing.T) {
	s, _ := askAdapters(t, fixedPlacer("e1"), "2s")
	p := &backoffPlacer{gateway: s.gateway}
	s.gateway.Placer = p
	s.c.Assert(s.askAdapter(), quicktest.Equals, http.StatusOK)
	s.c.Assert(p.requested, quicktest.HasLen, 2)
	s.c.Assert(p.avoid, quicktest.DeepEquals, [][]string{nil, {p.requested[0]}})
	s.c.Assert(s.calls[p.requested[0]].Load(), quicktest.Equals, int64(0))
	s.c.Assert(s.calls[p.requested[1]].Load(), quicktest.Equals, int64(1))
}

// An owner of an older version names an endpoint that is in a back-off, and the request is refused at
// once.
func TestPlacementAtEndpointInBackoffIsRefused(t *testing.T) {
	s, _ := askAdapters(t, fixedPlacer("e3"), "2s")
	holder := s.endpoint(t, answerOK)
	s.setDataCentre("e3", "dc")
	s.gateway.ObserveNotice("e3", Notice{Backoff: time.Minute})
	s.c.Assert(s.askAdapter(), quicktest.Equals, http.StatusServiceUnavailable)
	s.c.Assert(holder.Load(), quicktest.Equals, int64(0))
}

// A stream is resumed only at an endpoint that accepts requests.
func TestStreamIsNotResumedAtEndpointInBackoff(t *testing.T) {
	s := newSite(t, resumableRoute(2*time.Second))
	s.endpoint(t, func(w http.ResponseWriter, _ *http.Request) { sendEvents(w, 1, 2, true) })
	inBackoff := s.endpoint(t, answerOK)
	s.endpoint(t, func(w http.ResponseWriter, _ *http.Request) { sendEvents(w, 3, 4, false) })
	s.setDataCentre("e2", "far")
	s.setDataCentre("e3", "far")
	s.gateway.ObserveNotice("e2", Notice{Backoff: time.Minute})
	resp, _, err := s.ask("/")
	s.c.Assert(err, quicktest.IsNil)
	s.c.Assert(resp.StatusCode, quicktest.Equals, http.StatusOK)
	s.c.Assert(inBackoff.Load(), quicktest.Equals, int64(0))
}

// drainingLimits grants a request after a wait in which the endpoint begins to drain.
type drainingLimits struct {
	noLimits

	view *topology.View
}

// HasLimit implements Limits.
func (drainingLimits) HasLimit(endpoint string) bool { return endpoint == "e1" }

// Acquire implements Limits.
func (l drainingLimits) Acquire(_ context.Context, e *topology.Endpoint, _ ratelimit.Request) AcquireResult {
	l.view.MarkDraining(e.ID())
	return AcquireResult{OK: true, Wait: time.Millisecond}
}

func TestDrainingDuringLimitWait(t *testing.T) {
	s := newSite(t, onceRoute(2*time.Second))
	left, other := s.endpoint(t, answerOK), s.endpoint(t, answerOK)
	s.setDataCentre("e2", "far")
	s.gateway.Limits = drainingLimits{view: s.gateway.View}
	resp, _, err := s.ask("/")
	s.c.Assert(err, quicktest.IsNil)
	s.c.Assert(resp.StatusCode, quicktest.Equals, http.StatusOK)
	s.c.Assert([]int64{left.Load(), other.Load()}, quicktest.DeepEquals, []int64{0, 1})
}

// An endpoint's entry expires while the source is unavailable, and comes back: the incarnation is still in
// its back-off.
func TestBackoffOutlastsEntry(t *testing.T) {
	s := newSite(t, onceRoute(time.Second))
	s.endpoint(t, answerOK)
	e := s.gateway.View.Endpoint("e1")
	s.gateway.ObserveNotice("e1", Notice{Backoff: time.Minute})
	s.gateway.View.RemoveEndpoint("e1")
	s.gateway.notices.prune(func(string) bool { return false })
	s.gateway.View.SetEndpoint(e)
	s.c.Assert(s.gateway.accepts("e1", time.Now()), quicktest.IsFalse)
}
