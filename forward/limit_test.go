// SPDX-License-Identifier: Apache-2.0

package forward

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"testing"
	"time"

	"cairnwick.example/ratelimit"
	"cairnwick.example/topology"
	"github.com/frankban/quicktest"
	"github.com/go-logr/logr"
)

// fakeLimits grants a given number of requests for each endpoint with a rate limit.
type fakeLimits struct {
	noLimits

	noneSpare bool // nothing for requests that other endpoints can serve

	mu        sync.Mutex
	available map[string]int // by endpoint with a rate limit
	asked     []string       // endpoints of Acquire calls
	observed  []ratelimit.Limit
}

// HasLimit implements Limits.
func (l *fakeLimits) HasLimit(endpoint string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	_, limited := l.available[endpoint]
	return limited
}

// Acquire implements Limits.
func (l *fakeLimits) Acquire(_ context.Context, e *topology.Endpoint, a ratelimit.Request) AcquireResult {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.asked = append(l.asked, e.ID())
	if l.available[e.ID()] == 0 || (a.SpareOnly && l.noneSpare) {
		return AcquireResult{Wait: time.Duration(len(l.asked)) * 300 * time.Millisecond}
	}
	l.available[e.ID()]--
	return AcquireResult{OK: true}
}

// ObserveLimit implements Limits.
func (l *fakeLimits) ObserveLimit(_ string, s ratelimit.Limit, _ time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.observed = append(l.observed, s)
}

// allow lets an endpoint take the given number of further requests.
func (l *fakeLimits) allow(endpoint string, requests int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.available[endpoint] = requests
}

func (s *testSite) limit(left map[string]int) *fakeLimits {
	l := &fakeLimits{available: left}
	s.gateway.Limits = l
	return l
}

func TestRequestAvoidsEndpointAtLimit(t *testing.T) {
	s := newSite(t, onceRoute(time.Second))
	limited, other := s.endpoint(t, answerOK), s.endpoint(t, answerOK)
	s.limit(map[string]int{"e1": 0})
	for range 10 {
		resp, _, err := s.ask("/")
		s.c.Assert(err, quicktest.IsNil)
		s.c.Assert(resp.StatusCode, quicktest.Equals, http.StatusOK)
	}
	s.c.Assert([]int64{limited.Load(), other.Load()}, quicktest.DeepEquals, []int64{0, 10})
}

func TestEndpointGetsRequestsUpToLimit(t *testing.T) {
	s := newSite(t, onceRoute(time.Second))
	limited := s.endpoint(t, answerOK)
	s.limit(map[string]int{"e1": 2})
	var statuses []int
	for range 3 {
		resp, _, err := s.ask("/")
		s.c.Assert(err, quicktest.IsNil)
		statuses = append(statuses, resp.StatusCode)
	}
	s.c.Assert(statuses, quicktest.DeepEquals, []int{200, 200, 503})
	s.c.Assert(limited.Load(), quicktest.Equals, int64(2))
}

// If no endpoint has capacity the caller is told at once when the first one has.
func TestAllEndpointsAtLimit(t *testing.T) {
	s := newSite(t, onceRoute(20*time.Second))
	for range 3 {
		s.endpoint(t, answerOK)
	}
	l := s.limit(map[string]int{"e1": 0, "e2": 0, "e3": 0})
	begun := time.Now()
	resp, text, err := s.ask("/")
	s.c.Assert(err, quicktest.IsNil)
	s.c.Assert(resp.StatusCode, quicktest.Equals, http.StatusServiceUnavailable)
	s.c.Assert(text, quicktest.Equals, "endpoint_limit\n")
	s.c.Assert(resp.Header.Get("Test-Retry-After"), quicktest.Equals, "300ms")
	s.c.Assert(len(l.asked), quicktest.Equals, 3)
	s.c.Assert(time.Since(begun) < 10*time.Second, quicktest.IsTrue)
}

func TestLimitDenialsAreBounded(t *testing.T) {
	s := newSite(t, onceRoute(time.Second))
	left := make(map[string]int)
	for i := range 3 * maxLimitDenials {
		s.endpoint(t, answerOK)
		left[fmt.Sprintf("e%d", i+1)] = 0
	}
	l := s.limit(left)
	resp, _, err := s.ask("/")
	s.c.Assert(err, quicktest.IsNil)
	s.c.Assert(resp.StatusCode, quicktest.Equals, http.StatusServiceUnavailable)
	s.c.Assert(len(l.asked), quicktest.Equals, maxLimitDenials)
}

