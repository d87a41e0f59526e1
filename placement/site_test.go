// SPDX-License-Identifier: Apache-2.0

package placement

import (
	"testing"
	"time"

	"cairnwick.example/forward"
	"cairnwick.example/topology"
	"github.com/frankban/quicktest"
)

// newIdleLoader returns a loader, not running, that owns endpoints with the given IDs and slots
// for two adapters each.
func newIdleLoader(ids ...string) (*Loader, map[string]*ownedEndpoint) {
	l := newFixture(4).loader
	list := make(map[string]*ownedEndpoint)
	for _, id := range ids {
		e := topology.NewEndpoint(topology.EndpointSpec{ID: id, Service: "llm", DataCentre: "dc", Slots: 8, Models: []string{model}})
		l.View.SetEndpoint(e)
		list[id] = &ownedEndpoint{endpoint: e, phase: owning, slots: make(map[topology.Adapter]*slot), models: map[string]bool{model: true}}
	}
	l.owned = list
	return l, list
}

// fillWithBusyAdapters fills an endpoint with adapters in use.
func fillWithBusyAdapters(l *Loader, o *ownedEndpoint, first int, now time.Time) {
	var uses []Use
	for i := range slotCount {
		o.slots[adapter(first+i)] = &slot{ready: true}
		uses = append(uses, Use{Endpoint: o.endpoint.ID(), Adapter: adapter(first + i), Running: 1})
	}
	l.RecordUsage("box-"+o.endpoint.ID(), uses, false, now)
}

// patientWaiter returns a request for an adapter that asks at an endpoint and can wait long.
func patientWaiter(o *ownedEndpoint, i int) *waiter {
	return &waiter{AdapterRequest: forward.AdapterRequest{Endpoint: o.endpoint, Adapter: adapter(i), TargetWait: time.Minute, MaxWait: time.Minute}}
}

// A request waited at its adapter's usual endpoint, where every slot was in use, although another
// endpoint had empty slots.
func TestLoadGoesToEndpointWithEmptySlot(t *testing.T) {
	c := quicktest.New(t)
	l, list := newIdleLoader("e1", "e2")
	now := time.Now()
	fillWithBusyAdapters(l, list["e1"], 10, now)
	_, wait := l.tryPlace(patientWaiter(list["e1"], 1), now, now.Add(time.Minute))
	c.Assert(wait, quicktest.IsNotNil)
	c.Assert(l.pendingLoads[placementKey{endpoint: "e2", adapter: adapter(1)}], quicktest.IsNotNil)
	_, _ = l.tryPlace(patientWaiter(list["e1"], 1), now, now.Add(time.Minute)) // another request for it
	c.Assert(l.pendingLoads, quicktest.HasLen, 1)
}

// Requests waited until they were refused for an endpoint that answered no orders, beside others of its data centre.
func TestLoadGoesElsewhereIfAClaimTakesLong(t *testing.T) {
	c := quicktest.New(t)
	for _, notLoaded := range []bool{false, true} {
		l, list := newIdleLoader("e1", "e2")
		now := time.Now()
		list["e1"].phase, list["e1"].since = claiming, now
		w := patientWaiter(list["e1"], 1)
		w.NotLoaded = notLoaded
		p, wait := l.tryPlace(w, now, now.Add(time.Minute))
		c.Assert(wait, quicktest.IsNil)
		c.Assert(p.OwnerChanging, quicktest.IsTrue) // it may hold the adapter
		now = now.Add(longClaimTime)
		_, wait = l.tryPlace(w, now, now.Add(time.Minute))
		c.Assert(wait, quicktest.IsNotNil)
		c.Assert(l.pendingLoads[placementKey{endpoint: "e2", adapter: adapter(1)}], quicktest.IsNotNil)
		list["e2"].phase = yielded
		p, _ = l.tryPlace(patientWaiter(list["e1"], 2), now, now.Add(time.Minute))
		c.Assert(p.OwnerChanging, quicktest.IsTrue)
	}
}

