// SPDX-License-Identifier: Apache-2.0

package placement

import (
	"testing"
	"time"

	"cairnwick.example/forward"
	"cairnwick.example/topology"
	"github.com/frankban/quicktest"
)

func TestAnAdapterAtAFullEndpointGetsACopy(t *testing.T) {
	c := quicktest.New(t)
	b := newBench(t, 4)
	_, err := b.want(adapter(1), 5*time.Second)
	c.Assert(err, quicktest.IsNil)
	second := topology.NewEndpoint(topology.EndpointSpec{ID: "e2", Service: "llm", DataCentre: "dc", Slots: 8, Models: []string{model}})
	b.loader.View.SetEndpoint(second)
	for b.loader.Counts().Owned < 2 {
		time.Sleep(10 * time.Millisecond)
	}
	use := []Use{{Endpoint: "e1", Adapter: adapter(1), Begun: 4, Running: 4}}
	b.loader.Used("box-1", use, false, time.Now())
	c.Assert(b.loader.wants, quicktest.HasLen, 0) // half full
	b.loader.Used("box-2", use, false, time.Now())
	b.loader.mu.Lock()
	defer b.loader.mu.Unlock()
	copied := b.loader.wants[wantKey{endpoint: "e2", adapter: adapter(1)}] != nil || b.loader.owned["e2"].slots[adapter(1)] != nil
	c.Assert(copied, quicktest.IsTrue)
}

// A hot adapter got its copies one after the other, and its first seconds were lost.
func TestAHotAdapterGetsAsManyCopiesAsItsRequestsFill(t *testing.T) {
	c := quicktest.New(t)
	b := prepare(4)
	l := b.loader
	for _, id := range []string{"e1", "e2", "e3", "e4"} {
		e := topology.NewEndpoint(topology.EndpointSpec{ID: id, Service: "llm", DataCentre: "dc", Slots: 8, Models: []string{model}})
		l.View.SetEndpoint(e)
		l.owned[id] = &owned{endpoint: e, phase: owning, slots: make(map[topology.Adapter]*slot)}
	}
	l.owned["e1"].slots[adapter(1)] = &slot{ready: true}
	l.View.SetHeld("e1", map[topology.Adapter]topology.Held{adapter(1): {Ready: true}})
	l.Used("box", []Use{{Endpoint: "e1", Adapter: adapter(1), Running: 12}}, false, time.Now())
	c.Assert(l.wants, quicktest.HasLen, 2) // 12 fill three endpoints that run five of eight in comfort
}

// Each change of use that a box told of a full endpoint asked for copies, some 25 times as
// often as before: a site of 90 endpoints made half as many loads again.
func TestAChangeOfUseAsksForNoCopies(t *testing.T) {
	c := quicktest.New(t)
	l, list := owningSome("e1", "e2")
	list["e1"].slots[adapter(1)] = &slot{ready: true}
	full := []Use{{Endpoint: "e1", Adapter: adapter(1), Running: 8}}
	l.Used("box", full, true, time.Now())
	c.Assert(l.wants, quicktest.HasLen, 0)
	l.Used("box", full, false, time.Now())
	c.Assert(l.wants, quicktest.HasLen, 1)
}

func TestAnAdapterThatManyAskForAtOnceIsLoadedAtSeveralEndpoints(t *testing.T) {
	c := quicktest.New(t)
	b := prepare(4)
	l := b.loader
	for _, id := range []string{"e1", "e2", "e3"} {
		e := topology.NewEndpoint(topology.EndpointSpec{ID: id, Service: "llm", DataCentre: "dc", Slots: 8, Models: []string{model}})
		l.View.SetEndpoint(e)
		l.owned[id] = &owned{endpoint: e, phase: owning, slots: make(map[topology.Adapter]*slot), models: map[string]bool{model: true}}
	}
	for range 5 { // one more than an endpoint runs in comfort
		_, _ = l.look(&waiter{AdapterRequest: forward.AdapterRequest{Endpoint: b.endpoint, Adapter: adapter(1)}}, time.Now(), time.Now())
	}
	c.Assert(l.wants, quicktest.HasLen, 2)
}

func TestACopyForAnotherDataCentresWayComesOnlyAfterManyRequests(t *testing.T) {
	c := quicktest.New(t)
	b := newBench(t, 4)
	b.loader.Far("dc", adapter(1), 1, time.Now())
	b.loader.Far("dc", adapter(2), farEnough, time.Now())
	c.Assert(b.eventuallyLoads(adapter(2)), quicktest.IsTrue)
	b.fake.mu.Lock()
	defer b.fake.mu.Unlock()
	c.Assert(b.fake.loads, quicktest.DeepEquals, []topology.Adapter{adapter(2)})
}
