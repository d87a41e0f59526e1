// SPDX-License-Identifier: Apache-2.0

package placement

import (
	"testing"
	"time"

	"cairnwick.example/forward"
	"cairnwick.example/topology"
	"github.com/frankban/quicktest"
)

// owningSome returns a loader, not running, that owns endpoints with the IDs and a place for
// two adapters each.
func owningSome(ids ...string) (*Loader, map[string]*owned) {
	l := prepare(4).loader
	list := make(map[string]*owned)
	for _, id := range ids {
		e := topology.NewEndpoint(topology.EndpointSpec{ID: id, Service: "llm", DataCentre: "dc", Slots: 8, Models: []string{model}})
		l.View.SetEndpoint(e)
		list[id] = &owned{endpoint: e, phase: owning, slots: make(map[topology.Adapter]*slot), models: map[string]bool{model: true}}
	}
	l.owned = list
	return l, list
}

// occupy fills an endpoint with adapters that are in use.
func occupy(l *Loader, o *owned, first int, now time.Time) {
	var uses []Use
	for i := range slotCount {
		o.slots[adapter(first+i)] = &slot{ready: true}
		uses = append(uses, Use{Endpoint: o.endpoint.ID(), Adapter: adapter(first + i), Running: 1})
	}
	l.Used("box-"+o.endpoint.ID(), uses, false, now)
}

// asked is a request for an adapter that asks at endpoint e1 and can wait for long.
func asked(o *owned, i int) *waiter {
	return &waiter{AdapterRequest: forward.AdapterRequest{Endpoint: o.endpoint, Adapter: adapter(i), TargetWait: time.Minute, MaxWait: time.Minute}}
}

// A request waited at its adapter's usual endpoint, where every slot was in use, while
// another endpoint had empty ones.
func TestALoadGoesWhereASlotIsEmpty(t *testing.T) {
	c := quicktest.New(t)
	l, list := owningSome("e1", "e2")
	now := time.Now()
	occupy(l, list["e1"], 10, now)
	_, wait := l.look(asked(list["e1"], 1), now, now.Add(time.Minute))
	c.Assert(wait, quicktest.IsNotNil)
	c.Assert(l.wants[wantKey{endpoint: "e2", adapter: adapter(1)}], quicktest.IsNotNil)
	_, _ = l.look(asked(list["e1"], 1), now, now.Add(time.Minute)) // another request for it
	c.Assert(l.wants, quicktest.HasLen, 1)
}

func TestAnAdapterGoesBackWhereMemoryHasIt(t *testing.T) {
	c := quicktest.New(t)
	l, list := owningSome("e1", "e2")
	now := time.Now()
	l.View.SetHeld("e2", map[topology.Adapter]topology.Held{adapter(1): {Ready: true}})
	l.View.SetHeld("e2", nil)
	_, _ = l.look(asked(list["e1"], 1), now, now.Add(time.Minute))
	c.Assert(l.wants[wantKey{endpoint: "e2", adapter: adapter(1)}], quicktest.IsNotNil)
}

func TestALoadThatWaitsMovesWhereASlotComesToRest(t *testing.T) {
	c := quicktest.New(t)
	l, list := owningSome("e1", "e2")
	now := time.Now()
	occupy(l, list["e1"], 10, now)
	occupy(l, list["e2"], 20, now)
	_, _ = l.look(asked(list["e1"], 1), now, now.Add(time.Minute))
	c.Assert(l.wants[wantKey{endpoint: "e1", adapter: adapter(1)}], quicktest.IsNotNil)
	later := now.Add(time.Second)
	l.Used("box-e2", nil, false, later) // nothing is in use there any more
	l.Used("box-e1", []Use{{Endpoint: "e1", Adapter: adapter(10), Running: 1}, {Endpoint: "e1", Adapter: adapter(11), Running: 1}}, false, later)
	l.startLoadsLocked(later)
	c.Assert(l.wants[wantKey{endpoint: "e2", adapter: adapter(1)}], quicktest.IsNotNil)
}

// The request asks at the usual endpoint; the adapter is elsewhere by now.
func TestARequestIsToldWhereItsAdapterIs(t *testing.T) {
	c := quicktest.New(t)
	l, list := owningSome("e1", "e2")
	list["e2"].slots[adapter(1)] = &slot{ready: true, version: 3}
	p, wait := l.look(asked(list["e1"], 1), time.Now(), time.Now())
	c.Assert(wait, quicktest.IsNil)
	c.Assert(p, quicktest.Equals, forward.PlacementResult{Ready: true, Endpoint: "e2", Version: 3})
}

// Two long prompts waited for loads at one endpoint, and were read there one behind the
// other.
func TestPromptsThatWaitForLoadsAreSpread(t *testing.T) {
	c := quicktest.New(t)
	l, list := owningSome("e1", "e2")
	now := time.Now()
	first, second := asked(list["e1"], 1), asked(list["e1"], 2)
	first.PromptTokens, second.PromptTokens = 9000, 9000
	for _, w := range []*waiter{first, second} {
		_, wait := l.look(w, now, now.Add(time.Minute))
		c.Assert(wait, quicktest.IsNotNil)
	}
	c.Assert(first.at, quicktest.Equals, list["e1"])
	c.Assert(second.at, quicktest.Equals, list["e2"])
	l.giveUp(first)
	c.Assert([]int{list["e1"].pending, list["e2"].pending}, quicktest.DeepEquals, []int{0, 9000})
}

func TestALevelIsTheCostAtTheCheapestEndpoint(t *testing.T) {
	c := quicktest.New(t)
	l, list := owningSome("e1", "e2")
	now := time.Now()
	occupy(l, list["e1"], 10, now)
	empty, known := l.Level(now)
	c.Assert(known, quicktest.IsTrue)
	occupy(l, list["e2"], 20, now)
	later := now.Add(levelFor)
	full, _ := l.Level(later)
	c.Assert(full > empty, quicktest.IsTrue)
	l.owned = nil
	_, known = l.Level(later.Add(levelFor))
	c.Assert(known, quicktest.IsFalse)
}