func TestAdapterIsLoadedWhereItIsCached(t *testing.T) {
	c := quicktest.New(t)
	l, list := newIdleLoader("e1", "e2")
	now := time.Now()
	l.View.SetAdapterStates("e2", map[topology.Adapter]topology.AdapterState{adapter(1): {Ready: true}})
	l.View.SetAdapterStates("e2", nil)
	_, _ = l.tryPlace(patientWaiter(list["e1"], 1), now, now.Add(time.Minute))
	c.Assert(l.pendingLoads[placementKey{endpoint: "e2", adapter: adapter(1)}], quicktest.IsNotNil)
}

func TestPendingLoadMovesToEndpointWithIdleSlot(t *testing.T) {
	c := quicktest.New(t)
	l, list := newIdleLoader("e1", "e2")
	now := time.Now()
	fillWithBusyAdapters(l, list["e1"], 10, now)
	fillWithBusyAdapters(l, list["e2"], 20, now)
	_, _ = l.tryPlace(patientWaiter(list["e1"], 1), now, now.Add(time.Minute))
	c.Assert(l.pendingLoads[placementKey{endpoint: "e1", adapter: adapter(1)}], quicktest.IsNotNil)
	later := now.Add(time.Second)
	l.RecordUsage("box-e2", nil, false, later) // no longer in use
	l.RecordUsage("box-e1", []Use{{Endpoint: "e1", Adapter: adapter(10), Running: 1}, {Endpoint: "e1", Adapter: adapter(11), Running: 1}}, false, later)
	l.startLoadsLocked(later)
	c.Assert(l.pendingLoads[placementKey{endpoint: "e2", adapter: adapter(1)}], quicktest.IsNotNil)
}

// The request asks at the usual endpoint, but the adapter is loaded elsewhere.
func TestRequestIsSentToHolder(t *testing.T) {
	c := quicktest.New(t)
	l, list := newIdleLoader("e1", "e2")
	list["e2"].slots[adapter(1)] = &slot{ready: true, version: 3}
	p, wait := l.tryPlace(patientWaiter(list["e1"], 1), time.Now(), time.Now())
	c.Assert(wait, quicktest.IsNil)
	c.Assert(p, quicktest.Equals, forward.PlacementResult{Ready: true, Endpoint: "e2", Version: 3})
}

// Two long prompts waited for loads on the same endpoint, and were prefilled one after the other.
func TestWaitingPromptsAreSpread(t *testing.T) {
	c := quicktest.New(t)
	l, list := newIdleLoader("e1", "e2")
	now := time.Now()
	first, second := patientWaiter(list["e1"], 1), patientWaiter(list["e1"], 2)
	first.PromptTokens, second.PromptTokens = 9000, 9000
	for _, w := range []*waiter{first, second} {
		_, wait := l.tryPlace(w, now, now.Add(time.Minute))
		c.Assert(wait, quicktest.IsNotNil)
	}
	c.Assert(first.target, quicktest.Equals, list["e1"])
	c.Assert(second.target, quicktest.Equals, list["e2"])
	l.cancelWait(first)
	c.Assert([]int{list["e1"].waitingTokens, list["e2"].waitingTokens}, quicktest.DeepEquals, []int{0, 9000})
}

func TestMinLoadCostIsCostOnCheapestEndpoint(t *testing.T) {
	c := quicktest.New(t)
	l, list := newIdleLoader("e1", "e2")
	now := time.Now()
	fillWithBusyAdapters(l, list["e1"], 10, now)
	empty, known := l.MinLoadCost(now)
	c.Assert(known, quicktest.IsTrue)
	fillWithBusyAdapters(l, list["e2"], 20, now)
	later := now.Add(loadCostMaxAge)
	full, _ := l.MinLoadCost(later)
	c.Assert(full > empty, quicktest.IsTrue)
	l.owned = nil
	_, known = l.MinLoadCost(later.Add(loadCostMaxAge))
	c.Assert(known, quicktest.IsFalse)
}
