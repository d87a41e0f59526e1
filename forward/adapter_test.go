// SPDX-License-Identifier: Apache-2.0

package forward

import (
	"context"
	"fmt"
	"net/http"
	"slices"
	"testing"
	"time"

	"cairnwick.example/policy"
	"cairnwick.example/topology"
	"github.com/frankban/quicktest"
)

// ownerChangePlacer owns the endpoints of one data centre; those of others have no owner.
type ownerChangePlacer struct {
	owned     string
	ownedFrom time.Time // no endpoint has an owner before
	retry     time.Duration
}

// Place implements Placer.
func (p ownerChangePlacer) Place(_ context.Context, w AdapterRequest) (PlacementResult, error) {
	if w.Endpoint.DataCentre() != p.owned || time.Now().Before(p.ownedFrom) {
		return PlacementResult{OwnerChanging: true, RetryAfter: p.retry, Reason: "changing"}, nil
	}
	return PlacementResult{Ready: true, Endpoint: w.Endpoint.ID()}, nil
}

// askAdapters requests adapters that no endpoint holds, at a site with an endpoint in each of two data
// centres, and returns the statuses. deadline is the callers' deadline; the route's timeout is 2 s.
func askAdapters(t *testing.T, placer Placer, deadline string, adapters ...string) (*testSite, []int) {
	s := newSite(t, onceRoute(2*time.Second))
	services := []*topology.Service{topology.NewService(topology.ServiceSpec{Name: "app", Engine: &topology.EngineSpec{AdapterSlots: 2}})}
	r := onceRoute(2 * time.Second)
	r.Host, r.Services, r.LatencyTarget = "site.example", []topology.WeightedService{{Name: "app", Weight: 1}}, time.Second
	s.gateway.View.SetConfig(topology.NewConfig(2, []*topology.Route{topology.NewRoute(r)}, services, topology.RequestLimits{MaxBodyBytes: 1 << 10}))
	for _, centre := range []string{"dc", "far"} {
		s.endpoint(t, answerOK)
		id := fmt.Sprintf("e%d", s.count)
		s.gateway.View.SetEndpoint(topology.NewEndpoint(topology.EndpointSpec{
			ID: id, Service: "app", Address: s.gateway.View.Endpoint(id).Address(), DataCentre: centre, Software: "v1", Slots: 4, Models: []string{"m"},
		}))
	}
	s.gateway.Placer = placer
	var statuses []int
	for _, a := range adapters {
		q, err := http.NewRequest(http.MethodPost, s.server.URL+"/", nil)
		s.c.Assert(err, quicktest.IsNil)
		q.Host = "site.example"
		q.Header.Set("Id", "call-1")
		q.Header.Set("Adapter", "m/"+a)
		q.Header.Set("Test-Deadline", deadline)
		resp, err := http.DefaultClient.Do(q)
		s.c.Assert(err, quicktest.IsNil)
		resp.Body.Close()
		statuses = append(statuses, resp.StatusCode)
	}
	return s, statuses
}

// While the leader of a data centre changed, every request whose adapter had its preferred endpoint
// there was refused, though the other data centres could have loaded it.
func TestAdapterIsLoadedInDataCentreWithOwner(t *testing.T) {
	for _, settled := range []string{"dc", "far"} {
		s, statuses := askAdapters(t, ownerChangePlacer{owned: settled}, "2s", "a", "b", "c", "d", "e", "f")
		for _, status := range statuses {
			s.c.Assert(status, quicktest.Equals, http.StatusOK)
		}
	}
}

// A request was refused at once while no endpoint had an owner, though one was expected soon.
func TestRequestWaitsForOwner(t *testing.T) {
	for _, left := range []string{"2s", "1500ms"} { // a first attempt, and a retry
		s, statuses := askAdapters(t, ownerChangePlacer{owned: "far", ownedFrom: time.Now().Add(400 * time.Millisecond), retry: 200 * time.Millisecond}, left, "a")
		s.c.Assert(statuses[0], quicktest.Equals, http.StatusOK)
	}
}

