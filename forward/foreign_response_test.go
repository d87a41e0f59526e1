// SPDX-License-Identifier: Apache-2.0

package forward

import (
	"context"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	"cairnwick.example/topology"
	"github.com/frankban/quicktest"
)

// Guards against a late copy of another request's rejection that is taken for this one's: the request runs, and again elsewhere.
func TestRejectionOfAnotherRequestIsNoResponse(t *testing.T) {
	for _, header := range []string{"Test-Not-Run", "Test-Adapter-Not-Loaded", "Test-Wrong-Endpoint", "Test-Draining", "Test-Backoff"} {
		t.Run(header, func(t *testing.T) {
			s := newSite(t, onceRoute(time.Second))
			copied := func(w http.ResponseWriter, _ *http.Request) {
				w.Header().Set("Id", "call-0")
				w.Header().Set("Test-Not-Run", "1")
				w.Header().Set(header, "1")
				w.WriteHeader(http.StatusServiceUnavailable)
			}
			first, second := s.endpoint(t, copied), s.endpoint(t, copied)
			resp, _, err := s.ask("/")
			s.c.Assert(err, quicktest.IsNil)
			s.c.Check(resp.StatusCode, quicktest.Equals, http.StatusBadGateway) // it may have run
			s.c.Check(first.Load()+second.Load(), quicktest.Equals, int64(1))
			for _, e := range s.gateway.View.Endpoints("app") {
				s.c.Check(s.gateway.accepts(e.ID(), time.Now()), quicktest.IsTrue)
				s.c.Check(s.gateway.upstream(e).health(time.Now()).down, quicktest.IsFalse)
			}
		})
	}
}

// Guards against a late copy of a request's first response that is taken for its second one, which has the same ID.
func TestSecondAttemptAtAnEndpointUsesAnotherConnection(t *testing.T) {
	s := newSite(t, onceRoute(2*time.Second))
	services := []*topology.Service{topology.NewService(topology.ServiceSpec{Name: "app", Engine: &topology.EngineSpec{AdapterSlots: 2}})}
	r := onceRoute(2 * time.Second)
	r.Host, r.Services = "site.example", []topology.WeightedService{{Name: "app", Weight: 1}}
	s.gateway.View.SetConfig(topology.NewConfig(2, []*topology.Route{topology.NewRoute(r)}, services, topology.RequestLimits{MaxBodyBytes: 1 << 10}))
	var mu sync.Mutex
	var callers []string
	s.endpoint(t, func(w http.ResponseWriter, r *http.Request) {
		mu.Lock()
		callers = append(callers, r.RemoteAddr)
		n := len(callers)
		mu.Unlock()
		if n == 1 {
			w.Header().Set("Test-Adapter-Not-Loaded", "1")
			w.WriteHeader(http.StatusMisdirectedRequest)
			return
		}
		answerOK(w, r)
	})
	s.gateway.View.SetEndpoint(topology.NewEndpoint(topology.EndpointSpec{
		ID: "e1", Service: "app", Address: s.gateway.View.Endpoint("e1").Address(), DataCentre: "dc", Software: "v1", Slots: 4, Models: []string{"m"},
	}))
	s.gateway.Placer = readyPlacer{}
	dialled := 0
	s.gateway.Dial = func(ctx context.Context, network, address string) (net.Conn, error) {
		dialled++
		return (&net.Dialer{}).DialContext(ctx, network, address)
	}
	s.c.Check(s.askAdapter(), quicktest.Equals, http.StatusOK)
	s.c.Check(s.askAdapter(), quicktest.Equals, http.StatusOK)
	s.c.Assert(callers, quicktest.HasLen, 3)
	s.c.Check(callers[0] == callers[1], quicktest.IsFalse)
	s.c.Check(dialled, quicktest.Equals, 2)
}

// readyPlacer has every adapter at the endpoint that is proposed.
type readyPlacer struct{}

// Place implements Placer.
func (readyPlacer) Place(_ context.Context, w AdapterRequest) (PlacementResult, error) {
	return PlacementResult{Ready: true, Endpoint: w.Endpoint.ID()}, nil
}
