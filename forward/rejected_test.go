// SPDX-License-Identifier: Apache-2.0

package forward

import (
	"bufio"
	"net/http"
	"testing"
	"time"

	"cairnwick.example/topology"
	"github.com/frankban/quicktest"
)

// setDataCentre moves an endpoint of the site to a data centre, and sets its base models.
func (s *testSite) setDataCentre(id, centre string, models ...string) {
	s.gateway.View.SetEndpoint(topology.NewEndpoint(topology.EndpointSpec{
		ID: id, Service: "app", Address: s.gateway.View.Endpoint(id).Address(), DataCentre: centre, Software: "v1", Slots: 4, Models: models,
	}))
}

// Another data centre was avoided, since three of its endpoints had not responded for a moment. The endpoint in
// the own data centre rejected a request, and the request was refused, though the endpoints of the other data
// centre were idle: that one was avoided as long as the own one had any endpoint, even if the request had tried
// them all.
func TestRejectedRequestGoesToAvoidedDataCentre(t *testing.T) {
	s := newSite(t, onceRoute(2*time.Second))
	refused, ran := s.endpoint(t, refuseNotExecuted), s.endpoint(t, answerOK)
	s.setDataCentre("e2", "far")
	s.gateway.dataCentres.avoid("far", time.Now().Add(time.Minute))
	resp, _, err := s.ask("/")
	s.c.Assert(err, quicktest.IsNil)
	s.c.Assert(resp.StatusCode, quicktest.Equals, http.StatusOK)
	s.c.Assert([]int64{refused.Load(), ran.Load()}, quicktest.DeepEquals, []int64{1, 1})
}

// Guards against a response that contradicts itself and is relayed, so that its status promises that the request was not executed.
func TestContradictoryResponseIsNoResponse(t *testing.T) {
	for _, status := range []int{http.StatusOK, http.StatusMisdirectedRequest, http.StatusServiceUnavailable} {
		s := newSite(t, onceRoute(2*time.Second))
		contradictory := withHeader("Test-Contradictory", "1", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(status) })
		first, second := s.endpoint(t, withHeader("Signed", "1", contradictory)), s.endpoint(t, withHeader("Signed", "1", contradictory))
		resp, _, err := s.ask("/")
		s.c.Assert(err, quicktest.IsNil)
		s.c.Check(resp.StatusCode, quicktest.Equals, http.StatusBadGateway, quicktest.Commentf("status %d", status))
		s.c.Check(resp.Header.Get("Signed"), quicktest.Equals, "")
		s.c.Check(first.Load()+second.Load(), quicktest.Equals, int64(1))
	}
}

// A rejected request does not go to an unreachable data centre.
func TestRejectedRequestSkipsUnreachableDataCentre(t *testing.T) {
	s := newSite(t, onceRoute(2*time.Second))
	s.endpoint(t, refuseNotExecuted)
	ran := s.endpoint(t, answerOK)
	s.setDataCentre("e2", "far")
	s.gateway.Unreachable = func(centre string) bool { return centre == "far" }
	resp, _, err := s.ask("/")
	s.c.Assert(err, quicktest.IsNil)
	s.c.Assert(resp.StatusCode, quicktest.Equals, http.StatusServiceUnavailable)
	s.c.Assert(ran.Load(), quicktest.Equals, int64(0))
}

// A data centre was avoided, no endpoint of the own one had the base model, and the request was
// refused.
func TestModelInAvoidedDataCentre(t *testing.T) {
	s, _ := askAdapters(t, ownerChangePlacer{owned: "far"}, "2s")
	s.setDataCentre("e1", "dc")
	s.gateway.dataCentres.avoid("far", time.Now().Add(time.Minute))
	s.c.Assert(s.askAdapter(), quicktest.Equals, http.StatusOK)
	s.c.Assert(s.calls["e2"].Load(), quicktest.Equals, int64(1))
}

// A box with the maximum of requests in flight still accepts connections, and refuses their requests at once
// with a Retry-After.
func TestOverloadedBoxRefusesImmediately(t *testing.T) {
	s := newSite(t, onceRoute(time.Minute))
	s.gateway.MaxInFlight = 1
	r := newEndpointRuns()
	s.endpoint(t, r.handler(func(http.ResponseWriter) {}))
	caller := s.sendRaw(t, rawRequest)
	s.await(r.started)
	for range 7 {
		resp, err := http.ReadResponse(bufio.NewReader(s.sendRaw(t, rawRequest)), nil)
		s.c.Assert(err, quicktest.IsNil)
		resp.Body.Close()
		s.c.Assert(resp.StatusCode, quicktest.Equals, http.StatusServiceUnavailable)
		s.c.Assert(resp.Header.Get("Test-Retry-After"), quicktest.Equals, overloadRetryAfter.String())
	}
	s.c.Assert(s.calls["e1"].Load(), quicktest.Equals, int64(1))
	s.c.Assert(caller.Close(), quicktest.IsNil)
	s.await(r.cancelled)
}
