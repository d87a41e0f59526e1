// SPDX-License-Identifier: Apache-2.0

package forward

import (
	"context"
	"fmt"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"cairnwick.example/topology"
	"github.com/frankban/quicktest"
)

func TestRetryBudget(t *testing.T) {
	c := quicktest.New(t)
	limits := RetryLimits{Ratio: 0.2, Extra: 50, Window: 10 * time.Second}
	b := &RetryBudget{Limits: func() RetryLimits { return limits }, tokens: 1}
	now := time.Unix(0, 0)
	taken := 0
	for range 1000 { // one window with 100 requests a second, each of which wants a retry
		now = now.Add(10 * time.Millisecond)
		b.RecordFirst(now)
		if b.TryRetry(now, 5) {
			taken++
		}
	}
	c.Assert(float64(taken) <= 0.2*1000+50.0/5, quicktest.IsTrue, quicktest.Commentf("%d", taken))
	c.Assert(taken > 100, quicktest.IsTrue)
}

// Each of 75 boxes had saved up ten retries, and all spent them in the same window.
func TestSavedRetriesOfManyBoxes(t *testing.T) {
	c := quicktest.New(t)
	const boxes, requests = 75, 50 // per window and box
	limits := RetryLimits{Ratio: 0.2, Extra: 190, Window: 10 * time.Second}
	b := &RetryBudget{Limits: func() RetryLimits { return limits }, tokens: 1}
	now := time.Unix(0, 0)
	recordFirsts := func() {
		for range requests {
			now = now.Add(limits.Window / requests)
			b.RecordFirst(now)
		}
	}
	b.TryRetry(now, boxes)
	recordFirsts()
	recordFirsts()
	taken := 0
	for range requests { // each wants a retry
		now = now.Add(limits.Window / requests)
		b.RecordFirst(now)
		for b.TryRetry(now, boxes) {
			taken++
		}
	}
	c.Assert(float64(taken*boxes) <= limits.Ratio*requests*boxes+limits.Extra, quicktest.IsTrue, quicktest.Commentf("%d", taken))
}

func TestUnreachableDataCentreIsNotUsed(t *testing.T) {
	s := newSite(t, onceRoute(time.Second))
	s.gateway.Unreachable = func(c string) bool { return c == "cut" }
	near := topology.NewEndpoint(topology.EndpointSpec{ID: "near", Service: "app", DataCentre: "dc", Slots: 1})
	far := topology.NewEndpoint(topology.EndpointSpec{ID: "far", Service: "app", DataCentre: "cut", Slots: 1})
	got := s.gateway.usable([]*topology.Endpoint{far, near}, nil, time.Now())
	s.c.Assert(got, quicktest.HasLen, 1)
	s.c.Assert(got[0].ID(), quicktest.Equals, "near")
}

func TestFailuresMakeDataCentreAvoided(t *testing.T) {
	c := quicktest.New(t)
	var a dataCentres
	now := time.Unix(100, 0)
	for i := range failureThreshold - 1 {
		a.recordFailure("far", fmt.Sprint(i), now)
		a.recordFailure("far", "0", now) // counts once per endpoint
	}
	c.Assert(a.isAvoided("far", now), quicktest.IsFalse)
	late := now.Add(2 * failureWindow) // outside the window of the other failures
	a.recordFailure("far", "9", late)
	c.Assert(a.isAvoided("far", late), quicktest.IsFalse)
	for i := range failureThreshold {
		a.recordFailure("far", fmt.Sprint(i), late)
	}
	c.Assert(a.isAvoided("far", late), quicktest.IsTrue)
	c.Assert(a.isAvoided("far", late.Add(2*avoidDuration)), quicktest.IsFalse)
}

// A network partition was detected by the boxes' heartbeats only, after 1.2 s; until then every request to the
// other side was lost.
func TestSilenceMakesDataCentreAvoided(t *testing.T) {
	c := quicktest.New(t)
	var a dataCentres
	sent := time.Unix(100, 0)
	late := sent.Add(silenceTimeout)
	a.recordActivity("far", sent.Add(time.Millisecond)) // from another request
	for i := range failureThreshold {
		a.recordSilence("far", fmt.Sprint(i), sent, late)
	}
	c.Assert(a.isAvoided("far", late), quicktest.IsFalse)
	sent = late
	late = sent.Add(silenceTimeout)
	for i := range failureThreshold {
		a.recordSilence("far", fmt.Sprint(i), sent, late)
	}
	c.Assert(a.isAvoided("far", late), quicktest.IsTrue)
}

// drainingPlacer makes the first endpoint that it is asked for drain meanwhile.
type drainingPlacer struct {
	view    *topology.View
	drained string
}