// A request that another endpoint could serve asked for spare capacity only, and got none. The other endpoint
// then rejected it, and it was refused, though the first endpoint had capacity for it.
func TestRequestAsksForFullCapacityAfterFailures(t *testing.T) {
	s := newSite(t, onceRoute(time.Second))
	limited := s.endpoint(t, answerOK)
	s.endpoint(t, refuseNotExecuted)
	s.setDataCentre("e2", "far")
	l := s.limit(map[string]int{"e1": 1})
	l.noneSpare = true
	resp, _, err := s.ask("/")
	s.c.Assert(err, quicktest.IsNil)
	s.c.Assert(resp.StatusCode, quicktest.Equals, http.StatusOK)
	s.c.Assert(limited.Load(), quicktest.Equals, int64(1))
	s.c.Assert(l.asked, quicktest.DeepEquals, []string{"e1", "e1"})
}

// Retries and resumed streams take from the rate limit like first attempts.
func TestRetriesAndResumedStreamsCountTowardsLimit(t *testing.T) {
	for _, x := range []struct {
		name  string
		route topology.RouteSpec
		fails http.HandlerFunc
	}{
		{name: "retry", route: onceRoute(2 * time.Second), fails: refuseNotExecuted},
		{name: "stream", route: resumableRoute(2 * time.Second), fails: func(w http.ResponseWriter, _ *http.Request) { sendEvents(w, 1, 2, true) }},
	} {
		t.Run(x.name, func(t *testing.T) {
			s := newSite(t, x.route)
			s.endpoint(t, x.fails)
			limited := s.endpoint(t, func(w http.ResponseWriter, _ *http.Request) { sendEvents(w, 3, 4, false) })
			s.setDataCentre("e2", "far") // selected second
			l := s.limit(map[string]int{"e2": 0})
			_, _, _ = s.ask("/") // the response is a failure or breaks off
			s.c.Check(limited.Load(), quicktest.Equals, int64(0))
			l.allow("e2", 1)
			_, text, err := s.ask("/")
			s.c.Check(err, quicktest.IsNil)
			s.c.Check(text, quicktest.Contains, "piece 4")
			s.c.Check(limited.Load(), quicktest.Equals, int64(1))
			s.c.Check(l.asked, quicktest.DeepEquals, []string{"e2", "e2"})
		})
	}
}

// An endpoint failed a repeatable request, and the only other one has a rate limit and may have no capacity:
// the failure is relayed.
func TestFailureIsRelayedIfOthersHaveLimits(t *testing.T) {
	s := newSite(t, repeatableRoute(time.Second))
	s.endpoint(t, func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusInternalServerError) })
	limited := s.endpoint(t, answerOK)
	s.setDataCentre("e2", "far")
	s.limit(map[string]int{"e2": 0})
	resp, _, err := s.ask("/")
	s.c.Assert(err, quicktest.IsNil)
	s.c.Assert(resp.StatusCode, quicktest.Equals, http.StatusInternalServerError)
	s.c.Assert(limited.Load(), quicktest.Equals, int64(0))
}

// recordingPlacer records the requested endpoints and reports the adapter ready there, or at its holder unless
// the request has AvoidLimited set.
type recordingPlacer struct {
	holder string

	mu        sync.Mutex
	requested []string
}

// Place implements Placer.
func (p *recordingPlacer) Place(_ context.Context, w AdapterRequest) (PlacementResult, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.requested = append(p.requested, w.Endpoint.ID())
	if p.holder != "" && !w.AvoidLimited {
		return PlacementResult{Ready: true, Endpoint: p.holder, Version: 1}, nil
	}
	return PlacementResult{Ready: true, Endpoint: w.Endpoint.ID(), Version: 1}, nil
}

