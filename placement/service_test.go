// SPDX-License-Identifier: Apache-2.0

package placement

import (
	"testing"
	"time"

	"cairnwick.example/topology"
	"github.com/frankban/quicktest"
)

// Guards against requests of one service that are sent to, or wait for loads at, endpoints of another one with the same base model.
func TestEndpointsOfAnotherServiceAreNotUsed(t *testing.T) {
	c := quicktest.New(t)
	now := time.Now()
	newLoader := func() (*Loader, map[string]*ownedEndpoint) {
		l, list := newIdleLoader("e1", "e2")
		other := topology.NewEndpoint(topology.EndpointSpec{ID: "e2", Service: "other", DataCentre: "dc", Slots: 8, Models: []string{model}})
		l.View.RemoveEndpoint("e2")
		l.View.SetEndpoint(other)
		list["e2"].endpoint = other
		return l, list
	}
	l, list := newLoader() // held by the other service
	list["e2"].slots[adapter(1)] = &slot{ready: true}
	p, _ := l.tryPlace(patientWaiter(list["e1"], 1), now, now.Add(time.Minute))
	c.Check(p.Ready, quicktest.IsFalse)
	c.Check(l.pendingLoads[placementKey{endpoint: "e1", adapter: adapter(1)}], quicktest.IsNotNil)

	l, list = newLoader() // the other service waits for a load of it
	_, _ = l.tryPlace(patientWaiter(list["e2"], 1), now, now.Add(time.Minute))
	_, _ = l.tryPlace(patientWaiter(list["e1"], 1), now, now.Add(time.Minute))
	c.Check(l.pendingLoads[placementKey{endpoint: "e1", adapter: adapter(1)}], quicktest.IsNotNil)

	l, list = newLoader() // the other service has free slots
	fillWithBusyAdapters(l, list["e1"], 10, now)
	_, _ = l.tryPlace(patientWaiter(list["e1"], 1), now, now.Add(time.Minute))
	c.Check(l.pendingLoads[placementKey{endpoint: "e1", adapter: adapter(1)}], quicktest.IsNotNil)
}

// Guards against copies that are placed at, or counted among, endpoints of another service, which never serves their requests.
func TestCopiesAreMadeWithinTheService(t *testing.T) {
	c := quicktest.New(t)
	now := time.Now()
	newLoader := func() *Loader {
		l, list := newIdleLoader("e1", "e2", "e3", "e4", "e5")
		for _, id := range []string{"e4", "e5"} {
			other := topology.NewEndpoint(topology.EndpointSpec{ID: id, Service: "other", DataCentre: "dc", Slots: 8, Models: []string{model}})
			l.View.RemoveEndpoint(id)
			l.View.SetEndpoint(other)
			list[id].endpoint = other
		}
		return l
	}
	l := newLoader() // 12 requests fill three endpoints; one of the other service holds the adapter
	for _, id := range []string{"e1", "e4"} {
		l.owned[id].slots[adapter(1)] = &slot{ready: true}
		l.View.SetAdapterStates(id, map[topology.Adapter]topology.AdapterState{adapter(1): {Ready: true}})
	}
	l.RecordUsage("box", []Use{{Endpoint: "e1", Adapter: adapter(1), Running: 12}}, false, now)
	for _, id := range []string{"e2", "e3"} {
		c.Check(l.pendingLoads[placementKey{endpoint: id, adapter: adapter(1)}], quicktest.IsNotNil, quicktest.Commentf("%s", id))
	}
	c.Check(l.pendingLoads, quicktest.HasLen, 2)

	l = newLoader() // requests for an adapter that no endpoint holds
	for range 30 {
		_, _ = l.tryPlace(patientWaiter(l.owned["e1"], 1), now, now)
	}
	for key := range l.pendingLoads {
		c.Check(key.endpoint == "e4" || key.endpoint == "e5", quicktest.IsFalse, quicktest.Commentf("%s", key.endpoint))
	}
	c.Check(len(l.pendingLoads) > 1, quicktest.IsTrue)
}
