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
