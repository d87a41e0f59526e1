// SPDX-License-Identifier: Apache-2.0

package forward

import (
	"context"
	"net/http"
	"testing"
	"time"

	"cairnwick.example/clock"
	"cairnwick.example/topology"
	"github.com/frankban/quicktest"
)

// suspendingPlacer suspends the machine while a request waits for its adapter.
type suspendingPlacer struct{ duration time.Duration }

// Place implements Placer.
func (p suspendingPlacer) Place(_ context.Context, w AdapterRequest) (PlacementResult, error) {
	clock.SimulateSuspend(p.duration)
	return PlacementResult{Ready: true, Endpoint: w.Endpoint.ID()}, nil
}

// A box was suspended while a request was in flight. Timers and the monotonic clock stood still, so it sent the
// request to an endpoint long after its caller had left.
func TestDeadlinePassedDuringSuspension(t *testing.T) {
	s := newSite(t, onceRoute(2*time.Second))
	services := []*topology.Service{topology.NewService(topology.ServiceSpec{Name: "app", Engine: &topology.EngineSpec{AdapterSlots: 2}})}
	r := onceRoute(2 * time.Second)
	r.Host, r.Services = "site.example", []topology.WeightedService{{Name: "app", Weight: 1}}
	s.gateway.View.SetConfig(topology.NewConfig(2, []*topology.Route{topology.NewRoute(r)}, services, topology.RequestLimits{MaxBodyBytes: 1 << 10}))
	calls := s.endpoint(t, answerOK)
	s.gateway.View.SetEndpoint(topology.NewEndpoint(topology.EndpointSpec{
		ID: "e1", Service: "app", Address: s.gateway.View.Endpoint("e1").Address(), DataCentre: "dc", Software: "v1", Slots: 4, Models: []string{"m"},
	}))
	pass := 5 * time.Second
	s.gateway.Placer = suspendingPlacer{duration: pass}
	t.Cleanup(func() { clock.SimulateSuspend(-pass) })
	s.c.Assert(s.askAdapter(), quicktest.Equals, http.StatusGatewayTimeout)
	s.c.Assert(calls.Load(), quicktest.Equals, int64(0))
}
