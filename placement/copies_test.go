// SPDX-License-Identifier: Apache-2.0

package placement

import (
	"testing"
	"time"

	"cairnwick.example/forward"
	"cairnwick.example/topology"
	"github.com/frankban/quicktest"
)

func TestAdapterOnFullEndpointIsCopied(t *testing.T) {
	c := quicktest.New(t)
	b := newOwningFixture(t, 4)
	_, err := b.want(adapter(1), 5*time.Second)
	c.Assert(err, quicktest.IsNil)
	second := topology.NewEndpoint(topology.EndpointSpec{ID: "e2", Service: "llm", DataCentre: "dc", Slots: 8, Models: []string{model}})
	b.loader.View.SetEndpoint(second)
	for b.loader.Counts().Owned < 2 {
		time.Sleep(10 * time.Millisecond)
	}
	use := []Use{{Endpoint: "e1", Adapter: adapter(1), Started: 4, Running: 4}}
	b.loader.RecordUsage("box-1", use, false, time.Now())
	c.Assert(b.loader.pendingLoads, quicktest.HasLen, 0) // the endpoint is half full
	b.loader.RecordUsage("box-2", use, false, time.Now())
	b.loader.mu.Lock()
	defer b.loader.mu.Unlock()
	copied := b.loader.pendingLoads[placementKey{endpoint: "e2", adapter: adapter(1)}] != nil || b.loader.owned["e2"].slots[adapter(1)] != nil
	c.Assert(copied, quicktest.IsTrue)
}

// The copies of a hot adapter were requested one after the other, and its requests of the first
// seconds were not served.
func TestHotAdapterGetsAsManyCopiesAsItsRequestsFill(t *testing.T) {
	c := quicktest.New(t)
	b := newFixture(4)
	l := b.loader
	for _, id := range []string{"e1", "e2", "e3", "e4"} {
		e := topology.NewEndpoint(topology.EndpointSpec{ID: id, Service: "llm", DataCentre: "dc", Slots: 8, Models: []string{model}})
		l.View.SetEndpoint(e)
		l.owned[id] = &ownedEndpoint{endpoint: e, phase: owning, slots: make(map[topology.Adapter]*slot)}
	}
	l.owned["e1"].slots[adapter(1)] = &slot{ready: true}
	l.View.SetAdapterStates("e1", map[topology.Adapter]topology.AdapterState{adapter(1): {Ready: true}})
	l.RecordUsage("box", []Use{{Endpoint: "e1", Adapter: adapter(1), Running: 12}}, false, time.Now())
	c.Assert(l.pendingLoads, quicktest.HasLen, 2) // 12 requests fill three endpoints, which each run five of at most eight before they count as full
}

// Every partial usage report on a full endpoint requested copies, some 25 times as often as
// full reports: a site of 90 endpoints made 50% more loads.
func TestPartialUsageReportRequestsNoCopies(t *testing.T) {
	c := quicktest.New(t)
	l, list := newIdleLoader("e1", "e2")
	list["e1"].slots[adapter(1)] = &slot{ready: true}
	full := []Use{{Endpoint: "e1", Adapter: adapter(1), Running: 8}}
	l.RecordUsage("box", full, true, time.Now())
	c.Assert(l.pendingLoads, quicktest.HasLen, 0)
	l.RecordUsage("box", full, false, time.Now())
	c.Assert(l.pendingLoads, quicktest.HasLen, 1)
}

func TestAdapterInHighDemandIsLoadedOnSeveralEndpoints(t *testing.T) {
	c := quicktest.New(t)
	b := newFixture(4)
	l := b.loader
	for _, id := range []string{"e1", "e2", "e3"} {
		e := topology.NewEndpoint(topology.EndpointSpec{ID: id, Service: "llm", DataCentre: "dc", Slots: 8, Models: []string{model}})
		l.View.SetEndpoint(e)
		l.owned[id] = &ownedEndpoint{endpoint: e, phase: owning, slots: make(map[topology.Adapter]*slot), models: map[string]bool{model: true}}
	}
	for range 5 { // one more than fill an endpoint
		_, _ = l.tryPlace(&waiter{AdapterRequest: forward.AdapterRequest{Endpoint: b.endpoint, Adapter: adapter(1)}}, time.Now(), time.Now())
	}
	c.Assert(l.pendingLoads, quicktest.HasLen, 2)
}

func TestRemoteRequestsCauseCopyOnlyAboveThreshold(t *testing.T) {
	c := quicktest.New(t)
	b := newOwningFixture(t, 4)
	b.loader.RecordRemoteRequests("dc", adapter(1), 1, time.Now())
	b.loader.RecordRemoteRequests("dc", adapter(2), remoteCopyThreshold, time.Now())
	c.Assert(b.eventuallyLoads(adapter(2)), quicktest.IsTrue)
	b.fake.mu.Lock()
	defer b.fake.mu.Unlock()
	c.Assert(b.fake.loads, quicktest.DeepEquals, []topology.Adapter{adapter(2)})
}