// Callers of an adapter that is held only by an endpoint at its rate limit were refused, though others could
// load a copy. The box asked the leader to load the adapter elsewhere. By then the endpoint had capacity
// again, and the leader named it as the holder, but the box had already been denied there and refused the
// request. 3 of 103 refusals in a scenario in which four of twelve endpoints had limits came about like
// this, and none once requests set AvoidLimited.
func TestAdapterIsLoadedElsewhereIfHolderIsAtLimit(t *testing.T) {
	p := &recordingPlacer{}
	s, _ := askAdapters(t, p, "2s")
	p.requested, p.holder = nil, "e1"
	s.gateway.View.SetAdapterStates("e1", map[topology.Adapter]topology.AdapterState{{Model: "m", Name: "a"}: {Version: 1, Ready: true}})
	s.limit(map[string]int{"e1": 0})
	s.c.Assert(s.askAdapter(), quicktest.Equals, http.StatusOK)
	s.c.Assert(p.requested, quicktest.DeepEquals, []string{"e2"})
}

// waitingPlacer is a recordingPlacer whose load elsewhere does not begin: after a wait it names the holder, which has
// capacity again by then unless denied is set.
type waitingPlacer struct {
	recordingPlacer
	limits *fakeLimits
	wait   time.Duration
	denied bool
}

// Place implements Placer.
func (p *waitingPlacer) Place(ctx context.Context, w AdapterRequest) (PlacementResult, error) {
	if p.holder != "" && w.AvoidLimited {
		time.Sleep(p.wait)
		if !p.denied {
			p.limits.allow(p.holder, 1)
		}
		return PlacementResult{Ready: true, Endpoint: p.holder, Version: 1}, nil
	}
	return p.recordingPlacer.Place(ctx, w)
}

// Guards against callers that are refused though the only holder of their adapter has capacity: they wait for a load
// elsewhere, which is delayed, and the leader names the holder as soon as that has capacity again. Also guards against
// asking without a pause while the leader, without an alternative, names a holder that has no capacity.
func TestHolderIsAskedAgainAfterWaitForLoadElsewhere(t *testing.T) {
	for name, test := range map[string]struct {
		wait   time.Duration
		denied bool
		status int
	}{
		"capacity after a wait":    {wait: capacityRecheckInterval, status: http.StatusOK},
		"denied after each wait":   {wait: capacityRecheckInterval, denied: true, status: http.StatusServiceUnavailable},
		"denied and named at once": {denied: true, status: http.StatusServiceUnavailable},
	} {
		t.Run(name, func(t *testing.T) {
			p := &waitingPlacer{wait: test.wait, denied: test.denied}
			s, _ := askAdapters(t, p, "2s")
			p.holder = "e1"
			s.gateway.View.SetAdapterStates("e1", map[topology.Adapter]topology.AdapterState{{Model: "m", Name: "a"}: {Version: 1, Ready: true}})
			p.limits = s.limit(map[string]int{"e1": 0})
			begun := time.Now()
			s.c.Assert(s.askAdapter(), quicktest.Equals, test.status)
			asked := len(p.limits.asked)
			s.c.Assert(asked <= 1+int(time.Since(begun)/capacityRecheckInterval), quicktest.IsTrue, quicktest.Commentf("asked %d times", asked))
			s.c.Assert(asked > 1 || test.wait == 0, quicktest.IsTrue)
		})
	}
}

// A response of another incarnation at the address, or to another request, says nothing about this endpoint. One that may not
// be the endpoint's own can set a limit, but not remove one.
func TestOnlySignedMatchingResponseRemovesLimit(t *testing.T) {
	c := quicktest.New(t)
	l := &fakeLimits{}
	g := &Gateway{Limits: l, Log: logr.Discard()}
	e := topology.NewEndpoint(topology.EndpointSpec{ID: "e1"})
	observe := func(a Response) { g.observeResponse(&request{}, g.upstream(e), target{endpoint: e}, a) }
	observe(Response{WrongEndpoint: true, Notice: Notice{Limit: ratelimit.PerSecond(3)}})
	observe(Response{MatchesCall: true})
	observe(Response{MatchesCall: true, Signed: true, Notice: Notice{LimitErr: http.ErrBodyNotAllowed}})
	observe(Response{Notice: Notice{Limit: ratelimit.PerSecond(3)}})
	observe(Response{Signed: true})
	c.Check(l.observed, quicktest.HasLen, 0)
	observe(Response{MatchesCall: true, Notice: Notice{Limit: ratelimit.PerSecond(3)}})
	observe(Response{MatchesCall: true, Signed: true})
	c.Check(l.observed, quicktest.HasLen, 2)
	c.Check([]bool{l.observed[0].IsSet(), l.observed[1].IsSet()}, quicktest.DeepEquals, []bool{true, false})
}