func TestRequestDoesNotWaitBeyondItsDeadline(t *testing.T) {
	begun := time.Now()
	s, statuses := askAdapters(t, ownerChangePlacer{retry: time.Minute}, "2s", "a", "b", "c")
	s.c.Assert(statuses, quicktest.DeepEquals, []int{http.StatusServiceUnavailable, http.StatusServiceUnavailable, http.StatusServiceUnavailable})
	s.c.Assert(time.Since(begun) < 3*time.Second, quicktest.IsTrue) // each would have waited for 2 s; this checks the rule, not the speed
}

// Adapters were loaded in the data centre that is first in their rendezvous order, whether its
// endpoints had free slots or not.
func TestAdapterIsLoadedAtLowestCost(t *testing.T) {
	const ms = time.Millisecond
	for name, f := range map[string]struct {
		levels map[string]time.Duration
		latest string // endpoint
		want   string // data centre
	}{
		"first in rendezvous order if costs are equal":  {levels: map[string]time.Duration{"dc": 300 * ms, "far": 300 * ms}, want: policy.First("m/a", []string{"dc", "far"})},
		"another one at a much lower cost":              {levels: map[string]time.Duration{"dc": 900 * ms, "far": 300 * ms}, want: "far"},
		"not one with an unknown cost":                  {levels: map[string]time.Duration{"far": 300 * ms}, want: "far"},
		"the last holder's":                             {levels: map[string]time.Duration{"dc": 300 * ms, "far": 600 * ms}, latest: "e2", want: "far"},
		"not the last holder's at a much higher cost":   {levels: map[string]time.Duration{"dc": 300 * ms, "far": 1200 * ms}, latest: "e2", want: "dc"},
		"first in rendezvous order if no cost is known": {want: policy.First("m/a", []string{"dc", "far"})},
	} {
		s, _ := askAdapters(t, fixedPlacer("e1"), "2s")
		s.gateway.LoadCost = func(c string) (time.Duration, bool) { l, ok := f.levels[c]; return l, ok }
		adapter := topology.Adapter{Model: "m", Name: "a"}
		if f.latest != "" {
			s.gateway.View.SetAdapterStates(f.latest, map[topology.Adapter]topology.AdapterState{adapter: {Ready: true}})
			s.gateway.View.SetAdapterStates(f.latest, nil)
		}
		got := s.gateway.loadTarget(adapter, s.gateway.View.Endpoints("app"))
		s.c.Check(got.DataCentre(), quicktest.Equals, f.want, quicktest.Commentf(name))
	}
}

// aheadPlacer chooses endpoints that have just started, of which the box that asks has not learned yet, unless they are to be avoided.
type aheadPlacer struct{ started []string }

// Place implements Placer.
func (p aheadPlacer) Place(_ context.Context, w AdapterRequest) (PlacementResult, error) {
	for _, id := range p.started {
		if !slices.Contains(w.Avoid, id) {
			return PlacementResult{Ready: true, Endpoint: id}, nil
		}
	}
	return PlacementResult{Ready: true, Endpoint: w.Endpoint.ID()}, nil
}

// Guards against requests that are refused because the leader knows an endpoint before the box that asks it.
func TestChosenEndpointThatIsNotKnownIsReplaced(t *testing.T) {
	s, statuses := askAdapters(t, aheadPlacer{started: []string{"e8", "e9"}}, "2s", "a", "b")
	s.c.Check(statuses, quicktest.DeepEquals, []int{http.StatusOK, http.StatusOK})
	s, statuses = askAdapters(t, aheadPlacer{started: []string{"e5", "e6", "e7", "e8", "e9"}}, "2s", "a")
	s.c.Check(statuses, quicktest.DeepEquals, []int{http.StatusServiceUnavailable}) // it does not ask for ever
}