// Place implements Placer.
func (p *drainingPlacer) Place(_ context.Context, w AdapterRequest) (PlacementResult, error) {
	if p.drained == "" {
		p.drained = w.Endpoint.ID()
		p.view.SetEndpoint(topology.NewEndpoint(topology.EndpointSpec{
			ID: p.drained, Service: "app", Address: w.Endpoint.Address(), DataCentre: "dc", Software: "v1", Slots: 4, Models: []string{"m"}, Draining: true,
		}))
	}
	return PlacementResult{Ready: true, Endpoint: w.Endpoint.ID()}, nil
}

// A request that waited two seconds for a load was sent to an endpoint that had begun to drain
// meanwhile.
func TestDrainingDuringPlacement(t *testing.T) {
	s := newSite(t, onceRoute(2*time.Second))
	engine := &topology.EngineSpec{AdapterSlots: 2}
	services := []*topology.Service{topology.NewService(topology.ServiceSpec{Name: "app", Engine: engine})}
	r := onceRoute(2 * time.Second)
	r.Host, r.Services = "site.example", []topology.WeightedService{{Name: "app", Weight: 1}}
	s.gateway.View.SetConfig(topology.NewConfig(2, []*topology.Route{topology.NewRoute(r)}, services, topology.RequestLimits{MaxBodyBytes: 1 << 10}))
	calls := make(map[string]*atomic.Int64)
	for range 2 {
		n := s.endpoint(t, answerOK)
		id := fmt.Sprintf("e%d", s.count)
		calls[id] = n
		e := s.gateway.View.Endpoint(id)
		s.gateway.View.SetEndpoint(topology.NewEndpoint(topology.EndpointSpec{
			ID: id, Service: "app", Address: e.Address(), DataCentre: "dc", Software: "v1", Slots: 4, Models: []string{"m"},
		}))
	}
	p := &drainingPlacer{view: s.gateway.View}
	s.gateway.Placer = p
	s.c.Assert(s.askAdapter(), quicktest.Equals, http.StatusOK)
	s.c.Assert(calls[p.drained].Load(), quicktest.Equals, int64(0))
}

// fixedPlacer reports every adapter ready at one endpoint.
type fixedPlacer string

// Place implements Placer.
func (p fixedPlacer) Place(context.Context, AdapterRequest) (PlacementResult, error) {
	return PlacementResult{Ready: true, Endpoint: string(p)}, nil
}

func TestRequestFollowsPlacement(t *testing.T) {
	for _, id := range []string{"e1", "e2"} {
		s, statuses := askAdapters(t, fixedPlacer(id), "2s", "a", "b", "c", "d")
		s.c.Assert(statuses, quicktest.DeepEquals, []int{http.StatusOK, http.StatusOK, http.StatusOK, http.StatusOK})
		s.c.Assert(s.calls[id].Load(), quicktest.Equals, int64(4))
	}
}

// addRefusing adds an endpoint that refuses connections.
func (s *testSite) addRefusing(t *testing.T) string {
	s.endpoint(t, answerOK)
	id := fmt.Sprintf("e%d", s.count)
	e := s.gateway.View.Endpoint(id)
	s.gateway.View.SetEndpoint(topology.NewEndpoint(topology.EndpointSpec{ID: id, Service: "app", Address: "127.0.0.1:1", DataCentre: e.DataCentre(), Software: "v1", Slots: 100}))
	return id
}

// While a data centre was cut off, requests to it used up the retry budget though nothing of them was sent, and
// were refused, though an endpoint in the own data centre served.
func TestUnsentAttemptNeedsNoBudget(t *testing.T) {
	s := newSite(t, onceRoute(5*time.Second))
	s.gateway.RetryLimits = func() RetryLimits { return RetryLimits{Window: time.Second} }
	for range 2 {
		s.addRefusing(t)
	}
	s.endpoint(t, answerOK)
	for range 3 {
		resp, _, err := s.ask("/")
		s.c.Assert(err, quicktest.IsNil)
		s.c.Assert(resp.StatusCode, quicktest.Equals, http.StatusOK)
	}
}

// Two of three endpoints were cut off, and were tried again and again, since no more than half of the endpoints
// of a service were avoided.
func TestRefusingEndpointsAreAvoided(t *testing.T) {
	s := newSite(t, onceRoute(5*time.Second))
	now := time.Now()
	for range 2 {
		s.gateway.upstream(s.gateway.View.Endpoint(s.addRefusing(t))).markDown(now)
	}
	list := s.gateway.View.Endpoints("app")
	s.c.Assert(s.gateway.usable(list, nil, now), quicktest.HasLen, 2) // there are no others
	s.endpoint(t, answerOK)
	list = s.gateway.View.Endpoints("app")
	s.c.Assert(s.gateway.usable(list, nil, now), quicktest.HasLen, 1)
}
