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

// withHeader answers by h, and writes a header into the answer besides.
func withHeader(header, value string, h http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set(header, value)
		h(w, r)
	}
}

func TestEndpointInBackoffIsSkipped(t *testing.T) {
	s := newSite(t, onceRoute(time.Second))
	needy, other := s.endpoint(t, withHeader("Back-Off", "60", refuseNotExecuted)), s.endpoint(t, answerOK)
	s.setDataCentre("e2", "far") // the other one goes first
	for range 5 {
		resp, _, err := s.ask("/")
		s.c.Assert(err, quicktest.IsNil)
		s.c.Assert(resp.StatusCode, quicktest.Equals, http.StatusOK)
	}
	s.c.Assert([]int64{needy.Load(), other.Load()}, quicktest.DeepEquals, []int64{1, 5})
	s.c.Assert(s.gateway.Notices()["e1"].Backoffs, quicktest.Equals, int64(1))
	s.c.Assert(s.gateway.Notices()["e1"].Ignored, quicktest.Equals, int64(0))
}

func TestEndpointIsUsedAfterBackoff(t *testing.T) {
	s := newSite(t, onceRoute(time.Second))
	var asked atomic.Bool
	calls := s.endpoint(t, func(w http.ResponseWriter, r *http.Request) {
		if !asked.Swap(true) {
			withHeader("Back-Off", "0.05", refuseNotExecuted)(w, r)
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

// Where all endpoints want nothing the caller is told at once when the first takes requests again: it is
// not held until its deadline, and no endpoint is asked all the same.
func TestAllEndpointsInBackoff(t *testing.T) {
	s := newSite(t, onceRoute(time.Minute))
	near, far := s.endpoint(t, withHeader("Back-Off", "30", refuseNotExecuted)), s.endpoint(t, withHeader("Back-Off", "10", refuseNotExecuted))
	resp, _, err := s.ask("/") // finds it out
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

// assertRetryAfter checks the time that a caller is told where the first endpoint wants nothing for ten seconds.
func assertRetryAfter(c *quicktest.C, resp *http.Response) {
	c.Helper()
	back, err := time.ParseDuration(resp.Header.Get("Come-Back"))
	c.Assert(err, quicktest.IsNil)
	c.Assert(back > 5*time.Second && back <= 12500*time.Millisecond, quicktest.IsTrue, quicktest.Commentf("%v", back))
}

// An endpoint that leaves is no way out where the others want nothing.
func TestDrainingEndpointIsNotWaitedFor(t *testing.T) {
	s := newSite(t, onceRoute(time.Second))
	leaving := s.endpoint(t, withHeader("Leaving", "1", answerOK))
	resp, _, err := s.ask("/")
	s.c.Assert(err, quicktest.IsNil)
	s.c.Assert(resp.StatusCode, quicktest.Equals, http.StatusOK)
	resp, text, err := s.ask("/")
	s.c.Assert(err, quicktest.IsNil)
	s.c.Assert(resp.StatusCode, quicktest.Equals, http.StatusServiceUnavailable)
	s.c.Assert(text, quicktest.Equals, "no_endpoint\n")
	s.c.Assert(leaving.Load(), quicktest.Equals, int64(1))
}

// What another endpoint at the address says is none of this one's; an answer to another request of this box
// may ask for a back-off, and can't end the use of an endpoint.
func TestOnlyMatchingResponseAnnouncesDraining(t *testing.T) {
	for _, x := range []struct {
		name    string
		answer  Response
		leaving bool
		backoff bool
	}{
		{name: "its own", answer: Response{MatchesCall: true}, leaving: true, backoff: true},
		{name: "to another request", answer: Response{}, backoff: true},
		{name: "of another endpoint", answer: Response{MatchesCall: true, WrongEndpoint: true}},
	} {
		t.Run(x.name, func(t *testing.T) {
			s := newSite(t, onceRoute(time.Second))
			s.endpoint(t, answerOK)
			e := s.gateway.View.Endpoint("e1")
			x.answer.Notice = Notice{Draining: true, Backoff: time.Minute}
			s.gateway.observeResponse(&request{}, newUpstream(e), target{endpoint: e}, x.answer)
			s.c.Check(s.gateway.View.Endpoint("e1").Draining(), quicktest.Equals, x.leaving)
			s.c.Check(s.gateway.BackoffRemaining("e1", time.Now()) > 0, quicktest.Equals, x.backoff)
		})
	}
}

// An endpoint that leaves is told to others once, by whichever answer says so.
func TestDrainingIsReportedOnce(t *testing.T) {
	s := newSite(t, onceRoute(time.Second))
	var told []string
	s.gateway.OnDraining = func(e string) { told = append(told, e) }
	s.endpoint(t, withHeader("Leaving", "1", answerOK))
	_, _, err := s.ask("/")
	s.c.Assert(err, quicktest.IsNil)
	s.gateway.ObserveNotice("e1", Notice{Draining: true})
	s.c.Assert(told, quicktest.DeepEquals, []string{"e1"})
}

// backoffPlacer has the endpoint that it is asked for ask its box for a back-off, and then names it.
type backoffPlacer struct {
	gateway *Gateway
	named   []string // endpoints that it was asked for
	avoid   [][]string
}

// Place implements Placer.
func (p *backoffPlacer) Place(_ context.Context, w AdapterRequest) (PlacementResult, error) {
	p.named, p.avoid = append(p.named, w.Endpoint.ID()), append(p.avoid, w.Avoid)
	if len(p.named) == 1 {
		p.gateway.ObserveNotice(w.Endpoint.ID(), Notice{Backoff: time.Minute})
	}
	return PlacementResult{Ready: true, Endpoint: w.Endpoint.ID()}, nil
}

// A request that waited for a load goes to another endpoint where this one asked for a back-off meanwhile,
// and whoever decides there hears which one to avoid.
func TestBackoffDuringPlacement(t *testing.T) {
	s, _ := askAdapters(t, fixedPlacer("e1"), "2s")
	p := &backoffPlacer{gateway: s.gateway}
	s.gateway.Placer = p
	s.c.Assert(s.askAdapter(), quicktest.Equals, http.StatusOK)
	s.c.Assert(p.named, quicktest.HasLen, 2)
	s.c.Assert(p.avoid, quicktest.DeepEquals, [][]string{nil, {p.named[0]}})
	s.c.Assert(s.calls[p.named[0]].Load(), quicktest.Equals, int64(0))
	s.c.Assert(s.calls[p.named[1]].Load(), quicktest.Equals, int64(1))
}

// A leader of an older version names an endpoint that asked this box for a back-off, and the request is
// refused at once instead.
func TestPlacementAtEndpointInBackoffIsRefused(t *testing.T) {
	s, _ := askAdapters(t, fixedPlacer("e3"), "2s")
	holder := s.endpoint(t, answerOK)
	s.setDataCentre("e3", "dc")
	s.gateway.ObserveNotice("e3", Notice{Backoff: time.Minute})
	s.c.Assert(s.askAdapter(), quicktest.Equals, http.StatusServiceUnavailable)
	s.c.Assert(holder.Load(), quicktest.Equals, int64(0))
}

// A stream goes on at an endpoint that takes requests, and at no other.
func TestStreamIsNotResumedAtEndpointInBackoff(t *testing.T) {
	s := newSite(t, resumableRoute(2*time.Second))
	s.endpoint(t, func(w http.ResponseWriter, _ *http.Request) { sendEvents(w, 1, 2, true) })
	needy := s.endpoint(t, answerOK)
	s.endpoint(t, func(w http.ResponseWriter, _ *http.Request) { sendEvents(w, 3, 4, false) })
	s.setDataCentre("e2", "far")
	s.setDataCentre("e3", "far")
	s.gateway.ObserveNotice("e2", Notice{Backoff: time.Minute})
	resp, _, err := s.ask("/")
	s.c.Assert(err, quicktest.IsNil)
	s.c.Assert(resp.StatusCode, quicktest.Equals, http.StatusOK)
	s.c.Assert(needy.Load(), quicktest.Equals, int64(0))
}

// drainingLimits grants a request after a time in which the endpoint begins to leave.
type drainingLimits struct {
	noLimits

	view *topology.View
}

// HasLimit implements Limits.
func (drainingLimits) HasLimit(endpoint string) bool { return endpoint == "e1" }

// Acquire implements Limits.
func (l drainingLimits) Acquire(_ context.Context, e *topology.Endpoint, _ ratelimit.Ask) AcquireResult {
	l.view.Leave(e.ID())
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

// An endpoint's entry lapses while the source is away, and comes back: the same life wants nothing still.
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
